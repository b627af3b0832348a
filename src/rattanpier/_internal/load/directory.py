"""Which entries to use: asked of any entry, and cached as it says."""

from __future__ import annotations

import random
import time

import aiohttp
import attrs

LIST_TIMEOUT_S = 2.0


@attrs.define
class Directory:
    """Addresses of entries, cached as callers do.

    Attributes:
      session: For calls.
      seeds: Addresses to ask first.
      rng: Picks entries.
      urls: Cached addresses.
      until: Monotonic time at which the cache ends.
      avoided: Addresses that failed since the last answer.
    """

    session: aiohttp.ClientSession
    initial_urls: list[str]
    rng: random.Random
    urls: list[str] = attrs.Factory(list)
    expires_at: float = 0.0
    excluded: set[str] = attrs.Factory(set)

    async def pick(self) -> str:
        """Returns an entry to use."""
        if time.monotonic() >= self.expires_at:
            await self.refresh()
        usable = [url for url in self.urls if url not in self.excluded]
        return self.rng.choice(usable or self.urls or self.initial_urls)

    def exclude(self, url: str) -> None:
        """Leaves an entry out until the list is asked for again."""
        self.excluded.add(url)

    async def refresh(self) -> None:
        """Asks known entries, one after the other, for the list."""
        for url in dict.fromkeys([*self.urls, *self.initial_urls]):
            try:
                await self.fetch_from(url)
            except (aiohttp.ClientError, TimeoutError):
                continue
            return

    async def fetch_from(self, url: str) -> None:
        """Takes the list from one entry."""
        timeout = aiohttp.ClientTimeout(total=LIST_TIMEOUT_S)
        async with self.session.get(
            f"{url}/v1/entries", timeout=timeout
        ) as response:
            body = await response.json()
        self.urls = [entry["url"] for entry in body["entries"]]
        self.expires_at = time.monotonic() + body["ttl_s"]
        self.excluded.clear()
