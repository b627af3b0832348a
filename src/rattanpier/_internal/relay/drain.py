"""Graceful shutdown of an entry: no request in flight is interrupted.

Callers cache the list of entries and keep using this one for a while after
SIGTERM. The entry therefore goes on accepting requests as long as they will
certainly end before SIGKILL.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import attrs

from rattanpier._internal.utils.clock import Clock

# Ratios of the time between SIGTERM and SIGKILL. Streams last a few seconds,
# other requests at most one or two. The time after the last ratio is left for
# the exit.
STREAM_ACCEPT_RATIO = 0.3
PLAIN_ACCEPT_RATIO = 0.6
FORCED_EXIT_RATIO = 0.92
# Callers notice the shutdown when they fetch the list of entries again.
MIN_EXIT_RATIO = 0.4
POLL_INTERVAL_S = 0.05


@attrs.define(eq=False, repr=False)
class DrainState:
    """Whether an entry accepts requests.

    Attributes:
      clock: Monotonic clock.
      grace_s: Seconds from SIGTERM to SIGKILL.
      running: Number of requests in flight.
      holds_unread: Returns whether callers have not yet read all of their
        answers, which an exit would cut off.
      begun_at: When the shutdown began, in monotonic seconds, None before.
      on_begin: Called when the shutdown begins.
    """

    clock: Clock
    grace_s: float
    running: int = 0
    holds_unread: Callable[[], bool] = lambda: False
    begun_at: float | None = None
    on_begin: Callable[[], None] = lambda: None

    @property
    def leaving(self) -> bool:
        """Whether the shutdown began, so that connections are not reused."""
        return self.begun_at is not None

    def begin_request(self) -> None:
        """Counts a request as in flight."""
        self.running += 1

    def end_request(self) -> None:
        """Counts a request as no longer in flight."""
        self.running -= 1

    def begin(self) -> None:
        """Begins the shutdown, unless it has begun."""
        if self.begun_at is None:
            self.begun_at = self.clock.monotonic()
            self.on_begin()

    def elapsed_ratio(self) -> float:
        """Returns the ratio of the time to SIGKILL that has passed."""
        if self.begun_at is None:
            return 0.0
        return (self.clock.monotonic() - self.begun_at) / self.grace_s

    def accepts(self, streaming: bool) -> bool:
        """Returns whether a new request will certainly end in time."""
        return self.elapsed_ratio() < (
            STREAM_ACCEPT_RATIO if streaming else PLAIN_ACCEPT_RATIO
        )

    def may_exit(self) -> bool:
        """Returns whether the process may exit now."""
        elapsed_ratio = self.elapsed_ratio()
        if elapsed_ratio >= FORCED_EXIT_RATIO:
            return True
        if elapsed_ratio < MIN_EXIT_RATIO or self.running:
            return False
        return not self.holds_unread()

    async def wait_until_exit(self) -> None:
        """Waits until the process may exit."""
        while not self.may_exit():
            await asyncio.sleep(POLL_INTERVAL_S)
