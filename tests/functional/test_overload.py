"""Tests admission under a flood by one workspace, through a real entry."""

import asyncio

import pytest

from rattanpier._internal.utils.hashing import sha256_hex
from tests.lib.builders import DESK_KEY, configuration_text
from tests.lib.cluster import Cluster, wait_for

FLOOD_KEY = "flood-key"
FLOOD_REQUESTS = 90
MAX_QUEUED = 40
REFUSAL_TIMEOUT_S = 20.0


@pytest.fixture
async def cluster(tmp_path):
    async with Cluster(tmp_path) as cluster:
        await cluster.start_table()
        url = await cluster.start_standin(
            "engine",
            "engine",
            "--versions",
            "small@1,large@1",
            "--slots",
            "4",
        )
        text = configuration_text([url], fleet_size=1)
        text = text.replace(
            'domain = "a"\nversions', 'domain = "a"\nslots = 4\nversions'
        )
        text += f"""
[workspaces.flood]
key_sha256 = ["{sha256_hex(FLOOD_KEY)}"]
versions = ["small@1"]
max_queued = {MAX_QUEUED}
"""
        await cluster.apply(text)
        await cluster.start_entry("entry-1")
        yield cluster


async def ask(cluster, key, number):
    """Sends a request; returns the response and its body."""
    async with cluster.session.post(
        f"{cluster.urls['entry-1']}/v1/chat/completions",
        json={
            "model": "auto",
            "messages": [{"role": "user", "content": f"prompt {number}"}],
        },
        headers={"Authorization": f"Bearer {key}"},
    ) as response:
        return response, await response.json()


def status(task):
    return task.result()[0].status if task.done() else None


async def test_flood_delays_only_its_own_requests_and_is_refused_at_once(
    cluster,
):
    flood = [
        asyncio.create_task(ask(cluster, FLOOD_KEY, number))
        for number in range(FLOOD_REQUESTS)
    ]

    async def refused():
        return any(status(task) == 429 for task in flood)

    await wait_for(refused, REFUSAL_TIMEOUT_S)
    before = sum(status(task) == 200 for task in flood)
    response, _ = await ask(cluster, DESK_KEY, "desk")
    after = sum(status(task) == 200 for task in flood)
    assert response.status == 200
    # In FIFO order, all queued requests of the flood would have been served
    # before this one.
    assert after - before < MAX_QUEUED // 2
    results = await asyncio.gather(*flood)
    refused = [item for item in results if item[0].status == 429]
    assert 0 < len(refused) < FLOOD_REQUESTS
    for response, body in refused:
        assert body["error"]["code"] == "queue_full"
        assert body["error"]["not_run"] is True
        assert int(response.headers["Retry-After"]) >= 1
    # Counted at the engine: requests refused with "not_run" were not run.
    runs = await cluster.runs("engine")
    assert len(runs) == FLOOD_REQUESTS + 1 - len(refused)
