"""Histograms of durations, of which some are known only to a lower limit.

A caller that leaves, or a request that still runs, shows that an event took
longer than it was waited for. Such open durations are counted by the time
waited so far.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping

import attrs

from rattanpier._internal.utils.record import Record

# Buckets grow by the fourth root of two, so that a factor of two between
# durations is a difference of four.
BUCKETS_PER_DOUBLING = 4
MIN_DURATION = 1e-6  # Shorter durations share a bucket.


@attrs.frozen(eq=False, repr=False)
class DurationCounts(Record):
    """Numbers of durations, by bucket.

    Attributes:
      ended: Durations that were measured to their end.
      open: Durations that are at least as long as their bucket.
    """

    ended: dict[int, int] = attrs.Factory(dict)
    open: dict[int, int] = attrs.Factory(dict)

    def __add__(self, other: DurationCounts) -> DurationCounts:
        """Returns the sum of both, bucket by bucket."""
        return DurationCounts(
            combined(self.ended, other.ended, 1),
            combined(self.open, other.open, 1),
        )

    def __sub__(self, other: DurationCounts) -> DurationCounts:
        """Returns the increase since `other`, bucket by bucket."""
        return DurationCounts(
            combined(self.ended, other.ended, -1),
            combined(self.open, other.open, -1),
        )

    @property
    def total(self) -> int:
        """Number of all durations."""
        return sum(self.ended.values()) + sum(self.open.values())


NO_DURATIONS = DurationCounts()


def sum_counts(counts: Iterable[DurationCounts]) -> DurationCounts:
    """Returns the sum of many counts.

    >>> one = DurationCounts({1: 2}, {4: 1})
    >>> sum_counts([one, one]) == DurationCounts({1: 4}, {4: 2})
    True
    """
    ended: dict[int, int] = {}
    still_open: dict[int, int] = {}
    for each in counts:
        for total, part in ((ended, each.ended), (still_open, each.open)):
            for bucket, count in part.items():
                total[bucket] = total.get(bucket, 0) + count
    return DurationCounts(ended, still_open)


def combined(
    one: Mapping[int, int], other: Mapping[int, int], factor: int
) -> dict[int, int]:
    """Returns `one` plus `factor` times `other`, without empty buckets.

    >>> combined({1: 2, 3: 1}, {3: 1}, -1)
    {1: 2}
    """
    total = dict(one)
    for bucket, count in other.items():
        total[bucket] = total.get(bucket, 0) + factor * count
    return {bucket: count for bucket, count in total.items() if count}


def duration_bucket(duration: float) -> int:
    """Returns the bucket of a duration, in any unit.

    >>> duration_bucket(1.0), duration_bucket(2.0), duration_bucket(0.5)
    (0, 4, -4)
    """
    doublings = math.log2(max(duration, MIN_DURATION))
    return math.ceil(BUCKETS_PER_DOUBLING * doublings)


def ended_duration(duration: float) -> DurationCounts:
    """Returns the counts of one duration that was measured to its end."""
    return DurationCounts(ended={duration_bucket(duration): 1})


def open_duration(duration: float) -> DurationCounts:
    """Returns the counts of one duration that had not ended."""
    return DurationCounts(open={duration_bucket(duration): 1})


def bucket_value(bucket: int) -> float:
    """Returns the longest duration of a bucket.

    >>> bucket_value(duration_bucket(2.0))
    2.0
    """
    return 2.0 ** (bucket / BUCKETS_PER_DOUBLING)


def low_quantile(counts: DurationCounts, share: float) -> int | None:
    """Returns the bucket below which a share of all durations ended.

    Open durations count as longer than all that ended, which is exact for
    quantiles below them.

    Args:
      counts: The durations.
      share: The share, 0 to 1.

    Returns:
      The bucket, or None if too few durations ended.

    >>> low_quantile(DurationCounts({1: 2, 5: 8}), 0.2)
    1
    >>> low_quantile(DurationCounts({1: 1}, {1: 9}), 0.2) is None
    True
    """
    needed = share * counts.total
    seen = 0
    for bucket in sorted(counts.ended):
        seen += counts.ended[bucket]
        if seen >= needed:
            return bucket
    return None


def median(counts: DurationCounts) -> float | None:
    """Returns the median of all durations, None if it is not known."""
    bucket = low_quantile(counts, 0.5)
    return None if bucket is None else round(bucket_value(bucket), 4)
