"""Workers that announce in their answers that they are leaving.

The entries and workers run on real sockets.
"""

import asyncio

import pytest

from rattanpier._internal.platform.upstream import read_leaving
from tests.lib.platform_site import event_numbers, platform_site, until


@pytest.fixture
async def site():
    async with platform_site() as made:
        yield made


async def ask_until_answered(site, path="/safe/x", **more):
    """Sends requests until w1 answers one; returns the runs of w1 by then."""
    worker = site.workers["w1"]
    before = len(worker.runs)
    while len(worker.runs) == before:
        await site.ask(path, **more)
    return len(worker.runs)


async def test_worker_that_announced_its_leave_gets_no_requests(site):
    for name in ("w1", "w2"):
        await site.add_worker(name)
    await site.add_entry()
    site.workers["w1"].leaving = True
    runs = await ask_until_answered(site)
    # Its registration still says that it is ready.
    site.register("w1", sequence=2)
    for _ in range(40):
        assert (await site.ask()).status == 200
        assert (await site.ask("/unsafe/x")).status == 200
    assert len(site.workers["w1"].runs) == runs


async def add_entries(site, count):
    """Starts entries and waits until they know each other."""
    first = await site.add_entry("entry-1")
    seeds = [str(first.settings.peers)]
    for number in range(2, count + 1):
        await site.add_entry(f"entry-{number}", seeds=seeds)
    entries = list(site.entries.values())
    await until(
        lambda: all(len(each.fleet.live()) == count for each in entries)
    )
    return entries


def is_leaving(entry, worker="w1"):
    return not entry.state.directory.accepts_requests(worker)


async def test_leaving_workers_are_shared_with_peers(site):
    for name in ("w1", "w2"):
        await site.add_worker(name)
    entries = await add_entries(site, 3)
    site.workers["w1"].leaving = True
    runs = await ask_until_answered(site, entry="entry-1")
    await until(lambda: all(map(is_leaving, entries)))
    late = await site.add_entry(
        "entry-4", seeds=[str(entries[0].settings.peers)]
    )
    await until(lambda: is_leaving(late))
    for name in site.entries:
        for _ in range(10):
            assert (await site.ask(entry=name)).status == 200
    assert len(site.workers["w1"].runs) == runs


async def test_leave_and_limit_in_load_reports_count(site):
    for name in ("w1", "w2"):
        await site.add_worker(name, "engine")
    entries = await add_entries(site, 2)
    site.workers["w1"].leaving = True
    site.workers["w2"].limit = "0.5"
    await until(lambda: all(map(is_leaving, entries)))
    limits = [entry.edge.dispatcher.limits for entry in entries]
    await until(lambda: all(each.rates == {"w2": 0.5} for each in limits))
    assert not site.workers["w1"].runs + site.workers["w2"].runs


async def test_engine_that_reports_draining_gets_no_requests(site):
    for name in ("w1", "w2"):
        await site.add_worker(name, "engine")
    entries = await add_entries(site, 2)
    site.workers["w1"].state = "draining"
    site.workers["w2"].state = "ready"
    await until(lambda: all(map(is_leaving, entries)))
    assert not any(is_leaving(entry, "w2") for entry in entries)
    for _ in range(5):
        assert (await site.chat()).status == 200
    assert not site.workers["w1"].runs


async def test_stream_in_flight_completes_on_leaving_worker(site):
    worker = await site.add_worker("w1", "engine", event_gap_s=0.05)
    entry = await site.add_entry()
    asked = asyncio.create_task(site.chat())
    await until(lambda: worker.runs)
    worker.leaving = True
    await site.chat()
    assert is_leaving(entry)
    answer = await asked
    assert answer.complete
    assert event_numbers(answer.body) == [1, 2, 3, 4, 5]


async def test_new_incarnation_of_leaving_worker_gets_requests(site):
    worker = await site.add_worker("w1")
    site.register("w1", born=1)
    entry = await site.add_entry()
    worker.leaving = True
    before = entry.state.directory.workers["w1"]
    await ask_until_answered(site)
    assert (await site.ask()).status == 503
    worker.leaving = False
    site.register("w1", born=2)
    await until(lambda: not is_leaving(entry))
    assert (await site.ask()).status == 200
    # A late answer of the previous incarnation.
    entry.state.directory.record_leaving(before)
    assert not is_leaving(entry)


async def test_request_is_refused_at_once_if_all_workers_are_leaving(site):
    await site.add_worker("w1")
    await site.add_entry()
    site.workers["w1"].leaving = True
    await ask_until_answered(site)
    answer = await site.ask()
    assert answer.status == 503
    assert b"leaving 1" in answer.body
    assert float(answer.headers["Retry-After"]) > 0


@pytest.mark.parametrize(
    ("text", "leaving"),
    [("1", True), (" 1 ", True), ("0", False), ("", True), ("nan", True)],
)
def test_unknown_value_of_leaving_header_counts_as_leaving(text, leaving):
    assert read_leaving(text) == leaving
