"""Callers get one answer, in order, whatever each send of a request brings."""

import asyncio
import functools
import random

import pytest

from tests.lib.answer_judge import judge_answer, parse_answer
from tests.lib.cut_site import cut_site
from tests.lib.drawn_workers import (
    EVENTS,
    STATUSES,
    Break,
    add_drawn_workers,
    draw_outcomes,
    read_all,
)
from tests.lib.platform_site import platform_site, until
from tests.lib.relay_process import start_entry
from tests.lib.worker_cuts import Cut, cut_off

SLACK = 10**5  # So that no retry is refused.
WORKERS = 4
DRAWS = 300
AT_ONCE = 20
# A stream that is broken off, resumed at a worker that answers with a status
# in place of a stream, and resumed again.
RESUMED = [f"events:3:{how} status:{{}}:length:signed" for how in Break]


async def judge_all(addresses, given, series):
    """Returns what is wrong with the answers to requests, by their outcomes."""
    gate = asyncio.Semaphore(AT_ONCE)

    async def judge(number, outcomes):
        request = f"{number + 1:016x}"
        async with gate:
            address = addresses[number % len(addresses)]
            data = await read_all(address, request, outcomes)
        return outcomes, judge_answer(request, data, given, EVENTS), data

    return await asyncio.gather(
        *(judge(number, each) for number, each in enumerate(series))
    )


def wrong(judged):
    return {outcomes: reason for outcomes, reason, _ in judged if reason}


def answers(judged):
    return [parse_answer(data) for _, _, data in judged]


def drawn_series(seed):
    draw = functools.partial(draw_outcomes, random.Random(seed))
    return [draw() for _ in range(DRAWS)]


@pytest.mark.parametrize("resumed", RESUMED)
async def test_status_of_a_resuming_worker_is_not_written_into_the_stream(
    resumed,
):
    async with platform_site() as site:
        given = await add_drawn_workers(site, WORKERS)
        entry = await site.add_entry(budgetSlack=SLACK)
        series = [f"{resumed.format(status)} whole" for status in STATUSES]
        judged = await judge_all([entry.settings.callers], given, series)
        assert not wrong(judged)
        # A third worker ends the stream.
        whole = [each for each in answers(judged) if each.complete]
        assert len(whole) > 0.9 * len(STATUSES)


@pytest.mark.parametrize("seed", [1, 2])
async def test_answers_are_in_order_for_drawn_outcomes_of_each_send(seed):
    async with platform_site() as site:
        given = await add_drawn_workers(site, WORKERS)
        entry = await site.add_entry(budgetSlack=SLACK)
        address = entry.settings.callers
        judged = await judge_all([address], given, drawn_series(seed))
        assert not wrong(judged)
        resumed = [
            run
            for worker in site.workers.values()
            for run in worker.runs
            if "last-event-id" in run.headers
        ]
        assert len(resumed) > DRAWS / 10


@pytest.mark.parametrize("lost", [False, True])
async def test_answers_through_peers_are_in_order(lost):
    entries = ("entry-1", "entry-2", "entry-3")
    async with cut_site(
        plain=0, engines=0, entries=entries, budgetSlack=SLACK
    ) as site:
        given = await add_drawn_workers(site, WORKERS)
        directories = [each.state.directory for each in site.entries.values()]
        await until(
            lambda: all(
                len(each.accepting_workers("engine")) == WORKERS
                for each in directories
            )
        )
        (cut_entry, other) = cut_off(site, "entry-1", "entry-2")
        cut_entry.set(Cut.REFUSED)
        address = site.entries["entry-1"].settings.callers
        judging = asyncio.ensure_future(
            judge_all([address], given, drawn_series(3))
        )
        while lost and not judging.done():
            # Peers lose and regain their paths meanwhile.
            other.set(Cut.REFUSED)
            await asyncio.sleep(0.2)
            other.set(Cut.NONE)
            await asyncio.sleep(0.3)
        assert not wrong(await judging)
        metrics = site.entries["entry-1"].metrics
        assert metrics.counts["relay.forwarded"] > DRAWS / 2


async def test_answers_of_processes_are_in_order(tmp_path):
    async with platform_site() as site:
        given = await add_drawn_workers(site, WORKERS)
        processes = [
            await start_entry(
                site.store_address, tmp_path, f"entry-{n}", budgetSlack=SLACK
            )
            for n in range(2)
        ]
        try:
            for each in processes:
                await each.wait_until_ready(site.session)
            addresses = [each.settings.callers for each in processes]
            series = [
                f"{each.format(status)} whole"
                for each in RESUMED
                for status in STATUSES
            ]
            series += drawn_series(4)
            assert not wrong(await judge_all(addresses, given, series))
        finally:
            for each in processes:
                await each.kill()
