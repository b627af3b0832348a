"""Counts the answers of all entries as evidence for roll-outs."""

from __future__ import annotations

from collections.abc import Collection, Iterable

import attrs

from rattanpier._internal.relay.exposure import Exposure
from rattanpier._internal.relay.verdict import EMPTY_TALLY, Tally


@attrs.frozen
class TallyKey:
    """Key by which answers are counted.

    Attributes:
      order: The order's id.
      route: Name of the route.
      candidate: Whether the answers are of the new version.
    """

    order: int
    route: str
    candidate: bool


@attrs.frozen
class Evidence:
    """Counts of one entry, as reported to the driver of roll-outs.

    Attributes:
      origin: Incarnation of the entry.
      counts: Answers by key.
      running_old: Requests in progress at old versions, by order.
    """

    origin: str
    counts: list[tuple[TallyKey, Tally]]
    running_old: dict[int, int]


@attrs.define(eq=False, repr=False)
class AnswerCounts:
    """Counts of this entry, and those that peers reported to it.

    Attributes:
      own_counts: Answers that this entry received, by key.
      peer_counts: Answers that peers reported, by their incarnation.
      own_running_old: Requests of this entry in progress at old versions, by
        order.
      peer_running_old: The same of peers, by their incarnation.
    """

    own_counts: dict[TallyKey, Tally] = attrs.Factory(dict)
    peer_counts: dict[str, dict[TallyKey, Tally]] = attrs.Factory(dict)
    own_running_old: dict[int, int] = attrs.Factory(dict)
    peer_running_old: dict[str, dict[int, int]] = attrs.Factory(dict)

    def add(self, key: TallyKey, tally: Tally) -> None:
        """Adds answers that this entry received."""
        self.own_counts[key] = self.own_counts.get(key, EMPTY_TALLY) + tally

    def record_running(self, order: int, change: int) -> None:
        """Counts requests of this entry in progress at the old version.

        Args:
          order: The order's id.
          change: 1 for a request that starts, -1 for one that ends.
        """
        running = self.own_running_old.get(order, 0) + change
        self.own_running_old[order] = max(0, running)

    def evidence(self, origin: str, orders: Collection[int]) -> Evidence:
        """Returns the counts of this entry for a report.

        Args:
          origin: Incarnation of this entry.
          orders: Ids of the orders whose answers are included.
        """
        counts = [
            (key, tally)
            for key, tally in self.own_counts.items()
            if key.order in orders
        ]
        return Evidence(origin, counts, dict(self.own_running_old))

    def apply_evidence(self, evidence: Evidence) -> None:
        """Replaces the counts of a peer by a newer report.

        The counts are totals and never decrease.
        """
        self.peer_counts[evidence.origin] = dict(evidence.counts)
        self.peer_running_old[evidence.origin] = evidence.running_old

    def total_running_old(self, order: int, live: Iterable[str]) -> int:
        """Returns the requests of all entries in progress at the old version.

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
        """Yields the counts of all entries for an order, with their keys."""
        for source in (self.own_counts, *self.peer_counts.values()):
            for key, tally in source.items():
                if key.order == order:
                    yield key, tally

    def exposure(self, order: int) -> Exposure:
        """Returns the exposure of an order's version, over all entries."""
        found = list(self.tallies(order))
        served = sum(tally.total for _, tally in found)
        exposed = sum(tally.total for key, tally in found if key.candidate)
        return Exposure(served, exposed)

    def move_counts(self, before: int, order: int) -> None:
        """Moves the counts of an order to another id of the same order.

        Args:
          before: Its id so far.
          order: Its new id.
        """
        for tallies in (self.own_counts, *self.peer_counts.values()):
            for key in [key for key in tallies if key.order == before]:
                renamed = attrs.evolve(key, order=order)
                added = tallies.pop(key)
                tallies[renamed] = tallies.get(renamed, EMPTY_TALLY) + added
