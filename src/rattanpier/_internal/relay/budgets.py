"""Budgets of further sends, one for each service.

Load answered: many entries that each see a few requests a second, of which
nearly half are asked again of a larger model. In each window an entry may send
again for a share of the requests that it saw in that window, and its part of
the operators' slack beyond them, so that the sum over all entries holds
without talk, however many there are.
"""

from __future__ import annotations

import collections
from collections.abc import Callable

import attrs

from rattanpier._internal.models.relay_settings import Bounds
from rattanpier._internal.utils.clock import Clock

# Of what operators allow: requests may end in one window and their further
# sends fall into the next.
USED_SHARE = 0.9


@attrs.define(eq=False, repr=False)
class ServiceRetryBudget:
    """Further sends for one service, over a sliding window.

    Unlike a bucket it loses nothing when requests come in clumps: of 195
    entries with three requests a second, four at a time, a bucket kept back 16
    of 100 further sends for doubtful answers, the window none. A part of less
    than one send is saved up rather than rounded up: 420 entries that each took
    two whole sends at their first request would pass the bound of such a fleet
    by 32 sends (test_budgets).

    Attributes:
      share: Further sends for each request.
      window_s: Time over which requests and sends are counted, in seconds.
      slack: Returns this entry's part of the sends beyond that share.
      requests: When each request of the window came, in monotonic seconds.
      sends: When each further send of the window was made.
    """

    clock: Clock
    share: float
    window_s: float
    slack: Callable[[], float]
    requests: collections.deque[float] = attrs.Factory(collections.deque)
    sends: collections.deque[float] = attrs.Factory(collections.deque)

    def record_request(self) -> None:
        """Counts a request that came in."""
        self.drop_expired()
        self.requests.append(self.clock.monotonic())

    def try_acquire(self) -> bool:
        """Says whether one more further send is allowed, and counts it."""
        self.drop_expired()
        allowed = self.share * len(self.requests) + self.slack()
        if len(self.sends) + 1 > allowed:
            return False
        self.sends.append(self.clock.monotonic())
        return True

    def drop_expired(self) -> None:
        """Drops what is older than the window."""
        oldest = self.clock.monotonic() - self.window_s
        for times in (self.requests, self.sends):
            while times and times[0] < oldest:
                times.popleft()


class ServiceRetryBudgets(collections.UserDict[str, ServiceRetryBudget]):
    """The budget of each service, made when it is first asked for."""

    def __init__(
        self, bounds: Bounds, entries: Callable[[], int], clock: Clock
    ) -> None:
        super().__init__()
        self.bounds = bounds
        self.entries = entries
        self.clock = clock

    def __missing__(self, service: str) -> ServiceRetryBudget:
        """Returns the budget of a service that was not asked for before."""
        budget = ServiceRetryBudget(
            self.clock,
            share=USED_SHARE * self.bounds.retry_ratio,
            window_s=self.bounds.retry_window_s,
            slack=self.slack,
        )
        self.data[service] = budget
        return budget

    def slack(self) -> float:
        """Returns one entry's part of the slack: the same for each service."""
        return USED_SHARE * self.bounds.retry_slack / max(1, self.entries())
