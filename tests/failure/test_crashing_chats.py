"""A chat that crashes each engine running it is stopped after a few engines.

As in relay/test_crashing_requests.py, but on the chat interface. If each crash
is blamed on the engine alone, the chat is retried on two more engines, and each
further attempt, at this or another entry, does the same.
"""

import contextlib

import aiohttp

from tests.lib.builders import DESK_KEY, configuration_text
from tests.lib.cluster import Cluster
from tests.lib.raw import RawUpstream

ENTRIES = ("entry-1", "entry-2")
ENGINES = 9
ATTEMPTS = 6
# Operators accept three. The next attempt may reach the other entry during the
# few ms in which the update about the third crash is on its way.
MAX_CRASHED = 4
CRASHING_CHAT = {
    "model": "auto",
    "messages": [{"role": "user", "content": "crash"}],
}


async def send_crashing_chat(cluster, number):
    """Sends the crashing chat under its own key and returns the status."""
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
