"""Full workers behind a real entry: requests queue, or are refused unrun."""

import asyncio

import attrs
import pytest

from rattanpier._internal.models.policy import DEFAULT_POLICY
from tests.lib.platform_site import platform_site, until

WORK_S = 0.15
DEADLINE = {"X-Deadline-Ms": "2000"}


async def add_full_workers(site):
    """Adds two workers that take two requests each, and an entry."""
    for name in ("w1", "w2"):
        await site.add_worker(name, work_s=WORK_S, room=2)
        site.register(name, slots=2)
    entry = await site.add_entry()
    # The durations of requests are known.
    for _ in range(4):
        assert (await site.ask(headers=DEADLINE)).status == 200
    return entry


async def fill(site, entry):
    """Takes all four places; returns the answers to come."""
    running = site.workers.values()
    answers = [asyncio.ensure_future(site.ask()) for _ in range(4)]
    await until(lambda: sum(each.running for each in running) == 4)
    # One more is refused by both, so that the entry knows that they are full.
    assert (await site.ask(headers=DEADLINE)).status == 503
    return answers


async def ask_at_once(site, count, deadline_ms="2000"):
    headers = {"X-Deadline-Ms": deadline_ms}
    loop = asyncio.get_running_loop()
    began = loop.time()

    async def ask():
        answer = await site.ask(headers=headers)
        return answer, loop.time() - began

    return await asyncio.gather(*(ask() for _ in range(count)))


async def test_requests_queue_while_workers_are_full_and_are_served():
    async with platform_site() as site:
        entry = await add_full_workers(site)
        metrics = entry.edge.metrics
        filled = await fill(site, entry)
        answers = await ask_at_once(site, 4)
        assert metrics.counts["relay.queued"] == 4
        assert [answer.status for answer, _ in answers] == [200] * 4
        for answer in await asyncio.gather(*filled):
            assert answer.status == 200
        assert set(site.runs().values()) == {1}
        assert metrics.gauges["relay.queue_length"] == 0


async def test_without_the_queue_they_are_refused():
    async with platform_site() as site:
        entry = await add_full_workers(site)
        entry.edge.dispatcher.policy = attrs.evolve(
            DEFAULT_POLICY, admission=False
        )
        filled = await fill(site, entry)
        answers = await ask_at_once(site, 4)
        assert [answer.status for answer, _ in answers] == [503] * 4
        await asyncio.gather(*filled)


async def test_too_many_requests_are_refused_and_never_run():
    async with platform_site() as site:
        entry = await add_full_workers(site)
        filled = await fill(site, entry)
        before = sum(site.runs().values())
        answers = await ask_at_once(site, 60, "1000")
        await asyncio.gather(*filled)
        refused = [each for each in answers if each[0].status != 200]
        served = len(answers) - len(refused)
        assert served > 0
        assert all(answer.status == 503 for answer, _ in refused)
        by_queue = [
            float(answer.headers["Retry-After"])
            for answer, _ in refused
            if b"all workers are full" in answer.body
        ]
        assert len(by_queue) >= 20
        # At most a third of the time left.
        assert all(0.0 < each <= 0.34 for each in by_queue)
        counts = entry.edge.metrics.counts
        assert counts["relay.queue_refused"] > 0
        # Nothing that was refused ran, and nothing ran twice.
        await asyncio.sleep(2 * WORK_S)
        assert sum(site.runs().values()) == before + served
        assert set(site.runs().values()) == {1}


async def test_a_stopping_entry_refuses_its_queue_at_once():
    async with platform_site() as site:
        entry = await add_full_workers(site)
        filled = await fill(site, entry)
        waiting = [asyncio.ensure_future(site.ask()) for _ in range(3)]
        admission = entry.edge.dispatcher.admission
        await until(lambda: admission.queued() == 3)
        entry.drain.begin()
        for answer in await asyncio.gather(*waiting):
            assert answer.status == 503
            assert b"draining" in answer.body
        for answer in await asyncio.gather(*filled):
            assert answer.status == 200


@pytest.mark.parametrize(("slack", "status"), [(0, 503), (1, 200)])
async def test_a_retry_that_waits_for_room_counts_when_it_is_sent(
    slack, status
):
    async with platform_site() as site:
        worker = await site.add_worker("w2", work_s=0.6, room=1)
        site.register("w2", slots=1)
        entry = await site.add_entry(retryBudgetRatio=0, budgetSlack=slack)
        budget = entry.edge.dispatcher.budgets["plain"]
        assert (await site.ask(headers=DEADLINE)).status == 200
        running = asyncio.ensure_future(site.ask())
        await until(lambda: worker.running == 1)
        assert (await site.ask(headers={"X-Deadline-Ms": "200"})).status == 503
        refusing = await site.add_worker("w1", room=0)
        site.register("w1", slots=8)
        await until(lambda: entry.state.directory.accepts_requests("w1"))
        waiting = asyncio.ensure_future(site.ask(headers=DEADLINE))
        await until(lambda: refusing.shed == 1)
        if slack:
            await until(lambda: entry.edge.dispatcher.admission.queued())
            assert budget.remaining() == slack
        assert (await waiting).status == status
        assert budget.remaining() == 0
        assert (await running).status == 200
        assert len(worker.runs) == 2 + slack
