"""How much workers in need say that they take, from all entries together.

What a worker says is divided as `shared_rates` says. Entries tell each other of
it: most of them send nothing there, and would not hear that it ended.

Two answers may overlap, and come in another order than they were written. So
what narrows counts at once; what widens counts only from an answer to a request
that was sent after the word in force was known, which is surely newer.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Sequence

import attrs
import structlog

from rattanpier._internal.models.rate_limit import RateLimit
from rattanpier._internal.models.worker import RegisteredWorker
from rattanpier._internal.placement.shared_rates import (
    RateBound,
    SharedRates,
    divide,
)
from rattanpier._internal.utils.clock import Clock
from rattanpier._internal.utils.hashing import stable_hash

log = structlog.get_logger(part="workers")

OVERSHOOT = 1.5  # Times the rate that may reach a worker in any window.
SLACK = 5.0  # Requests that may reach it beyond that.
WINDOW_S = 4.0
# Each of so many senders for a request within a window may hold one back: what
# is left is for senders of entries that know others.
SENDERS_SHARE = 2 / 3
# Only an answer tells that a limit ended: so often a worker that takes nothing
# is asked all the same.
LEAST_RATE_PER_S = 0.1
MOST_WORDS = 1024  # Incarnations whose words are kept; 0.5 KB each.


def bound_of(rate_per_s: float) -> RateBound:
    """Returns what all entries together may send to a worker.

    >>> bound_of(2.0)
    RateBound(rate_per_s=2.0, cap=17, window_s=4.0, senders=11, live_share=1.0)
    """
    most = math.floor(OVERSHOOT * rate_per_s * WINDOW_S + SLACK)
    return RateBound(
        max(rate_per_s, LEAST_RATE_PER_S),
        most,
        WINDOW_S,
        senders=math.floor(SENDERS_SHARE * most),
        live_share=1.0,
    )


@attrs.define(eq=False, repr=False)
class RateLimits:
    """The words in force, by incarnation.

    Attributes:
      shares: This entry's part of what a worker takes.
      registered: Says whether an incarnation is in the directory.
      tell: Tells all other entries of a word.
      words: Also those of workers that take all again.
      limited: Rates of those that don't.
      known_at: When each word was known here, in monotonic seconds.
    """

    shares: SharedRates
    clock: Clock
    registered: Callable[[str, str], bool] = lambda _worker, _incarnation: True
    tell: Callable[[RateLimit], None] = lambda _word: None
    words: dict[str, RateLimit] = attrs.Factory(dict)
    limited: dict[str, float] = attrs.Factory(dict)
    known_at: dict[str, float] = attrs.Factory(dict)

    # What workers say.

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
                self.note(RateLimit(worker.id, worker.incarnation, rate_per_s))
            return
        if rate_per_s == known.rate_per_s:
            return
        told = attrs.evolve(known, rate_per_s=rate_per_s)
        if asked_at >= self.known_at[worker.incarnation]:
            self.note(attrs.evolve(told, serial=known.serial + 1))
        elif told.is_narrower(known.rate_per_s):
            self.note(told)

    def note(self, word: RateLimit) -> None:
        """Puts a worker's own word in force, and tells the others."""
        self.put(word, "answer")
        self.tell(word)

    def take(self, words: Iterable[RateLimit]) -> None:
        """Takes in what another entry heard; of two words the newer counts.

        Of two that may be equally new the narrower does.
        """
        for word in words:
            known = self.words.get(word.incarnation)
            if known is None or word.supersedes(known):
                self.put(word, "peer")

    def put(self, word: RateLimit, source: str) -> None:
        """Puts a word in force."""
        before = self.words.get(word.incarnation)
        self.words[word.incarnation] = word
        self.known_at[word.incarnation] = self.clock.monotonic()
        if word.rate_per_s is None:
            self.limited.pop(word.incarnation, None)
        else:
            began = word.incarnation not in self.limited
            self.limited[word.incarnation] = word.rate_per_s
            if began:
                self.shares.start_bound(
                    word.worker, word.incarnation, bound_of(word.rate_per_s)
                )
        if len(self.words) > MOST_WORDS:
            self.drop(next(iter(self.words)))
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
                self.drop(incarnation)

    def drop(self, incarnation: str) -> None:
        """Drops a word."""
        del self.words[incarnation]
        del self.known_at[incarnation]
        self.limited.pop(incarnation, None)

    # What entries that know the same have in common.

    def standing(self) -> list[RateLimit]:
        """Returns the words of registered workers."""
        return [
            word
            for word in self.words.values()
            if self.registered(word.worker, word.incarnation)
        ]

    def digest(self) -> int:
        """Returns a number that tells these words from others."""
        total = 0
        for word in self.standing():
            total ^= stable_hash(
                f"{word.incarnation}/{word.serial}/{word.rate_per_s}"
            )
        return total

    # What may be sent.

    def open(
        self, workers: Sequence[RegisteredWorker]
    ) -> Sequence[RegisteredWorker]:
        """Returns the workers that this entry may send to now."""
        if not self.limited:
            return workers
        return [each for each in workers if self.opens_in_s(each) <= 0.0]

    def opens_in_s(self, worker: RegisteredWorker) -> float:
        """Returns the seconds until a worker takes a request from this entry.

        Infinite for an entry that may not send there.
        """
        rate_per_s = self.limited.get(worker.incarnation)
        if rate_per_s is None:
            return 0.0
        return self.shares.opens_in_s(worker, bound_of(rate_per_s))

    def soonest_s(self, worker: RegisteredWorker) -> float:
        """Returns the seconds until a worker takes a request from any entry.

        Callers that come back ask any of them.
        """
        wait_s = self.opens_in_s(worker)
        if not wait_s:
            return 0.0
        bound = bound_of(self.limited[worker.incarnation])
        parts = divide(bound, self.shares.fleet.size())
        if parts is None:
            return wait_s
        return min(wait_s, parts.pause_s / parts.senders)

    def note_send(self, worker: RegisteredWorker) -> None:
        """Takes in that this entry sends a request to a worker."""
        if worker.incarnation in self.limited:
            self.shares.record_send(worker.incarnation)
