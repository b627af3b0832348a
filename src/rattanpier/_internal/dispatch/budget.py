"""The retry budget: retries are a bounded share of the traffic."""

from __future__ import annotations

import attrs

from rattanpier._internal.utils.clock import Clock

RETRY_SHARE = 0.1  # Retries for each request of this entry.
FLOOR_PER_S = 1.0  # Retries a second that are allowed without traffic.
MOST_SAVED = 20.0  # Retries that may come at once.


@attrs.define
class RetryBudget:
    """A token bucket filled by requests and, slowly, by time.

    Attributes:
      clock: For the floor.
      share: Tokens that each request adds.
      tokens: Retries that are allowed now.
    """

    clock: Clock
    share: float = RETRY_SHARE
    floor_per_s: float = FLOOR_PER_S
    most: float = MOST_SAVED
    tokens: float = MOST_SAVED
    filled_at: float = attrs.field(
        default=attrs.Factory(
            lambda self: self.clock.monotonic(), takes_self=True
        )
    )

    def note_request(self) -> None:
        """Counts a request that came in."""
        self.tokens = min(self.most, self.tokens + self.share)

    def take(self) -> bool:
        """Says whether one more retry is allowed, and counts it."""
        now = self.clock.monotonic()
        earned = (now - self.filled_at) * self.floor_per_s
        self.tokens = min(self.most, self.tokens + earned)
        self.filled_at = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
