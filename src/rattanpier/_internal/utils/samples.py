"""Small statistics of what was seen lately."""

from __future__ import annotations

import collections

import attrs

MAX_SAMPLES = 16  # Samples of a quantile: some seconds of an entry's requests.


@attrs.define(eq=False, repr=False)
class DecayingSum:
    """A sum, and mean, in which a sample's weight halves again and again.

    Attributes:
      half_life_s: Time in which it halves.
      weight: Sum of the samples' weights.
      total: Weighted sum of the samples.
      at: When both were last brought up to date, in monotonic seconds.
    """

    half_life_s: float
    weight: float = 0.0
    total: float = 0.0
    at: float = 0.0

    def decay(self, now: float) -> None:
        """Brings the weights up to date."""
        factor = 0.5 ** (max(0.0, now - self.at) / self.half_life_s)
        self.weight *= factor
        self.total *= factor
        self.at = now

    def add(self, sample: float, now: float) -> None:
        """Takes a sample in."""
        self.decay(now)
        self.weight += 1.0
        self.total += sample

    def mean(self, default: float) -> float:
        """Returns the mean; near a default while there are few samples.

        >>> DecayingSum(1.0, weight=3.0, total=9.0).mean(1.0)
        2.5
        """
        return (self.total + default) / (self.weight + 1.0)


@attrs.define(eq=False, repr=False)
class RecentQuantile:
    """A quantile of the newest samples.

    Attributes:
      share: Of the samples that are at most as large.
    """

    share: float
    samples: collections.deque[float] = attrs.Factory(
        lambda: collections.deque(maxlen=MAX_SAMPLES)
    )

    def add(self, sample: float) -> None:
        """Takes a sample in."""
        self.samples.append(sample)

    def value(self, default: float, least: int) -> float:
        """Returns the quantile, or a default for fewer than `least` samples.

        >>> few = RecentQuantile(0.5, collections.deque([3.0, 1.0, 2.0]))
        >>> few.value(9.0, least=3), few.value(9.0, least=4)
        (2.0, 9.0)
        """
        if len(self.samples) < least:
            return default
        ordered = sorted(self.samples)
        return ordered[int(self.share * (len(ordered) - 1))]
