"""HTTP probes of workers, and their addresses in the platform's list."""

from __future__ import annotations

import urllib.parse
from collections.abc import Awaitable, Callable

import aiohttp

from rattanpier._internal.models.configuration import Worker

PROBE_TIMEOUT_S = 0.7

# Returns whether the worker at a base address answers.
ProbeWorker = Callable[[str], Awaitable[bool]]


def addresses(worker: Worker) -> set[str]:
    """Returns the addresses under which the platform may list a worker.

    >>> sorted(addresses(Worker("http://10.0.0.1:80", "a")))
    ['10.0.0.1', '10.0.0.1:80']
    """
    parts = urllib.parse.urlsplit(worker.url)
    return {parts.hostname or "", parts.netloc}


def http_probe(session: aiohttp.ClientSession) -> ProbeWorker:
    """Returns a probe by HTTP; a response of any status counts as alive."""

    async def probe(url: str) -> bool:
        timeout = aiohttp.ClientTimeout(total=PROBE_TIMEOUT_S)
        try:
            async with session.get(f"{url}/health", timeout=timeout):
                return True
        except (aiohttp.ClientError, TimeoutError):
            return False

    return probe
