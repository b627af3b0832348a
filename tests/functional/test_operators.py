"""Tests the operator API of a running system."""

import pytest

from tests.lib.builders import (
    DESK_KEY,
    LARGE,
    OPERATOR_KEY,
    SMALL,
    configuration_text,
)
from tests.lib.cluster import Cluster
from tests.lib.operators import Operator, find_operator


@pytest.fixture
async def system(tmp_path):
    async with Cluster(tmp_path) as cluster:
        await cluster.start_table()
        url = await cluster.start_standin(
            "engine", "engine", "--versions", f"{SMALL}=0.9,{LARGE}=1.0"
        )
        await cluster.apply(configuration_text([url]))
        await cluster.start_node("control-1", "control")
        await cluster.start_entry("entry-1")
        yield cluster, await find_operator(cluster)


async def ask(cluster, entry):
    async with cluster.session.post(
        f"{cluster.urls[entry]}/v1/chat/completions",
        json={"model": "auto", "messages": [{"role": "user", "content": "x"}]},
        headers={"Authorization": f"Bearer {DESK_KEY}"},
    ) as response:
        return response.status, await response.json()


async def test_operator_changes_take_effect_and_are_reported(system):
    cluster, operator = system
    stranger = Operator(cluster, operator.url, DESK_KEY)
    assert (await stranger.call("GET", "status"))[0] == 401
    assert operator.key == OPERATOR_KEY

    shown = await operator.get("config")
    assert shown["revision"] == 1
    text = shown["text"].replace('steps = ["small@1"]', 'steps = ["large@1"]')
    status, report = await operator.post("config", text, base=1)
    assert (status, report["outcome"], report["revision"]) == (
        200,
        "accepted",
        2,
    )
    assert report["in_force"] and report["waiting"] == []
    assert (await ask(cluster, "entry-1"))[1]["model"] == LARGE

    status, report = await operator.post("config", shown["text"], base=1)
    assert (status, report["outcome"]) == (409, "raced")
    assert '+steps = ["large@1"]' in report["other"]["diff"]

    status, report = await operator.post("config", "versions = 1", base=2)
    assert (status, report["error"]["code"]) == (400, "bad_configuration")

    status, report = await operator.post(f"versions/{LARGE}/withdraw")
    assert (status, report["in_force"], report["braked"]) == (200, True, LARGE)
    assert (await ask(cluster, "entry-1"))[0] == 503

    status, report = await operator.post(
        "rollouts/r/start",
        f'{{"stable": "{SMALL}", "candidate": "{LARGE}", "share": 0.1}}',
    )
    assert status == 200
    status, _ = await operator.post("rollouts/r/widen", '{"share": 0.5}')
    assert (await operator.get("rollouts/r"))["share"] == 0.5
    status, report = await operator.post("rollouts/r/halt")
    assert (status, report["braked"]) == (200, LARGE)
    found = await operator.get("rollouts/r")
    assert found["state"] == found["phase"] == "halted"
    assert "begin anew" in found["next_step"]
    status, report = await operator.post("upstreams/pool/drain")
    assert status == 200

    history = await operator.get("history")
    assert [item["revision"] for item in history] == [7, 6, 5, 4, 3, 2, 1]
    found = await operator.get("status")
    assert (found["revision"], found["in_force"]) == (7, True)
    asked = await operator.get(f"changes/{report['change']}", revision=7)
    assert asked["outcome"] == "accepted"
