"""The planned stop of an entry: callers are led away, nothing is cut.

Load answered: SIGTERM under traffic. Callers keep the list of entries for a
while and go on using this one, so it serves on as long as what it takes will
surely end before the VM is killed.
"""

from __future__ import annotations

import asyncio

import attrs

from rattanpier._internal.utils.clock import Clock

# Shares of the time between SIGTERM and SIGKILL. Streams last some seconds,
# plain requests at most one or two. The last part is left for the exit.
STREAM_ACCEPT_RATIO = 0.3
PLAIN_ACCEPT_RATIO = 0.6
FORCED_EXIT_RATIO = 0.92
# Callers learn of the leave when they ask for the list again.
MIN_EXIT_RATIO = 0.4
POLL_INTERVAL_S = 0.05


@attrs.define(eq=False, repr=False)
class DrainState:
    """Whether an entry takes requests.

    Attributes:
      clock: Monotonic.
      grace_s: From SIGTERM to SIGKILL.
      running: Requests in flight.
      begun_at: When the planned stop began, None before.
    """

    clock: Clock
    grace_s: float
    running: int = 0
    begun_at: float | None = None

    @property
    def leaving(self) -> bool:
        """Whether connections are not kept for another request."""
        return self.begun_at is not None

    def begin_request(self) -> None:
        """Counts a request in."""
        self.running += 1

    def end_request(self) -> None:
        """Counts a request out."""
        self.running -= 1

    def begin(self) -> None:
        """Begins the planned stop."""
        if self.begun_at is None:
            self.begun_at = self.clock.monotonic()

    def elapsed_ratio(self) -> float:
        """Returns the share of the time to SIGKILL that has passed."""
        if self.begun_at is None:
            return 0.0
        return (self.clock.monotonic() - self.begun_at) / self.grace_s

    def accepts(self, streaming: bool) -> bool:
        """Says whether a new request will surely end in time."""
        return self.elapsed_ratio() < (
            STREAM_ACCEPT_RATIO if streaming else PLAIN_ACCEPT_RATIO
        )

    def may_exit(self) -> bool:
        """Says whether the process may end now."""
        elapsed_ratio = self.elapsed_ratio()
        if elapsed_ratio >= FORCED_EXIT_RATIO:
            return True
        return elapsed_ratio >= MIN_EXIT_RATIO and self.running == 0

    async def wait_until_exit(self) -> None:
        """Returns once the process may end."""
        while not self.may_exit():
            await asyncio.sleep(POLL_INTERVAL_S)
