"""A trace that an entry records replays to the decisions it made."""

import aiohttp

from rattanpier._internal.commands.replay import replay_file
from tests.lib.builders import DESK_KEY, SMALL, configuration_text
from tests.lib.cluster import Cluster


async def test_entry_records_replayable_trace(tmp_path):
    trace = tmp_path / "trace.jsonl"
    async with Cluster(tmp_path) as cluster:
        await cluster.start_table()
        url = await cluster.start_standin(
            "engine", "engine", "--versions", f"{SMALL}=0.9"
        )
        await cluster.apply(configuration_text([url]))
        settings = tmp_path / "traced.toml"
        settings.write_text(
            f'trace_path = "{trace}"\n' + cluster.settings_text("entry-1")
        )
        await cluster.launch("entry-1", "entry", "--settings", str(settings))
        entry_url = await cluster.wait_ready("entry-1")
        async with aiohttp.ClientSession() as session:
            response = await session.post(
                f"{entry_url}/v1/chat/completions",
                json={"model": "auto", "messages": [{"content": "hello"}]},
                headers={"Authorization": f"Bearer {DESK_KEY}"},
            )
            assert response.status == 200
        await cluster.processes["entry-1"].stop()
    assert replay_file(str(trace)) == [
        "started",
        "revision 1",
        f"steps {SMALL}",
    ]
