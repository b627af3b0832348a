"""Counts of what a version did, as they are judged and sent."""

from __future__ import annotations

import bisect
import enum

import attrs

# Upper edges in seconds of the buckets of the time to the first token; one
# more bucket holds what took longer.
LATENCY_BUCKET_EDGES_S = tuple(0.02 * 1.5**step for step in range(15))
BUCKET_COUNT = len(LATENCY_BUCKET_EDGES_S) + 1
EMPTY_HISTOGRAM = (0,) * BUCKET_COUNT


class Measure(enum.StrEnum):
    """What can be wrong with an answer."""

    FAILED = "failed"
    TRUNCATED = "truncated"
    POOR = "poor"  # Rated as not good enough.
    SLOW = "slow"  # The first token was later than most of the stable's.


@attrs.frozen
class Counts:
    """Sums for one version and one workspace.

    Attributes:
      attempts: Attempts that ran to some end.
      failed: Of these, without any answer.
      truncated: Of these, with an answer that is not whole.
      rated: Answers with a rating.
      poor: Of these, rated as not good enough.
      latency: First tokens by bucket of `LATENCY_EDGES_S`.
    """

    attempts: int = 0
    failed: int = 0
    truncated: int = 0
    rated: int = 0
    poor: int = 0
    latency: tuple[int, ...] = EMPTY_HISTOGRAM

    def __add__(self, other: Counts) -> Counts:
        """Returns the sums of both."""
        return Counts(
            self.attempts + other.attempts,
            self.failed + other.failed,
            self.truncated + other.truncated,
            self.rated + other.rated,
            self.poor + other.poor,
            tuple(map(sum, zip(self.latency, other.latency, strict=True))),
        )

    def __sub__(self, other: Counts) -> Counts:
        """Returns what was added since `other`."""
        return Counts(
            self.attempts - other.attempts,
            self.failed - other.failed,
            self.truncated - other.truncated,
            self.rated - other.rated,
            self.poor - other.poor,
            tuple(
                new - old
                for new, old in zip(self.latency, other.latency, strict=True)
            ),
        )


NO_COUNTS = Counts()


@attrs.frozen
class VersionCounts:
    """Both versions of a roll-out in one workspace."""

    stable: Counts = NO_COUNTS
    candidate: Counts = NO_COUNTS


def latency_bucket(seconds: float) -> int:
    """Returns the bucket of a time to the first token.

    >>> latency_bucket(0.01), latency_bucket(0.03), latency_bucket(99.0)
    (0, 1, 15)
    """
    return bisect.bisect_left(LATENCY_BUCKET_EDGES_S, seconds)


def first_slow_bucket(latency: tuple[int, ...], quantile: float) -> int:
    """Returns the first bucket above a quantile of a histogram.

    >>> first_slow_bucket((0, 90, 10) + (0,) * 13, 0.9)
    2
    """
    needed = quantile * sum(latency)
    seen = 0
    for bucket, count in enumerate(latency):
        seen += count
        if seen >= needed:
            return bucket + 1
    return BUCKET_COUNT


@attrs.frozen
class Trials:
    """How many were looked at, and how many of these were bad."""

    total: int = 0
    bad: int = 0

    def __add__(self, other: Trials) -> Trials:
        """Returns the sums of both."""
        return Trials(self.total + other.total, self.bad + other.bad)


def trials_of(counts: Counts, measure: Measure, slow_from: int) -> Trials:
    """Returns the trials of a measure.

    Args:
      counts: Sums.
      measure: What to look at.
      slow_from: First bucket that counts as slow; `BUCKETS` or more: none.
    """
    match measure:
        case Measure.FAILED:
            return Trials(counts.attempts, counts.failed)
        case Measure.TRUNCATED:
            return Trials(counts.attempts, counts.truncated)
        case Measure.POOR:
            return Trials(counts.rated, counts.poor)
        case Measure.SLOW:
            slow = sum(counts.latency[slow_from:])
            return Trials(sum(counts.latency), slow)
