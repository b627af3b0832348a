"""Budgets of additional upstream requests, one for each service.

Additional upstream requests are those beyond the first of a request: retries,
hedges and escalations. Many entries see a few requests a second each, nearly
half of which escalate to a larger model. In each window an entry may send
additional requests for a share of the requests that it received in the window,
plus its part of the slack that operators allow. The sum over all entries thus
stays within the bound for any number of entries, without communication.
"""

from __future__ import annotations

import collections
from collections.abc import Callable

import attrs

from rattanpier._internal.models.relay_settings import Bounds
from rattanpier._internal.utils.clock import Clock

# Share of the operators' bound that is used. The rest is a margin for requests
# whose additional upstream requests fall into the next window.
USED_SHARE = 0.9


@attrs.define(eq=False, repr=False)
class ServiceRetryBudget:
    """Additional upstream requests for one service in a sliding window.

    A token bucket loses part of the budget if requests arrive in bursts: with
    195 entries that receive three requests a second in bursts of four, a bucket
    refused 16 of 100 escalations and the window none. Fractions of a request
    are accumulated rather than rounded up: 420 entries that each sent two
    additional requests after their first request would exceed the bound of such
    a fleet by 32 (test_budgets).

    Attributes:
      clock: Source of monotonic time.
      share: Additional upstream requests allowed per request.
      window_s: Length of the window, in seconds.
      slack: Returns this entry's part of the additional requests beyond the
        share.
      requests: When each request of the window was received, in monotonic
        seconds.
      sends: When each additional upstream request of the window was sent, in
        monotonic seconds.
    """

    clock: Clock
    share: float
    window_s: float
    slack: Callable[[], float]
    requests: collections.deque[float] = attrs.Factory(collections.deque)
    sends: collections.deque[float] = attrs.Factory(collections.deque)

    def record_request(self) -> None:
        """Counts a request that was received."""
        self.drop_expired()
        self.requests.append(self.clock.monotonic())

    def try_acquire(self) -> bool:
        """Returns whether one more upstream request is allowed.

        An allowed request is counted.
        """
        self.drop_expired()
        allowed = self.share * len(self.requests) + self.slack()
        if len(self.sends) + 1 > allowed:
            return False
        self.sends.append(self.clock.monotonic())
        return True

    def drop_expired(self) -> None:
        """Drops requests that are older than the window."""
        oldest = self.clock.monotonic() - self.window_s
        for times in (self.requests, self.sends):
            while times and times[0] < oldest:
                times.popleft()


class ServiceRetryBudgets(collections.UserDict[str, ServiceRetryBudget]):
    """Budgets by service, created at their first use.

    Attributes:
      bounds: Bounds that operators set.
      entries: Returns the number of entries.
      clock: Source of monotonic time.
    """

    def __init__(
        self, bounds: Bounds, entries: Callable[[], int], clock: Clock
    ) -> None:
        super().__init__()
        self.bounds = bounds
        self.entries = entries
        self.clock = clock

    def __missing__(self, service: str) -> ServiceRetryBudget:
        """Creates the budget of a service."""
        budget = ServiceRetryBudget(
            self.clock,
            share=USED_SHARE * self.bounds.retry_ratio,
            window_s=self.bounds.retry_window_s,
            slack=self.slack,
        )
        self.data[service] = budget
        return budget

    def slack(self) -> float:
        """Returns this entry's part of the slack, the same for each service."""
        return USED_SHARE * self.bounds.retry_slack / max(1, self.entries())
