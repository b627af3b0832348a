"""Simulated callers that discover entries and send them requests."""

import asyncio
import random
import time

import aiohttp
import attrs
import h11

from tests.lib.platform_site import HOST, KEY
from tests.lib.slow_callers import SlowCaller

PATHS = ("/safe/x", "/unsafe/x", "/chat/x")
ADDRESS_TTL_S = 1.0
DEADLINE_S = 3.0
PAUSE_S = 0.03
CRASHING_PART = "crashing"
CRASHING_PAUSE_S = 0.4
# Of a slow caller: how long it first reads nothing, and how it reads then. It
# has read all within its deadline, so that a planned stop can wait for it.
STALL_S = 1.0
READ_BYTES = 65536
RECEIVE_BYTES = 65536
READ_PAUSE_S = 0.01
ANSWER_BYTES = (20_000, 300_000, 1_200_000)


@attrs.define
class CallRecord:
    """One request and its result; status 0 means no answer.

    `slow` if its caller reads slowly; `cut` if its connection then ended before
    the answer, and not because the caller gave up.
    """

    id: str
    path: str
    at: float
    entry: str
    status: int = 0
    body: bytes = b""
    headers: dict = attrs.Factory(dict)
    complete: bool = False
    ended: float = 0.0
    slow: bool = False
    cut: bool = False


@attrs.define
class Caller:
    """Sends requests in a loop over persistent connections."""

    seed: str
    directories: list
    session: aiohttp.ClientSession
    calls: list = attrs.Factory(list)
    addresses: list = attrs.Factory(list)
    fetched_at: float = float("-inf")
    paths: tuple = PATHS
    part: str = "b"  # Second part of prompts.
    pause_s: float = PAUSE_S

    async def run(self, until):
        rng = random.Random(self.seed)
        while time.monotonic() < until:
            await self.refresh_addresses(rng)
            if self.addresses:
                await self.ask(rng)
            await asyncio.sleep(self.pause_s * rng.random())

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

    def body(self, call):
        return b"body"

    async def ask(self, rng):
        path = rng.choice(self.paths)
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
                "X-Prefix-Hash": f"a:400,{self.part}:400,{call.id[:4]}:100",
                "Session": f"session-{rng.randrange(40)}",
            }
        try:
            async with self.session.post(
                f"http://{entry}{path}",
                data=self.body(call),
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


@attrs.define
class CrashingCaller(Caller):
    """Sends chats with a part that crashes workers, no two alike."""

    paths: tuple = ("/chat/x",)
    part: str = CRASHING_PART
    pause_s: float = CRASHING_PAUSE_S

    def body(self, call):
        return call.id.encode()


@attrs.define
class SlowReadingCaller(Caller):
    """Asks for long answers, and reads nothing of them for a while."""

    async def ask(self, rng):
        path = rng.choice(PATHS)
        entry = rng.choice(self.addresses)
        id = f"{rng.getrandbits(64):016x}"
        call = CallRecord(id, path, time.monotonic(), entry, slow=True)
        self.calls.append(call)
        size = rng.choice(ANSWER_BYTES)
        stall_s = rng.uniform(0.0, STALL_S)
        caller = SlowCaller(entry, RECEIVE_BYTES)
        try:
            async with asyncio.timeout(DEADLINE_S + 1.0):
                await caller.send(
                    id,
                    path,
                    deadline_ms=int(DEADLINE_S * 1000),
                    event_bytes=size // 5,
                    body_bytes=size,
                )
                await asyncio.sleep(stall_s)
                while await caller.read(READ_BYTES):
                    await asyncio.sleep(READ_PAUSE_S)
                call.cut = not caller.complete
        except (OSError, TimeoutError, h11.RemoteProtocolError):
            self.addresses = [each for each in self.addresses if each != entry]
        finally:
            caller.leave()
        call.status, call.headers = caller.status, caller.headers
        call.body, call.complete = bytes(caller.body), caller.complete
        call.ended = time.monotonic()
