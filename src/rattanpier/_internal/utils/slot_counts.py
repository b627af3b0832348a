"""Counts of events in the last slots of time."""

from __future__ import annotations

import collections
import itertools

import attrs


@attrs.define(eq=False, repr=False)
class SlotCounts:
    """Numbers of events in the last slots of time, which are numbered.

    Attributes:
      kept: Number of slots that are kept.
      newest: Number of the newest slot.
      counts: Events by slot, the newest slot first.
    """

    kept: int
    newest: int = 0
    counts: collections.deque[int] = attrs.field(
        default=attrs.Factory(
            lambda self: collections.deque([0] * self.kept, self.kept),
            takes_self=True,
        )
    )

    def advance(self, slot: int) -> None:
        """Makes a slot the newest one, unless a newer one is known."""
        passed = slot - self.newest
        if passed > 0:
            self.counts.extendleft([0] * min(passed, self.kept))
            self.newest = slot

    def add(self, slot: int) -> None:
        """Counts an event in a slot; in none if the slot is not kept."""
        self.advance(slot)
        age = self.newest - slot
        if age < self.kept:
            self.counts[age] += 1

    def sums(self) -> list[int]:
        """Returns the numbers of events in the newest 0, 1, 2, ... slots.

        >>> counts = SlotCounts(kept=3)
        >>> for slot in (7, 7, 5, 4):
        ...     counts.add(slot)
        >>> counts.sums()
        [0, 2, 2, 3]
        >>> counts.advance(8)
        >>> counts.sums()
        [0, 0, 2, 2]
        """
        return list(itertools.accumulate(self.counts, initial=0))
