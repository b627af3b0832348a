"""Retry budget, which limits retries to a share of the requests."""

from __future__ import annotations

import attrs

from rattanpier._internal.utils.clock import Clock

RETRIES_PER_REQUEST = 0.1  # Tokens earned by each request of this entry.
MIN_RETRIES_PER_S = 1.0  # Allowed even without requests.
MAX_SAVED_RETRIES = 20.0  # Largest burst of retries.


@attrs.define
class RetryBudget:
    """Token bucket refilled by requests and, slowly, by time.

    Attributes:
      clock: Clock for the refill by time.
      tokens_per_request: Tokens added by each request.
      min_per_s: Tokens added per second.
      capacity: Maximum number of tokens.
      tokens: Number of retries allowed now.
      filled_at: Monotonic time in seconds of the last refill by time.
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
        """Records an incoming request."""
        self.tokens = min(self.capacity, self.tokens + self.tokens_per_request)

    def try_acquire(self) -> bool:
        """Takes a token for a retry; returns False if there is none."""
        now = self.clock.monotonic()
        earned = (now - self.filled_at) * self.min_per_s
        self.tokens = min(self.capacity, self.tokens + earned)
        self.filled_at = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
