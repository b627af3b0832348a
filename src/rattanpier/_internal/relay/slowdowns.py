"""Compares how long the answers of a candidate and of the stable version take.

The stable version's durations give the distribution that a candidate's would
have if it were no slower. A slow candidate takes a multiple of the time for a
share of its answers. The evidence on each such slowdown is a likelihood ratio
against the best explanation by a candidate that is no slower.

Under either explanation, a likelihood ratio ever exceeds 1/a with a probability
of at most a. The comparison may therefore be repeated after each answer, and
may stop at the first result.

Pure functions of histograms, without a clock or a network.
"""

from __future__ import annotations

import functools
import itertools
import math
from collections.abc import Callable, Iterable, Mapping, Sequence

import attrs

from rattanpier._internal.relay.durations import (
    BUCKETS_PER_DOUBLING,
    NO_DURATIONS,
    DurationCounts,
    low_quantile,
    sum_counts,
)
from rattanpier._internal.utils.record import Record

# Route and model of answers whose durations can be compared.
Stratum = tuple[str, str]

# Of the stable version, before a stratum is compared by itself.
MIN_REFERENCE_ANSWERS = 6
# New workers have another load than old ones, so that all their answers may
# take less time. In buckets.
FASTER_SHIFTS = (-2, -1, 0)
# Weights of neighbouring buckets in a smoothed distribution.
NARROW_KERNEL = {-1: 0.25, 0: 0.5, 1: 0.25}
# Some answers don't show how long the rarest take: a weight as of so many
# answers is spread more widely, and decreases by a factor per bucket.
WIDE_ANSWERS = 2.0
WIDE_DECAY = 0.8
MIN_PROBABILITY = 1e-9


def time_factor(steps: int) -> float:
    """Returns the multiple of the time of answers longer by some buckets."""
    return 2.0 ** (steps / BUCKETS_PER_DOUBLING)


@attrs.frozen(eq=False, repr=False)
class Slowdown(Record):
    """A way in which a version may be slow.

    Attributes:
      steps: Buckets by which the slow answers are longer.
      share: Share of the answers that are slow, 0 to 1.
    """

    steps: int
    share: float

    @property
    def factor(self) -> float:
        """Multiple of the time that the slow answers take."""
        return time_factor(self.steps)

    def mean_excess(self, shift: int = 0) -> float:
        """Returns the mean additional time, relative to the usual time.

        Args:
          shift: Buckets by which all answers are longer besides.
        """
        mean = 1.0 + self.share * (self.factor - 1.0)
        return mean * time_factor(shift) - 1.0


# From 1.4 to 8 times the time. Fewer answers that take just a little longer
# can't be told from the usual variation.
SLOWDOWNS = tuple(
    Slowdown(steps, share)
    for steps, shares in {
        2: (1.0,),
        3: (0.75, 1.0),
        4: (0.3, 0.5, 0.75, 1.0),
        6: (0.3, 0.5, 0.75, 1.0),
        8: (0.15, 0.3, 0.5, 0.75, 1.0),
        12: (0.15, 0.3, 0.5, 0.75, 1.0),
    }.items()
    for share in shares
)
SLOW_STEPS = tuple(sorted({each.steps for each in SLOWDOWNS}))


@attrs.frozen(eq=False, repr=False)
class Tolerance(Record):
    """Durations that a version may have that is no slower.

    Attributes:
      share: Share of answers that may be slow.
      max_shift: Buckets by which all answers may be longer.
      min_excess: Mean excess, see `Slowdown`, from which on a slowdown must be
        excluded before a version is called no worse.
    """

    share: float
    max_shift: int
    min_excess: float


@attrs.frozen(eq=False, repr=False)
class Comparison(Record):
    """Evidence on a candidate's durations.

    Attributes:
      answers: Durations of the candidate that were compared.
      slow: Evidence that it is slow, as natural logarithm.
      against: Evidence against each slowdown, as natural logarithm.
    """

    answers: int = 0
    slow: float = 0.0
    against: Mapping[Slowdown, float] = attrs.Factory(dict)

    def weakest(self, min_excess: float) -> tuple[Slowdown | None, float]:
        """Returns the slowdown that is least excluded, with the evidence.

        Args:
          min_excess: Least mean excess of the slowdowns that are considered.
        """
        found = (
            (evidence, slowdown)
            for slowdown, evidence in self.against.items()
            if slowdown.mean_excess() >= min_excess
        )
        evidence, slowdown = min(
            found, key=lambda each: each[0], default=(0.0, None)
        )
        return slowdown, evidence

    def excluded_factor(
        self, share: float, min_evidence: float
    ) -> float | None:
        """Returns the smallest multiple of the time that is excluded.

        Args:
          share: Share of slow answers, as in `SLOWDOWNS`.
          min_evidence: Evidence that excludes a slowdown.

        Returns:
          The multiple; None if none is excluded.
        """
        return min(
            (
                round(slowdown.factor, 1)
                for slowdown, evidence in self.against.items()
                if slowdown.share == share and evidence >= min_evidence
            ),
            default=None,
        )


