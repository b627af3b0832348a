"""The retry budget: retries are a bounded share of the traffic."""

from __future__ import annotations

import attrs

from rattanpier._internal.utils.clock import Clock

RETRIES_PER_REQUEST = 0.1  # Retries for each request of this entry.
MIN_RETRIES_PER_S = 1.0  # Retries a second that are allowed without traffic.
MAX_SAVED_RETRIES = 20.0  # Retries that may come at once.


@attrs.define
class RetryBudget:
    """A token bucket filled by requests and, slowly, by time.

    Attributes:
      clock: For the floor.
      tokens_per_request: Tokens that each request adds.
      tokens: Retries that are allowed now.
    """

    clock: Clock
    tokens_per_request: float = RETRIES_PER_REQUEST
    min_per_s: float = MIN_RETRIES_PER_S
    capacity: float = MAX_SAVED_RETRIES
    tokens: float = MAX_SAVED_RETRIES
    filled_at: float = attrs.field(
        default=attrs.Factory(
            lambda self: self.clock.monotonic(), takes_self=True
        )
    )

    def record_request(self) -> None:
        """Counts a request that came in."""
        self.tokens = min(self.capacity, self.tokens + self.tokens_per_request)

    def try_acquire(self) -> bool:
        """Says whether one more retry is allowed, and counts it."""
        now = self.clock.monotonic()
        earned = (now - self.filled_at) * self.min_per_s
        self.tokens = min(self.capacity, self.tokens + earned)
        self.filled_at = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
