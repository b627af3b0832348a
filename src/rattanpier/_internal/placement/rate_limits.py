"""Rate limits that overloaded workers ask of all entries together.

A worker's limit is divided among the entries as in `shared_rates`, and made
known to all of them as in `reported_limits`.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence

import attrs
import structlog

from rattanpier._internal.models.rate_limit import RateLimit
from rattanpier._internal.models.worker import RegisteredWorker
from rattanpier._internal.placement.reported_limits import ReportedLimits
from rattanpier._internal.placement.shared_rates import (
    RateBound,
    SharedRates,
    divide,
)
from rattanpier._internal.utils.clock import Clock

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
class RateLimits(ReportedLimits):
    """The rate limits of workers, and what this entry may send to them.

    Attributes:
      shares: This entry's share of the limits.
      clock: Source of monotonic time.
      is_registered: Returns whether a worker id and incarnation are in the
        directory.
      rates: Limits in force, in requests per second.
    """

    shares: SharedRates
    clock: Clock
    is_registered: Callable[[str, str], bool] = lambda _worker, _incarnation: (
        True
    )
    rates: dict[str, float] = attrs.Factory(dict)

    def __attrs_post_init__(self) -> None:
        """Follows the limits that are reported."""
        self.on_limit = self.apply_limit
        self.on_dropped = self.end_limit

    def apply_limit(
        self, limit: RateLimit, previous: RateLimit | None, source: str
    ) -> None:
        """Puts a limit into force."""
        if limit.rate_per_s is None:
            self.end_limit(limit.incarnation)
        else:
            began = limit.incarnation not in self.rates
            self.rates[limit.incarnation] = limit.rate_per_s
            if began:
                self.shares.start_bound(
                    limit.worker, limit.incarnation, bound_of(limit.rate_per_s)
                )
        log.info(
            "Worker's rate limit changed.",
            worker=limit.worker,
            rate_per_s=limit.rate_per_s,
            before=None if previous is None else previous.rate_per_s,
            serial=limit.serial,
            source=source,
        )

    def end_limit(self, incarnation: str) -> None:
        """Ends the limit of an incarnation."""
        self.rates.pop(incarnation, None)

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