NO_COMPARISON = Comparison()


# Returns the log likelihood of the candidate's durations if all its answers
# took some buckets longer, and a share of them some more buckets.
LogLikelihood = Callable[[int, int, float], float]


def compare(
    stable: Mapping[Stratum, DurationCounts],
    candidate: Mapping[Stratum, DurationCounts],
    tolerance: Tolerance,
) -> Comparison:
    """Returns the evidence on a candidate's durations.

    Args:
      stable: Durations of the stable version.
      candidate: Durations of the candidate.
      tolerance: Durations that a version may have that is no slower.
    """
    reference = make_reference(stable)
    pairs = [
        (found, durations)
        for stratum, durations in candidate.items()
        if durations.total and (found := reference(stratum)) is not None
    ]
    if not pairs:
        return NO_COMPARISON
    log_likelihood = make_log_likelihood(pairs)

    def best(shifts: Iterable[int], steps: int, share: float) -> float:
        return max(log_likelihood(shift, steps, share) for shift in shifts)

    shifts = (*FASTER_SHIFTS, *range(1, tolerance.max_shift + 1))
    usual = max(best(shifts, steps, tolerance.share) for steps in SLOW_STEPS)
    against = {
        each: usual
        - best(remaining_shifts(each, tolerance), each.steps, each.share)
        for each in SLOWDOWNS
    }
    return Comparison(
        sum(durations.total for _, durations in pairs),
        log_mean([-evidence for evidence in against.values()]),
        against,
    )


def remaining_shifts(slowdown: Slowdown, tolerance: Tolerance) -> list[int]:
    """Returns the shifts of all answers that leave a version too slow."""
    return [
        shift
        for shift in FASTER_SHIFTS
        if not shift or slowdown.mean_excess(shift) >= tolerance.min_excess
    ]


def make_reference(
    stable: Mapping[Stratum, DurationCounts],
) -> Callable[[Stratum], DurationCounts | None]:
    """Returns a function that finds the stable durations to compare with.

    A stratum with too few stable answers is compared with all routes of its
    model, or else with all answers; None if these are too few as well.
    """
    by_model: dict[str, DurationCounts] = {}
    for (_, model), counts in stable.items():
        by_model[model] = by_model.get(model, NO_DURATIONS) + counts
    whole = sum_counts(by_model.values())

    def reference(stratum: Stratum) -> DurationCounts | None:
        candidates = (
            stable.get(stratum, NO_DURATIONS),
            by_model.get(stratum[1], NO_DURATIONS),
            whole,
        )
        return next(filter(has_enough_answers, candidates), None)

    return reference


def has_enough_answers(durations: DurationCounts) -> bool:
    """Returns whether enough answers ended to compare others with them."""
    return sum(durations.ended.values()) >= MIN_REFERENCE_ANSWERS


def make_log_likelihood(
    pairs: Sequence[tuple[DurationCounts, DurationCounts]],
) -> LogLikelihood:
    """Returns the log likelihood of a candidate's durations.

    Strata are taken together, each in relation to its median.

    Args:
      pairs: Durations of the stable version and of the candidate, by stratum.
    """
    centred = [
        (centre(stable, middle), centre(candidate, middle))
        for stable, candidate in pairs
        for middle in [middle_bucket(stable)]
    ]
    buckets = {
        bucket
        for pair in centred
        for counts in pair
        for part in (counts.ended, counts.open)
        for bucket in part
    }
    lowest = min(buckets) - 1
    span = range(lowest, max(buckets) + 2)
    weights = [candidate.total for _, candidate in centred]
    weighted = zip(
        weights,
        (smoothed_shares(stable, span) for stable, _ in centred),
        strict=True,
    )
    parts = [
        [weight * share / sum(weights) for share in shares]
        for weight, shares in weighted
    ]
    usual = [sum(each) for each in zip(*parts, strict=True)]
    durations = sum_counts(candidate for _, candidate in centred)
    ended = [(at - lowest, count) for at, count in durations.ended.items()]
    still_open = [(at - lowest, count) for at, count in durations.open.items()]

    @functools.cache
    def shifted(steps: int) -> tuple[list[float], list[float]]:
        shares = shift(usual, steps)
        beyond = list(itertools.accumulate(reversed(shares)))
        return shares, beyond[::-1]

    @functools.cache
    def log_likelihood(moved: int, steps: int, slow_share: float) -> float:
        parts = zip(
            shifted(moved),
            shifted(moved + steps),
            (ended, still_open),
            strict=True,
        )
        return sum(
            count
            * math.log(
                max(
                    MIN_PROBABILITY,
                    (1.0 - slow_share) * usual_part[at]
                    + slow_share * slow_part[at],
                )
            )
            for usual_part, slow_part, counts in parts
            for at, count in counts
        )

    return log_likelihood


