"""Client-side discovery of entries, cached for the TTL they return."""

from __future__ import annotations

import random
import time

import aiohttp
import attrs

LIST_TIMEOUT_S = 2.0


@attrs.define
class Directory:
    """Cached list of entries.

    Attributes:
      session: HTTP client session.
      initial_urls: Addresses known from the start.
      rng: Random generator that picks entries.
      urls: Cached addresses.
      expires_at: Monotonic time in seconds at which the cache expires.
      excluded: Addresses that failed since the last refresh.
    """

    session: aiohttp.ClientSession
    initial_urls: list[str]
    rng: random.Random
    urls: list[str] = attrs.Factory(list)
    expires_at: float = 0.0
    excluded: set[str] = attrs.Factory(set)

    async def pick(self) -> str:
        """Returns the address of an entry, preferably one that did not fail."""
        if time.monotonic() >= self.expires_at:
            await self.refresh()
        usable = [url for url in self.urls if url not in self.excluded]
        return self.rng.choice(usable or self.urls or self.initial_urls)

    def exclude(self, url: str) -> None:
        """Excludes an entry until the list is next refreshed."""
        self.excluded.add(url)

    async def refresh(self) -> None:
        """Fetches the list from the first known entry that answers."""
        for url in dict.fromkeys([*self.urls, *self.initial_urls]):
            try:
                await self.fetch_from(url)
            except (aiohttp.ClientError, TimeoutError):
                continue
            return

    async def fetch_from(self, url: str) -> None:
        """Fetches the list from one entry and caches it."""
        timeout = aiohttp.ClientTimeout(total=LIST_TIMEOUT_S)
        async with self.session.get(
            f"{url}/v1/entries", timeout=timeout
        ) as response:
            body = await response.json()
        self.urls = [entry["url"] for entry in body["entries"]]
        self.expires_at = time.monotonic() + body["ttl_s"]
        self.excluded.clear()
