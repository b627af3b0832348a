"""Bounds on the requests of all entries together to a worker that warms up.

A worker that has just started can handle a few requests per second and crashes
under more. It also appears idle, so all entries would choose it at the same
moment. The rate that it can handle is divided as in `shared_rates`.

A worker in an unknown state is assumed to be warming up: one that has just
appeared, or whose failure domain is back after it was drained.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Sequence

import attrs
import structlog

from rattanpier._internal.models.route_table import WarmUp
from rattanpier._internal.models.worker import RegisteredWorker
from rattanpier._internal.placement.shared_rates import (
    RateBound,
    SharedRates,
)
from rattanpier._internal.utils.clock import Clock

log = structlog.get_logger(part="workers")

# Delay until a registration that reports a warm-up is known here: one heartbeat
# of the worker and the way through the store and a watcher.
PROPAGATION_S = 1.0
# Warm-up state of a worker is only useful while it warms up.
RETENTION_S = 60.0
WINDOW_S = 1.0
# Two entries send and two are spares: a warm-up ends before all entries would
# learn that a sender is down.
SENDERS = 4
LIVE_SHARE = 0.5


def bound_of(warm_up: WarmUp, overshoot: float, slack: float) -> RateBound:
    """Returns the bound on all entries' requests to a worker that warms up.

    Args:
      warm_up: Duration of the warm-up and the rate that a worker can handle.
      overshoot: Multiple of the rate that may arrive within any one second.
      slack: Requests per second that may arrive on top.

    >>> bound_of(WarmUp(3.0, 9.0), 1.5, 5.0)
    RateBound(rate_per_s=9.0, cap=18, window_s=1.0, senders=4, live_share=0.5)
    """
    cap = math.floor(warm_up.rate_per_s * overshoot + slack)
    return RateBound(warm_up.rate_per_s, cap, WINDOW_S, SENDERS, LIVE_SHARE)


@attrs.define(eq=False, repr=False)
class WarmUps:
    """Workers that warm up, and what this entry may send to them.

    Attributes:
      shares: This entry's share of the bounds.
      clock: Source of monotonic time.
      warm_up_of: Returns the warm-up of a service's workers; None if they need
        no bound.
      overshoot: Multiple of the rate that may arrive within any one second.
      slack: Requests per second that may arrive on top.
      heartbeat_s: Interval at which workers renew their registration.
      reported_until: By incarnation, the time until which the worker reports
        that it warms up, in monotonic seconds.
      presumed_cold_at: By incarnation, since when the worker is assumed to warm
        up regardless of its report, in monotonic seconds.
    """

    shares: SharedRates
    clock: Clock
    warm_up_of: Callable[[str], WarmUp | None]
    overshoot: float = 1.0
    slack: float = 0.0
    heartbeat_s: float = 0.0
    reported_until: dict[str, float] = attrs.Factory(dict)
    presumed_cold_at: dict[str, float] = attrs.Factory(dict)

    # State of workers.

    def record_registration(
        self, worker: RegisteredWorker, appeared: bool
    ) -> None:
        """Records a registration.

        Args:
          worker: The worker that registered.
          appeared: Whether its incarnation was unknown before.
        """
        if worker.warm_in_s > 0.0:
            until = self.clock.monotonic() + worker.warm_in_s
            self.reported_until[worker.incarnation] = until
        else:
            self.reported_until.pop(worker.incarnation, None)
        if appeared:
            self.presume_cold([worker])

    def presume_cold(self, workers: Iterable[RegisteredWorker]) -> None:
        """Assumes from now on that workers warm up, whatever they report.

        This applies to workers that have just appeared, and to workers whose
        domain is no longer drained: they may have gone cold meanwhile, which
        their registrations report up to one heartbeat later.
        """
        self.drop_old()
        now = self.clock.monotonic()
        for worker in workers:
            self.presumed_cold_at[worker.incarnation] = now

    def drop_old(self) -> None:
        """Drops the state of workers that are warm by now or deregistered."""
        oldest = self.clock.monotonic() - RETENTION_S
        for known in (self.reported_until, self.presumed_cold_at):
            for incarnation, at in list(known.items()):
                if at < oldest:
                    del known[incarnation]
        self.shares.forget_before(oldest)

    def warm_in_s(self, worker: RegisteredWorker) -> float:
        """Returns the seconds until a worker is surely warm; 0 if it is."""
        warm_up = self.warm_up_of(worker.service)
        if warm_up is None:
            return 0.0
        reported = self.reported_until.get(worker.incarnation, -math.inf)
        presumed = self.presumed_cold_at.get(worker.incarnation, -math.inf)
        until = max(
            reported + PROPAGATION_S,
            presumed + warm_up.start_s + self.heartbeat_s,
        )
        return max(0.0, until - self.clock.monotonic())

    def is_warming_up(self, worker: RegisteredWorker) -> bool:
        """Returns whether the bound on a worker is in force now."""
        return self.warm_in_s(worker) > 0.0

    # Requests to workers.

    def open_workers(
        self, workers: Sequence[RegisteredWorker]
    ) -> Sequence[RegisteredWorker]:
        """Returns the workers that this entry may send to now."""
        if not self.reported_until and not self.presumed_cold_at:
            return workers
        return [each for each in workers if self.available_in_s(each) <= 0.0]

    def available_in_s(self, worker: RegisteredWorker) -> float:
        """Returns the seconds until this entry may send to a worker."""
        warm_in_s = self.warm_in_s(worker)
        if warm_in_s <= 0.0:
            return 0.0
        warm_up = self.warm_up_of(worker.service)
        assert warm_up is not None
        bound = bound_of(warm_up, self.overshoot, self.slack)
        return min(warm_in_s, self.shares.available_in_s(worker, bound))

    def record_send(self, worker: RegisteredWorker) -> None:
        """Records that this entry sends a request to a worker."""
        if self.is_warming_up(worker):
            self.shares.record_send(worker.incarnation)
            log.info(
                "Sent to a worker that is warming up.",
                worker=worker.id,
                warm_in_s=round(self.warm_in_s(worker), 3),
                entries=self.shares.fleet.size(),
            )
