"""Workers that refused a request of this entry and asked for a backoff.

A worker that refuses all requests appears idle. Without a backoff it would be
chosen first again and again.
"""

from __future__ import annotations

import math
import random
from collections.abc import Sequence

import attrs
import structlog

from rattanpier._internal.models.worker import RegisteredWorker
from rattanpier._internal.utils.clock import Clock

log = structlog.get_logger(part="workers")

# Random extra time, as a share of the requested one, so that entries refused at
# the same moment do not all return at once.
JITTER_SHARE = 0.25
MAX_BACKOFF_S = 60.0  # Longer backoffs are cut to this.
MAX_BACKOFFS = 1024  # Workers with stored backoffs; 0.2 KB each.


@attrs.define(eq=False, repr=False)
class Backoffs:
    """The times until which workers accept no requests from this entry.

    Attributes:
      clock: Source of monotonic time.
      rng: Source of the jitter.
      until: End of each backoff in monotonic seconds, by worker; by incarnation
        where that is known.
      last_ends_at: End of the last backoff, in monotonic seconds.
    """

    clock: Clock
    rng: random.Random
    until: dict[str, float] = attrs.Factory(dict)
    last_ends_at: float = -math.inf

    def record_backoff(self, worker: str, backoff_s: float) -> None:
        """Records a backoff that a worker asked for; the latest end counts.

        Args:
          worker: Worker or incarnation, as in `until`.
          backoff_s: Time asked for, in seconds.
        """
        now = self.clock.monotonic()
        if len(self.until) >= MAX_BACKOFFS:
            self.drop_expired(now)
        jitter_s = JITTER_SHARE * backoff_s * self.rng.random()
        until = now + min(MAX_BACKOFF_S, backoff_s + jitter_s)
        if until <= self.until.get(worker, -math.inf):
            return
        self.until[worker] = until
        self.last_ends_at = max(self.last_ends_at, until)
        log.info(
            "Worker asked for a backoff.",
            worker=worker,
            rest_s=backoff_s,
            spread_s=round(jitter_s, 3),
        )

    def drop_expired(self, now: float) -> None:
        """Drops backoffs that have ended."""
        self.until = {id: at for id, at in self.until.items() if at > now}

    def open_workers(
        self, workers: Sequence[RegisteredWorker]
    ) -> Sequence[RegisteredWorker]:
        """Returns the workers without a backoff."""
        if self.none_active():
            return workers
        return [
            each
            for each in workers
            if self.available_in_s(each.incarnation) <= 0.0
        ]

    def none_active(self) -> bool:
        """Returns whether no backoff is active."""
        return self.clock.monotonic() >= self.last_ends_at

    def available_in_s(self, worker: str) -> float:
        """Returns the seconds until a worker's backoff ends, 0 without one."""
        until = self.until.get(worker)
        if until is None:
            return 0.0
        return max(0.0, until - self.clock.monotonic())
