"""Admission control: bounded queues of requests for a pool of workers.

A request that can't be served before its deadline is refused at once, so that
the caller need not wait for a certain failure. Retry-After then states when the
queue is expected to have drained.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import attrs

from rattanpier._internal.models.refusal import Refusal, RefusalCode
from rattanpier._internal.placement.drain_rate import (
    DRAIN_SAMPLE_S,
    DrainMeter,
    cost_until_served,
    find_unservable,
)
from rattanpier._internal.placement.fair_queue import (
    QueuedRequest,
    TokenCounterQueue,
)
from rattanpier._internal.utils.clock import Clock
from rattanpier._internal.utils.metrics import Metrics

MIN_RETRY_AFTER_S = 0.5
MAX_RETRY_AFTER_S = 60.0
MAX_QUEUED = 1024  # Requests queued for one pool on one entry.


@attrs.frozen
class Demand:
    """Demand of a request on a pool.

    Attributes:
      workspace: Workspace of the request.
      share: Weight of the workspace.
      max_queued: Maximum number of requests that the workspace may have in
        the pool's queue.
      cost: Estimated cost in prompt tokens, see `fair_queue.request_cost`.
      deadline: Deadline of the request in monotonic seconds.
    """

    workspace: str
    share: float
    max_queued: int
    cost: float
    deadline: float


@attrs.frozen(eq=False)
class Waiter:
    """A request in the queue of a pool.

    Attributes:
      demand: Demand of the request.
      done: Resolved with None on admission, or with the refusal.
    """

    demand: Demand
    done: asyncio.Future[Refusal | None]


@attrs.define
class PoolState:
    """Admission state of one upstream.

    Attributes:
      queue: Requests that wait for admission.
      drain: Measures the rate at which the pool finishes requests.
      running: Number of requests that were admitted and have not finished.
    """

    queue: TokenCounterQueue[Waiter] = attrs.Factory(TokenCounterQueue)
    drain: DrainMeter = attrs.Factory(DrainMeter)
    running: int = 0


@attrs.define
class Permit:
    """Permit to use a pool; it has to be released.

    Attributes:
      pool: Name of the upstream.
      demand: Demand of the admitted request.
    """

    pool: str
    demand: Demand


@attrs.define
class Admission:
    """Admission control of one entry.

    Attributes:
      limit: Returns the maximum number of requests that this entry may have
        running at an upstream, given its name.
      pools: Admission state by upstream.
    """

    limit: Callable[[str], int]
    clock: Clock
    metrics: Metrics
    pools: dict[str, PoolState] = attrs.Factory(dict)

    async def acquire(self, name: str, demand: Demand) -> Permit | Refusal:
        """Waits until a request may use a pool.

        Args:
          name: Name of the upstream.
          demand: Demand of the request.

        Returns:
          A permit, to be passed to `release`, or a refusal.
        """
        pool = self.pools.get(name)
        if pool is None:
            drain = DrainMeter(since=self.clock.monotonic())
            pool = self.pools[name] = PoolState(drain=drain)
        if not pool.running:
            pool.drain.restart(self.clock.monotonic())
        if pool.running < self.limit(name) and not pool.queue.size:
            pool.running += 1
            pool.queue.charge(demand.workspace, demand.cost, demand.share)
            return Permit(name, demand)
        refusal = self.refusal_for(pool, demand)
        if refusal is not None:
            return refusal
        return await self.wait(name, pool, demand)

    def refusal_for(self, pool: PoolState, demand: Demand) -> Refusal | None:
        """Returns the refusal of a request that must not be queued, or None.

        A request is refused if the queue is full or if its deadline would pass
        while it waits.
        """
        cost = cost_until_served(
            pool.queue,
            QueuedRequest(None, demand.workspace, demand.cost, demand.share),
        )
        wait_s = pool.drain.wait_s(cost)
        if (
            pool.queue.queued(demand.workspace) >= demand.max_queued
            or pool.queue.size >= MAX_QUEUED
        ):
            return Refusal(
                RefusalCode.QUEUE_FULL,
                "Too many requests are waiting.",
                True,
                retry_after(wait_s),
            )
        if self.clock.monotonic() + wait_s > demand.deadline:
            return deadline_refusal(pool)
        return None

    async def wait(
        self, name: str, pool: PoolState, demand: Demand
    ) -> Permit | Refusal:
        """Queues a request until it is admitted or shed, or times out."""
        done = asyncio.get_running_loop().create_future()
        queued = QueuedRequest(
            Waiter(demand, done), demand.workspace, demand.cost, demand.share
        )
        pool.queue.push(queued)
        remaining_s = demand.deadline - self.clock.monotonic()
        try:
            # In Python 3.11, asyncio.wait_for swallows a cancellation that
            # coincides with the result.
            async with asyncio.timeout(remaining_s):
                refusal = await asyncio.shield(done)
        except TimeoutError:
            pool.queue.remove(queued)
            refusal = done.result() if done.done() else deadline_refusal(pool)
        except asyncio.CancelledError:
            pool.queue.remove(queued)
            if done.done() and done.result() is None:
                self.release(Permit(name, demand), 0.0)
            raise
        return refusal or Permit(name, demand)

    def release(self, permit: Permit, cost: float) -> None:
        """Releases a permit and admits waiting requests.

        Args:
          permit: Returned by `acquire`.
          cost: Actual cost of the request, which replaces the estimate.
        """
        pool = self.pools[permit.pool]
        pool.running -= 1
        demand = permit.demand
        pool.queue.charge(demand.workspace, cost - demand.cost, demand.share)
        pool.drain.add(cost, self.clock.monotonic())
        self.admit_waiting(permit.pool)

    def admit_waiting(self, name: str) -> None:
        """Admits waiting requests up to the limit of a pool."""
        pool = self.pools[name]
        while pool.running < self.limit(name):
            queued = pool.queue.pop()
            if queued is None:
                return
            pool.running += 1
            queued.item.done.set_result(None)

    async def run(self) -> None:
        """Sheds requests periodically, until cancelled."""
        while True:
            await self.clock.sleep(DRAIN_SAMPLE_S)
            for pool in self.pools.values():
                self.shed(pool)

    def shed(self, pool: PoolState) -> None:
        """Refuses queued requests that would wait beyond their deadlines.

        Otherwise, if the pool slows down after a request was queued, its caller
        would be refused only at the deadline.
        """
        if not pool.queue.size:
            return
        now = self.clock.monotonic()
        pool.drain.add(0.0, now)
        late = find_unservable(
            pool.queue,
            lambda _queued, cost: pool.drain.wait_s(cost),
            lambda item: item.demand.deadline,
            now,
        )
        for queued in list(late):
            pool.queue.remove(queued)
            self.metrics.count("admission.shed")
            queued.item.done.set_result(deadline_refusal(pool))


def deadline_refusal(pool: PoolState) -> Refusal:
    """Returns the refusal of a request that would miss its deadline."""
    return Refusal(
        RefusalCode.DEADLINE,
        "The request would wait beyond its deadline.",
        True,
        retry_after(pool.drain.wait_s(pool.queue.cost)),
    )


def retry_after(wait_s: float) -> float:
    """Returns a waiting time in seconds, clamped to the bounds of Retry-After.

    >>> retry_after(0.0), retry_after(3.0), retry_after(1e9)
    (0.5, 3.0, 60.0)
    """
    return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))
