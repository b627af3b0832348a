"""Workers that declare rate limits, with real entries."""

import asyncio

import pytest

from tests.lib.platform_site import (
    LARGE,
    SMALL,
    event_numbers,
    platform_site,
    until,
)

RATE_PER_S = 0.5
PROPAGATION_S = 0.5  # After this a declared limit applies on all entries.
WINDOW_S = 4.0
MAX_REQUESTS = 1.5 * RATE_PER_S * WINDOW_S + 5


@pytest.fixture
async def site():
    async with platform_site() as made:
        yield made


async def send_for(site, seconds, path="/safe/x", pause_s=0.05):
    """Sends requests to the entries in turn, and returns the answers."""
    loop = asyncio.get_running_loop()
    until = loop.time() + seconds
    answers = []
    while loop.time() < until:
        for entry in site.entries:
            answers.append(await site.ask(path, entry=entry))
        await asyncio.sleep(pause_s)
    return answers


async def test_all_entries_together_keep_a_declared_limit(site):
    for name in ("w1", "w2", "w3"):
        await site.add_worker(name)
    first = await site.add_entry("entry-1")
    seeds = [str(first.settings.peers)]
    await site.add_entry("entry-2", seeds=seeds)
    site.workers["w1"].limit = str(RATE_PER_S)
    await send_for(site, 2 * PROPAGATION_S)
    before = len(site.workers["w1"].runs)
    answers = await send_for(site, WINDOW_S)
    assert len(site.workers["w1"].runs) - before <= MAX_REQUESTS
    assert {answer.status for answer in answers} == {200}


async def make_limited_site(site, workers=("w1",), entries=2, service="plain"):
    """Starts entries, and workers that all declare the same limit."""
    for name in workers:
        worker = await site.add_worker(name, service)
        worker.limit = str(RATE_PER_S)
    first = await site.add_entry("entry-1")
    seeds = [str(first.settings.peers)]
    for number in range(2, entries + 1):
        await site.add_entry(f"entry-{number}", seeds=seeds)
    await until(
        lambda: all(knows_entries(each, entries) for each in entries_of(site))
    )
    return entries_of(site)


def entries_of(site):
    return list(site.entries.values())


def knows_entries(entry, entries):
    return len(entry.fleet.live()) == entries


def limits_of(entry):
    return entry.edge.dispatcher.limits.rates


async def test_a_limit_and_its_end_reach_all_entries(site):
    entries = await make_limited_site(site, entries=3)
    await site.ask(entry="entry-1")
    await until(lambda: all(map(limits_of, entries)))
    site.workers["w1"].limit = ""
    senders = 0
    while any(map(limits_of, entries)):
        for name in site.entries:
            answer = await site.ask(entry=name)
            senders += answer.status == 200
        await asyncio.sleep(0.1)
    assert senders


async def test_a_new_entry_receives_limits_before_it_sends(site):
    first, _ = await make_limited_site(site)
    await site.ask()
    await until(lambda: limits_of(first))
    seeds = [str(first.settings.peers)]
    third = await site.add_entry("entry-3", seeds=seeds)
    await until(lambda: limits_of(third))
    assert len(site.workers["w1"].runs) == 1


async def test_a_request_is_refused_at_once_if_all_workers_are_limited(site):
    await make_limited_site(site, workers=("w1", "w2"))
    answers = await send_for(site, 1.0)
    refused = [answer for answer in answers if answer.status == 503]
    assert refused
    for answer in refused:
        assert 0.0 < float(answer.headers["Retry-After"]) <= 4.0 / RATE_PER_S
        assert b"rate_limited" in answer.body
    assert len({answer.headers["Retry-After"] for answer in refused}) > 1


async def test_a_limit_also_applies_to_escalations(site):
    worker = await site.add_worker("e1", "engine")
    worker.confidence = {SMALL: 10.0, LARGE: 90.0}
    worker.limit = "0.1"
    await site.add_entry()
    answer = await site.chat()
    # Only the small model's answer was possible.
    assert event_numbers(answer.body) == [1, 2, 3, 4, 5]
    assert [run.headers["x-model"] for run in worker.runs] == [SMALL]


async def test_an_answer_of_another_worker_declares_no_limit(site):
    worker = await site.add_worker("w1")
    worker.id = "w9"
    worker.limit = str(RATE_PER_S)
    entry = await site.add_entry()
    assert (await site.ask()).status == 503
    assert not limits_of(entry)
