"""Measured drain rate of a queue, and which requests it can't serve in time."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import TypeVar

import attrs

from rattanpier._internal.placement.fair_queue import (
    QueuedRequest,
    TokenCounterQueue,
)

T = TypeVar("T")

# Weight of the previous value in the moving average of the drain rate.
DRAIN_SMOOTHING = 0.9
# Minimum interval over which the drain rate is measured, and the interval of
# shedding.
DRAIN_SAMPLE_S = 0.25


@attrs.define(eq=False, repr=False)
class DrainMeter:
    """Measures the rate at which a pool finishes requests.

    Attributes:
      rate: Moving average of the cost finished per second; 0 until it was
        measured.
      finished: Cost finished since `since`.
      since: Start of the current measurement in monotonic seconds.
    """

    rate: float = 0.0
    finished: float = 0.0
    since: float = 0.0

    def add(self, cost: float, now: float) -> None:
        """Adds the cost of a finished request.

        The rate is updated once DRAIN_SAMPLE_S have passed.

        Args:
          cost: Cost of the request; 0 only updates the rate.
          now: Current time in monotonic seconds.
        """
        self.finished += cost
        elapsed = now - self.since
        if elapsed < DRAIN_SAMPLE_S:
            return
        sample = self.finished / elapsed
        if self.rate:
            sample = (
                DRAIN_SMOOTHING * self.rate + (1 - DRAIN_SMOOTHING) * sample
            )
        self.rate = sample
        self.finished = 0.0
        self.since = now

    def restart(self, now: float) -> None:
        """Restarts the measurement so that idle time does not count."""
        self.finished = 0.0
        self.since = now

    def wait_s(self, cost: float) -> float:
        """Returns the seconds that a queue of some cost takes to drain.

        Returns 0 while the rate is unknown.
        """
        return cost / self.rate if self.rate else 0.0


def find_unservable(
    queue: TokenCounterQueue[T],
    wait_s: Callable[[QueuedRequest[T], float], float],
    latest_start: Callable[[T], float],
    now: float,
    cost_before: float = 0.0,
) -> Iterator[QueuedRequest[T]]:
    """Yields the queued requests that can't be started in time.

    The cost of a request that is yielded does not count for those behind it.

    Args:
      queue: The queue, which must not be changed meanwhile.
      wait_s: Returns the seconds until a request is started, given the cost up
        to its end.
      latest_start: Returns when a request has to be started at the latest, in
        monotonic seconds, given its item.
      now: Monotonic seconds.
      cost_before: Cost that is served before the queue.
    """

    def is_late(queued: QueuedRequest[T], cost: float) -> bool:
        return now + wait_s(queued, cost) > latest_start(queued.item)

    for queued, cost in queue.in_order(is_late, cost_before):
        if is_late(queued, cost):
            yield queued


def cost_until_served(
    queue: TokenCounterQueue[T], added: QueuedRequest[T]
) -> float:
    """Returns the cost to be finished until a request would be served.

    Args:
      queue: The queue, which does not contain the request.
      added: The request; its own cost is included.
    """
    order = queue.in_order(lambda _queued, _cost: False, added=added)
    return next(cost for queued, cost in order if queued is added)
