"""Tests that a request runs only on versions its workspace allows."""

import asyncio
import signal

import pytest

from rattanpier._internal.configuration.edit import set_fields
from rattanpier._internal.utils.hashing import sha256_hex
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

OTHER_KEY = "other-key"
OTHER_WORKSPACE = f"""
[workspaces.other]
key_sha256 = ["{sha256_hex(OTHER_KEY)}"]
versions = ["{LARGE}"]
"""
RULES = f"""
[[rules]]
name = "desk"
when.workspaces = ["desk"]
then.version = "{SMALL}"
[[rules]]
name = "rest"
then.version = "{LARGE}"
"""


@pytest.fixture
async def system(tmp_path):
    """Three entries; `desk` may use both versions, `other` the large one."""
    async with Cluster(tmp_path) as cluster:
        await cluster.start_table()
        url = await cluster.start_standin(
            "engine", "engine", "--versions", f"{SMALL}=1.0,{LARGE}=1.0"
        )
        text = configuration_text([url], fleet_size=3)
        text = text.replace("[fleet]", "[fleet]\nvalidity_s = 2.0")
        await cluster.apply(
            text[: text.index("[[rules]]")] + RULES + OTHER_WORKSPACE
        )
        yield cluster, await start_nodes(cluster)


async def revoke_small_version(operator):
    """Revokes the small version from `desk`, on all nodes.

    The configuration check refuses a rule that selects a version which is not
    allowed. Afterwards, only a pinned session or an entry with an older
    revision can still request it.
    """
    text = (await operator.get("config"))["text"]
    text = set_fields(text, ["workspaces", "desk"], {"versions": [LARGE]})
    text = text.replace(f'version = "{SMALL}"', f'version = "{LARGE}"')
    status, report = await operator.post("config", text, base=1)
    assert (status, report["in_force"]) == (200, True)


async def pinned_token(cluster):
    """Returns the header of a session token that pins `desk` to it."""
    async with cluster.session.post(
        f"{cluster.urls['entry-1']}/v1/chat/completions",
        json={
            "model": "auto",
            "messages": [{"role": "user", "content": "x"}],
        },
        headers={"Authorization": f"Bearer {DESK_KEY}"},
    ) as response:
        assert response.headers["X-Model-Version"] == SMALL
        return {"X-Session-Token": response.headers["X-Session-Token"]}


async def test_revoked_version_gets_no_new_runs(system):
    cluster, operator = system
    load = BackgroundLoad(cluster, ENTRIES, **await pinned_token(cluster))
    await wait_for(lambda: has_runs(cluster, 20))
    assert await count_runs(cluster, SMALL) > 0
    await revoke_small_version(operator)
    started = await count_runs(cluster, SMALL)
    before = len(load.answers)
    await wait_for(lambda: has_answers(load, before + 60))
    await load.stop()
    assert await count_runs(cluster, SMALL) == started
    assert {status for status, _ in load.answers} == {200}
    assert load.answers[-1][1]["model"] == LARGE


async def test_entry_suspended_during_the_revocation_does_not_run_it(system):
    cluster, operator = system
    frozen = cluster.processes["entry-1"]
    token = await pinned_token(cluster)
    frozen.send(signal.SIGSTOP)
    waiting = [
        asyncio.create_task(send_request(cluster, "entry-1", **token))
        for _ in range(20)
    ]
    await asyncio.sleep(0)
    await revoke_small_version(operator)
    started = await count_runs(cluster, SMALL)
    frozen.send(signal.SIGCONT)
    await asyncio.gather(*waiting)
    assert await count_runs(cluster, SMALL) == started


async def test_session_token_of_another_workspace_grants_no_access(system):
    cluster, _operator = system
    token = await pinned_token(cluster)
    started = await count_runs(cluster, SMALL)
    for entry in ENTRIES:
        status, body = await send_request(cluster, entry, OTHER_KEY, **token)
        assert (status, body["model"]) == (200, LARGE)
    assert await count_runs(cluster, SMALL) == started


async def test_failed_request_is_not_retried_on_a_disallowed_version(system):
    cluster, _operator = system
    for fault in ("refuse", "fail", "cut_before_answer"):
        await cluster.set_faults("engine", fault=fault)
        started = await count_runs(cluster, SMALL)
        for entry in ENTRIES:
            status, _ = await send_request(cluster, entry, OTHER_KEY)
            assert status >= 500
        assert await count_runs(cluster, SMALL) == started
