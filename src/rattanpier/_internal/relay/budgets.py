"""Budgets of additional upstream requests, one for each service. Free of I/O.

Additional upstream requests are those beyond the first of a request: retries,
hedges and escalations. Operators bound them over all entries together, in any
window: a ratio of the requests, and a slack. Entries don't count together. Each
takes additional requests from two sources, in this order:

- the requests that it has just received. Each allows a fraction of one, for a
  short time only, so that what one process has sent never depends on requests
  that an earlier process was sent before;
- its part of the slack, which comes back when it was last used a window ago, or
  as requests pass without an additional one.

Nothing is saved beyond that. So the sum stays within the bound although the
account of a process ends with it: a new process finds its part of the slack
used up.
"""

from __future__ import annotations

import bisect
import collections
import math
from collections.abc import Callable

import attrs

from rattanpier._internal.models.relay_settings import Bounds
from rattanpier._internal.utils.clock import Clock

# For how long a request allows additional upstream requests. Most retries and
# escalations come sooner.
EARNED_FOR_S = 1.0
# From the decision on an additional upstream request to its arrival.
DELIVERY_S = 0.25
# Sums of fractions are compared up to this.
ROUNDING = 1e-9


def usable_ratio(bounds: Bounds) -> float:
    """Returns the additional upstream requests that one request allows.

    Those that arrive in a window were allowed by requests of a longer time.

    >>> round(usable_ratio(Bounds(retry_ratio=0.9, retry_window_s=10.0)), 3)
    0.8
    """
    window_s = bounds.retry_window_s
    paid_by_s = window_s + EARNED_FOR_S + DELIVERY_S
    return bounds.retry_ratio * window_s / paid_by_s


@attrs.define(eq=False, repr=False)
class Amount:
    """Part of the additional upstream requests that are allowed or were used.

    Attributes:
      at: When it was allowed or used, in monotonic seconds.
      left: Additional upstream requests; a fraction is possible.
    """

    at: float
    left: float


@attrs.define(eq=False, repr=False)
class ServiceRetryBudget:
    """Additional upstream requests for one service.

    Attributes:
      clock: Source of monotonic time.
      ratio: Additional upstream requests that one request allows.
      window_s: Seconds after which used slack may be used again.
      slack: Returns this entry's part of the additional requests beyond the
        ratio.
      joined_at: Returns since when this entry shares the slack with the others,
        in monotonic seconds; None if it doesn't.
      earned: What the last requests allow, the oldest first.
      used: Slack that was used, the oldest first.
      joined_before: What `joined_at` returned last.
    """

    clock: Clock
    ratio: float
    window_s: float
    slack: Callable[[], float]
    joined_at: Callable[[], float | None]
    earned: collections.deque[Amount] = attrs.Factory(collections.deque)
    used: collections.deque[Amount] = attrs.Factory(collections.deque)
    joined_before: float | None = None

    def record_request(self) -> None:
        """Counts a request that was received."""
        now = self.clock.monotonic()
        self.advance(now)
        bisect.insort(
            self.earned, Amount(now, self.ratio), key=lambda each: each.at
        )

    def try_acquire(self) -> bool:
        """Returns whether one more upstream request is allowed.

        An allowed request is counted.
        """
        now = self.clock.monotonic()
        self.advance(now)
        missing = 1.0 - self.earned_left()
        if missing > self.slack_left() + ROUNDING:
            return False
        spend(self.earned, 1.0)
        if missing > ROUNDING:
            self.used.append(Amount(now, missing))
        return True

    def earned_left(self) -> float:
        """Returns the additional upstream requests that requests allow now."""
        return sum(each.left for each in self.earned)

    def slack_left(self) -> float:
        """Returns the part of the slack that may be used now."""
        if self.joined_before is None:
            return 0.0
        return max(0.0, self.slack() - sum(each.left for each in self.used))

    def advance(self, now: float) -> None:
        """Drops what has expired until a monotonic time."""
        joined_at = self.joined_at()
        if joined_at != self.joined_before:
            self.joined_before = joined_at
            self.used.clear()
            if joined_at is not None:
                # Entries that it shares the slack with may have used all of it,
                # and so may an earlier process of this entry.
                self.used.append(Amount(joined_at, self.slack()))
        while self.used and self.used[0].at <= now - self.window_s:
            self.used.popleft()
        if joined_at is not None:
            self.limit_used()
        while self.earned and self.earned[0].at <= now - EARNED_FOR_S:
            # Requests that needed nothing allow used slack again.
            spend_last(self.used, self.earned.popleft().left)

    def limit_used(self) -> None:
        """Limits the used slack to a part that has become smaller."""
        excess = sum(each.left for each in self.used) - self.slack()
        if excess > 0.0:
            spend_last(self.used, excess)


def spend(amounts: collections.deque[Amount], needed: float) -> None:
    """Takes from some amounts, the oldest first."""
    while amounts and needed > 0.0:
        taken = min(needed, amounts[0].left)
        needed -= taken
        amounts[0].left -= taken
        if amounts[0].left <= ROUNDING:
            amounts.popleft()


def spend_last(amounts: collections.deque[Amount], needed: float) -> None:
    """Takes from some amounts, the newest first."""
    while amounts and needed > 0.0:
        taken = min(needed, amounts[-1].left)
        needed -= taken
        amounts[-1].left -= taken
        if amounts[-1].left <= ROUNDING:
            amounts.pop()


class ServiceRetryBudgets(collections.UserDict[str, ServiceRetryBudget]):
    """Budgets by service, created at their first use.

    Attributes:
      bounds: Bounds that operators set.
      entries: Returns the number of entries that share the slack.
      clock: Source of monotonic time.
      joined_at: Returns since when this entry shares the slack with the others,
        in monotonic seconds; None if it doesn't.
    """

    def __init__(
        self,
        bounds: Bounds,
        entries: Callable[[], int],
        clock: Clock,
        joined_at: Callable[[], float | None] = lambda: -math.inf,
    ) -> None:
        super().__init__()
        self.bounds = bounds
        self.entries = entries
        self.clock = clock
        self.joined_at = joined_at

    def __missing__(self, service: str) -> ServiceRetryBudget:
        """Creates the budget of a service."""
        budget = ServiceRetryBudget(
            self.clock,
            ratio=usable_ratio(self.bounds),
            window_s=self.bounds.retry_window_s + DELIVERY_S,
            slack=self.slack,
            joined_at=self.joined_at,
        )
        self.data[service] = budget
        return budget

    def slack(self) -> float:
        """Returns this entry's part of the slack, the same for each service."""
        return self.bounds.retry_slack / max(1, self.entries())
