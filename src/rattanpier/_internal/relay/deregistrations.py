"""Deregistered workers, and outdated registrations of a restored store.

After a restore from a backup the store's rows are outdated: a worker that was
deregistered is listed again, and one that is draining is listed as ready. The
store's versions can't be compared across eras. Instead the sequence of a
registration is compared, which its worker raises with each renewal.
"""

from __future__ import annotations

import collections
from collections.abc import Iterable

import attrs
import structlog

from rattanpier._internal.models.deregistration import Deregistration
from rattanpier._internal.models.revision import Revision
from rattanpier._internal.models.worker import RegisteredWorker
from rattanpier._internal.utils.clock import Clock
from rattanpier._internal.utils.hashing import stable_hash
from rattanpier._internal.utils.record import Record

log = structlog.get_logger(part="workers")

MAX_DEREGISTRATIONS = 4096
# A registration that is not renewed expires after so many heartbeats.
REGISTRATION_TTL_HEARTBEATS = 3
# A registration that a restored store lists again is accepted if it is still
# listed this long after the registration TTL.
RESTORE_MARGIN_S = 2.0


def is_superseded_by(
    known: RegisteredWorker, received: RegisteredWorker
) -> bool:
    """Returns whether a received registration replaces the known one.

    Both must be of the same incarnation. Within an era the revision decides.
    Across eras the store may have been restored from a backup, so that the
    worker's own sequence decides.
    """
    if known.revision.era == received.revision.era:
        known_order = known.revision, known.sequence
        return (received.revision, received.sequence) >= known_order
    newer_era = received.revision.era > known.revision.era
    return (received.sequence, newer_era) > (known.sequence, False)


def with_revision(
    worker: RegisteredWorker, revision: Revision
) -> RegisteredWorker:
    """Returns a registration at a revision, if that one is newer."""
    if worker.revision >= revision:
        return worker
    return attrs.evolve(worker, revision=revision)


def same_incarnation_and_era(
    one: RegisteredWorker, other: RegisteredWorker
) -> bool:
    """Returns whether two registrations share incarnation and era."""
    same_era = one.revision.era == other.revision.era
    return same_era and one.incarnation == other.incarnation


@attrs.frozen(eq=False, repr=False)
class PendingRegistration(Record):
    """A registration that a restored store lists and that may be outdated.

    Attributes:
      worker: The registered worker.
      accept_at: When it is accepted if it is still listed, in monotonic
        seconds. An outdated registration would have expired by then.
    """

    worker: RegisteredWorker
    accept_at: float


@attrs.define(eq=False, repr=False)
class Deregistrations:
    """Deregistered incarnations, and registrations that contradict them.

    Attributes:
      clock: Monotonic clock.
      registration_ttl_s: Seconds after which a registration that is not renewed
        expires.
      deregistered: Incarnations whose registration was removed, the most recent
        last.
      pending: Registrations that a restored store lists again, by worker id.
    """

    clock: Clock
    registration_ttl_s: float
    deregistered: collections.OrderedDict[str, Deregistration] = attrs.Factory(
        collections.OrderedDict
    )
    pending: dict[str, PendingRegistration] = attrs.Factory(dict)

    def record(self, departure: Deregistration) -> None:
        """Records a deregistration, unless a newer one is known."""
        known = self.deregistered.get(departure.incarnation)
        if known is not None and known.sort_key >= departure.sort_key:
            return
        self.deregistered[departure.incarnation] = departure
        self.deregistered.move_to_end(departure.incarnation)
        if len(self.deregistered) > MAX_DEREGISTRATIONS:
            self.deregistered.popitem(last=False)

    def record_removal(self, id: str, revision: Revision) -> None:
        """Records the removal of a registration that is not in the directory.

        The worker may have been removed here before, and have registered again
        without this entry receiving it.

        Args:
          id: Id of the worker.
          revision: Revision of the removal.
        """
        for departure in list(self.deregistered.values()):
            if departure.is_of_worker(id):
                self.record(attrs.evolve(departure, revision=revision))

    def contradicts(
        self, worker: RegisteredWorker, may_be_restored: bool
    ) -> bool:
        """Returns whether a registration may predate its deregistration.

        Within the era of the deregistration the store orders all changes: a
        registration that follows it was written later. Across eras a higher
        sequence is not enough, since the last registration before the removal
        may have had a higher sequence than the one known here.

        Args:
          worker: The registered worker.
          may_be_restored: Whether the row may come from a backup. This holds
            for rows of a full read; changes from a feed were written in its
            era.
        """
        departure = self.deregistered.get(worker.incarnation)
        if departure is None:
            return False
        if worker.revision.era <= departure.revision.era:
            return False
        if worker.sequence <= departure.sequence:
            return True
        predates = worker.revision.may_predate(departure.revision)
        return may_be_restored and predates

    def add_pending(self, worker: RegisteredWorker) -> None:
        """Adds a registration that may be outdated.

        The waiting time starts again only for another incarnation or era.
        """
        known = self.pending.get(worker.id)
        if known is not None and same_incarnation_and_era(known.worker, worker):
            self.pending[worker.id] = attrs.evolve(known, worker=worker)
            return
        accept_at = (
            self.clock.monotonic() + self.registration_ttl_s + RESTORE_MARGIN_S
        )
        self.pending[worker.id] = PendingRegistration(worker, accept_at)
        log.info(
            "Registration pending after a store restore.",
            worker=worker.id,
            sequence=worker.sequence,
            departed_at=self.deregistered[worker.incarnation].sequence,
            era=worker.revision.era,
        )

    def forget(self, worker: RegisteredWorker) -> None:
        """Forgets a deregistration, since the worker is registered again."""
        self.deregistered.pop(worker.incarnation, None)
        self.pending.pop(worker.id, None)

    def drop_absent(self, ids: Iterable[str]) -> None:
        """Drops pending registrations that a full read did not list.

        Args:
          ids: Ids of all registered workers.
        """
        for id in self.pending.keys() - set(ids):
            del self.pending[id]

    def pop_accepted(self) -> list[RegisteredWorker]:
        """Removes and returns the pending registrations that stood long enough.

        Their workers renew them, so that they were partitioned rather than
        deregistered.
        """
        now = self.clock.monotonic()
        accepted = [
            each.worker
            for each in self.pending.values()
            if each.accept_at <= now
        ]
        for worker in accepted:
            self.forget(worker)
        return accepted

    # State that entries exchange.

    def disputed(self) -> list[Deregistration]:
        """Returns the deregistrations that pending registrations contradict."""
        return [
            self.deregistered[each.worker.incarnation]
            for each in self.pending.values()
            if each.worker.incarnation in self.deregistered
        ]

    def digest(self) -> int:
        """Returns a digest of the disputed deregistrations, for comparison."""
        total = 0
        for departure in self.disputed():
            total ^= stable_hash(f"departed/{departure.incarnation}")
        return total
