"""Counters of the outcomes of a version, as evaluated and sent to drivers."""

from __future__ import annotations

import bisect
import enum

import attrs

from rattanpier._internal.models.trials import Trials

# Upper edges in seconds of the histogram buckets of the time to the first
# token. One more bucket counts everything above the last edge.
LATENCY_BUCKET_EDGES_S = tuple(0.02 * 1.5**step for step in range(15))
BUCKET_COUNT = len(LATENCY_BUCKET_EDGES_S) + 1
EMPTY_HISTOGRAM = (0,) * BUCKET_COUNT


class Measure(enum.StrEnum):
    """Ways in which an answer can be bad."""

    FAILED = "failed"
    TRUNCATED = "truncated"
    POOR = "poor"  # Rated as not good enough.
    SLOW = "slow"  # First token later than most of the stable version's.


@attrs.frozen
class Counts:
    """Counters of one version in one workspace.

    Attributes:
      attempts: Attempts that finished, with any outcome.
      failed: Attempts that ended without an answer.
      truncated: Attempts that ended with an incomplete answer.
      rated: Ratings received.
      poor: Ratings below the required quality.
      latency: Number of answers by bucket of the time to the first token;
        one item for each bucket, see `LATENCY_BUCKET_EDGES_S`.
    """

    attempts: int = 0
    failed: int = 0
    truncated: int = 0
    rated: int = 0
    poor: int = 0
    latency: tuple[int, ...] = EMPTY_HISTOGRAM

    def __add__(self, other: Counts) -> Counts:
        """Returns the sum of each counter."""
        return Counts(
            self.attempts + other.attempts,
            self.failed + other.failed,
            self.truncated + other.truncated,
            self.rated + other.rated,
            self.poor + other.poor,
            tuple(map(sum, zip(self.latency, other.latency, strict=True))),
        )

    def __sub__(self, other: Counts) -> Counts:
        """Returns the increase of each counter since `other`."""
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
    """Counters of both versions of a roll-out in one workspace."""

    stable: Counts = NO_COUNTS
    candidate: Counts = NO_COUNTS


def latency_bucket(seconds: float) -> int:
    """Returns the index of the bucket of a time to the first token.

    Args:
      seconds: Time to the first token in seconds.

    >>> latency_bucket(0.01), latency_bucket(0.03), latency_bucket(99.0)
    (0, 1, 15)
    """
    return bisect.bisect_left(LATENCY_BUCKET_EDGES_S, seconds)


def first_slow_bucket(latency: tuple[int, ...], quantile: float) -> int:
    """Returns the index of the first bucket above a quantile of a histogram.

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


def trials_of(counts: Counts, measure: Measure, slow_from: int) -> Trials:
    """Returns the trials of one measure.

    Args:
      counts: Counters of one version.
      measure: Kind of bad answer to count.
      slow_from: First bucket that counts as slow; with `BUCKET_COUNT` or
        more, no answer is slow.
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
