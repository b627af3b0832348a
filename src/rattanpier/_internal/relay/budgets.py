"""Budgets of additional upstream requests, one for each service. Free of I/O.

Additional upstream requests are those beyond the first of a request: retries,
hedges and escalations. Operators bound them over all entries together, in any
window: a ratio of the requests, and a slack. Entries don't count together. Each
has a token bucket, to which a request adds a fraction of a token, and from
which each additional request takes one. The bucket holds this entry's part of
the slack, or what the requests of the last second have added and a little
slack, if that is more. A token of the slack is back a window after its use at
the latest.

So all that is sent in a window was added in it, or was in a bucket at its
start. The sum stays within the bound although the account of a process ends
with it, since the bucket of a new process is empty.
"""

from __future__ import annotations

import bisect
import collections
import math
from collections.abc import Callable, Iterable

import attrs

from rattanpier._internal.models.relay_settings import Bounds
from rattanpier._internal.utils.clock import Clock
from rattanpier._internal.utils.record import Record
from rattanpier._internal.utils.slot_counts import SlotCounts

# For how long a request adds to a bucket that holds the slack. Most retries and
# escalations come sooner.
EARNED_FOR_S = 1.0
# From the decision on an additional upstream request to its arrival.
DELIVERY_S = 0.25
# Slack that a bucket may hold beside what the last requests added. Entries of a
# large fleet have less; most of their escalations depend on their requests.
BESIDE_REQUESTS = 4.0
SLOTS = 40  # Of a window; requests and retries are counted by slot.
# Sums of fractions are compared up to this.
ROUNDING = 1e-9


def usable_ratio(bounds: Bounds) -> float:
    """Returns the tokens that a request adds.

    Those that are used in a window were added in a longer time.

    >>> round(usable_ratio(Bounds(retry_ratio=0.9, retry_window_s=10.0)), 3)
    0.8
    """
    window_s = bounds.retry_window_s
    paid_by_s = window_s + EARNED_FOR_S + DELIVERY_S
    return bounds.retry_ratio * window_s / paid_by_s


@attrs.define(eq=False, repr=False)
class Amount:
    """A number of tokens that were added or used at one time.

    Attributes:
      at: That time, in monotonic seconds.
      left: Number of tokens that still count; a fraction is possible.
    """

    at: float
    left: float


@attrs.frozen(eq=False, repr=False)
class WindowCounts(Record):
    """What an entry counted in the window that ends now.

    Attributes:
      retries: Additional upstream requests.
      requests: Requests.
      requests_before: Requests of the window before.
    """

    retries: int
    requests: int
    requests_before: int


