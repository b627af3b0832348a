"""A chat that crashes each engine that runs it reaches few of them.

The same story as in relay/test_crashing_requests.py, on the chat interface: a
failure is put down to the engine alone, the chat goes on to two more, and the
next attempt, here or at another entry, begins anew.
"""

import contextlib

import aiohttp

from tests.lib.builders import DESK_KEY, configuration_text
from tests.lib.cluster import Cluster
from tests.lib.raw import RawUpstream

ENTRIES = ("entry-1", "entry-2")
ENGINES = 9
ATTEMPTS = 6
# Operators take three; the next attempt may come to the other entry while the
# news of the third end is on its way, some ms.
MAX_CRASHED = 4
CRASHING_CHAT = {
    "model": "auto",
    "messages": [{"role": "user", "content": "crash"}],
}


async def send_crashing_chat(cluster, number):
    """Sends the deadly chat under a key of its own; returns the status."""
    url = f"{cluster.urls[ENTRIES[number % 2]]}/v1/chat/completions"
    headers = {
        "Authorization": f"Bearer {DESK_KEY}",
        "X-Timeout-Ms": "5000",
        "Idempotency-Key": f"deadly-{number}",
    }
    async with cluster.session.post(
        url, json=CRASHING_CHAT, headers=headers
    ) as got:
        with contextlib.suppress(aiohttp.ClientError):
            await got.read()
        return got.status


async def test_crashing_chat_reaches_few_engines(tmp_path):
    async with contextlib.AsyncExitStack() as stack:
        engines = [
            await stack.enter_async_context(RawUpstream("crash"))
            for _ in range(ENGINES)
        ]
        cluster = await stack.enter_async_context(Cluster(tmp_path))
        await cluster.start_table()
        text = configuration_text([engine.url for engine in engines])
        await cluster.apply(text)
        await cluster.start_entries(ENTRIES)
        for number in range(ATTEMPTS):
            assert await send_crashing_chat(cluster, number) >= 500
        crashed = sum(bool(engine.runs) for engine in engines)
        assert crashed <= MAX_CRASHED
