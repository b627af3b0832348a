"""State of an entry: route table, workers, failure domains and roll-outs.

It is read from the store, and from a peer's snapshot while the store is
unreachable.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

import attrs
import structlog
from reactivex.subject import Subject

from rattanpier._internal.models.domain_order import DomainOrder
from rattanpier._internal.models.feed import (
    DataSource,
    FeedRow,
    Page,
    Provenance,
    UnreadableRow,
)
from rattanpier._internal.models.rollout_order import RolloutOrder
from rattanpier._internal.models.route_table import RouteTable, WarmUp
from rattanpier._internal.models.worker import RegisteredWorker
from rattanpier._internal.placement.drained_domains import DrainedDomains
from rattanpier._internal.relay.directory import WorkerDirectory
from rattanpier._internal.relay.rollouts import Rollouts
from rattanpier._internal.relay.snapshots import Snapshot
from rattanpier._internal.relay.store import StoreHealth
from rattanpier._internal.utils.codec import pack

log = structlog.get_logger(part="state")


@attrs.define(eq=False, repr=False)
class RelayState:
    """State that an entry reads from the store or from a peer.

    Attributes:
      directory: Registered workers.
      rollouts: Roll-outs of new versions.
      health: Whether the store answers.
      decode_operator_rows: Decodes the operators' rows of a page.
      decode_worker_rows: Decodes the registrations of a page.
      domains: Failure domains that are drained.
      table: The route table in force, None before the first.
      table_cache: Version of a route table, and the table packed for peers.
      deregistered: Emits the id of each worker that was deregistered or that
        registered as another incarnation.
      tables: Emits each route table that comes into force.
    """

    directory: WorkerDirectory
    rollouts: Rollouts
    health: StoreHealth
    decode_operator_rows: Callable[
        [Page], Iterable[RouteTable | RolloutOrder | DomainOrder]
    ]
    decode_worker_rows: Callable[
        [Page], Iterable[RegisteredWorker | FeedRow | UnreadableRow]
    ]
    domains: DrainedDomains = attrs.Factory(DrainedDomains)
    table: RouteTable | None = None
    table_cache: tuple[int, bytes] = (-1, b"")
    deregistered: Subject[str] = attrs.Factory(Subject)
    tables: Subject[RouteTable] = attrs.Factory(Subject)

    @property
    def table_version(self) -> int:
        """Version of the route table in force, -1 before the first."""
        return -1 if self.table is None else self.table.version

    def ready(self) -> bool:
        """Returns whether requests can be served."""
        return (
            self.table is not None
            and self.directory.known
            and self.rollouts.records_known
        )

    def apply_operator_page(self, page: Page, after_outage: bool) -> None:
        """Applies a page of the operators' table.

        Args:
          page: Rows that were read.
          after_outage: Unused; followers pass it for each table.
        """
        if page.whole:
            self.rollouts.known_orders.record_full_read(page.revision)
        domain_orders: list[DomainOrder] = []
        for item in self.decode_operator_rows(page):
            match item:
                case RouteTable():
                    self.apply_table(item, page.provenance)
                case RolloutOrder():
                    self.rollouts.apply_order(item)
                case DomainOrder():
                    domain_orders.append(item)
        if page.whole:
            self.domains.replace(domain_orders, page.revision)
            return
        for order in domain_orders:
            self.domains.apply_order(order, "store")

    def engine_services(self) -> list[str]:
        """Returns the services whose workers are model engines."""
        if self.table is None:
            return []
        services = self.table.services.values()
        return [each.name for each in services if each.engine is not None]

    def warm_up_of(self, service: str) -> WarmUp | None:
        """Returns the load limits of a service's workers after a start.

        None if they take the full load from the start.
        """
        known = None if self.table is None else self.table.services.get(service)
        return None if known is None else known.warm_up

    def health_path_of(self, service: str) -> str:
        """Returns the path at which workers report their identity, or ""."""
        known = None if self.table is None else self.table.services.get(service)
        return "" if known is None else known.health_path

    def apply_table(self, table: RouteTable, provenance: Provenance) -> None:
        """Puts a route table in force unless it is outdated.

        Args:
          table: The route table.
          provenance: Where it came from, for the log.
        """
        if table.version <= self.table_version:
            return
        previous = self.table_version
        self.table = table
        self.tables.on_next(table)
        log.info(
            "Routes in force.",
            version=table.version,
            before=previous,
            routes=len(table.routes),
            source=provenance.source,
            told_by=provenance.told_by,
            store_ms=provenance.store_ms,
        )

    def apply_worker_page(self, page: Page, after_outage: bool) -> None:
        """Applies a page of registrations.

        Args:
          page: Rows that were read.
          after_outage: Whether the store was unavailable until just now.
        """
        items = list(self.decode_worker_rows(page))
        for item in items:
            if isinstance(item, UnreadableRow):
                self.drop_unreadable(item.key)
        if page.whole:
            workers = [
                item for item in items if isinstance(item, RegisteredWorker)
            ]
            self.notify_deregistered(
                self.directory.replace(
                    workers,
                    after_outage,
                    page.revision,
                    self.health.settled_at,
                )
            )
            return
        for item in items:
            if isinstance(item, RegisteredWorker):
                if self.directory.put(item):
                    self.notify_deregistered([item.id])
            elif isinstance(item, FeedRow) and self.directory.remove(
                item.key, after_outage, item.revision, self.health.settled_at
            ):
                self.notify_deregistered([item.key])

    def drop_unreadable(self, id: str) -> None:
        """Removes a worker whose registration became unreadable."""
        if self.directory.drop_unreadable(id):
            self.notify_deregistered([id])

    def drop_missing(self) -> None:
        """Settles workers and domain orders whose waiting time has passed.

        Nothing changes while the store is unavailable.
        """
        if self.health.available:
            self.notify_deregistered(self.directory.drop_missing())
            self.domains.expire_grace_periods()

    def notify_deregistered(self, ids: Iterable[str]) -> None:
        """Notifies subscribers that state about workers is outdated."""
        for id in ids:
            self.deregistered.on_next(id)

    def snapshot(self) -> Snapshot:
        """Returns a snapshot, for a peer that does not reach the store."""
        return Snapshot(
            self.pack_table(),
            self.table_version,
            list(self.directory.workers.values()),
            list(self.rollouts.orders.values()),
            list(self.rollouts.records.values()),
            list(self.domains.orders.values()),
            self.health.available,
            self.directory.as_of,
        )

    def pack_table(self) -> bytes:
        """Returns the packed route table, which is cached by version."""
        version, packed = self.table_cache
        if version != self.table_version and self.table is not None:
            packed = pack(self.table)
            self.table_cache = self.table_version, packed
        return packed

    def apply_snapshot(self, snapshot: Snapshot, peer: str = "") -> None:
        """Applies a peer's snapshot while this entry does not reach the store.

        A peer that reaches the store has the more recent registrations. The
        workers of a peer that does not are only used by an entry that has not
        read the table yet.

        Args:
          snapshot: The snapshot.
          peer: Name of the peer, for the log.
        """
        for order in snapshot.domain_orders:
            self.domains.apply_order(order, "snapshot")
        if snapshot.table_version > self.table_version:
            table = snapshot.table()
            if table is not None:
                self.apply_table(table, Provenance(DataSource.SNAPSHOT, peer))
        for order in snapshot.orders:
            self.rollouts.apply_order(order)
        for record in snapshot.records:
            self.rollouts.apply_record(record)
        self.rollouts.records_known |= snapshot.from_store
        workers, as_of = snapshot.workers, snapshot.as_of
        if self.health.available or as_of.era < self.directory.as_of.era:
            return
        if snapshot.from_store:
            self.notify_deregistered(
                self.directory.replace(workers, False, as_of)
            )
        elif not self.directory.known and workers:
            self.directory.replace(workers, False, as_of)
            self.rollouts.records_known = True
