"""Whether a version that is rolled out is worse than the one in service.

Code without a clock or a network: counts go in, a verdict comes out. It
answers versions that fail part of their requests, on all routes or on one, at
once, later or under load, and versions that answer several times slower.
"""

from __future__ import annotations

import math
from collections.abc import Mapping

import attrs

# Chance that as many bad answers come from a version that is as good: small,
# because all entries look several times a second, at each route.
SIGNIFICANCE_LEVEL = 0.002
# Share of bad answers that operators put up with in any version.
TOLERATED_FAILURE_RATE = 0.02
MIN_BAD_ANSWERS = 2  # One bad answer proves nothing.
MIN_SLOWDOWN = 2.5  # Slow versions answer several times slower.
MIN_TIMED_ANSWERS = 6  # Answers on each side before their times are compared.
MIN_EXPOSED_ANSWERS = 8  # Answers without which a version is not called good.


@attrs.frozen
class Tally:
    """Answers of one version on one route.

    Attributes:
      total: Answers that a worker of the version began to work on.
      bad: Of these, failures, spoiled and broken answers.
      timed: Answers with a time.
      seconds: Sum of the times to their first byte, each against what the
        work needs, so that long and short requests can be added.
    """

    total: int = 0
    bad: int = 0
    timed: int = 0
    seconds: float = 0.0

    def __add__(self, other: Tally) -> Tally:
        """Returns the sums of both."""
        return Tally(
            self.total + other.total,
            self.bad + other.bad,
            self.timed + other.timed,
            self.seconds + other.seconds,
        )


EMPTY_TALLY = Tally()


@attrs.frozen
class Regression:
    """A version is worse.

    Attributes:
      route: Where, or empty for all routes together.
      reason: In what.
      stable: Answers of the version in service there.
      candidate: Answers of the version rolled out there.
    """

    route: str
    reason: str
    stable: Tally
    candidate: Tally


def find_regression(
    stable: Mapping[str, Tally], candidate: Mapping[str, Tally]
) -> Regression | None:
    """Returns where a candidate is worse than the stable version, or None.

    Args:
      stable: Answers of the version in service, by route.
      candidate: Answers of the version rolled out, by route.
    """
    all_stable = sum(stable.values(), EMPTY_TALLY)
    all_candidate = sum(candidate.values(), EMPTY_TALLY)
    pairs = [
        (route, stable.get(route, all_stable), tally)
        for route, tally in candidate.items()
    ]
    pairs.append(("", all_stable, all_candidate))
    for route, old, new in pairs:
        if fails_more(old, new):
            return Regression(route, "fails more often", old, new)
        if is_slower(old, new):
            return Regression(route, "answers slower", old, new)
    return None


def fails_more(stable: Tally, candidate: Tally) -> bool:
    """Says whether so many bad answers are no chance.

    >>> fails_more(Tally(100, 1), Tally(8, 4)), fails_more(EMPTY_TALLY, Tally(9, 0))
    (True, False)
    """
    if candidate.bad < MIN_BAD_ANSWERS:
        return False
    baseline = (stable.bad + 1) / (stable.total + 20)
    rate = max(TOLERATED_FAILURE_RATE, baseline)
    return (
        binomial_tail(candidate.total, candidate.bad, rate) < SIGNIFICANCE_LEVEL
    )


def binomial_tail(trials: int, min_events: int, rate: float) -> float:
    """Returns the chance of at min_events so many events.

    >>> round(binomial_tail(2, 1, 0.5), 2)
    0.75
    """
    below = (
        math.comb(trials, count) * rate**count * (1 - rate) ** (trials - count)
        for count in range(min_events)
    )
    return max(0.0, 1.0 - sum(below))


def is_slower(stable: Tally, candidate: Tally) -> bool:
    """Says whether answers take several times as long."""
    if min(stable.timed, candidate.timed) < MIN_TIMED_ANSWERS:
        return False
    baseline = stable.seconds / stable.timed
    return candidate.seconds / candidate.timed > MIN_SLOWDOWN * baseline
