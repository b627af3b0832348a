"""A leaving worker, announced or not, gets no new requests after 3 s."""

import asyncio
import signal
import urllib.parse

import pytest

from tests.lib.builders import configuration_text
from tests.lib.callers import Load
from tests.lib.cluster import Cluster, wait_for

NAMES = ("entry-1", "entry-2", "entry-3")
ENGINES = ("engine-0", "engine-1", "engine-2")
LIMIT_S = 3.0
LAG_S = 1.0  # Delay of the VM list; LIMIT_S starts once it can be read.


@pytest.fixture
async def cluster(tmp_path):
    async with Cluster(tmp_path) as cluster:
        await cluster.start_table()
        await cluster.start_standin("vms", "vms")
        for name in ENGINES:
            await cluster.start_standin(
                name,
                "engine",
                "--versions=small@1=0.9,large@1=1.0",
                "--decode_s=0.002",
            )
        text = configuration_text(
            [cluster.urls[name] for name in ENGINES], fleet_size=3
        )
        await cluster.apply(text)
        add_vms_setting(cluster)
        await set_vms(cluster, ())
        await asyncio.gather(*(cluster.start_entry(name) for name in NAMES))
        yield cluster


def add_vms_setting(cluster):
    """Adds the URL of the VM list to the settings of the entries."""
    plain = cluster.settings_text
    vms = f'vms_url = "{cluster.urls["vms"]}"'
    cluster.settings_text = lambda *fields: plain(*fields).replace(
        "[platform]", f"[platform]\n{vms}"
    )


async def set_vms(cluster, leaving):
    vms = [
        {
            "address": urllib.parse.urlsplit(cluster.urls[name]).netloc,
            "state": "leaving" if name in leaving else "live",
        }
        for name in ENGINES
    ]
    url = f"{cluster.urls['vms']}/standin/vms"
    async with cluster.session.post(url, json={"vms": vms}) as response:
        assert response.status == 204


async def count_runs(cluster, name):
    return len(await cluster.runs(name))


async def wait_for_runs(cluster, name, more):
    """Waits until an engine ran `more` further requests."""
    before = await count_runs(cluster, name)

    async def probe():
        return await count_runs(cluster, name) >= before + more

    await wait_for(probe)


class Listener:
    """Listens on a dead engine's port and counts the requests sent there."""

    def __init__(self):
        self.requests = 0

    async def handle(self, reader, writer):
        data = await reader.read(65536)
        self.requests += data.startswith(b"POST /v1/chat")
        writer.close()


@pytest.fixture
async def loaded(cluster):
    urls = [cluster.urls[name] for name in NAMES]
    async with Load(urls, callers=6, max_tokens=5) as load:
        for name in ENGINES:
            await wait_for_runs(cluster, name, 5)
        yield cluster, load


async def check_all_answered(load):
    await load.__aexit__()
    assert load.ledger.faults == []
    assert load.ledger.whole == load.sent
    assert load.ledger.refusals == []


async def test_announced_leaving_worker_gets_no_new_requests(loaded):
    cluster, load = loaded
    await cluster.set_faults("vms", lag_s=LAG_S)
    await set_vms(cluster, ("engine-0",))
    await asyncio.sleep(LAG_S + LIMIT_S)
    before = await count_runs(cluster, "engine-0")
    await wait_for_runs(cluster, "engine-1", 50)
    assert await count_runs(cluster, "engine-0") == before
    await set_vms(cluster, ())
    await wait_for_runs(cluster, "engine-0", 5)
    await check_all_answered(load)


async def test_killed_worker_gets_no_new_requests(loaded):
    cluster, load = loaded
    port = urllib.parse.urlsplit(cluster.urls["engine-0"]).port
    await cluster.processes["engine-0"].kill()
    await asyncio.sleep(LIMIT_S)
    listener = Listener()
    server = await asyncio.start_server(listener.handle, "127.0.0.1", port)
    await wait_for_runs(cluster, "engine-1", 50)
    assert listener.requests == 0
    server.close()
    await check_all_answered(load)


async def test_frozen_worker_gets_no_new_requests_until_it_recovers(loaded):
    cluster, load = loaded
    cluster.processes["engine-0"].send(signal.SIGSTOP)
    await asyncio.sleep(LIMIT_S)
    # Callers whose request is on the frozen worker wait; new ones must not.
    urls = [cluster.urls[name] for name in NAMES]
    async with Load(urls, callers=6, max_tokens=5, prefix="new") as new_load:
        await wait_for_runs(cluster, "engine-1", 50)
    assert new_load.ledger.faults == []
    assert new_load.ledger.whole == new_load.sent
    cluster.processes["engine-0"].send(signal.SIGCONT)
    await wait_for_runs(cluster, "engine-0", 5)
    await check_all_answered(load)


async def test_pool_is_not_excluded_entirely_on_missed_probes(loaded):
    cluster, load = loaded
    for name in ENGINES:
        cluster.processes[name].send(signal.SIGSTOP)
    await asyncio.sleep(LIMIT_S)
    urls = [cluster.urls[name] for name in NAMES]
    async with Load(urls, callers=6, max_tokens=5, prefix="new") as new_load:
        # Requests sent while no worker answers probes wait; they are not
        # refused.
        await asyncio.sleep(1)
        for name in ENGINES:
            cluster.processes[name].send(signal.SIGCONT)
        for name in ENGINES:
            await wait_for_runs(cluster, name, 5)
    assert new_load.ledger.refusals == []
    assert new_load.ledger.whole == new_load.sent
    await check_all_answered(load)
