"""Statistics of recent samples."""

from __future__ import annotations

import collections

import attrs

MAX_SAMPLES = 16  # Requests of an entry within some seconds.


@attrs.define(eq=False, repr=False)
class DecayingSum:
    """A sum and a mean with exponentially decaying weights of the samples.

    Attributes:
      half_life_s: Seconds in which the weight of a sample halves.
      weight: Sum of the samples' weights.
      total: Weighted sum of the samples.
      at: Monotonic time of the last decay, in seconds.
    """

    half_life_s: float
    weight: float = 0.0
    total: float = 0.0
    at: float = 0.0

    def decay(self, now: float) -> None:
        """Decays the weights up to a monotonic time in seconds."""
        factor = 0.5 ** (max(0.0, now - self.at) / self.half_life_s)
        self.weight *= factor
        self.total *= factor
        self.at = now

    def add(self, sample: float, now: float) -> None:
        """Adds a sample with weight 1."""
        self.decay(now)
        self.weight += 1.0
        self.total += sample

    def mean(self, default: float) -> float:
        """Returns the mean; the default counts as one sample of weight 1.

        >>> DecayingSum(1.0, weight=3.0, total=9.0).mean(1.0)
        2.5
        """
        return (self.total + default) / (self.weight + 1.0)


@attrs.define(eq=False, repr=False)
class RecentQuantile:
    """A quantile of the most recent samples.

    Attributes:
      share: Share of the samples that are at most the quantile, 0 to 1.
      samples: The most recent samples, oldest first.
    """

    share: float
    samples: collections.deque[float] = attrs.Factory(
        lambda: collections.deque(maxlen=MAX_SAMPLES)
    )

    def add(self, sample: float) -> None:
        """Adds a sample and drops the oldest one if full."""
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
