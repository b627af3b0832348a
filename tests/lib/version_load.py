"""Load on entries, with runs counted by version at the engine."""

import asyncio

import aiohttp

from tests.lib.builders import DESK_KEY
from tests.lib.cluster import wait_for
from tests.lib.operators import find_operator

ENTRIES = ("entry-1", "entry-2", "entry-3")


async def start_nodes(cluster):
    """Starts a control process and the entries; returns an operator."""
    await asyncio.gather(
        cluster.start_node("control-1", "control"),
        *(
            cluster.start_entry(name, domain=domain)
            for name, domain in zip(ENTRIES, "abc", strict=True)
        ),
    )
    await wait_for(lambda: entries_know_each_other(cluster))
    return await find_operator(cluster)


async def entries_know_each_other(cluster):
    """Returns whether each entry lists all entries."""
    for entry in ENTRIES:
        url = f"{cluster.urls[entry]}/v1/entries"
        async with cluster.session.get(url) as response:
            listed = (await response.json())["entries"]
        if len(listed) < len(ENTRIES):
            return False
    return True


async def send_request(cluster, entry, key=DESK_KEY, model="auto", **headers):
    """Returns status and JSON body of an answer, or None without one."""
    try:
        async with cluster.session.post(
            f"{cluster.urls[entry]}/v1/chat/completions",
            json={
                "model": model,
                "max_tokens": 4,
                "messages": [{"role": "user", "content": "x"}],
            },
            headers={"Authorization": f"Bearer {key}", **headers},
            timeout=aiohttp.ClientTimeout(total=20),
        ) as response:
            return response.status, await response.json()
    except aiohttp.ClientError:
        return None


async def count_runs(cluster, version):
    return sum(
        run["version"] == version for run in await cluster.runs("engine")
    )


class BackgroundLoad:
    """Sends requests to entries continuously and collects the answers."""

    def __init__(self, cluster, entries, per_entry=4, **headers):
        self.answers = []
        self.stopped = False
        self.headers = headers
        self.tasks = [
            asyncio.create_task(self.run(cluster, entry))
            for entry in entries
            for _ in range(per_entry)
        ]

    async def run(self, cluster, entry):
        while not self.stopped:
            answer = await send_request(cluster, entry, **self.headers)
            self.answers.append(answer)
            if answer is None or answer[0] != 200:
                await asyncio.sleep(0.02)

    async def stop(self):
        self.stopped = True
        await asyncio.gather(*self.tasks)


async def has_runs(cluster, count):
    return len(await cluster.runs("engine")) >= count


async def has_answers(load, count):
    return len(load.answers) >= count
