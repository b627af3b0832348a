"""Rate limits that overloaded workers ask of all entries together.

A worker's limit is divided among the entries as in `shared_rates`. Entries
publish limits to each other, since most of them send nothing to the worker and
would not learn from its answers that a limit ended.

Answers may overlap and arrive in another order than they were written. A lower
limit therefore takes effect at once. A higher one takes effect only if its
answer is to a request that was sent after the current limit was known, which
proves that it is newer.
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

OVERSHOOT_RATIO = 1.5  # Times the limit that may arrive in any window.
SLACK_REQUESTS = 5.0  # Requests per window that may arrive on top.
WINDOW_S = 4.0
# Senders per request allowed within a window. Less than 1, as the rest is for
# senders chosen by entries that know a different set of peers.
SENDERS_SHARE = 2 / 3
# Only an answer can tell that a limit ended, so a worker that accepts nothing
# is still sent requests at this rate.
MIN_RATE_PER_S = 0.1
MAX_LIMITS = 1024  # Incarnations with stored limits; 0.5 KB each.


def bound_of(rate_per_s: float) -> RateBound:
    """Returns the bound on all entries' requests to a worker.

    Args:
      rate_per_s: Limit that the worker named, in requests per second.

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
    """The limits that workers reported, by incarnation.

    Attributes:
      shares: This entry's share of the limits.
      clock: Source of monotonic time.
      is_registered: Returns whether a worker id and incarnation are in the
        directory.
      publish: Broadcasts a limit to all peers.
      reported: The newest limit of each worker, including limits that ended.
      rates: Limits in force, in requests per second.
      received_at: When each limit was received here, in monotonic seconds.
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

    # Limits that workers report.

    def record_answer(
        self,
        worker: RegisteredWorker,
        rate_per_s: float | None,
        asked_at: float,
    ) -> None:
        """Records the limit in a worker's answer.

        Args:
          worker: The worker that answered.
          rate_per_s: The limit in requests per second, or None without one.
          asked_at: When the request was sent, in monotonic seconds.
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
        elif reported.is_stricter(known.rate_per_s):
            self.publish_limit(reported)

    def publish_limit(self, limit: RateLimit) -> None:
        """Puts a limit from a worker's answer into force and publishes it."""
        self.set_limit(limit, "answer")
        self.publish(limit)

    def apply_limits(self, limits: Iterable[RateLimit]) -> None:
        """Applies limits from a peer; the newer of two limits is kept.

        If both may be equally new, the lower one is kept.
        """
        for limit in limits:
            known = self.reported.get(limit.incarnation)
            if known is None or limit.supersedes(known):
                self.set_limit(limit, "peer")

    def set_limit(self, limit: RateLimit, source: str) -> None:
        """Stores a limit and puts it into force."""
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
        """Drops the limits of a worker that was deregistered."""
        for incarnation, limit in list(self.reported.items()):
            if limit.worker == worker:
                self.drop(incarnation)

    def drop(self, incarnation: str) -> None:
        """Drops the limit of an incarnation."""
        del self.reported[incarnation]
        del self.received_at[incarnation]
        self.rates.pop(incarnation, None)

    # Synchronisation with peers.

    def registered_limits(self) -> list[RateLimit]:
        """Returns the limits of registered workers."""
        return [
            limit
            for limit in self.reported.values()
            if self.is_registered(limit.worker, limit.incarnation)
        ]

    def digest(self) -> int:
        """Returns a digest of the limits, to compare with peers."""
        total = 0
        for limit in self.registered_limits():
            total ^= stable_hash(
                f"{limit.incarnation}/{limit.serial}/{limit.rate_per_s}"
            )
        return total

    # Requests to workers.

    def open_workers(
        self, workers: Sequence[RegisteredWorker]
    ) -> Sequence[RegisteredWorker]:
        """Returns the workers that this entry may send to now."""
        if not self.rates:
            return workers
        return [each for each in workers if self.available_in_s(each) <= 0.0]

    def available_in_s(self, worker: RegisteredWorker) -> float:
        """Returns the seconds until this entry may send to a worker.

        Infinite if this entry is not one of the worker's senders.
        """
        rate_per_s = self.rates.get(worker.incarnation)
        if rate_per_s is None:
            return 0.0
        return self.shares.available_in_s(worker, bound_of(rate_per_s))

    def any_entry_available_in_s(self, worker: RegisteredWorker) -> float:
        """Returns the seconds until any entry may send to a worker.

        Callers that retry may reach any entry.
        """
        wait_s = self.available_in_s(worker)
        if not wait_s:
            return 0.0
        bound = bound_of(self.rates[worker.incarnation])
        parts = divide(bound, self.shares.fleet.size())
        if parts is None:
            return wait_s
        return min(wait_s, parts.pause_s / parts.senders)

    def record_send(self, worker: RegisteredWorker) -> None:
        """Records that this entry sends a request to a worker."""
        if worker.incarnation in self.rates:
            self.shares.record_send(worker.incarnation)
