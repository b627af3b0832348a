"""Admission: bounded waiting before a pool of workers, fair and honest.

A request that can't be served in time is refused at once, with the time after
which the queue is expected to have drained.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator

import attrs

from rattanpier._internal.dispatch.fairness import Entry, TokenCounterQueue
from rattanpier._internal.models.refusal import Refusal, RefusalCode
from rattanpier._internal.utils.clock import Clock
from rattanpier._internal.utils.metrics import Metrics

DRAIN_SMOOTHING = 0.9  # Weight of the past in the measured drain.
DRAIN_SAMPLE_S = 0.25  # Shortest time over which the drain is measured.
MIN_RETRY_AFTER_S = 0.5
MAX_RETRY_AFTER_S = 60.0
MAX_QUEUED = 1024  # Requests waiting before one pool on one entry.


@attrs.frozen
class Demand:
    """What a request asks of a pool.

    Attributes:
      workspace: Whose it is.
      share: Weight of the workspace.
      max_queued: Requests the workspace may have waiting here.
      cost: Estimated cost, see `fairness.request_cost`.
      deadline: Monotonic seconds at which the caller gives up.
    """

    workspace: str
    share: float
    max_queued: int
    cost: float
    deadline: float


@attrs.define
class DrainMeter:
    """Measures how much cost a pool works off in a second.

    Attributes:
      rate: Cost per second; 0 while nothing is known.
      finished: Cost finished since `since`.
      since: Monotonic seconds.
    """

    rate: float = 0.0
    finished: float = 0.0
    since: float = 0.0

    def add(self, cost: float, now: float) -> None:
        """Takes in the cost of a request that ended."""
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
        """Leaves out a time in which there was nothing to do."""
        self.finished = 0.0
        self.since = now

    def wait_s(self, cost: float) -> float:
        """Returns how long a queue of some cost takes to drain."""
        return cost / self.rate if self.rate else 0.0


@attrs.frozen(eq=False)
class Waiter:
    """A request that waits.

    Attributes:
      demand: What it asks.
      done: Set to None when admitted, or to its refusal.
    """

    demand: Demand
    done: asyncio.Future[Refusal | None]


@attrs.define
class PoolState:
    """The gate before one upstream.

    Attributes:
      queue: Requests that wait.
      drain: How fast the pool works.
      running: Requests admitted and not ended.
    """

    queue: TokenCounterQueue[Waiter] = attrs.Factory(TokenCounterQueue)
    drain: DrainMeter = attrs.Factory(DrainMeter)
    running: int = 0


@attrs.define
class Permit:
    """Leave to use a pool; has to be given back."""

    pool: str
    demand: Demand


@attrs.define
class Admission:
    """The gates of one entry.

    Attributes:
      limit: Returns how many requests an upstream may run for this entry.
      pools: Gates by upstream.
    """

    limit: Callable[[str], int]
    clock: Clock
    metrics: Metrics
    pools: dict[str, PoolState] = attrs.Factory(dict)

    async def acquire(self, name: str, demand: Demand) -> Permit | Refusal:
        """Waits for a place before a pool.

        Args:
          name: The upstream.
          demand: What the request asks.

        Returns:
          A permit to be given to `release`, or an immediate refusal.
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
        """Returns a refusal if waiting is of no use."""
        wait_s = pool.drain.wait_s(self.cost_ahead(pool, demand))
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

    def cost_ahead(self, pool: PoolState, demand: Demand) -> float:
        """Returns the cost that is expected to be served before a request.

        Its own workspace's queue, and of each other workspace no more than
        the share that falls to it in the same time.
        """
        waiting = pool.queue.waiting
        own_cost = sum(
            entry.cost for entry in waiting.get(demand.workspace, ())
        )
        own_cost += demand.cost
        ahead = own_cost
        for name, queue in waiting.items():
            if name != demand.workspace:
                other_cost = sum(entry.cost for entry in queue)
                ahead += min(
                    other_cost, own_cost * queue[0].share / demand.share
                )
        return ahead

    async def wait(
        self, name: str, pool: PoolState, demand: Demand
    ) -> Permit | Refusal:
        """Waits in the queue until admitted, shed or out of time."""
        done = asyncio.get_running_loop().create_future()
        entry = Entry(
            Waiter(demand, done), demand.workspace, demand.cost, demand.share
        )
        pool.queue.push(entry)
        remaining_s = demand.deadline - self.clock.monotonic()
        try:
            # Not wait_for: in Python 3.11 it swallows a cancellation that
            # comes together with the result.
            async with asyncio.timeout(remaining_s):
                refusal = await asyncio.shield(done)
        except TimeoutError:
            pool.queue.remove(entry)
            refusal = done.result() if done.done() else deadline_refusal(pool)
        except asyncio.CancelledError:
            pool.queue.remove(entry)
            if done.done() and done.result() is None:
                self.release(Permit(name, demand), 0.0)
            raise
        return refusal or Permit(name, demand)

    def release(self, permit: Permit, cost: float) -> None:
        """Gives a place back.

        Args:
          permit: From `acquire`.
          cost: What the request really cost; corrects the estimate.
        """
        pool = self.pools[permit.pool]
        pool.running -= 1
        demand = permit.demand
        pool.queue.charge(demand.workspace, cost - demand.cost, demand.share)
        pool.drain.add(cost, self.clock.monotonic())
        self.admit_waiting(permit.pool)

    def admit_waiting(self, name: str) -> None:
        """Admits waiting requests while there are places."""
        pool = self.pools[name]
        while pool.running < self.limit(name):
            entry = pool.queue.pop()
            if entry is None:
                return
            pool.running += 1
            entry.item.done.set_result(None)

    async def run(self) -> None:
        """Sheds what can't be served in time, until cancelled."""
        while True:
            await self.clock.sleep(DRAIN_SAMPLE_S)
            for pool in self.pools.values():
                self.shed(pool)

    def shed(self, pool: PoolState) -> None:
        """Refuses at once what would wait beyond its deadline.

        Without this a request that was let into the queue would learn only
        at its deadline that the pool has become slow.
        """
        if not pool.queue.size:
            return
        now = self.clock.monotonic()
        pool.drain.add(0.0, now)
        for entry in list(find_unservable(pool, now)):
            pool.queue.remove(entry)
            self.metrics.count("admission.shed")
            entry.item.done.set_result(deadline_refusal(pool))


def find_unservable(pool: PoolState, now: float) -> Iterator[Entry[Waiter]]:
    """Yields requests that can't be admitted before their deadlines."""
    for queue in pool.queue.waiting.values():
        ahead = 0.0
        for entry in queue:
            ahead += entry.cost
            wait_s = pool.drain.wait_s(ahead)
            if now + wait_s > entry.item.demand.deadline:
                ahead -= entry.cost
                yield entry


def deadline_refusal(pool: PoolState) -> Refusal:
    """Returns the refusal of a request that can't be served in time."""
    return Refusal(
        RefusalCode.DEADLINE,
        "The request would wait beyond its deadline.",
        True,
        retry_after(pool.drain.wait_s(pool.queue.cost)),
    )


def retry_after(wait_s: float) -> float:
    """Returns the seconds to tell a caller.

    >>> retry_after(0.0), retry_after(3.0), retry_after(1e9)
    (0.5, 3.0, 60.0)
    """
    return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))
