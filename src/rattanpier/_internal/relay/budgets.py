"""Budgets of additional upstream requests, one for each service. Free of I/O.

Additional upstream requests are those beyond the first of a request: retries,
hedges and escalations. Operators bound them over all entries together, in each
window: a ratio of the requests of that window or of the one before, whichever
has more, and a slack. Entries don't count together. Each allows what its own
requests and its part of the slack allow in each window that has not ended.

The larger one of two windows may be another one for each entry, so that their
sum says nothing of all entries. A weighted mean is the same for all, adds up,
and is never more than the larger one. `docs/design/retry-budgets.md` has the
proof.
"""

from __future__ import annotations

import collections
import math
from collections.abc import Callable

import attrs

from rattanpier._internal.models.relay_settings import Bounds
from rattanpier._internal.utils.clock import Clock
from rattanpier._internal.utils.record import Record
from rattanpier._internal.utils.slot_counts import SlotCounts

SLOTS = 40  # Of a window; requests and retries are counted by slot.
# Weight of the requests of the window before. It limits what a burst may send
# in a window that begins just after it, and the rest what requests that only
# begin to come may send.
EARLIER_WEIGHT = 1 / 3
LATER_WEIGHT = 1.0 - EARLIER_WEIGHT
# Between the time at which a caller sends a request and the one at which it is
# counted. What takes longer is a pause of this process.
RECEIPT_S = 0.5
# Until a process that did not run has read what callers sent meanwhile.
BACKLOG_S = 1.0
# From the decision on an additional upstream request to its arrival: the time
# in which a connection is opened.
DELIVERY_S = 0.5
# Sums of fractions are compared up to this.
ROUNDING = 1e-9


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
      ratio: Additional upstream requests that operators allow for a request.
      window_s: Length of a window in seconds.
      slack: Returns this entry's part of the additional requests beyond the
        ratio.
      joined_at: Returns since when this entry shares the slack with the others,
        in monotonic seconds; None if it doesn't.
      paused_since: Returns whether this process did not run for a while since a
        time in monotonic seconds.
      requests: Requests of the last two windows.
      retries: Additional upstream requests of the last window, and of those
        that may arrive in it.
    """

    clock: Clock
    ratio: float
    window_s: float
    slack: Callable[[], float]
    joined_at: Callable[[], float | None]
    paused_since: Callable[[float], bool]
    requests: SlotCounts = attrs.Factory(lambda: SlotCounts(2 * SLOTS))
    retries: SlotCounts = attrs.Factory(lambda: SlotCounts(2 * SLOTS))

    def record_request(self, received_at: float | None = None) -> None:
        """Counts a request.

        One that was read soon after a pause may have been sent at any time
        before. It is not counted.

        Args:
          received_at: When it was received, in monotonic seconds; None for now.
        """
        at = self.clock.monotonic() if received_at is None else received_at
        if not self.paused_since(at - BACKLOG_S):
            self.requests.add(self.slot_at(at))

    def has_one(self) -> bool:
        """Returns whether one more upstream request is allowed now."""
        return self.remaining() >= 1.0 - ROUNDING

    def try_acquire(self) -> bool:
        """Returns whether one more upstream request is allowed.

        An allowed request is counted.
        """
        if not self.has_one():
            return False
        self.retries.add(self.slot_at(self.clock.monotonic()))
        return True

    def remaining(self) -> float:
        """Returns how many upstream requests more are allowed now.

        That is what is allowed in each window that has not ended, or that
        begins before the next upstream request arrives. A window begins
        anywhere in its first slot.
        """
        newest = self.slot_at(self.clock.monotonic())
        spare = self.spare_by_window(newest)
        # The latest windows come first. Those that began before this process
        # joined the others have no slack, of which other processes, and an
        # earlier one of this entry, may have used this entry's part.
        shared = self.shared_windows(newest)
        return min(
            min(spare[:shared], default=math.inf) + self.slack(),
            min(spare[shared:], default=math.inf),
        )

    def spare_by_window(self, newest: int) -> list[float]:
        """Returns what requests allow beyond what was sent, the latest first.

        Upstream requests count in a window if they may arrive in it, requests
        only if callers must have sent them in it.

        Args:
          newest: Number of the present slot.
        """
        requests = self.sums(self.requests, newest)
        retries = self.sums(self.retries, newest)
        receipt = self.slots_in(RECEIPT_S)
        delivery = self.slots_in(DELIVERY_S)
        # Of a window and the one before, and of the window alone.
        of_both = requests[SLOTS - receipt - delivery :][: SLOTS + delivery + 1]
        of_window = [0] * (receipt + delivery) + requests[: SLOTS - receipt + 1]
        sent = retries[1 : SLOTS + delivery + 2]
        return [
            self.ratio
            * (EARLIER_WEIGHT * (both - alone) + LATER_WEIGHT * alone)
            - count
            for both, alone, count in zip(of_both, of_window, sent, strict=True)
        ]

    def shared_windows(self, newest: int) -> int:
        """Returns how many of those windows began after it had joined.

        Args:
          newest: Number of the present slot.
        """
        windows = SLOTS + self.slots_in(DELIVERY_S) + 1
        joined_at = self.joined_at()
        if joined_at is None:
            return 0
        if math.isinf(joined_at):
            return windows
        began = newest + self.slots_in(DELIVERY_S) - self.slot_at(joined_at)
        return min(windows, max(0, began))

    def window_counts(self) -> WindowCounts:
        """Returns what was counted in the windows that end now."""
        newest = self.slot_at(self.clock.monotonic())
        requests = self.sums(self.requests, newest)
        return WindowCounts(
            self.sums(self.retries, newest)[SLOTS],
            requests[SLOTS],
            requests[2 * SLOTS] - requests[SLOTS],
        )

    def sums(self, counts: SlotCounts, newest: int) -> list[int]:
        """Returns the numbers of events in the newest 0, 1, 2, ... slots."""
        counts.advance(newest)
        return counts.sums()

    def slot_at(self, at: float) -> int:
        """Returns the number of the slot of a time in monotonic seconds."""
        return math.floor(at * SLOTS / self.window_s)

    def slots_in(self, seconds: float) -> int:
        """Returns how many slots a time spans, at most half of a window."""
        return min(SLOTS // 2, math.ceil(seconds * SLOTS / self.window_s))


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
            ratio=self.bounds.retry_ratio,
            window_s=self.bounds.retry_window_s,
            slack=self.slack,
            joined_at=self.joined_at,
            paused_since=self.paused_since,
        )
        self.data[service] = budget
        return budget

    def slack(self) -> float:
        """Returns this entry's part of the slack, the same for each service."""
        return self.bounds.retry_slack / max(1, self.entries())