@attrs.define(eq=False, repr=False)
class ServiceRetryBudget:
    """Additional upstream requests for one service.

    Attributes:
      clock: Source of monotonic time.
      ratio: Tokens that a request adds.
      window_s: Seconds after which used slack may be used again.
      slack: Returns this entry's part of the additional requests beyond the
        ratio.
      joined_at: Returns since when this entry shares the slack with the others,
        in monotonic seconds; None if it doesn't.
      paused_since: Returns whether this process did not run for a while since a
        time in monotonic seconds.
      used: Slack that is not in the bucket, the oldest first.
      requests: When each of the last requests was received, in monotonic
        seconds, the oldest first.
      earned: What they added beyond the slack, the oldest first.
      joined_before: What `joined_at` returned last.
      received: Requests of the last two windows.
      sent: Additional upstream requests of the last window.
    """

    clock: Clock
    ratio: float
    window_s: float
    slack: Callable[[], float]
    joined_at: Callable[[], float | None]
    paused_since: Callable[[float], bool]
    used: collections.deque[Amount] = attrs.Factory(collections.deque)
    requests: collections.deque[float] = attrs.Factory(collections.deque)
    earned: collections.deque[Amount] = attrs.Factory(collections.deque)
    joined_before: float | None = None
    received: SlotCounts = attrs.Factory(lambda: SlotCounts(2 * SLOTS))
    sent: SlotCounts = attrs.Factory(lambda: SlotCounts(SLOTS))

    def record_request(self, received_at: float | None = None) -> None:
        """Counts a request.

        One that was read soon after a pause may have been sent long before, in
        another window than its retries. It adds no token.

        Args:
          received_at: When it was received, in monotonic seconds; None for now.
        """
        now = self.clock.monotonic()
        self.advance(now)
        at = now if received_at is None else received_at
        self.received.add(self.slot_at(at))
        if at <= now - EARNED_FOR_S or self.paused_since(at - EARNED_FOR_S):
            return
        bisect.insort(self.requests, at)
        left = spend(self.used, self.ratio, newest=True)
        if left > 0.0:
            bisect.insort(
                self.earned, Amount(at, left), key=lambda each: each.at
            )

    def has_one(self) -> bool:
        """Returns whether one more upstream request is allowed now."""
        self.advance(self.clock.monotonic())
        return self.earned_left() + self.slack_left() >= 1.0 - ROUNDING

    def try_acquire(self) -> bool:
        """Returns whether one more upstream request is allowed.

        An allowed request is counted.
        """
        if not self.has_one():
            return False
        missing = spend(self.earned, 1.0)
        now = self.clock.monotonic()
        if missing > 0.0:
            self.used.append(Amount(now, missing))
        self.sent.add(self.slot_at(now))
        return True

    def slot_at(self, at: float) -> int:
        """Returns the number of the slot of a time in monotonic seconds."""
        return int(at * SLOTS // self.window_s)

    def window_counts(self) -> WindowCounts:
        """Returns what was counted in the windows that end now."""
        slot = self.slot_at(self.clock.monotonic())
        self.received.advance(slot)
        self.sent.advance(slot)
        requests = self.received.sums()
        return WindowCounts(
            self.sent.sums()[SLOTS],
            requests[SLOTS],
            requests[2 * SLOTS] - requests[SLOTS],
        )

    def earned_left(self) -> float:
        """Returns what is left of what the last requests added."""
        return total(self.earned)

    def slack_left(self) -> float:
        """Returns the part of the slack that is in the bucket."""
        if self.joined_before is None:
            return 0.0
        return max(0.0, self.slack() - total(self.used))

    def advance(self, now: float) -> None:
        """Applies what changed until a monotonic time."""
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
        slack = 0.0 if joined_at is None else self.slack()
        # The part becomes smaller as other entries join.
        spend(self.used, total(self.used) - slack, newest=True)
        oldest = now - EARNED_FOR_S
        while self.requests and self.requests[0] <= oldest:
            self.requests.popleft()
        while self.earned and self.earned[0].at <= oldest:
            self.earned.popleft()
        added = self.ratio * len(self.requests)
        most = max(0.0, added - max(0.0, slack - BESIDE_REQUESTS))
        spend(self.earned, total(self.earned) - most)


def total(amounts: Iterable[Amount]) -> float:
    """Returns the sum of some amounts."""
    return sum(each.left for each in amounts)


def spend(
    amounts: collections.deque[Amount], needed: float, newest: bool = False
) -> float:
    """Takes tokens from some amounts; returns how many are missing.

    Args:
      amounts: The amounts, the oldest first.
      needed: Number of tokens to take; nothing is taken if it is negative.
      newest: Whether the newest amount is taken first, and not the oldest.
    """
    index, remove = (-1, amounts.pop) if newest else (0, amounts.popleft)
    while amounts and needed > ROUNDING:
        amount = amounts[index]
        taken = min(needed, amount.left)
        needed -= taken
        amount.left -= taken
        if amount.left <= ROUNDING:
            remove()
    return needed if needed > ROUNDING else 0.0


class ServiceRetryBudgets(collections.UserDict[str, ServiceRetryBudget]):
    """Budgets by service, created at their first use.

    Attributes:
      bounds: Bounds that operators set.
      entries: Returns the number of entries that share the slack.
      clock: Source of monotonic time.
      joined_at: Returns since when this entry shares the slack with the others,
        in monotonic seconds; None if it doesn't.
      paused_since: Returns whether this process did not run for a while since a
        time in monotonic seconds.
    """

    def __init__(
        self,
        bounds: Bounds,
        entries: Callable[[], int],
        clock: Clock,
        joined_at: Callable[[], float | None] = lambda: -math.inf,
        paused_since: Callable[[float], bool] = lambda _at: False,
    ) -> None:
        super().__init__()
        self.bounds = bounds
        self.entries = entries
        self.clock = clock
        self.joined_at = joined_at
        self.paused_since = paused_since

    def __missing__(self, service: str) -> ServiceRetryBudget:
        """Creates the budget of a service."""
        budget = ServiceRetryBudget(
            self.clock,
            ratio=usable_ratio(self.bounds),
            window_s=self.bounds.retry_window_s + DELIVERY_S,
            slack=self.slack,
            joined_at=self.joined_at,
            paused_since=self.paused_since,
        )
        self.data[service] = budget
        return budget

    def slack(self) -> float:
        """Returns this entry's part of the slack, the same for each service."""
        return self.bounds.retry_slack / max(1, self.entries())
