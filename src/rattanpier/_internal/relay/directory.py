"""Registered workers, and which of them accept new requests.

Registrations come from the store. After a store outage or a restore from a
backup they may be missing or outdated although their workers run: those that
are missing are kept for a while, and outdated ones are ignored.
"""

from __future__ import annotations

import collections
import math
from collections.abc import Callable, Iterable

import attrs
import structlog

from rattanpier._internal.models.deregistration import Deregistration
from rattanpier._internal.models.revision import Revision
from rattanpier._internal.models.worker import RegisteredWorker
from rattanpier._internal.relay.deregistrations import (
    Deregistrations,
    is_superseded_by,
    with_revision,
)
from rattanpier._internal.utils.clock import Clock
from rattanpier._internal.utils.hashing import stable_hash

log = structlog.get_logger(part="workers")

# The platform guarantees that registrations which expired during a store outage
# are written again within about 2 s of its return. Workers that are still
# missing after that are removed.
REREGISTRATION_TIMEOUT_S = 2.0
DEFAULT_REGISTRATION_TTL_S = 3.6  # Three default heartbeats.
# Bounds `WorkerDirectory.seen` and `leaving`. An incarnation that was evicted
# from `seen` counts as new again.
MAX_INCARNATIONS = 4096


@attrs.define(eq=False, repr=False)
class WorkerDirectory:
    """Registered workers by id.

    Attributes:
      clock: Monotonic clock for timeouts of missing registrations.
      workers: Registered workers by id, including those that are leaving.
      missing: When a worker whose registration expired during an outage is
        removed, by id, in monotonic seconds.
      known: Whether the table was read at least once.
      accepting_by_service: Cache of `accepting_workers`, by service.
      leaving_counts: Cache of `count_leaving`, by service.
      seen: Incarnations that were registered, the most recent last. An
        incarnation that registers again after its registration expired is not
        a new one.
      leaving: Incarnations that announced in an answer that they leave, the
        most recent last. No later registration overrides this.
      deregistrations: Removed incarnations. They stay removed when a restored
        store lists them again.
      as_of: Revision of the most recent full read.
      new_era_read_at: Monotonic time in seconds of the first full read of a new
        era. Registrations that a restored store lacks are written again, like
        those that expired during an outage.
      broadcast_leaving: Notifies all entries that an incarnation is leaving.
      on_registered: Called with each registration, and whether its incarnation
        is new.
    """

    clock: Clock
    workers: dict[str, RegisteredWorker] = attrs.Factory(dict)
    missing: dict[str, float] = attrs.Factory(dict)
    known: bool = False
    accepting_by_service: dict[str, list[RegisteredWorker]] = attrs.Factory(
        dict
    )
    leaving_counts: dict[str, int] = attrs.Factory(dict)
    seen: collections.OrderedDict[str, None] = attrs.Factory(
        collections.OrderedDict
    )
    leaving: collections.OrderedDict[str, None] = attrs.Factory(
        collections.OrderedDict
    )
    deregistrations: Deregistrations = attrs.field(
        default=attrs.Factory(
            lambda self: Deregistrations(
                self.clock, DEFAULT_REGISTRATION_TTL_S
            ),
            takes_self=True,
        )
    )
    as_of: Revision = Revision()
    new_era_read_at: float = float("-inf")
    broadcast_leaving: Callable[[str], None] = lambda _incarnation: None
    on_registered: Callable[[RegisteredWorker, bool], None] = attrs.field(
        default=lambda _worker, _appeared: None
    )

    def replace(
        self,
        workers: Iterable[RegisteredWorker],
        after_outage: bool,
        as_of: Revision = Revision(),  # noqa: B008
        settled_at: float = math.inf,
    ) -> list[str]:
        """Replaces all registrations by those of a full read.

        Args:
          workers: All registered workers.
          after_outage: Whether the store was unavailable until just now.
          as_of: Revision of the store at the time of the read.
          settled_at: When registrations that are missing since an outage are
            gone at the latest, in monotonic seconds.

        Returns:
          Ids of the workers whose previous incarnation was removed or replaced.
        """
        if as_of.era > self.as_of.era and self.known:
            self.new_era_read_at = self.clock.monotonic()
            # Registrations that this era lacks too get the full timeout again.
            self.missing.clear()
        self.as_of = max(as_of, self.as_of)
        found = {worker.id: worker for worker in workers}
        absent = [id for id in self.workers if id not in found]
        removed = [
            worker.id
            for worker in found.values()
            if self.put(worker, may_be_restored=True)
        ]
        self.known = True
        self.deregistrations.drop_absent(found)
        restored_at = self.new_era_read_at + REREGISTRATION_TIMEOUT_S
        if self.clock.monotonic() < restored_at:
            if not after_outage:
                settled_at = restored_at
            settled_at = max(settled_at, restored_at)
            after_outage = True
        removed += [
            id
            for id in absent
            if self.remove(id, after_outage, self.as_of, settled_at)
        ]
        return removed

    def put(
        self, worker: RegisteredWorker, may_be_restored: bool = False
    ) -> bool:
        """Adds or updates a registration, unless it is outdated.

        Args:
          worker: The registered worker.
          may_be_restored: Whether the row may come from a backup that the store
            was restored from. This holds for rows of a full read.

        Returns:
          Whether it replaced another incarnation with the same id, so that
          state about that one has to be forgotten.
        """
        previous = self.workers.get(worker.id)
        if previous is None and self.deregistrations.contradicts(
            worker, may_be_restored
        ):
            self.deregistrations.add_pending(worker)
            return False
        if previous is not None:
            if not self.is_superseded_by(previous, worker):
                self.keep_known(previous, worker)
                return False
            worker = with_revision(worker, previous.revision)
        self.workers[worker.id] = worker
        self.deregistrations.forget(worker)
        self.missing.pop(worker.id, None)
        self.invalidate_caches()
        self.on_registered(worker, self.record_incarnation(worker))
        if previous is None or previous.draining != worker.draining:
            log.info(
                "Worker registered.",
                worker=worker.id,
                service=worker.service,
                version=worker.version,
                draining=worker.draining,
                born=worker.born,
            )
        if previous is None or previous.born == worker.born:
            return False
        log.info(
            "Worker restarted.",
            worker=worker.id,
            born=worker.born,
            before=previous.born,
            revision=worker.revision.number,
        )
        return True

    def is_superseded_by(
        self, known: RegisteredWorker, received: RegisteredWorker
    ) -> bool:
        """Returns whether a received registration replaces the known one."""
        if received.incarnation == known.incarnation:
            return is_superseded_by(known, received)
        if received.revision.era > known.revision.era:
            # A restored store may list an incarnation that preceded this one.
            return received.incarnation not in self.seen
        return received.revision >= known.revision

    def keep_known(
        self, known: RegisteredWorker, received: RegisteredWorker
    ) -> None:
        """Keeps the known registration, at the revision of the received one."""
        self.workers[known.id] = with_revision(known, received.revision)
        if received.revision > known.revision:
            self.missing.pop(known.id, None)
            self.invalidate_caches()
            if known.draining and not received.draining:
                self.add_leaving(known.incarnation, "registration")
        if received.draining != known.draining:
            log.info(
                "Outdated registration ignored.",
                worker=received.id,
                draining=received.draining,
                sequence=received.sequence,
                known=known.sequence,
                revision=received.revision.number,
            )

    def invalidate_caches(self) -> None:
        """Clears the values that are computed from the registrations."""
        self.accepting_by_service.clear()
        self.leaving_counts.clear()

    def record_incarnation(self, worker: RegisteredWorker) -> bool:
        """Records an incarnation; returns whether it is new.

        Incarnations of the first full read are not new: they may have started
        long before.
        """
        seen = worker.incarnation in self.seen
        self.seen[worker.incarnation] = None
        self.seen.move_to_end(worker.incarnation)
        if len(self.seen) > MAX_INCARNATIONS:
            self.seen.popitem(last=False)
        return self.known and not seen

    def record_leaving(self, worker: RegisteredWorker) -> None:
        """Records that a worker announced in an answer that it is leaving."""
        if self.add_leaving(worker.incarnation, "answer"):
            self.broadcast_leaving(worker.incarnation)

    def apply_leaving(self, incarnations: Iterable[str]) -> None:
        """Applies incarnations that a peer knows to be leaving."""
        for incarnation in incarnations:
            self.add_leaving(incarnation, "peer")

    def add_leaving(self, incarnation: str, source: str) -> bool:
        """Adds a leaving incarnation; returns whether it was unknown."""
        if incarnation in self.leaving:
            return False
        self.mark_leaving(incarnation)
        log.info("Worker is leaving.", worker=incarnation, source=source)
        return True

    def mark_leaving(self, incarnation: str) -> None:
        """Marks an incarnation as leaving, whatever it registers later."""
        self.leaving[incarnation] = None
        if len(self.leaving) > MAX_INCARNATIONS:
            self.leaving.popitem(last=False)
        self.invalidate_caches()

    def leaving_incarnations(self) -> list[str]:
        """Returns the registered incarnations that are marked as leaving."""
        if not self.leaving:
            return []
        workers = self.workers.values()
        return [
            each.incarnation
            for each in workers
            if each.incarnation in self.leaving
        ]

    def leaving_digest(self) -> int:
        """Returns a digest of the leaving incarnations, for comparison."""
        total = 0
        for incarnation in self.leaving_incarnations():
            total ^= stable_hash(f"leaving/{incarnation}")
        return total

    def remove(
        self,
        id: str,
        after_outage: bool,
        revision: Revision = Revision(),  # noqa: B008
        settled_at: float = math.inf,
    ) -> bool:
        """Applies the removal of a registration.

        Args:
          id: Id of the worker.
          after_outage: Whether the store was unavailable until just now, so
            that the registration may have expired although the worker runs.
          revision: Revision of the removal, if it is known.
          settled_at: When registrations that are missing since an outage are
            gone at the latest, in monotonic seconds.

        Returns:
          Whether the worker was removed. False if it is unknown or if its
          registration may still be written again.
        """
        self.deregistrations.pending.pop(id, None)
        worker = self.workers.get(id)
        if worker is None:
            self.deregistrations.record_removal(id, revision)
            return False
        if after_outage and not worker.draining:
            now = self.clock.monotonic()
            drop_at = min(now + REREGISTRATION_TIMEOUT_S, settled_at)
            drop_at = self.missing.setdefault(id, drop_at)
            log.info(
                "Registration expired during an outage.",
                worker=id,
                kept_s=round(drop_at - now, 3),
            )
            return False
        self.delete_worker(worker)
        at = max(revision, self.as_of, worker.revision)
        self.deregistrations.record(
            Deregistration(worker.incarnation, worker.sequence, at)
        )
        log.info("Worker removed.", worker=id, service=worker.service)
        return True

    def delete_worker(self, worker: RegisteredWorker) -> None:
        """Deletes a worker from the directory."""
        del self.workers[worker.id]
        self.missing.pop(worker.id, None)
        if worker.draining:
            # A restored store may list it again as ready.
            self.mark_leaving(worker.incarnation)
        self.invalidate_caches()

    def drop_unreadable(self, id: str) -> bool:
        """Removes a worker whose registration became unreadable.

        This takes effect at once, also after an outage: unlike a registration
        that expired, this one was overwritten.

        Returns:
          Whether the worker was registered.
        """
        if id not in self.workers:
            return False
        self.missing.pop(id, None)
        return self.remove(id, after_outage=False)

    def apply_deregistrations(
        self, departures: Iterable[Deregistration]
    ) -> list[str]:
        """Applies deregistrations that a peer knows.

        Args:
          departures: Removed incarnations.

        Returns:
          Ids of the workers that were removed here.
        """
        known = {each.incarnation: each for each in self.workers.values()}
        removed: list[str] = []
        for departure in departures:
            self.deregistrations.record(departure)
            worker = known.get(departure.incarnation)
            if worker is None or not self.deregistrations.contradicts(
                worker, may_be_restored=False
            ):
                continue
            self.delete_worker(worker)
            self.deregistrations.add_pending(worker)
            removed.append(worker.id)
        return removed

    def drop_missing(self) -> list[str]:
        """Removes workers whose registration is overdue; returns their ids.

        Pending registrations that stood long enough are accepted first.
        """
        for worker in self.deregistrations.pop_accepted():
            self.put(worker)
        now = self.clock.monotonic()
        expired = [id for id, drop_at in self.missing.items() if drop_at <= now]
        for id in expired:
            self.remove(id, after_outage=False)
        return expired

    def accepting_workers(self, service: str) -> list[RegisteredWorker]:
        """Returns the workers of a service that accept new requests."""
        found = self.accepting_by_service.get(service)
        if found is None:
            found = [
                worker
                for worker in self.workers.values()
                if worker.service == service and self.is_not_leaving(worker)
            ]
            self.accepting_by_service[service] = found
        return found

    def is_registered(self, id: str, incarnation: str) -> bool:
        """Returns whether an incarnation of a worker is registered."""
        found = self.workers.get(id)
        return found is not None and found.incarnation == incarnation

    def services(self) -> set[str]:
        """Returns the services that have workers which accept requests."""
        return {
            worker.service
            for worker in self.workers.values()
            if self.is_not_leaving(worker)
        }

    def workers_in_domain(self, domain: str) -> list[RegisteredWorker]:
        """Returns the workers of a failure domain, including leaving ones."""
        return [each for each in self.workers.values() if each.domain == domain]

    def accepts_requests(self, id: str) -> bool:
        """Returns whether a worker is registered and accepts new requests."""
        worker = self.workers.get(id)
        return worker is not None and self.is_not_leaving(worker)

    def is_not_leaving(self, worker: RegisteredWorker) -> bool:
        """Returns whether neither registration nor answers announce a leave."""
        return not worker.draining and worker.incarnation not in self.leaving

    def count_leaving(self, service: str) -> int:
        """Returns how many workers of a service announced their leave.

        Counts announcements in answers, not registrations as draining.
        """
        if not self.leaving:
            return 0
        found = self.leaving_counts.get(service)
        if found is None:
            found = sum(
                each.service == service and each.incarnation in self.leaving
                for each in self.workers.values()
            )
            self.leaving_counts[service] = found
        return found
