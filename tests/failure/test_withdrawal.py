"""Tests that a withdrawn version gets no new runs.

They use real processes and count the runs at the engines.
"""

import asyncio
import signal

import pytest

from rattanpier._internal.configuration.edit import set_fields
from tests.lib.builders import DESK_KEY, LARGE, SMALL, configuration_text
from tests.lib.cluster import Cluster, wait_for
from tests.lib.version_load import (
    ENTRIES,
    BackgroundLoad,
    count_runs,
    has_answers,
    has_runs,
    send_request,
    start_nodes,
)

FLEET = "[fleet]\nvalidity_s = 2.0"


@pytest.fixture
async def system(tmp_path):
    """Yields three entries whose rule names the small version first."""
    async with Cluster(tmp_path) as cluster:
        await cluster.start_table()
        url = await cluster.start_standin(
            "engine", "engine", "--versions", f"{SMALL}=0.9,{LARGE}=1.0"
        )
        text = configuration_text([url], fleet_size=3)
        await cluster.apply(text.replace("[fleet]", FLEET))
        yield cluster, await start_nodes(cluster)


async def test_no_run_starts_after_a_withdrawal_is_reported_in_force(system):
    cluster, operator = system
    load = BackgroundLoad(cluster, ENTRIES)
    await wait_for(lambda: has_runs(cluster, 20))
    status, report = await operator.post(f"versions/{SMALL}/withdraw")
    started = await count_runs(cluster, SMALL)
    assert (status, report["in_force"]) == (200, True)
    before = len(load.answers)
    await wait_for(lambda: has_answers(load, before + 60))
    await load.stop()
    assert await count_runs(cluster, SMALL) == started
    refused = [a[1]["error"] for a in load.answers if a[0] != 200]
    assert {error["not_run"] for error in refused} == {True}


async def test_thawed_entry_starts_no_run_of_a_withdrawn_version(system):
    cluster, operator = system
    frozen = cluster.processes["entry-1"]
    await send_request(cluster, "entry-1")
    frozen.send(signal.SIGSTOP)
    # These stay in the socket buffers of the frozen entry until it is thawed.
    waiting = [
        asyncio.create_task(send_request(cluster, "entry-1")) for _ in range(20)
    ]
    await asyncio.sleep(0)
    status, report = await operator.post(f"versions/{SMALL}/withdraw")
    started = await count_runs(cluster, SMALL)
    assert (status, report["in_force"]) == (200, True)
    frozen.send(signal.SIGCONT)
    answers = await asyncio.gather(*waiting)
    assert await count_runs(cluster, SMALL) == started
    assert {status for status, _ in answers} == {503}
    assert {body["error"]["not_run"] for _, body in answers} == {True}


async def test_thawed_entry_without_a_push_checks_the_store_before_running(
    system,
):
    cluster, operator = system
    frozen = cluster.processes["entry-1"]
    await send_request(cluster, "entry-1")
    frozen.send(signal.SIGSTOP)
    waiting = [
        asyncio.create_task(send_request(cluster, "entry-1")) for _ in range(20)
    ]
    text = (await operator.get("config"))["text"]
    text = set_fields(text, ["versions", SMALL], {"state": "withdrawn"})
    await cluster.apply(text, revision=2)
    await asyncio.sleep(
        2.5
    )  # The validity of 2 s has expired; other entries have polled.
    started = await count_runs(cluster, SMALL)
    frozen.send(signal.SIGCONT)
    answers = await asyncio.gather(*waiting)
    assert await count_runs(cluster, SMALL) == started
    assert {status for status, _ in answers} == {503}


async def test_requests_and_brakes_work_during_a_store_outage(system):
    cluster, operator = system
    await cluster.set_faults("table", fault="down")
    await asyncio.sleep(4.0)  # Longer than the validity of 2 s.
    for entry in ENTRIES:
        assert (await send_request(cluster, entry))[0] == 200
    status, report = await operator.post(f"versions/{SMALL}/withdraw")
    assert (status, report["outcome"]) == (503, "not_accepted")
    assert report["braked"] == SMALL

    async def braked():
        answers = [await send_request(cluster, entry) for entry in ENTRIES]
        return all(status == 503 for status, _ in answers)

    await wait_for(braked)
    started = await count_runs(cluster, SMALL)
    for entry in ENTRIES:
        _, body = await send_request(cluster, entry)
        assert body["error"]["code"] == "no_version"
    assert await count_runs(cluster, SMALL) == started
    await cluster.set_faults("table", fault="none")

    async def accepted():
        return (await operator.post(f"versions/{SMALL}/withdraw"))[0] == 200

    await wait_for(accepted)
    assert (await operator.get("status"))["brakes"] == []
    assert await count_runs(cluster, SMALL) == started


async def test_withdrawal_overrides_a_session_pin_and_the_caller_is_told(
    system,
):
    cluster, operator = system
    url = f"{cluster.urls['entry-1']}/v1/chat/completions"
    body = {"model": "auto", "messages": [{"role": "user", "content": "x"}]}
    headers = {"Authorization": f"Bearer {DESK_KEY}"}
    async with cluster.session.post(
        url, json=body, headers=headers
    ) as response:
        token = response.headers["X-Session-Token"]
        assert response.headers["X-Model-Version"] == SMALL
    text = (await operator.get("config"))["text"]
    text = text.replace(f'steps = ["{SMALL}"]', f'steps = ["{LARGE}"]')
    text = text.replace('model = "large"', 'model = "small"')
    assert (await operator.post("config", text, base=1))[0] == 200
    headers["X-Session-Token"] = token
    url = url.replace(cluster.urls["entry-1"], cluster.urls["entry-2"])
    async with cluster.session.post(
        url, json=body, headers=headers
    ) as response:
        assert response.headers["X-Model-Version"] == SMALL
    assert (await operator.post(f"versions/{SMALL}/withdraw"))[0] == 200
    started = await count_runs(cluster, SMALL)
    async with cluster.session.post(
        url, json=body, headers=headers
    ) as response:
        assert response.headers["X-Model-Version"] == LARGE
        assert response.headers["X-Session-Version-Lost"] == SMALL
    assert await count_runs(cluster, SMALL) == started
