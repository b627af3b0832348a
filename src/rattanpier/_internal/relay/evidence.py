"""What entries saw of versions that are rolled out."""

from __future__ import annotations

from collections.abc import Collection, Iterable

import attrs

from rattanpier._internal.relay.exposure import Exposure
from rattanpier._internal.relay.verdict import EMPTY_TALLY, Tally


@attrs.frozen
class TallyKey:
    """What answers are counted by."""

    order: int
    route: str
    candidate: bool


@attrs.frozen
class Evidence:
    """What one entry saw of versions that are rolled out.

    Attributes:
      origin: Its incarnation.
      counts: Answers by key.
      running_old: Requests at old versions, by order.
    """

    origin: str
    counts: list[tuple[TallyKey, Tally]]
    running_old: dict[int, int]


@attrs.define(eq=False, repr=False)
class AnswerCounts:
    """Answers of all entries, as far as they were reported here.

    Attributes:
      own_counts: Answers that this entry saw.
      peer_counts: Answers that others saw, by their incarnation.
      own_running_old: Own requests at old versions, by order.
      peer_running_old: Requests at old versions that others reported.
    """

    own_counts: dict[TallyKey, Tally] = attrs.Factory(dict)
    peer_counts: dict[str, dict[TallyKey, Tally]] = attrs.Factory(dict)
    own_running_old: dict[int, int] = attrs.Factory(dict)
    peer_running_old: dict[str, dict[int, int]] = attrs.Factory(dict)

    def add(self, key: TallyKey, tally: Tally) -> None:
        """Counts what this entry saw."""
        self.own_counts[key] = self.own_counts.get(key, EMPTY_TALLY) + tally

    def record_running(self, order: int, change: int) -> None:
        """Counts requests of this entry that run at an order's old version."""
        running = self.own_running_old.get(order, 0) + change
        self.own_running_old[order] = max(0, running)

    def evidence(self, origin: str, orders: Collection[int]) -> Evidence:
        """Returns what this entry saw under some orders."""
        counts = [
            (key, tally)
            for key, tally in self.own_counts.items()
            if key.order in orders
        ]
        return Evidence(origin, counts, dict(self.own_running_old))

    def apply_evidence(self, evidence: Evidence) -> None:
        """Takes in what another entry saw; its counts only rise."""
        self.peer_counts[evidence.origin] = dict(evidence.counts)
        self.peer_running_old[evidence.origin] = evidence.running_old

    def total_running_old(self, order: int, live: Iterable[str]) -> int:
        """Returns the requests at an order's old version in all entries.

        Args:
          order: The order's id.
          live: Incarnations of the entries that are not down.
        """
        reported = (
            self.peer_running_old.get(origin, {}).get(order, 0)
            for origin in live
        )
        return self.own_running_old.get(order, 0) + sum(reported)

    def tallies(self, order: int) -> Iterable[tuple[TallyKey, Tally]]:
        """Yields all answers to requests under an order."""
        for source in (self.own_counts, *self.peer_counts.values()):
            for key, tally in source.items():
                if key.order == order:
                    yield key, tally

    def exposure(self, order: int) -> Exposure:
        """Returns what all entries saw of an order's version."""
        found = list(self.tallies(order))
        served = sum(tally.total for _, tally in found)
        exposed = sum(tally.total for key, tally in found if key.candidate)
        return Exposure(served, exposed)

    def move_counts(self, before: int, order: int) -> None:
        """Counts what was counted under one id of an order under another."""
        for tallies in (self.own_counts, *self.peer_counts.values()):
            for key in [key for key in tallies if key.order == before]:
                renamed = attrs.evolve(key, order=order)
                added = tallies.pop(key)
                tallies[renamed] = tallies.get(renamed, EMPTY_TALLY) + added
