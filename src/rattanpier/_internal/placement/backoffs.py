"""Workers that turned a request of this entry away, and asked for rest.

Load answered: a worker that turns all away looks idle, and would be chosen
first, again and again.
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

# Entries that were turned away at the same moment come back over so much more
# of the time that was asked for.
JITTER_SHARE = 0.25
MAX_BACKOFF_S = 60.0  # A worker that wants more is asked again then.
MAX_BACKOFFS = 1024  # Workers that are remembered; 0.2 KB each.


@attrs.define(eq=False, repr=False)
class Backoffs:
    """Until when workers want nothing from this entry.

    Attributes:
      rng: Spreads the ends.
      until: In monotonic seconds, by worker; where a worker's start is known,
        by its incarnation.
      last_ends_at: When the last of them ends.
    """

    clock: Clock
    rng: random.Random
    until: dict[str, float] = attrs.Factory(dict)
    last_ends_at: float = -math.inf

    def record_backoff(self, worker: str, backoff_s: float) -> None:
        """Takes in that a worker asks for rest; the longest one counts."""
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
            "Worker asks for rest.",
            worker=worker,
            rest_s=backoff_s,
            spread_s=round(jitter_s, 3),
        )

    def drop_expired(self, now: float) -> None:
        """Drops rests that ended."""
        self.until = {id: at for id, at in self.until.items() if at > now}

    def open_workers(
        self, workers: Sequence[RegisteredWorker]
    ) -> Sequence[RegisteredWorker]:
        """Returns the workers that did not ask for rest."""
        if self.none_active():
            return workers
        return [
            each for each in workers if self.opens_in_s(each.incarnation) <= 0.0
        ]

    def none_active(self) -> bool:
        """Says whether no worker wants rest."""
        return self.clock.monotonic() >= self.last_ends_at

    def opens_in_s(self, worker: str) -> float:
        """Returns the seconds until a worker takes requests again; 0: now."""
        until = self.until.get(worker)
        if until is None:
            return 0.0
        return max(0.0, until - self.clock.monotonic())
