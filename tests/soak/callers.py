"""Simulated callers that discover entries and send them requests."""

import asyncio
import random
import time

import aiohttp
import attrs

from tests.lib.platform_site import HOST, KEY

PATHS = ("/safe/x", "/unsafe/x", "/chat/x")
ADDRESS_TTL_S = 1.0
DEADLINE_S = 3.0
PAUSE_S = 0.03


@attrs.define
class CallRecord:
    """One request and its result; status 0 means no answer."""

    id: str
    path: str
    at: float
    entry: str
    status: int = 0
    body: bytes = b""
    headers: dict = attrs.Factory(dict)
    complete: bool = False
    ended: float = 0.0


@attrs.define
class Caller:
    """Sends requests in a loop over persistent connections."""

    seed: str
    directories: list
    session: aiohttp.ClientSession
    calls: list = attrs.Factory(list)
    addresses: list = attrs.Factory(list)
    fetched_at: float = float("-inf")

    async def run(self, until):
        rng = random.Random(self.seed)
        while time.monotonic() < until:
            await self.refresh_addresses(rng)
            if self.addresses:
                await self.ask(rng)
            await asyncio.sleep(PAUSE_S * rng.random())

    async def refresh_addresses(self, rng):
        if time.monotonic() - self.fetched_at < ADDRESS_TTL_S:
            return
        for directory in rng.sample(self.directories, len(self.directories)):
            try:
                async with self.session.get(
                    f"http://{directory}/rattanpier/resolve",
                    timeout=aiohttp.ClientTimeout(total=0.5),
                ) as response:
                    if response.status == 200:
                        self.addresses = (await response.json())["addresses"]
                        self.fetched_at = time.monotonic()
                        return
            except (aiohttp.ClientError, TimeoutError, OSError):
                continue

    async def ask(self, rng):
        path = rng.choice(PATHS)
        entry = rng.choice(self.addresses)
        call = CallRecord(
            f"{rng.getrandbits(64):016x}", path, time.monotonic(), entry
        )
        self.calls.append(call)
        headers = {
            "Host": HOST,
            "X-Attempt-Id": call.id,
            "X-Deadline-Ms": str(int(DEADLINE_S * 1000)),
            "Authorization": f"Bearer {KEY}",
        }
        if path == "/chat/x":
            headers |= {
                "X-Model": "*",
                "X-Token-Usage": "900,50",
                "X-Prefix-Hash": f"a:400,b:400,{call.id[:4]}:100",
                "Session": f"session-{rng.randrange(40)}",
            }
        try:
            async with self.session.post(
                f"http://{entry}{path}",
                data=b"body",
                headers=headers,
                timeout=aiohttp.ClientTimeout(
                    total=DEADLINE_S, sock_connect=0.5
                ),
            ) as response:
                call.status = response.status
                call.headers = response.headers.copy()
                async for piece in response.content.iter_any():
                    call.body += piece
                call.complete = True
        except (aiohttp.ClientError, TimeoutError, OSError):
            self.addresses = [each for each in self.addresses if each != entry]
        call.ended = time.monotonic()
