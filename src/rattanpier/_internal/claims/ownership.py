"""Distribution of claim shards over the entries, by lease rows."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Mapping

import attrs
import structlog

from rattanpier._internal.claims.compaction import Compactor
from rattanpier._internal.claims.outage import Outage
from rattanpier._internal.claims.owner import ShardOwner
from rattanpier._internal.claims.records import ShardLease, lease_key
from rattanpier._internal.claims.shard_log import FlushResult
from rattanpier._internal.claims.takeover import acquire, recover
from rattanpier._internal.exceptions import (
    StoreUnavailableError,
    UnreadableError,
)
from rattanpier._internal.kernel import Kernel
from rattanpier._internal.membership.members import Members
from rattanpier._internal.models.configuration import Fleet
from rattanpier._internal.models.member import Member, MemberState
from rattanpier._internal.models.outcomes import Committed
from rattanpier._internal.peers.links import Links
from rattanpier._internal.peers.proto import peer_pb2
from rattanpier._internal.store.objects import Objects
from rattanpier._internal.store.table import (
    Check,
    Put,
    Row,
    Table,
    Transaction,
    scan_all,
)
from rattanpier._internal.utils.clock import Clock
from rattanpier._internal.utils.codec import decode, encode
from rattanpier._internal.utils.hashing import rendezvous
from rattanpier._internal.utils.metrics import Metrics

log = structlog.get_logger(part="claims")

PEER_CHECK_INTERVAL_S = 0.2  # Between checks, until peers confirm an outage.
MIN_MAINTAIN_INTERVAL_S = 0.5  # Between reads of all lease rows.
MAX_FLEET_READS_PER_S = 200.0  # Reads of all lease rows, by the fleet.
MIN_REFRESH_INTERVAL_S = 0.1  # Between reads of one row after failed calls.
ANY_ENTRY_AFTER_S = 3.0  # Then any entry may acquire a free shard.
HAND_OVER_DELAY_S = 3.0  # Time for which another entry must be preferred.
LEASE_PREFIX = "shard/"


@attrs.frozen
class KnownLease:
    """Lease row as last read.

    Attributes:
      lease: Content of the row.
      version: Version of the row.
    """

    lease: ShardLease
    version: int


@attrs.define
class Ownership:
    """Acquires shards, hands them over and tracks their owners.

    Attributes:
      fleet: Sizes and limits of the fleet.
      table: Table service with the logs and lease rows.
      clock: Source of time.
      metrics: Counts handovers, retries and unreadable rows.
      members: Members of the fleet.
      links: Connections to peers.
      kernel: Starts background tasks and announces the stop.
      outage: Replicates bills to peers while the store is down.
      objects: Object store with snapshots.
      owners: Shards owned by this process, by number.
      known_leases: Lease rows as last read, by shard.
      free_since: Time since when a shard has had no live owner, by shard; all
        times are on the monotonic clock, in seconds.
      misplaced_since: Time since when another entry has been preferred for an
        owned shard, by shard.
      read_at: Time of the last refresh of a lease row, by shard.
      reachable: False while the lease rows can't be read.
      reachable_since: Time since when they can be read again.
      owners_known: Whether live owners of all shards have been known at once.
        An entry accepts requests only from then on: a request can't be claimed
        without an owner, and owners can't be found while the store is down.
      wake: Set to read the lease rows at once.
    """

    fleet: Fleet
    table: Table
    clock: Clock
    metrics: Metrics
    members: Members
    links: Links
    kernel: Kernel
    outage: Outage
    objects: Objects
    owners: dict[int, ShardOwner] = attrs.Factory(dict)
    known_leases: dict[int, KnownLease] = attrs.Factory(dict)
    free_since: dict[int, float] = attrs.Factory(dict)
    misplaced_since: dict[int, float] = attrs.Factory(dict)
    read_at: dict[int, float] = attrs.Factory(dict)
    reachable: bool = True
    reachable_since: float = 0.0
    owners_known: bool = False
    wake: asyncio.Event = attrs.Factory(asyncio.Event)

    @property
    def me(self) -> Member:
        """This process as a member."""
        return self.members.me

    @property
    def live(self) -> Mapping[str, Member]:
        """Live members by name."""
        return self.members.live.value

    @property
    def interval_s(self) -> float:
        """Seconds between two batches of a shard, from the write budget."""
        return self.fleet.claim_shards / self.fleet.store_writes_per_s

    @property
    def pause_s(self) -> float:
        """Seconds between reads of all lease rows, by the fleet's budget."""
        return max(
            MIN_MAINTAIN_INTERVAL_S, self.fleet.size / MAX_FLEET_READS_PER_S
        )

    async def run(self) -> None:
        """Acquires shards and hands them over until the process stops."""
        while not self.kernel.stopping.is_set():
            await self.maintain()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.wake.wait(), self.pause_s)
            self.wake.clear()

    async def maintain(self) -> None:
        """Reads the lease rows once; acquires and hands over shards by them."""
        try:
            await self.read_while_asking()
        except StoreUnavailableError:
            await self.record_outage()
            return
        self.record_reachable()
        shards = range(self.fleet.claim_shards)
        await asyncio.gather(
            *(
                self.acquire_shard(shard)
                for shard in shards
                if self.should_acquire(shard)
            )
        )
        for shard in list(self.owners):
            if self.should_hand_over(shard):
                await self.hand_over(shard)
        await self.free_leftover_leases()
        self.owners_known = self.owners_known or self.knows_all_owners()

    # The store.

    async def read_while_asking(self) -> None:
        """Reads all lease rows; if the last read failed, also asks peers.

        With a silent store each read lasts until its timeout. Peers detect the
        outage at different times, and no request continues before they confirm
        it, so they are asked more often than the rows are read.

        Raises:
          StoreUnavailableError: The rows can't be read.
        """
        reading = asyncio.ensure_future(self.read_rows())
        try:
            while not (self.reachable or self.outage.confirmed):
                done, _ = await asyncio.wait(
                    {reading}, timeout=PEER_CHECK_INTERVAL_S
                )
                if done:
                    break
                await self.ask_peers()
            await reading
        finally:
            reading.cancel()

    async def record_outage(self) -> None:
        """Records a failed read of the rows and asks peers about the store."""
        if self.reachable:
            log.warning("Lease rows can't be read.")
        self.reachable = False
        await self.ask_peers()

    async def ask_peers(self) -> None:
        """Asks peers about the store; records a confirmed outage in owners."""
        await self.outage.check()
        if self.outage.confirmed:
            for owner in self.owners.values():
                owner.record_flush(FlushResult.STORE_DOWN)

    def record_reachable(self) -> None:
        """Records that the store is reachable."""
        self.outage.confirmed = False
        if not self.reachable:
            self.reachable = True
            self.reachable_since = self.clock.monotonic()
            log.info("Lease rows can be read again.")

    async def read_rows(self) -> None:
        """Reads all lease rows; drops shards that are no longer owned."""
        rows = await scan_all(self.table, LEASE_PREFIX)
        for row in rows:
            self.apply_lease_row(int(row.key.removeprefix(LEASE_PREFIX)), row)
        present = {int(row.key.removeprefix(LEASE_PREFIX)) for row in rows}
        for shard in set(self.owners) - present:
            self.owners[shard].mark_lost()
        for shard, owner in list(self.owners.items()):
            if owner.lost:
                del self.owners[shard]

    async def refresh(self, shard: int) -> None:
        """Reads the lease row of a shard whose owner could not be reached."""
        now = self.clock.monotonic()
        if (
            now - self.read_at.get(shard, -MIN_REFRESH_INTERVAL_S)
            < MIN_REFRESH_INTERVAL_S
        ):
            return
        self.read_at[shard] = now
        with contextlib.suppress(StoreUnavailableError):
            row = await self.table.get(lease_key(shard))
            self.record_reachable()
            if row is not None:
                self.apply_lease_row(shard, row)

    def apply_lease_row(self, shard: int, row: Row) -> None:
        """Applies a newer lease row; gives up a shard with another owner."""
        before = self.known_leases.get(shard)
        if before is not None and before.version >= row.version:
            return
        try:
            lease = decode(ShardLease, row.value)
        except UnreadableError:
            self.metrics.count("claims.lease_unreadable")
            log.error("Lease row can't be decoded.", shard=shard)
            return
        self.known_leases[shard] = KnownLease(lease, row.version)
        self.free_since.pop(shard, None)
        owner = self.owners.get(shard)
        if owner is not None and lease.epoch > owner.lease.epoch:
            owner.mark_lost()

    # Acquisition.

    def should_acquire(self, shard: int) -> bool:
        """Returns whether this entry should acquire a shard now."""
        if shard in self.owners or self.me.state is MemberState.LEAVING:
            return False
        known = self.known_leases.get(shard)
        if known is not None and self.has_owner(known.lease):
            self.free_since.pop(shard, None)
            return False
        if known is not None and self.is_mine(known.lease):
            return True
        now = self.clock.monotonic()
        free_s = now - self.free_since.setdefault(shard, now)
        return (
            self.preferred(shard) == self.me.name or free_s >= ANY_ENTRY_AFTER_S
        )

    def has_owner(self, lease: ShardLease) -> bool:
        """Returns whether a lease names another process that is alive.

        A lease of this process for a shard that it does not serve is left over
        from an acquisition whose result, or whose log, could not be read.
        """
        if not lease.owner or self.is_mine(lease):
            return False
        return self.members.alive(f"{lease.owner}/{lease.incarnation}")

    def is_mine(self, lease: ShardLease) -> bool:
        """Returns whether a lease names this process."""
        mine = (self.me.name, self.me.incarnation)
        return (lease.owner, lease.incarnation) == mine

    def preferred(self, shard: int) -> str:
        """Returns the name of the entry preferred for a shard, or empty."""
        names = [member.name for member in self.members.entries()]
        return next(iter(rendezvous(f"shard-{shard}", names)), "")

    async def acquire_shard(self, shard: int) -> None:
        """Acquires a shard and starts to serve it."""
        try:
            owner = await self.make_owner(shard)
        except StoreUnavailableError:
            # The lease may be acquired already: it is acquired again, or freed.
            log.warning("Shard's log can't be read.", shard=shard)
            self.metrics.count("claims.retry.recover")
            return
        if owner is None:
            return
        self.owners[shard] = owner
        self.kernel.spawn(owner.run())
        log.info("Shard acquired.", shard=shard, epoch=owner.lease.epoch)

    async def make_owner(self, shard: int) -> ShardOwner | None:
        """Acquires a lease and reads the log; returns None if not acquired.

        Raises:
          StoreUnavailableError: The log can't be read.
        """
        known = self.known_leases.get(shard)
        row = (
            Row(lease_key(shard), known.version, encode(known.lease))
            if known
            else None
        )
        acquired = await acquire(
            self.table, shard, row, self.me.name, self.me.incarnation
        )
        if acquired is None:
            return None
        lease, version = acquired
        self.known_leases[shard] = KnownLease(lease, version)
        book, sequence = await recover(self.table, shard, self.objects)
        owner = ShardOwner(
            shard=shard,
            lease=lease,
            lease_version=version,
            table=self.table,
            clock=self.clock,
            metrics=self.metrics,
            alive=self.members.alive,
            interval_s=self.interval_s,
            outage=self.outage,
            book=book,
            next_sequence=sequence,
            compactor=await self.make_compactor(shard, lease),
        )
        if known is not None and known.lease.owner:
            for bill in await self.outage.collect(known.lease.owner, shard):
                owner.enqueue_pending_bill(bill)
        return owner

    async def make_compactor(self, shard: int, lease: ShardLease) -> Compactor:
        """Creates the compactor of a shard with its earlier compactions.

        Raises:
          StoreUnavailableError: The rows of earlier compactions can't be read.
        """
        compactor = Compactor(
            shard,
            self.table,
            self.objects,
            self.metrics,
            self.fleet.retention_s,
        )
        await compactor.load_history(lease)
        return compactor

    def owner_member(self, shard: int) -> Member | None:
        """Returns the live owner of a shard, or None if none is known."""
        known = self.known_leases.get(shard)
        if known is None:
            return None
        member = self.live.get(known.lease.owner)
        if member is None or member.incarnation != known.lease.incarnation:
            return None
        return member

    def knows_all_owners(self) -> bool:
        """Returns whether a live owner is known for each shard."""
        return all(
            shard in self.owners or self.owner_member(shard) is not None
            for shard in range(self.fleet.claim_shards)
        )

    # Handover.

    def should_hand_over(self, shard: int) -> bool:
        """Returns whether an owned shard should be handed over now."""
        preferred = self.preferred(shard)
        if preferred in ("", self.me.name):
            self.misplaced_since.pop(shard, None)
            return False
        if self.me.state is MemberState.LEAVING:
            return True
        now = self.clock.monotonic()
        return (
            now - self.misplaced_since.setdefault(shard, now)
            >= HAND_OVER_DELAY_S
        )

    async def hand_over(self, shard: int) -> None:
        """Hands over a shard once its queued operations are in the log."""
        owner = self.owners.get(shard)
        if owner is None:
            return
        clean = await owner.close()
        self.owners.pop(shard, None)
        self.misplaced_since.pop(shard, None)
        if not clean:
            log.warning("Shard given up with unwritten batches.", shard=shard)
        owner.mark_lost()
        await self.free_shard(shard, owner.lease, owner.lease_version)

    async def free_shard(
        self, shard: int, lease: ShardLease, version: int
    ) -> None:
        """Removes the owner from a lease row and notifies the next owner."""
        key = lease_key(shard)
        lease = attrs.evolve(lease, owner="", incarnation="")
        outcome = await self.table.transact(
            Transaction([Check(key, version)], [Put(key, encode(lease))])
        )
        if not isinstance(outcome, Committed):
            return  # The next read of the rows finds it left over.
        self.metrics.count("claims.handed_over")
        log.info("Shard handed over.", shard=shard)
        self.notify_next_owner(shard)

    async def free_leftover_leases(self) -> None:
        """Frees, on leaving, leases of this process without an owner here."""
        if self.me.state is not MemberState.LEAVING:
            return
        for shard, known in list(self.known_leases.items()):
            if self.is_mine(known.lease) and shard not in self.owners:
                await self.free_shard(shard, known.lease, known.version)

    async def hand_over_all(self) -> None:
        """Hands over all shards, for a planned stop."""
        await asyncio.gather(*(self.hand_over(shard) for shard in self.owners))

    def notify_next_owner(self, shard: int) -> None:
        """Notifies the next owner of a shard that it is free."""
        member = self.live.get(self.preferred(shard))
        if member is None or member.name == self.me.name:
            return
        notice = peer_pb2.Notice(shard_free=peer_pb2.ShardFree(shard=shard))
        self.links.to(member).notify(notice)

    def on_shard_free(self, _notice: peer_pb2.Notice) -> None:
        """Reads the lease rows at once after a peer freed a shard."""
        self.wake.set()
