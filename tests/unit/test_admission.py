"""Tests of admission: bounded queues, fairness and immediate refusals."""

import asyncio

import attrs

from rattanpier._internal.dispatch.admission import (
    DRAIN_SAMPLE_S,
    Admission,
    Demand,
    Permit,
)
from rattanpier._internal.models.refusal import Refusal, RefusalCode
from rattanpier._internal.placement.fair_queue import (
    QueuedRequest,
    TokenCounterQueue,
)
from rattanpier._internal.utils.metrics import Metrics
from tests.lib.clock import ManualClock

DEMAND = Demand("desk", 1.0, 4, 100.0, 1000.0)


def build_admission(limit=1):
    return Admission(lambda _name: limit, ManualClock(), Metrics())


async def occupy(admission, demand=DEMAND, rate=100.0):
    """Takes the only place and sets the drain rate; returns the permit."""
    permit = await admission.acquire("pool", demand)
    admission.pools["pool"].drain.rate = rate
    return permit


async def start_acquire(admission, demand):
    task = asyncio.get_running_loop().create_task(
        admission.acquire("pool", demand)
    )
    await asyncio.sleep(0)
    return task


async def test_released_place_goes_to_the_next_waiter():
    admission = build_admission()
    first = await occupy(admission)
    second = await start_acquire(admission, DEMAND)
    assert not second.done()
    admission.release(first, 100.0)
    assert isinstance(await second, Permit)


async def test_full_queue_refuses_at_once_with_the_drain_time():
    admission = build_admission()
    await occupy(admission)
    waiting = [await start_acquire(admission, DEMAND) for _ in range(4)]
    refusal = await admission.acquire("pool", DEMAND)
    assert refusal.code is RefusalCode.QUEUE_FULL
    assert refusal.not_run
    # Five requests with a cost of 100 each, at a rate of 100 per second.
    assert refusal.retry_after_s == 5.0
    for task in waiting:
        task.cancel()


async def test_request_that_would_miss_its_deadline_is_not_queued():
    admission = build_admission()
    await occupy(admission)
    task = await start_acquire(admission, DEMAND)
    refusal = await admission.acquire(
        "pool", attrs.evolve(DEMAND, deadline=1.5)
    )
    assert refusal.code is RefusalCode.DEADLINE
    task.cancel()


async def test_request_is_shed_when_the_pool_becomes_slow():
    admission = build_admission()
    await occupy(admission)
    task = await start_acquire(admission, attrs.evolve(DEMAND, deadline=20.0))
    for _ in range(40):
        admission.clock.now += DRAIN_SAMPLE_S
        admission.shed(admission.pools["pool"])
    refusal = await task
    assert isinstance(refusal, Refusal)
    assert admission.clock.now < 20.0
    assert admission.pools["pool"].queue.size == 0


async def test_cancelled_waiter_is_removed_from_the_queue():
    admission = build_admission()
    permit = await occupy(admission)
    task = await start_acquire(admission, DEMAND)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    admission.release(permit, 100.0)
    assert admission.pools["pool"].running == 0
    assert isinstance(await admission.acquire("pool", DEMAND), Permit)


async def test_waiter_cancelled_on_admission_releases_its_place():
    admission = build_admission()
    permit = await occupy(admission)
    task = await start_acquire(admission, DEMAND)
    admission.release(permit, 100.0)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    assert admission.pools["pool"].running == 0


def test_flood_of_one_workspace_does_not_delay_another():
    queue = TokenCounterQueue()
    for number in range(100):
        queue.push(QueuedRequest(number, "flood", 100.0, 1.0))
    for _ in range(10):
        queue.pop()
    queue.push(QueuedRequest("small", "desk", 100.0, 1.0))
    served = [queue.pop().item for _ in range(2)]
    assert "small" in served


def test_cost_is_divided_by_share():
    queue = TokenCounterQueue()
    for _ in range(400):
        queue.push(QueuedRequest(None, "long", 300.0, 3.0))
        queue.push(QueuedRequest(None, "short", 100.0, 1.0))
    cost = {"long": 0.0, "short": 0.0}
    for _ in range(200):
        queued_request = queue.pop()
        cost[queued_request.workspace] += queued_request.cost
    assert 2.9 < cost["long"] / cost["short"] < 3.1


def test_idle_workspace_gains_no_credit():
    queue = TokenCounterQueue()
    for _ in range(50):
        queue.push(QueuedRequest(None, "busy", 100.0, 1.0))
        queue.pop()
    for _ in range(20):
        queue.push(QueuedRequest(None, "busy", 100.0, 1.0))
        queue.push(QueuedRequest(None, "back", 100.0, 1.0))
    names = [queue.pop().workspace for _ in range(20)]
    assert 9 <= names.count("back") <= 11
