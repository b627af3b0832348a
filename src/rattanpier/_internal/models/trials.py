"""Counts of good and bad outcomes."""

from __future__ import annotations

import attrs

from rattanpier._internal.utils.record import Record


@attrs.frozen(eq=False, repr=False)
class Trials(Record):
    """Number of Bernoulli trials, and how many of them were bad.

    Attributes:
      total: All trials.
      bad: Trials with a bad outcome.
    """

    total: int = 0
    bad: int = 0

    def __add__(self, other: Trials) -> Trials:
        """Returns the sums of both numbers."""
        return Trials(self.total + other.total, self.bad + other.bad)
