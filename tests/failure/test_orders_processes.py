"""Tests orders to engines when the sending process is killed."""

import json
import signal

import pytest

from tests.lib.builders import SMALL, configuration_text
from tests.lib.cluster import Cluster, wait_for

WANTED = ["large@1", "small@1"]


async def read_versions(cluster):
    url = f"{cluster.urls['engine']}/v1/orders"
    async with cluster.session.get(url) as reply:
        return json.loads(await reply.text())["versions"]


async def read_owner(cluster):
    row = await cluster.table.get("orders/pool/lease")
    return json.loads(row.value)["owner"] if row else None


@pytest.mark.parametrize("fencing", [False, True])
async def test_orders_continue_after_the_sender_is_killed(tmp_path, fencing):
    async with Cluster(tmp_path) as cluster:
        await cluster.start_table()
        url = await cluster.start_standin(
            "engine",
            "engine",
            "--versions",
            "small@1=0.9",
            f"--checks_fencing={fencing}",
        )
        text = configuration_text([url]).replace(
            'kind = "engine"',
            f'kind = "engine"\ntakes_orders = true\n'
            f"checks_fencing = {str(fencing).lower()}",
            1,
        )
        await cluster.apply(text)
        for name in ("control-1", "control-2"):
            await cluster.start_node(name, "control")

        async def ordered():
            return await read_versions(cluster) == WANTED

        await wait_for(ordered)
        owner = await read_owner(cluster)
        cluster.processes[owner].send(signal.SIGKILL)
        shrunk = text.replace(f'["{SMALL}", "large@1"]', f'["{SMALL}"]', 1)
        assert shrunk != text
        await cluster.apply(shrunk, revision=2)

        async def ordered_again():
            return await read_versions(cluster) == [SMALL]

        await wait_for(ordered_again, timeout_s=40)
        assert await read_owner(cluster) != owner
