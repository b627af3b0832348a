"""Budgets of further sends, one for each service.

An entry takes its part of the operators' slack, and the ratio of the requests
that it sees itself, so that the sum over all entries holds without talk.
"""

from __future__ import annotations

import collections
from collections.abc import Callable

from rattanpier._internal.dispatch.budget import RetryBudget
from rattanpier._internal.models.relay_settings import Bounds
from rattanpier._internal.utils.clock import Clock

# Of what operators allow: requests may end in one window and their further
# sends fall into the next.
USED_PART = 0.9
LEAST_SAVED = 2.0  # A bucket that holds less than one send lets none through.


class Budgets(collections.UserDict[str, RetryBudget]):
    """The budget of each service, made when it is first asked for."""

    def __init__(
        self, bounds: Bounds, entries: Callable[[], int], clock: Clock
    ) -> None:
        super().__init__()
        self.bounds = bounds
        self.entries = entries
        self.clock = clock

    def __missing__(self, service: str) -> RetryBudget:
        """Returns the budget of a service that was not asked for before."""
        saved = USED_PART * self.bounds.retry_slack / max(1, self.entries())
        budget = RetryBudget(
            self.clock,
            share=USED_PART * self.bounds.retry_ratio,
            floor_per_s=0.0,
            most=max(LEAST_SAVED, saved),
            tokens=max(LEAST_SAVED, saved),
        )
        self.data[service] = budget
        return budget
