"""Callers that do as told: ask for entries, cache them, send requests."""

import asyncio
import json
import random
import time

import aiohttp
import attrs

from tests.lib.builders import DESK_KEY

DONE = "[DONE]"


@attrs.define
class Ledger:
    """What callers saw."""

    whole: int = 0
    cut: list[str] = attrs.Factory(list)
    lost: list[str] = attrs.Factory(list)
    refusals: list[str] = attrs.Factory(list)
    by_entry: dict[str, int] = attrs.Factory(dict)

    @property
    def faults(self):
        return self.cut + self.lost


@attrs.define
class Caller:
    """One caller with its own cache of addresses and own connections.

    A refusal that says "not run" and a connection that could not be opened
    are followed by the next address; nothing else is repeated.
    """

    session: aiohttp.ClientSession
    seeds: list[str]
    ledger: Ledger
    rng: random.Random
    cache: list[str] = attrs.Factory(list)
    cached_until: float = 0.0

    async def addresses(self):
        if time.monotonic() < self.cached_until and self.cache:
            return self.cache
        for seed in [*self.cache, *self.seeds]:
            try:
                async with self.session.get(
                    f"{seed}/v1/entries", timeout=aiohttp.ClientTimeout(2)
                ) as response:
                    answer = await response.json()
            except (aiohttp.ClientError, TimeoutError):
                continue
            self.cache = [entry["url"] for entry in answer["entries"]]
            self.cached_until = time.monotonic() + answer["ttl_s"]
            return self.cache
        return self.cache

    async def request(self, key, max_tokens, tries=8):
        """Sends one request until it has its answer."""
        refused = ""
        for _ in range(tries):
            url = self.rng.choice(await self.addresses())
            try:
                refused = await self.stream(url, key, max_tokens)
            except aiohttp.ClientConnectorError as error:
                refused = repr(error)
                self.ledger.refusals.append(f"connect {url}")
            if not refused:
                return
            self.cached_until = 0.0
            await asyncio.sleep(0.05)
        self.ledger.lost.append(f"{key}: {refused}")

    async def stream(self, url, key, max_tokens):
        """Reads one stream; returns why it was refused, or nothing."""
        body = {
            "model": "auto",
            "stream": True,
            "max_tokens": max_tokens,
            "messages": [{"role": "user", "content": f"prompt {key}"}],
        }
        headers = {
            "Authorization": f"Bearer {DESK_KEY}",
            "Idempotency-Key": key,
        }
        pieces = 0
        try:
            async with self.session.post(
                f"{url}/v1/chat/completions", json=body, headers=headers
            ) as response:
                if response.status != 200:
                    return await self.refusal(response, key)
                async for line in response.content:
                    data = line.decode().removeprefix("data: ").strip()
                    if data == DONE:
                        if pieces != max_tokens + 1:
                            self.ledger.cut.append(f"{key}: {pieces} pieces")
                            return ""
                        self.ledger.whole += 1
                        count = self.ledger.by_entry.get(url, 0)
                        self.ledger.by_entry[url] = count + 1
                        return ""
                    if '"error"' in data:
                        self.ledger.cut.append(f"{key}: {data}")
                        return ""
                    pieces += bool(data)
        except aiohttp.ClientConnectorError:
            raise
        except (aiohttp.ClientError, TimeoutError) as error:
            self.ledger.cut.append(f"{key}: {error!r} after {pieces}")
            return ""
        self.ledger.cut.append(f"{key}: ended after {pieces}")
        return ""

    async def refusal(self, response, key):
        text = await response.text()
        error = json.loads(text)["error"]
        self.ledger.refusals.append(error["code"])
        if not error["not_run"]:
            self.ledger.lost.append(f"{key}: {error['code']}")
            return ""
        return error["code"]


class Load:
    """Callers that send streams without pause until told to stop."""

    def __init__(self, seeds, callers=4, max_tokens=20, prefix="load"):
        self.ledger = Ledger()
        self.seeds = seeds
        self.callers = callers
        self.max_tokens = max_tokens
        self.prefix = prefix
        self.sent = 0
        self.stopping = False
        self.tasks = []

    async def __aenter__(self):
        self.tasks = [
            asyncio.create_task(self.run(number))
            for number in range(self.callers)
        ]
        return self

    async def run(self, number):
        async with aiohttp.ClientSession() as session:
            caller = Caller(
                session, self.seeds, self.ledger, random.Random(number)
            )
            while not self.stopping:
                self.sent += 1
                key = f"{self.prefix}-{number}-{self.sent}"
                await caller.request(key, self.max_tokens)

    async def __aexit__(self, *_):
        self.stopping = True
        await asyncio.gather(*self.tasks)
