"""Divides the evidence of a roll-out into periods of time."""

from __future__ import annotations

from collections.abc import Mapping

import attrs

from rattanpier._internal.relay.evidence import RunningRequests, TallyKey
from rattanpier._internal.relay.slowdowns import Stratum
from rattanpier._internal.relay.verdict import EMPTY_TALLY, Period, Tally

# Long against the half second between reports of evidence, short against the
# faults of workers that a comparison has to tell apart.
MIN_PERIOD_S = 2.0
# Of the stable version, so that its state in the period is known.
MIN_STABLE_ANSWERS = 10
# Of long roll-outs, the oldest periods are joined.
MAX_PERIODS = 32


@attrs.define(eq=False, repr=False)
class PeriodLog:
    """Evidence of one order, by period.

    Attributes:
      closed: Periods that have ended, the oldest first.
      closed_totals: Sums of all counts in them, by key.
      closed_at: End of the last of them, in monotonic seconds.
    """

    closed: list[Period] = attrs.Factory(list)
    closed_totals: dict[TallyKey, Tally] = attrs.Factory(dict)
    closed_at: float = float("-inf")

    def periods(
        self,
        totals: Mapping[TallyKey, Tally],
        running: Mapping[TallyKey, RunningRequests],
        now: float,
    ) -> list[Period]:
        """Returns all periods; the last one is still going on.

        Args:
          totals: All counts of the order, by key.
          running: Requests that have not ended, by key.
          now: The present, in monotonic seconds.
        """
        added = {
            key: tally - self.closed_totals.get(key, EMPTY_TALLY)
            for key, tally in totals.items()
        }
        answers = sum(
            tally.total for key, tally in added.items() if not key.candidate
        )
        if (
            now - self.closed_at >= MIN_PERIOD_S
            and answers >= MIN_STABLE_ANSWERS
        ):
            self.close(make_period(added), totals, now)
            added = {}
        for key, requests in running.items():
            added[key] = added.get(key, EMPTY_TALLY) + requests.unfinished
        return [*self.closed, make_period(added)]

    def close(
        self, period: Period, totals: Mapping[TallyKey, Tally], now: float
    ) -> None:
        """Ends a period."""
        self.closed.append(period)
        self.closed_totals = dict(totals)
        self.closed_at = now
        if len(self.closed) > MAX_PERIODS:
            self.closed[:2] = [join(*self.closed[:2])]


def make_period(counts: Mapping[TallyKey, Tally]) -> Period:
    """Returns a period from its counts."""
    stable: dict[Stratum, Tally] = {}
    candidate: dict[Stratum, Tally] = {}
    for key, tally in counts.items():
        side = candidate if key.candidate else stable
        stratum = key.route, key.model
        side[stratum] = side.get(stratum, EMPTY_TALLY) + tally
    return Period(stable, candidate)


def join(one: Period, other: Period) -> Period:
    """Returns one period that covers two."""
    return Period(
        add_tallies(one.stable, other.stable),
        add_tallies(one.candidate, other.candidate),
    )


def add_tallies(
    one: Mapping[Stratum, Tally], other: Mapping[Stratum, Tally]
) -> dict[Stratum, Tally]:
    """Returns the sums of two mappings of tallies."""
    total = dict(one)
    for stratum, tally in other.items():
        total[stratum] = total.get(stratum, EMPTY_TALLY) + tally
    return total
