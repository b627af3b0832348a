"""How many requests one entry may have at a pool of workers.

The entries do not talk about it. Each is sure of its part of the pool's slots,
and takes more while the first tokens it sees come about as soon as they ever
did: callers may all come to one entry, and then the others' parts are free.
"""

from __future__ import annotations

import math

import attrs

SLOW_FACTOR = 4.0  # Prompts differ in length; this much is not yet a queue.
SLOW_SLACK_S = 0.05
DECREASE_FACTOR = 0.95  # For each first token that came late.
BEST_TIME_GROWTH = 1.001  # The best time is forgotten slowly.


@attrs.define
class PoolLimit:
    """The limit of one entry at one pool.

    Attributes:
      extra: What is taken beyond the entry's own part.
      best_first_token_s: Shortest time to the first token seen, slowly
        forgotten.
    """

    extra: float = 0.0
    best_first_token_s: float = math.inf

    def record_first_token(self, first_token_s: float) -> None:
        """Takes in the time to a first token."""
        self.best_first_token_s = min(
            self.best_first_token_s * BEST_TIME_GROWTH, first_token_s
        )
        if first_token_s > SLOW_FACTOR * self.best_first_token_s + SLOW_SLACK_S:
            self.extra *= DECREASE_FACTOR
        else:
            self.extra += 1.0 / (1.0 + self.extra)

    def record_failure(self) -> None:
        """Takes in that a worker was full or gave nothing."""
        self.extra *= DECREASE_FACTOR

    def limit(self, slots: int, entries: int) -> int:
        """Returns how many requests may be at the pool.

        Args:
          slots: Requests that all its workers run at once.
          entries: Live entries.
        """
        own_slots = math.ceil(slots / max(1, entries))
        self.extra = min(self.extra, float(max(0, slots - own_slots)))
        return max(1, own_slots + int(self.extra))
