"""Brittle workers, which fall over if they have to turn away too much."""

import asyncio

import pytest

from tests.lib.cut_site import ENTRIES, cut_site, lose_path
from tests.lib.platform_site import until
from tests.lib.worker_cuts import Cut, cut_off

ROOM = 8  # As registered: slots, and no queue.
REFUSALS = 2
MAX_FALLS = 2  # 2 + a tenth of the number of workers, rounded down.
WORK_S = 0.1


@pytest.fixture
async def site():
    async with cut_site(engines=0) as made:
        for worker in made.workers.values():
            worker.room = ROOM
            worker.work_s = WORK_S
        yield made


async def announce(site):
    """Lets all workers announce that they are brittle, and entries hear it."""
    for worker in site.workers.values():
        worker.brittle = REFUSALS
    for name in ENTRIES:
        await site.ask(entry=name)
    await asyncio.sleep(0.3)


async def flood(site, each_s, seconds, names=ENTRIES, path="/unsafe/x"):
    """Asks each entry so often a second, and returns the answers."""
    calls = []
    for _ in range(int(seconds * each_s)):
        await asyncio.sleep(1 / each_s)
        calls += [
            asyncio.ensure_future(site.ask(path, entry=name)) for name in names
        ]
    return await asyncio.gather(*calls)


def falls(site):
    return sum(worker.falls for worker in site.workers.values())


def served(answers):
    return sum(answer.status == 200 for answer in answers) / len(answers)


@pytest.mark.parametrize("path", ["/safe/x", "/unsafe/x"])
async def test_overload_of_all_entries_does_not_make_workers_fall(site, path):
    await announce(site)
    # Twice what the workers can serve: 4 workers, 8 slots, 0.1 s each.
    answers = await flood(site, 160, 3.0, path=path)
    assert falls(site) <= MAX_FALLS
    assert served(answers) > 0.25
    refused = [each for each in answers if each.status == 503]
    assert all("Retry-After" in each.headers for each in refused)


async def test_usual_load_is_served_in_full(site):
    await announce(site)
    answers = await flood(site, 30, 2.0)
    assert served(answers) == 1.0
    assert falls(site) == 0


async def test_load_that_reaches_one_entry_is_spread_over_their_shares(site):
    await announce(site)
    answers = await flood(site, 120, 2.0, names=ENTRIES[:1])
    assert served(answers) > 0.9
    assert falls(site) == 0


async def test_fall_of_one_worker_does_not_take_the_others(site):
    await announce(site)
    calls = asyncio.ensure_future(flood(site, 160, 3.0))
    await asyncio.sleep(0.5)
    await site.workers["w0"].stop()
    await calls
    assert falls(site) <= MAX_FALLS


async def test_requests_forwarded_by_cut_entries_count_too(site):
    await announce(site)
    cuts = cut_off(site, *ENTRIES[:2])
    await lose_path(site, *cuts, kind=Cut.REFUSED, services=1)
    await flood(site, 160, 2.0)
    assert falls(site) <= MAX_FALLS


async def test_end_of_brittleness_lifts_the_bound(site):
    await announce(site)
    brittle = site.entries["entry-3"].edge.dispatcher.brittle
    await until(lambda: brittle.is_brittle("plain"))
    for worker in site.workers.values():
        worker.brittle = None
    await flood(site, 20, 1.0, names=ENTRIES[:1])
    await until(lambda: not brittle.is_brittle("plain"))


async def test_entry_that_starts_later_knows_of_brittle_workers(site):
    await announce(site)
    entry = await site.add_entry("entry-9")
    brittle = entry.edge.dispatcher.brittle
    await until(lambda: brittle.is_brittle("plain"))
