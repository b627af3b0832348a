"""Limits how many requests one entry may have running at a pool of workers.

The entries do not coordinate their limits. Each always has an equal part of the
pool's slots. Since callers may all use one entry while the parts of its peers
are idle, an entry raises its limit as long as the time to the first token stays
close to the best one, and lowers it when first tokens are late.
"""

from __future__ import annotations

import math

import attrs

# A first token is late after SLOW_FACTOR times the best time plus SLOW_SLACK_S.
# Prompts differ in length, so a smaller factor does not yet indicate a queue.
SLOW_FACTOR = 4.0
SLOW_SLACK_S = 0.05
DECREASE_FACTOR = 0.95  # Applied for each late first token or failure.
BEST_TIME_GROWTH = 1.001  # For each first token, so that old times expire.


@attrs.define
class PoolLimit:
    """Limit of one entry at one pool.

    Attributes:
      extra: Number of requests allowed beyond the entry's own part.
      best_first_token_s: Shortest recent time to the first token in seconds;
        grows by BEST_TIME_GROWTH with each first token.
    """

    extra: float = 0.0
    best_first_token_s: float = math.inf

    def record_first_token(self, first_token_s: float) -> None:
        """Adjusts the limit by the time to a first token in seconds."""
        self.best_first_token_s = min(
            self.best_first_token_s * BEST_TIME_GROWTH, first_token_s
        )
        if first_token_s > SLOW_FACTOR * self.best_first_token_s + SLOW_SLACK_S:
            self.extra *= DECREASE_FACTOR
        else:
            self.extra += 1.0 / (1.0 + self.extra)

    def record_failure(self) -> None:
        """Lowers the limit after a worker was full or sent no chunk."""
        self.extra *= DECREASE_FACTOR

    def limit(self, slots: int, entries: int) -> int:
        """Returns how many requests the entry may have running at the pool.

        Args:
          slots: Number of requests that all workers of the pool can run at
            once.
          entries: Number of live entries.
        """
        own_slots = math.ceil(slots / max(1, entries))
        self.extra = min(self.extra, float(max(0, slots - own_slots)))
        return max(1, own_slots + int(self.extra))
