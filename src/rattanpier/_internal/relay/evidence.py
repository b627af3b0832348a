"""Counts the upstream requests of all entries as evidence for roll-outs."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Iterator

import attrs

from rattanpier._internal.relay.exposure import Exposure
from rattanpier._internal.relay.verdict import EMPTY_TALLY, Tally
from rattanpier._internal.utils.record import Record

# A peer reports every half second; what it said to be running is outdated
# after a few lost reports, or once it is down.
RUNNING_REPORT_TTL_S = 3.0


@attrs.frozen(eq=False, repr=False)
class TallyKey(Record):
    """Key by which upstream requests are counted.

    Attributes:
      order: The order's id.
      route: Name of the route.
      candidate: Whether they were sent to the new version.
      model: Model that was asked, by which durations are told apart; empty for
        counts of answers, and if the caller named a model or there is none.
    """

    order: int
    route: str
    candidate: bool
    model: str = ""


@attrs.frozen(eq=False, repr=False)
class RunningRequests(Record):
    """Upstream requests that have not ended yet.

    Attributes:
      count: Their number.
      oldest_s: Seconds since the first of them was sent.
      unfinished: Times that they have waited so far.
    """

    count: int = 0
    oldest_s: float = 0.0
    unfinished: Tally = EMPTY_TALLY

    def __add__(self, other: RunningRequests) -> RunningRequests:
        """Returns the requests of both."""
        return RunningRequests(
            self.count + other.count,
            max(self.oldest_s, other.oldest_s),
            self.unfinished + other.unfinished,
        )


NO_REQUESTS = RunningRequests()


@attrs.frozen(eq=False, repr=False)
class Evidence(Record):
    """Counts of one entry, as reported to the driver of roll-outs.

    Attributes:
      origin: Incarnation of the entry.
      counts: Upstream requests since the order, by key.
      running: Those among them that have not ended, by key.
    """

    origin: str
    counts: list[tuple[TallyKey, Tally]]
    running: list[tuple[TallyKey, RunningRequests]]


@attrs.define(eq=False, repr=False)
class AnswerCounts:
    """Counts of this entry, and those that peers reported to it.

    Attributes:
      own_counts: Upstream requests of this entry, by key.
      peer_counts: Those that peers reported, by their incarnation.
      totals: Sums over this entry and all peers, by key.
      peer_running: Requests in progress that peers reported, by their
        incarnation, and when they did, in monotonic seconds.
    """

    own_counts: dict[TallyKey, Tally] = attrs.Factory(dict)
    peer_counts: dict[str, dict[TallyKey, Tally]] = attrs.Factory(dict)
    totals: dict[TallyKey, Tally] = attrs.Factory(dict)
    peer_running: dict[
        str, tuple[float, list[tuple[TallyKey, RunningRequests]]]
    ] = attrs.Factory(dict)

    def add(self, key: TallyKey, tally: Tally) -> None:
        """Adds counts of this entry."""
        self.own_counts[key] = self.own_counts.get(key, EMPTY_TALLY) + tally
        self.totals[key] = self.totals.get(key, EMPTY_TALLY) + tally

    def own(self, orders: Collection[int]) -> list[tuple[TallyKey, Tally]]:
        """Returns the counts of this entry for a report.

        Args:
          orders: Ids of the orders that are included.
        """
        return [
            (key, tally)
            for key, tally in self.own_counts.items()
            if key.order in orders
        ]

    def apply_evidence(self, evidence: Evidence, now: float) -> None:
        """Replaces the counts of a peer by a newer report.

        The counts are totals and never decrease.

        Args:
          evidence: The report.
          now: When it was received, in monotonic seconds.
        """
        before = self.peer_counts.get(evidence.origin, {})
        counts = dict(evidence.counts)
        for key, tally in counts.items():
            added = tally - before.get(key, EMPTY_TALLY)
            self.totals[key] = self.totals.get(key, EMPTY_TALLY) + added
        self.peer_counts[evidence.origin] = {**before, **counts}
        self.peer_running[evidence.origin] = now, evidence.running

    def running_of_peers(
        self, order: int, now: float
    ) -> Iterator[tuple[TallyKey, RunningRequests]]:
        """Yields the requests in progress that peers reported recently.

        Args:
          order: The order's id.
          now: The present, in monotonic seconds.
        """
        for received_at, running in self.peer_running.values():
            if now - received_at > RUNNING_REPORT_TTL_S:
                continue
            for key, requests in running:
                if key.order == order:
                    yield key, requests

    def running_old_of_peers(self, order: int, live: Iterable[str]) -> int:
        """Returns the peers' requests in progress at the old version.

        Args:
          order: The order's id.
          live: Incarnations of the entries that are not down.
        """
        return sum(
            requests.count
            for origin in live
            for key, requests in self.peer_running.get(origin, (0.0, []))[1]
            if key.order == order and not key.candidate
        )

    def tallies(self, order: int) -> Iterator[tuple[TallyKey, Tally]]:
        """Yields the sums over all entries for an order, with their keys."""
        for key, tally in self.totals.items():
            if key.order == order:
                yield key, tally

    def exposure(self, order: int) -> Exposure:
        """Returns the exposure of an order's version, over all entries."""
        found = list(self.tallies(order))
        sent = sum(tally.sent for _, tally in found)
        exposed = sum(tally.sent for key, tally in found if key.candidate)
        return Exposure(sent, exposed)

    def move_counts(self, before: int, order: int) -> None:
        """Moves the counts of an order to another id of the same order.

        Args:
          before: Its id so far.
          order: Its new id.
        """
        for tallies in (
            self.own_counts,
            self.totals,
            *self.peer_counts.values(),
        ):
            for key in [key for key in tallies if key.order == before]:
                renamed = attrs.evolve(key, order=order)
                added = tallies.pop(key)
                tallies[renamed] = tallies.get(renamed, EMPTY_TALLY) + added