def middle_bucket(counts: DurationCounts) -> int:
    """Returns the bucket of the median, or of the longest that ended."""
    median = low_quantile(counts, 0.5)
    return max(counts.ended) if median is None else median


def centre(counts: DurationCounts, middle: int) -> DurationCounts:
    """Returns durations with a bucket as the origin."""
    return DurationCounts(
        {bucket - middle: count for bucket, count in counts.ended.items()},
        {bucket - middle: count for bucket, count in counts.open.items()},
    )


def shift(shares: Sequence[float], steps: int) -> list[float]:
    """Returns a histogram moved up by some buckets; it keeps its range.

    >>> shift([0.5, 0.3, 0.2], 1), shift([0.5, 0.3, 0.2], -2)
    ([0.0, 0.5, 0.5], [1.0, 0.0, 0.0])
    """
    last = len(shares) - 1
    moved = [0.0] * len(shares)
    for at, share in enumerate(shares):
        moved[min(last, max(0, at + steps))] += share
    return moved


def smoothed_shares(counts: DurationCounts, buckets: range) -> list[float]:
    """Returns the share of durations expected in each bucket.

    Args:
      counts: Durations that were measured, at least one.
      buckets: The buckets.
    """
    shares = observed_shares(counts, buckets)
    wide_weight = WIDE_ANSWERS / (counts.total + WIDE_ANSWERS)
    narrow, wide = spread_narrowly(shares), spread_widely(shares)
    return [
        (1.0 - wide_weight) * near + wide_weight * far
        for near, far in zip(narrow, wide, strict=True)
    ]


def observed_shares(counts: DurationCounts, buckets: range) -> list[float]:
    """Returns the Kaplan-Meier estimate of the share in each bucket.

    Durations longer than the last one that ended are in the last bucket.

    >>> observed_shares(DurationCounts({1: 2, 3: 1}, {2: 1}), range(1, 5))
    [0.5, 0.0, 0.5, 0.0]
    """
    shares = []
    remaining, at_risk = 1.0, counts.total
    for bucket in buckets:
        ended = counts.ended.get(bucket, 0)
        shares.append(remaining * ended / at_risk if at_risk else 0.0)
        remaining -= shares[-1]
        at_risk -= ended + counts.open.get(bucket, 0)
    shares[-1] += max(0.0, remaining)
    return shares


def spread_narrowly(shares: Sequence[float]) -> list[float]:
    """Returns a histogram with parts of each share in the next buckets."""
    parts = (
        [weight * share for share in shift(shares, steps)]
        for steps, weight in NARROW_KERNEL.items()
    )
    return [sum(each) for each in zip(*parts, strict=True)]


def spread_widely(shares: Sequence[float]) -> list[float]:
    """Returns a histogram with parts of each share in all buckets."""
    up = list(itertools.accumulate(shares, decay))
    down = list(itertools.accumulate(reversed(shares), decay))[::-1]
    spread = [
        above + below - share
        for above, below, share in zip(up, down, shares, strict=True)
    ]
    total = sum(spread)
    return [each / total for each in spread]


def decay(before: float, share: float) -> float:
    """Returns what a share adds to the decayed sum of those before it."""
    return WIDE_DECAY * before + share


def log_mean(logarithms: Sequence[float]) -> float:
    """Returns the natural logarithm of the mean of some numbers.

    Args:
      logarithms: Natural logarithms of the numbers.

    >>> round(log_mean([0.0, math.log(3.0)]) - math.log(2.0), 9)
    0.0
    """
    highest = max(logarithms)
    total = sum(math.exp(each - highest) for each in logarithms)
    return highest + math.log(total / len(logarithms))
