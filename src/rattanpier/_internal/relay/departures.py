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

MOST_DEPARTED = 4096
LASTING_HEARTBEATS = 3  # Then a registration that was not renewed runs out.
# Registrations of other eras that come back with the store, beyond the time for
# which one lasts without being renewed.
MARGIN_S = 2.0


def counts(known: RegisteredWorker, told: RegisteredWorker) -> bool:
    """Says whether a registration of a start counts against a known one.

    Within an era the store's order decides. Across eras the store may have gone
    back, and the worker's own sequence decides.
    """
    if known.revision.era == told.revision.era:
        known_order = known.revision, known.sequence
        return (told.revision, told.sequence) >= known_order
    newer_era = told.revision.era > known.revision.era
    return (told.sequence, newer_era) > (known.sequence, False)


def as_of(worker: RegisteredWorker, revision: Revision) -> RegisteredWorker:
    """Returns a registration as of a revision, if that is newer."""
    if worker.revision >= revision:
        return worker
    return attrs.evolve(worker, revision=revision)


def is_same_dispute(one: RegisteredWorker, other: RegisteredWorker) -> bool:
    """Says whether two registrations are of one start, in one era."""
    same_era = one.revision.era == other.revision.era
    return same_era and one.incarnation == other.incarnation


@attrs.frozen
class HeldBack:
    """A registration that is not believed yet.

    Attributes:
      worker: That it names.
      until: When it is believed, in monotonic seconds: a registration that was
        not renewed would have run out by then.
    """

    worker: RegisteredWorker
    until: float


@attrs.define(eq=False, repr=False)
class Departures:
    """Starts of workers that are gone, against rows of an older copy.

    Attributes:
      clock: Monotonic.
      lasting_s: Seconds for which a registration lasts without being renewed.
      departed: Starts whose registration was removed, the newest last.
      held_back: Registrations that an older copy showed again, by id.
    """

    clock: Clock
    lasting_s: float
    departed: collections.OrderedDict[str, Departure] = attrs.Factory(
        collections.OrderedDict
    )
    held_back: dict[str, HeldBack] = attrs.Factory(dict)

    def note(self, departure: Departure) -> None:
        """Takes in that a start is gone, unless more is known of it."""
        before = self.departed.get(departure.incarnation)
        if before is not None and before.order >= departure.order:
            return
        self.departed[departure.incarnation] = departure
        self.departed.move_to_end(departure.incarnation)
        if len(self.departed) > MOST_DEPARTED:
            self.departed.popitem(last=False)

    def note_removal(self, id: str, revision: Revision) -> None:
        """Takes in that a registration was removed of which little was known.

        Its worker may have been dropped before, and have registered since
        without being heard here.
        """
        for departure in list(self.departed.values()):
            if departure.names(id):
                self.note(attrs.evolve(departure, revision=revision))

    def contradicts(
        self, worker: RegisteredWorker, may_be_copied: bool
    ) -> bool:
        """Says whether a registration may be older than the departure.

        In the era of the departure the store's order is that of the changes: a
        registration that follows it was written anew. Its last registration
        may have had a higher sequence than was known.

        Args:
          worker: That is registered.
          may_be_copied: It was read with the whole table; changes that a feed
            tells were written in its era.
        """
        departure = self.departed.get(worker.incarnation)
        if departure is None:
            return False
        if worker.revision.era <= departure.revision.era:
            return False
        if worker.sequence <= departure.sequence:
            return True
        predates = worker.revision.may_predate(departure.revision)
        return may_be_copied and predates

    def hold_back(self, worker: RegisteredWorker) -> None:
        """Takes in a registration that is not believed yet."""
        before = self.held_back.get(worker.id)
        if before is not None and is_same_dispute(before.worker, worker):
            self.held_back[worker.id] = attrs.evolve(before, worker=worker)
            return
        until = self.clock.monotonic() + self.lasting_s + MARGIN_S
        self.held_back[worker.id] = HeldBack(worker, until)
        log.info(
            "Registration held back.",
            worker=worker.id,
            sequence=worker.sequence,
            departed_at=self.departed[worker.incarnation].sequence,
            era=worker.revision.era,
        )

    def forget(self, worker: RegisteredWorker) -> None:
        """Takes in that a worker is registered anew."""
        self.departed.pop(worker.incarnation, None)
        self.held_back.pop(worker.id, None)

    def drop_absent(self, ids: Iterable[str]) -> None:
        """Takes in that these alone are registered."""
        for id in self.held_back.keys() - set(ids):
            del self.held_back[id]

    def take_believed(self) -> list[RegisteredWorker]:
        """Returns the registrations that stood long enough to be believed."""
        now = self.clock.monotonic()
        believed = [
            each.worker for each in self.held_back.values() if each.until <= now
        ]
        for worker in believed:
            self.forget(worker)
        return believed

    # What entries tell each other.

    def disputed(self) -> list[Departure]:
        """Returns the departures that the store's rows contradict."""
        return [
            self.departed[each.worker.incarnation]
            for each in self.held_back.values()
            if each.worker.incarnation in self.departed
        ]

    def digest(self) -> int:
        """Returns a number that tells disputed departures from others."""
        total = 0
        for departure in self.disputed():
            total ^= stable_hash(f"departed/{departure.incarnation}")
        return total
