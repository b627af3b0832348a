"""How much a worker gets while it warms up, over all entries together.

A worker that has just started bears a few requests a second and ends under
more. It also looks empty, so that all entries would choose it at the same
moment. What it bears is divided as `shared_rates` says.

What is not known counts as warming up: a worker that appears, one whose domain
comes back after it was drained.
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

# The registration that tells of a warm-up is as old as one heartbeat of the
# worker and the way through the store and a watcher.
PROPAGATION_S = 1.0
# What is known of a worker is of use for as long as it warms up.
RETENTION_S = 60.0
WINDOW_S = 1.0
# Two entries send, and two more stand by: a warm-up is over before it would be
# known everywhere that one is down.
SENDERS = 4
LIVE_SHARE = 0.5


def bound_of(warm_up: WarmUp, overshoot: float, slack: float) -> RateBound:
    """Returns what all entries together may send to a worker that warms up.

    Args:
      warm_up: What the worker bears.
      overshoot: Times the rate that may reach it in any one second.
      slack: Requests that may reach it beyond that.

    >>> bound_of(WarmUp(3.0, 9.0), 1.5, 5.0)
    RateBound(rate_per_s=9.0, cap=18, window_s=1.0, senders=4, live_share=0.5)
    """
    cap = math.floor(warm_up.rate_per_s * overshoot + slack)
    return RateBound(warm_up.rate_per_s, cap, WINDOW_S, SENDERS, LIVE_SHARE)


@attrs.define(eq=False, repr=False)
class WarmUps:
    """Workers that warm up, and what this entry may send them.

    Workers are known here by their incarnations.

    Attributes:
      shares: This entry's part of what a worker bears.
      warm_up_of: What workers of a service bear; None where it is unbounded.
      overshoot: Times the rate that may reach one in any one second.
      slack: Requests that may reach one beyond that.
      heartbeat_s: Workers renew their registration this often.
      reported_until: Until when each says that it warms up, in monotonic seconds.
      presumed_cold_at: Since when each is taken to, whatever it says.
    """

    shares: SharedRates
    clock: Clock
    warm_up_of: Callable[[str], WarmUp | None]
    overshoot: float = 1.0
    slack: float = 0.0
    heartbeat_s: float = 0.0
    reported_until: dict[str, float] = attrs.Factory(dict)
    presumed_cold_at: dict[str, float] = attrs.Factory(dict)

    # What is known of workers.

    def record_registration(
        self, worker: RegisteredWorker, appeared: bool
    ) -> None:
        """Takes in a registration.

        Args:
          worker: Who registered.
          appeared: Its incarnation was not known before.
        """
        if worker.warm_in_s > 0.0:
            until = self.clock.monotonic() + worker.warm_in_s
            self.reported_until[worker.incarnation] = until
        else:
            self.reported_until.pop(worker.incarnation, None)
        if appeared:
            self.presume_cold([worker])

    def presume_cold(self, workers: Iterable[RegisteredWorker]) -> None:
        """Takes workers to warm up from now on, whatever they say.

        That holds for those that have just appeared, and for those whose domain
        gets requests again: they may have turned cold meanwhile, which their
        registrations tell a heartbeat later.
        """
        self.drop_old()
        now = self.clock.monotonic()
        for worker in workers:
            self.presumed_cold_at[worker.incarnation] = now

    def drop_old(self) -> None:
        """Drops what was known of workers that are warm by now, or gone."""
        oldest = self.clock.monotonic() - RETENTION_S
        for known in (self.reported_until, self.presumed_cold_at):
            for incarnation, at in list(known.items()):
                if at < oldest:
                    del known[incarnation]
        self.shares.forget_before(oldest)

    def warm_in_s(self, worker: RegisteredWorker) -> float:
        """Returns the seconds until a worker is surely warm; 0: it is."""
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
        """Says whether a worker's bound holds for what it gets now."""
        return self.warm_in_s(worker) > 0.0

    # What may be sent.

    def open_workers(
        self, workers: Sequence[RegisteredWorker]
    ) -> Sequence[RegisteredWorker]:
        """Returns the workers that this entry may send to now."""
        if not self.reported_until and not self.presumed_cold_at:
            return workers
        return [each for each in workers if self.opens_in_s(each) <= 0.0]

    def opens_in_s(self, worker: RegisteredWorker) -> float:
        """Returns the seconds until this entry may send to a worker."""
        warm_in_s = self.warm_in_s(worker)
        if warm_in_s <= 0.0:
            return 0.0
        warm_up = self.warm_up_of(worker.service)
        assert warm_up is not None
        bound = bound_of(warm_up, self.overshoot, self.slack)
        return min(warm_in_s, self.shares.opens_in_s(worker, bound))

    def record_send(self, worker: RegisteredWorker) -> None:
        """Takes in that this entry sends a request to a worker."""
        if self.is_warming_up(worker):
            self.shares.record_send(worker.incarnation)
            log.info(
                "Sent to a worker that warms up.",
                worker=worker.id,
                warm_in_s=round(self.warm_in_s(worker), 3),
                entries=self.shares.fleet.size(),
            )
