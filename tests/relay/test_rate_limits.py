"""Workers that say how much they take, before real entries."""

import asyncio

import pytest

from tests.lib.platform_site import platform_site

RATE_PER_S = 0.5
TOLD_S = 0.5  # An answer that was passed on counts from then on.
WINDOW_S = 4.0
ALLOWED = 1.5 * RATE_PER_S * WINDOW_S + 5


@pytest.fixture
async def site():
    async with platform_site() as made:
        yield made


async def ask_for(site, seconds, path="/safe/x", pause_s=0.05):
    """Asks the entries in turn, and returns the answers."""
    loop = asyncio.get_running_loop()
    until = loop.time() + seconds
    answers = []
    while loop.time() < until:
        for entry in site.entries:
            answers.append(await site.ask(path, entry=entry))
        await asyncio.sleep(pause_s)
    return answers


async def test_all_entries_together_keep_within_a_named_limit(site):
    for name in ("w1", "w2", "w3"):
        await site.add_worker(name)
    first = await site.add_entry("entry-1")
    seeds = [str(first.settings.peers)]
    await site.add_entry("entry-2", seeds=seeds)
    site.workers["w1"].limit = str(RATE_PER_S)
    await ask_for(site, 2 * TOLD_S)
    before = len(site.workers["w1"].runs)
    answers = await ask_for(site, WINDOW_S)
    assert len(site.workers["w1"].runs) - before <= ALLOWED
    assert {answer.status for answer in answers} == {200}
