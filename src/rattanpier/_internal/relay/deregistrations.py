"""What a store that came back from an older copy says of workers.

Its rows show what was: a worker that has left is registered again, one that
leaves is ready. The store's versions tell nothing across eras; a worker's own
sequence does, which rises with each renewal of its registration.
"""

from __future__ import annotations

import collections
from collections.abc import Iterable

import attrs
import structlog

from rattanpier._internal.models.departure import Departure
from rattanpier._internal.models.revision import Revision
from rattanpier._internal.models.worker import RegisteredWorker
from rattanpier._internal.utils.clock import Clock
from rattanpier._internal.utils.hashing import stable_hash

log = structlog.get_logger(part="workers")

MAX_DEREGISTRATIONS = 4096
REGISTRATION_TTL_HEARTBEATS = (
    3  # Then a registration that was not renewed runs out.
)
# Registrations of other eras that come back with the store, beyond the time for
# which one lasts without being renewed.
RESTORE_MARGIN_S = 2.0


def is_superseded_by(
    known: RegisteredWorker, received: RegisteredWorker
) -> bool:
    """Says whether a registration of a start counts against a known one.

    Within an era the store's order decides. Across eras the store may have gone
    back, and the worker's own sequence decides.
    """
    if known.revision.era == received.revision.era:
        known_order = known.revision, known.sequence
        return (received.revision, received.sequence) >= known_order
    newer_era = received.revision.era > known.revision.era
    return (received.sequence, newer_era) > (known.sequence, False)


def with_revision(
    worker: RegisteredWorker, revision: Revision
) -> RegisteredWorker:
    """Returns a registration as of a revision, if that is newer."""
    if worker.revision >= revision:
        return worker
    return attrs.evolve(worker, revision=revision)


def same_incarnation_and_era(
    one: RegisteredWorker, other: RegisteredWorker
) -> bool:
    """Says whether two registrations are of one start, in one era."""
    same_era = one.revision.era == other.revision.era
    return same_era and one.incarnation == other.incarnation


@attrs.frozen
class PendingRegistration:
    """A registration that is not believed yet.

    Attributes:
      worker: That it names.
      accept_at: When it is believed, in monotonic seconds: a registration that was
        not renewed would have run out by then.
    """

    worker: RegisteredWorker
    accept_at: float


@attrs.define(eq=False, repr=False)
class Deregistrations:
    """Starts of workers that are gone, against rows of an older copy.

    Attributes:
      clock: Monotonic.
      registration_ttl_s: Seconds for which a registration lasts without being renewed.
      deregistered: Starts whose registration was removed, the newest last.
      pending: Registrations that an older copy showed again, by id.
    """

    clock: Clock
    registration_ttl_s: float
    deregistered: collections.OrderedDict[str, Departure] = attrs.Factory(
        collections.OrderedDict
    )
    pending: dict[str, PendingRegistration] = attrs.Factory(dict)

    def record(self, departure: Departure) -> None:
        """Takes in that a start is gone, unless more is known of it."""
        known = self.deregistered.get(departure.incarnation)
        if known is not None and known.order >= departure.order:
            return
        self.deregistered[departure.incarnation] = departure
        self.deregistered.move_to_end(departure.incarnation)
        if len(self.deregistered) > MAX_DEREGISTRATIONS:
            self.deregistered.popitem(last=False)

    def record_removal(self, id: str, revision: Revision) -> None:
        """Takes in that a registration was removed of which little was known.

        Its worker may have been dropped before, and have registered since
        without being heard here.
        """
        for departure in list(self.deregistered.values()):
            if departure.names(id):
                self.record(attrs.evolve(departure, revision=revision))

    def contradicts(
        self, worker: RegisteredWorker, may_be_restored: bool
    ) -> bool:
        """Says whether a registration may be older than the departure.

        In the era of the departure the store's order is that of the changes: a
        registration that follows it was written anew. Its last registration
        may have had a higher sequence than was known.

        Args:
          worker: That is registered.
          may_be_restored: It was read with the whole table; changes that a feed
            tells were written in its era.
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
        """Takes in a registration that is not believed yet."""
        known = self.pending.get(worker.id)
        if known is not None and same_incarnation_and_era(known.worker, worker):
            self.pending[worker.id] = attrs.evolve(known, worker=worker)
            return
        accept_at = (
            self.clock.monotonic() + self.registration_ttl_s + RESTORE_MARGIN_S
        )
        self.pending[worker.id] = PendingRegistration(worker, accept_at)
        log.info(
            "Registration held back.",
            worker=worker.id,
            sequence=worker.sequence,
            departed_at=self.deregistered[worker.incarnation].sequence,
            era=worker.revision.era,
        )

    def forget(self, worker: RegisteredWorker) -> None:
        """Takes in that a worker is registered anew."""
        self.deregistered.pop(worker.incarnation, None)
        self.pending.pop(worker.id, None)

    def drop_absent(self, ids: Iterable[str]) -> None:
        """Takes in that these alone are registered."""
        for id in self.pending.keys() - set(ids):
            del self.pending[id]

    def pop_accepted(self) -> list[RegisteredWorker]:
        """Returns the registrations that stood long enough to be believed."""
        now = self.clock.monotonic()
        accepted = [
            each.worker
            for each in self.pending.values()
            if each.accept_at <= now
        ]
        for worker in accepted:
            self.forget(worker)
        return accepted

    # What entries tell each other.

    def disputed(self) -> list[Departure]:
        """Returns the departures that the store's rows contradict."""
        return [
            self.deregistered[each.worker.incarnation]
            for each in self.pending.values()
            if each.worker.incarnation in self.deregistered
        ]

    def digest(self) -> int:
        """Returns a number that tells disputed departures from others."""
        total = 0
        for departure in self.disputed():
            total ^= stable_hash(f"departed/{departure.incarnation}")
        return total
