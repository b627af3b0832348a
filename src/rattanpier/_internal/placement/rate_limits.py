"""How much workers in need say that they take, from all entries together.

Two answers may overlap, and come in another order than they were written. So
what narrows counts at once; what widens counts only from an answer to a request
that was sent after the word in force was known, which is surely newer.
"""

from __future__ import annotations

import attrs
import structlog

from rattanpier._internal.models.rate_limit import RateLimit
from rattanpier._internal.models.worker import RegisteredWorker
from rattanpier._internal.utils.clock import Clock

log = structlog.get_logger(part="workers")


@attrs.define(eq=False, repr=False)
class RateLimits:
    """The words in force, by incarnation.

    Attributes:
      words: Also those of workers that take all again.
      known_at: When each was known here, in monotonic seconds.
    """

    clock: Clock
    words: dict[str, RateLimit] = attrs.Factory(dict)
    known_at: dict[str, float] = attrs.Factory(dict)

    def hear(
        self,
        worker: RegisteredWorker,
        rate_per_s: float | None,
        asked_at: float,
    ) -> None:
        """Takes in what a worker's answer says.

        Args:
          worker: Who answered.
          rate_per_s: What it takes; None: it names no limit.
          asked_at: When its request was sent, in monotonic seconds.
        """
        known = self.words.get(worker.incarnation)
        if known is None:
            if rate_per_s is not None:
                self.put(
                    RateLimit(worker.id, worker.incarnation, rate_per_s),
                    "answer",
                )
            return
        if rate_per_s == known.rate_per_s:
            return
        told = attrs.evolve(known, rate_per_s=rate_per_s)
        if asked_at >= self.known_at[worker.incarnation]:
            self.put(attrs.evolve(told, serial=known.serial + 1), "answer")
        elif told.is_narrower(known.rate_per_s):
            self.put(told, "answer")

    def put(self, word: RateLimit, source: str) -> None:
        """Puts a word in force."""
        before = self.words.get(word.incarnation)
        self.words[word.incarnation] = word
        self.known_at[word.incarnation] = self.clock.monotonic()
        log.info(
            "Worker's rate limit changed.",
            worker=word.worker,
            rate_per_s=word.rate_per_s,
            before=None if before is None else before.rate_per_s,
            serial=word.serial,
            source=source,
        )

    def forget(self, worker: str) -> None:
        """Drops what a worker that is gone said."""
        for incarnation, word in list(self.words.items()):
            if word.worker == worker:
                del self.words[incarnation]
                del self.known_at[incarnation]
