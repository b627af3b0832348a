"""How many requests one entry may have at a pool of workers.

The entries do not talk about it. Each is sure of its part of the pool's slots,
and takes more while the first tokens it sees come about as soon as they ever
did: callers may all come to one entry, and then the others' parts are free.
"""

from __future__ import annotations

import math

import attrs

SLOW_FACTOR = 4.0  # Prompts differ in length; this much is not yet a queue.
SLACK_S = 0.05
DECREASE = 0.95  # For each first token that came late.
BEST_DRIFT = 1.001  # The best time is forgotten slowly.


@attrs.define
class PoolLimit:
    """The limit of one entry at one pool.

    Attributes:
      extra: What is taken beyond the entry's own part.
      best_s: Shortest time to the first token seen, slowly forgotten.
    """

    extra: float = 0.0
    best_s: float = math.inf

    def note(self, first_token_s: float) -> None:
        """Takes in the time to a first token."""
        self.best_s = min(self.best_s * BEST_DRIFT, first_token_s)
        if first_token_s > SLOW_FACTOR * self.best_s + SLACK_S:
            self.extra *= DECREASE
        else:
            self.extra += 1.0 / (1.0 + self.extra)

    def note_refused(self) -> None:
        """Takes in that a worker was full or gave nothing."""
        self.extra *= DECREASE

    def limit(self, slots: int, entries: int) -> int:
        """Returns how many requests may be at the pool.

        Args:
          slots: Requests that all its workers run at once.
          entries: Live entries.
        """
        own = math.ceil(slots / max(1, entries))
        self.extra = min(self.extra, float(max(0, slots - own)))
        return max(1, own + int(self.extra))
