"""How much workers in need say that they take, from all entries together.

What a worker says is divided as `shared_rates` says. Entries tell each other of
it: most of them send nothing there, and would not hear that it ended.

Two answers may overlap, and come in another order than they were written. So
what narrows counts at once; what widens counts only from an answer to a request
that was sent after the limit in force was known, which is surely newer.
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

OVERSHOOT_RATIO = 1.5  # Times the rate that may reach a worker in any window.
SLACK_REQUESTS = 5.0  # Requests that may reach it beyond that.
WINDOW_S = 4.0
# Each of so many senders for a request within a window may hold one back: what
# is left is for senders of entries that know others.
SENDERS_SHARE = 2 / 3
# Only an answer tells that a limit ended: so often a worker that takes nothing
# is asked all the same.
MIN_RATE_PER_S = 0.1
MAX_LIMITS = 1024  # Incarnations whose words are kept; 0.5 KB each.


def bound_of(rate_per_s: float) -> RateBound:
    """Returns what all entries together may send to a worker.

    >>> bound_of(2.0)
    RateBound(rate_per_s=2.0, cap=17, window_s=4.0, senders=11, live_share=1.0)
    """
    cap = math.floor(OVERSHOOT_RATIO * rate_per_s * WINDOW_S + SLACK_REQUESTS)
    return RateBound(
        max(rate_per_s, MIN_RATE_PER_S),
        cap,
        WINDOW_S,
        senders=math.floor(SENDERS_SHARE * cap),
        live_share=1.0,
    )


@attrs.define(eq=False, repr=False)
class RateLimits:
    """The words in force, by incarnation.

    Attributes:
      shares: This entry's part of what a worker takes.
      is_registered: Says whether an incarnation is in the directory.
      publish: Tells all other entries of a limit.
      reported: Also those of workers that take all again.
      rates: Rates of those that don't.
      received_at: When each limit was known here, in monotonic seconds.
    """

    shares: SharedRates
    clock: Clock
    is_registered: Callable[[str, str], bool] = lambda _worker, _incarnation: (
        True
    )
    publish: Callable[[RateLimit], None] = lambda _limit: None
    reported: dict[str, RateLimit] = attrs.Factory(dict)
    rates: dict[str, float] = attrs.Factory(dict)
    received_at: dict[str, float] = attrs.Factory(dict)

    # What workers say.

    def record_answer(
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
        known = self.reported.get(worker.incarnation)
        if known is None:
            if rate_per_s is not None:
                self.publish_limit(
                    RateLimit(worker.id, worker.incarnation, rate_per_s)
                )
            return
        if rate_per_s == known.rate_per_s:
            return
        reported = attrs.evolve(known, rate_per_s=rate_per_s)
        if asked_at >= self.received_at[worker.incarnation]:
            self.publish_limit(attrs.evolve(reported, serial=known.serial + 1))
        elif reported.is_narrower(known.rate_per_s):
            self.publish_limit(reported)

    def publish_limit(self, limit: RateLimit) -> None:
        """Puts a worker's own limit in force, and tells the others."""
        self.set_limit(limit, "answer")
        self.publish(limit)

    def apply_limits(self, limits: Iterable[RateLimit]) -> None:
        """Takes in what another entry heard; of two words the newer counts.

        Of two that may be equally new the narrower does.
        """
        for limit in limits:
            known = self.reported.get(limit.incarnation)
            if known is None or limit.supersedes(known):
                self.set_limit(limit, "peer")

    def set_limit(self, limit: RateLimit, source: str) -> None:
        """Puts a limit in force."""
        previous = self.reported.get(limit.incarnation)
        self.reported[limit.incarnation] = limit
        self.received_at[limit.incarnation] = self.clock.monotonic()
        if limit.rate_per_s is None:
            self.rates.pop(limit.incarnation, None)
        else:
            began = limit.incarnation not in self.rates
            self.rates[limit.incarnation] = limit.rate_per_s
            if began:
                self.shares.start_bound(
                    limit.worker, limit.incarnation, bound_of(limit.rate_per_s)
                )
        if len(self.reported) > MAX_LIMITS:
            self.drop(next(iter(self.reported)))
        log.info(
            "Worker's rate limit changed.",
            worker=limit.worker,
            rate_per_s=limit.rate_per_s,
            before=None if previous is None else previous.rate_per_s,
            serial=limit.serial,
            source=source,
        )

    def forget(self, worker: str) -> None:
        """Drops what a worker that is gone said."""
        for incarnation, limit in list(self.reported.items()):
            if limit.worker == worker:
                self.drop(incarnation)

    def drop(self, incarnation: str) -> None:
        """Drops a limit."""
        del self.reported[incarnation]
        del self.received_at[incarnation]
        self.rates.pop(incarnation, None)

    # What entries that know the same have in common.

    def registered_limits(self) -> list[RateLimit]:
        """Returns the limits of registered workers."""
        return [
            limit
            for limit in self.reported.values()
            if self.is_registered(limit.worker, limit.incarnation)
        ]

    def digest(self) -> int:
        """Returns a number that tells these words from others."""
        total = 0
        for limit in self.registered_limits():
            total ^= stable_hash(
                f"{limit.incarnation}/{limit.serial}/{limit.rate_per_s}"
            )
        return total

    # What may be sent.

    def open_workers(
        self, workers: Sequence[RegisteredWorker]
    ) -> Sequence[RegisteredWorker]:
        """Returns the workers that this entry may send to now."""
        if not self.rates:
            return workers
        return [each for each in workers if self.opens_in_s(each) <= 0.0]

    def opens_in_s(self, worker: RegisteredWorker) -> float:
        """Returns the seconds until a worker takes a request from this entry.

        Infinite for an entry that may not send there.
        """
        rate_per_s = self.rates.get(worker.incarnation)
        if rate_per_s is None:
            return 0.0
        return self.shares.opens_in_s(worker, bound_of(rate_per_s))

    def any_entry_opens_in_s(self, worker: RegisteredWorker) -> float:
        """Returns the seconds until a worker takes a request from any entry.

        Callers that come back ask any of them.
        """
        wait_s = self.opens_in_s(worker)
        if not wait_s:
            return 0.0
        bound = bound_of(self.rates[worker.incarnation])
        parts = divide(bound, self.shares.fleet.size())
        if parts is None:
            return wait_s
        return min(wait_s, parts.pause_s / parts.senders)

    def record_send(self, worker: RegisteredWorker) -> None:
        """Takes in that this entry sends a request to a worker."""
        if worker.incarnation in self.rates:
            self.shares.record_send(worker.incarnation)
