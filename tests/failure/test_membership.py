"""Dead and frozen entries as seen by callers, with real processes."""

import asyncio
import random
import signal

import aiohttp
import pytest

from tests.lib.builders import configuration_text
from tests.lib.callers import Caller, Ledger
from tests.lib.cluster import Cluster, wait_for

NAMES = ("entry-1", "entry-2", "entry-3", "entry-4")
RETRY_CODES = ("claim_unavailable", "not_current")


@pytest.fixture
async def cluster(tmp_path):
    async with Cluster(tmp_path) as cluster:
        await cluster.start_table()
        url = await cluster.start_standin(
            "engine", "engine", "--versions=small@1=0.9,large@1=1.0"
        )
        await cluster.apply(configuration_text([url], fleet_size=4))
        await asyncio.gather(*(cluster.start_entry(name) for name in NAMES))
        await wait_until_listed(cluster, NAMES, NAMES)
        yield cluster


async def listed_entries(cluster, name):
    url = f"{cluster.urls[name]}/v1/entries"
    async with cluster.session.get(url) as response:
        return {entry["name"] for entry in (await response.json())["entries"]}


async def wait_until_listed(cluster, by, names):
    """Waits until each of `by` lists exactly these entries."""

    async def probe():
        found = [await listed_entries(cluster, name) for name in by]
        return all(entries == set(names) for entries in found)

    await wait_for(probe, 40)


async def answer_after_retries(cluster, name, key):
    """Returns (complete answers, faults) of a caller that retries as told.

    Just after an outage an entry may not know yet that the store is available
    and can't determine the state of the key on other entries, so it answers
    with a time to retry. No other fault is excused.
    """

    async def probe():
        ledger = Ledger()
        async with aiohttp.ClientSession() as session:
            url = cluster.urls[name]
            caller = Caller(session, [url], ledger, random.Random(0))
            caller.cache, caller.cached_until = [url], float("inf")
            await caller.request(key, 5, tries=400)
        told = [[f"{key}: {code}"] for code in RETRY_CODES]
        return None if ledger.lost in told else ledger

    ledger = await wait_for(probe, 40)
    return ledger.whole, ledger.faults


@pytest.mark.parametrize("store", ["none", "down"])
async def test_killed_and_frozen_entries_are_unlisted_by_all(cluster, store):
    await cluster.set_faults("table", fault=store)
    await cluster.processes["entry-1"].kill()
    cluster.processes["entry-2"].send(signal.SIGSTOP)
    await wait_until_listed(cluster, NAMES[2:], NAMES[2:])
    cluster.processes["entry-2"].send(signal.SIGCONT)
    await wait_until_listed(cluster, NAMES[1:], NAMES[1:])
    await cluster.set_faults("table", fault="none")
    for name in NAMES[1:]:
        whole, faults = await answer_after_retries(
            cluster, name, f"after-{name}"
        )
        assert not faults, "; ".join(faults)
        assert whole == 1
    runs = await cluster.runs("engine")
    assert len(runs) == 3
    # The frozen entry rejoined as a new incarnation.
    assert "rejoined" in cluster.processes["entry-2"].log()


async def test_store_outage_alone_declares_no_entry_gone(cluster):
    await cluster.set_faults("table", fault="down")
    await asyncio.sleep(8)
    for name in NAMES:
        assert await listed_entries(cluster, name) == set(NAMES)
        assert "gone" not in cluster.processes[name].log()
