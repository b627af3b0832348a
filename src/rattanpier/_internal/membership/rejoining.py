"""Backoff for a process that is declared gone repeatedly and rejoins."""

from __future__ import annotations

import attrs

MIN_REJOIN_S = 1.0
MAX_REJOIN_S = 30.0


@attrs.define
class RejoinBackoff:
    """The wait before the next rejoin, which doubles with each one.

    Attributes:
      backoff_s: Seconds between the next rejoin and the one after it.
      not_before: Monotonic seconds before which the process does not rejoin.
    """

    backoff_s: float = MIN_REJOIN_S
    not_before: float = float("-inf")

    def is_over(self, now: float) -> bool:
        """Returns whether the process may rejoin at a monotonic time."""
        return now >= self.not_before

    def record_rejoin(self, now: float) -> None:
        """Records a rejoin at a monotonic time."""
        self.not_before = now + self.backoff_s
        self.backoff_s = min(MAX_REJOIN_S, 2 * self.backoff_s)
