"""A planned stop cuts nothing: SIGTERM in every bad moment.

Counts are taken by callers and at the engine (runs cancelled).
"""

import asyncio
import json
import random
import signal

import aiohttp
import pytest

from tests.lib.builders import DESK_KEY, configuration_text
from tests.lib.callers import Caller, Ledger, Load
from tests.lib.cluster import Cluster, wait_for

TTL_S = 0.5
DRAIN = "[edge]\ndrain_s = 0.5"
NAMES = ("entry-1", "entry-2", "entry-3")


@pytest.fixture
async def cluster(tmp_path):
    async with Cluster(tmp_path) as cluster:
        await cluster.start_table()
        url = await cluster.start_standin(
            "engine",
            "engine",
            "--versions=small@1=0.9,large@1=1.0",
            "--decode_s=0.02",
            "--slots=64",
        )
        text = configuration_text([url], fleet_size=3)
        text = text.replace("[fleet]", f"[fleet]\nentries_ttl_s = {TTL_S}")
        await cluster.apply(text)
        await cluster.start_entries(NAMES, DRAIN)
        await all_listed(cluster, NAMES)
        yield cluster


async def listed(cluster, name):
    url = f"{cluster.urls[name]}/v1/entries"
    async with cluster.session.get(url) as response:
        answer = await response.json()
    return {entry["name"] for entry in answer["entries"]}


async def all_listed(cluster, names):
    async def probe():
        found = [await listed(cluster, name) for name in names]
        return all(entries == set(names) for entries in found)

    await wait_for(probe)


async def nowhere_listed(cluster, leaver, names):
    async def probe():
        found = [await listed(cluster, name) for name in names]
        return all(leaver not in entries for entries in found)

    await wait_for(probe)


async def cancelled(cluster):
    return [run for run in await cluster.runs("engine") if run["cancelled"]]


def urls(cluster):
    return [cluster.urls[name] for name in NAMES]


async def stream_at(cluster, name, ledger, key, max_tokens):
    """One stream through a given entry."""
    async with aiohttp.ClientSession() as session:
        caller = Caller(session, [], ledger, random.Random(0))
        refused = await caller.stream(cluster.urls[name], key, max_tokens)
        assert not refused


async def running(cluster, count):
    async def probe():
        runs = await cluster.runs("engine")
        return sum(run["chunks"] > 0 for run in runs) >= count

    await wait_for(probe)


async def ended(cluster, name):
    process = cluster.processes[name].process
    assert await asyncio.wait_for(process.wait(), 60) == 0


async def test_long_streams_end_whole_though_sigterm_comes_twice(cluster):
    ledger = Ledger()
    streams = [
        asyncio.create_task(
            stream_at(cluster, "entry-1", ledger, f"long-{number}", 400)
        )
        for number in range(20)
    ]
    await running(cluster, 20)
    cluster.processes["entry-1"].send(signal.SIGTERM)
    await asyncio.sleep(0.2)
    cluster.processes["entry-1"].send(signal.SIGTERM)
    await asyncio.gather(*streams)
    await ended(cluster, "entry-1")
    assert ledger.faults == []
    assert ledger.whole == 20
    assert await cancelled(cluster) == []


async def test_a_late_request_is_refused_at_once_as_not_run(cluster):
    ledger = Ledger()
    stream = asyncio.create_task(
        stream_at(cluster, "entry-1", ledger, "long", 250)
    )
    await running(cluster, 1)
    cluster.processes["entry-1"].send(signal.SIGTERM)

    async def refused():
        async with cluster.session.post(
            f"{cluster.urls['entry-1']}/v1/chat/completions",
            json={"model": "auto", "messages": [{"role": "user"}]},
            headers={"Authorization": f"Bearer {DESK_KEY}"},
        ) as response:
            text = await response.text()
            if response.status == 200:
                return None
            return response.status, response.headers, json.loads(text)

    status, headers, answer = await wait_for(refused)
    assert not stream.done()
    assert (status, headers["Connection"]) == (503, "close")
    assert int(headers["Retry-After"]) >= 1
    assert answer["error"]["code"] == "draining"
    assert answer["error"]["not_run"] is True
    await stream
    assert (ledger.whole, ledger.faults) == (1, [])


async def test_a_leaving_entry_is_listed_by_none_and_still_serves(cluster):
    cluster.processes["entry-1"].send(signal.SIGTERM)

    await nowhere_listed(cluster, "entry-1", NAMES)
    ledger = Ledger()
    await stream_at(cluster, "entry-1", ledger, "cached", 20)
    assert (ledger.whole, ledger.faults) == (1, [])
    await ended(cluster, "entry-1")
    assert await cluster.table.get("member/entry-1") is None


async def test_rolling_restart_of_all_under_load_loses_nothing(cluster):
    async with Load(urls(cluster), callers=6) as load:
        for name in NAMES:
            cluster.processes[name].send(signal.SIGTERM)
            await ended(cluster, name)
            await cluster.start_entry(name, DRAIN)
            load.seeds.append(cluster.urls[name])
            await all_listed(cluster, NAMES)
    assert load.ledger.faults == []
    assert load.ledger.whole == load.sent
    assert load.ledger.whole > 20
    assert load.ledger.refusals == []
    assert await cancelled(cluster) == []


async def test_sigterm_in_a_store_outage_cuts_nothing(cluster):
    ledger = Ledger()
    streams = [
        asyncio.create_task(
            stream_at(cluster, "entry-1", ledger, f"outage-{number}", 200)
        )
        for number in range(10)
    ]
    await running(cluster, 10)
    await cluster.set_faults("table", fault="down")
    cluster.processes["entry-1"].send(signal.SIGTERM)

    await nowhere_listed(cluster, "entry-1", NAMES[1:])
    await cluster.set_faults("table", fault="none")
    await asyncio.gather(*streams)
    await ended(cluster, "entry-1")
    assert ledger.faults == []
    assert ledger.whole == 10
    assert await cancelled(cluster) == []
