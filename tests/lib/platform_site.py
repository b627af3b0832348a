"""Test site of the users' platform: a store, workers and entries."""

import asyncio
import collections
import contextlib
import json
import math
import random

import aiohttp
import attrs
from aiohttp import web

from rattanpier._internal.models.relay_settings import RelaySettings
from rattanpier._internal.platform.settings import decode_settings
from rattanpier._internal.programs.relay import build_relay, close
from rattanpier._internal.programs.relay_listen import RelayEntry
from rattanpier._internal.standin.platform_store import PlatformStoreServer
from rattanpier._internal.standin.platform_worker import PlatformWorkerServer
from tests.lib.ports import free_port

HOST = "site.example"
KEY = "key-of-acme"
SMALL, MIDDLE, LARGE = "small", "middle", "large"
LISTENERS = ("frontend", "readiness", "admin", "registry")


def settings_document(
    store,
    name="entry-1",
    seeds=(),
    zones=None,
    region="region-a",
    zone="zone-a",
    memory_mb=None,
    **bounds,
):
    """Returns the content of an entry's settings file."""
    return {
        "nodeName": name,
        "role": "entry",
        "ip": "127.0.0.1",
        "zone": zone,
        "region": region,
        "zones": zones or {zone: "region-a"},
        "listen": {key: f"127.0.0.1:{free_port()}" for key in LISTENERS},
        "seeds": list(seeds),
        "heartbeatMs": 1200,
        "bounds": {
            "drainMs": 2000,
            "graceS": 4,
            "contactMs": 3000,
            "retryBudgetRatio": 0.9,
            "budgetWindowS": 10,
            "budgetSlack": 50,
            "exposureRatio": 0.15,
            "sessionTtlS": 5,
            "ttl_max_s": 5,
            **bounds,
        },
        "limits": {} if memory_mb is None else {"memoryMb": memory_mb},
        "platform": {"address": store, "rowBytes": 65536},
    }


def route(name, route_type, service, **more):
    return {
        "name": name,
        "hostname": HOST,
        "prefix": f"/{name}/",
        "routeType": route_type,
        "timeoutMs": 3000,
        "targetLatencyMs": 400,
        "maxAttempts": 3,
        "priority": 1,
        "service": service,
        **more,
    }


def manifest(version=1, **more):
    """Returns a manifest with a plain service and one of model engines."""
    return {
        "version": version,
        "routes": [
            route("safe", "safe", "plain"),
            route("unsafe", "unsafe", "plain"),
            route(
                "chat",
                "streaming",
                "engine",
                sizes=[SMALL, MIDDLE, LARGE],
                resumable=True,
                sticky=True,
                timeoutMs=5000,
                targetLatencyMs=4000,
            ),
        ],
        "services": [
            {"name": "plain", "healthPath": "/healthz", "maxConnections": 90},
            {
                "name": "engine",
                "healthPath": "/healthz",
                "maxConnections": 600,
                "engine": {
                    "slots": 8,
                    "kvCapacity": 100000,
                    "models": [{"name": SMALL, "cost": 0.02}],
                },
            },
        ],
        "limits": {"maxBodyBytes": 100000},
        "tenants": [{"name": "acme", "apiKeys": [KEY], "priority": 2}],
        **more,
    }


def manifest_with_route(name, version=2, **more):
    """Returns a manifest in which fields of one route are replaced."""
    document = manifest(version)
    for each_route in document["routes"]:
        if each_route["name"] == name:
            each_route.update(more)
    return document


@attrs.define
class Answer:
    """An answer as a caller got it; `complete` if it ended as framed."""

    status: int
    headers: dict
    body: bytes
    complete: bool = True


@attrs.define
class PlatformSite:
    """A running site. Its entries run in the event loop of the test.

    `callers` are disconnected before the entries are closed, which would wait
    for their answers.
    """

    store: PlatformStoreServer
    store_address: str
    session: aiohttp.ClientSession
    workers: dict = attrs.Factory(dict)
    entries: dict = attrs.Factory(dict)
    door_runners: list = attrs.Factory(list)
    callers: list = attrs.Factory(list)
    registration_sequences: collections.Counter = attrs.Factory(
        collections.Counter
    )
    ids: random.Random = attrs.Factory(lambda: random.Random(1))

    async def add_worker(self, name, service="plain", version="v1", **more):
        worker = PlatformWorkerServer(name, **more)
        await worker.start()
        self.workers[name] = worker
        self.register(name, service, version)
        return worker

    def register(
        self, name, service="plain", version="v1", state="ready", **more
    ):
        self.registration_sequences[name] += 1
        self.store.put(
            "servers",
            name,
            {
                "service": service,
                "address": self.workers[name].address,
                "zone": "zone-a",
                "version": version,
                "slots": 8,
                "state": state,
                "coldRemainingMs": 0,
                "sequence": self.registration_sequences[name],
                **more,
            },
        )

    async def add_door(self, door):
        """Opens another listener of the store and returns its address."""
        runner = web.AppRunner(self.store.app(door), shutdown_timeout=0.1)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        self.door_runners.append(runner)
        return f"127.0.0.1:{runner.addresses[0][1]}"

    async def add_entry(
        self, name="entry-1", ready=True, seeds=(), store=None, **more
    ):
        address = store or self.store_address
        document = settings_document(address, name, seeds, **more)
        settings = decode_settings(document, "test")
        entry = await build_relay(settings)
        # As one that has run for a while; a new one has no slack for retries.
        entry.fleet.joined_at = -math.inf
        self.entries[name] = entry
        if ready:
            await until(entry.ready)
        return entry

    def new_id(self):
        return f"{self.ids.getrandbits(64):016x}"

    async def ask(self, path="/safe/x", entry="entry-1", **more):
        """Sends a request as a caller and returns the answer."""
        settings: RelaySettings = self.entries[entry].settings
        headers = {
            "Host": HOST,
            "X-Attempt-Id": self.new_id(),
            "X-Deadline-Ms": "3000",
            "Authorization": f"Bearer {KEY}",
            **more.pop("headers", {}),
        }
        method = more.pop("method", "GET")
        async with self.session.request(
            method, f"http://{settings.callers}{path}", headers=headers, **more
        ) as response:
            body = b""
            try:
                async for piece in response.content.iter_any():
                    body += piece
            except aiohttp.ClientError:
                return Answer(response.status, response.headers, body, False)
            return Answer(response.status, response.headers, body)

    async def chat(self, path="/chat/x", **more):
        headers = {
            "X-Model": "*",
            "X-Token-Usage": "1000,50",
            "X-Prefix-Hash": "a:400,b:400,c:200",
            **more.pop("headers", {}),
        }
        return await self.ask(
            path, method="POST", headers=headers, data=b"prompt", **more
        )

    def runs(self):
        """Returns how often each request ran, by its id."""
        counts = {}
        for worker in self.workers.values():
            for run in worker.runs:
                counts[run.id] = counts.get(run.id, 0) + 1
        return counts


@contextlib.asynccontextmanager
async def platform_site(manifest_document=None):
    """Starts a site with a store and a manifest, but no workers or entries."""
    store = PlatformStoreServer()
    runner = web.AppRunner(store.app(), shutdown_timeout=0.1)
    await runner.setup()
    listener = web.TCPSite(runner, "127.0.0.1", 0)
    await listener.start()
    port = runner.addresses[0][1]
    store.put("op", "config", manifest_document or manifest())
    async with aiohttp.ClientSession() as session:
        site = PlatformSite(store, f"127.0.0.1:{port}", session)
        try:
            yield site
        finally:
            for caller in site.callers:
                caller.leave()
            for entry in site.entries.values():
                if isinstance(entry, RelayEntry):
                    await close(entry)
            for worker in site.workers.values():
                await worker.stop()
            for listener_runner in (runner, *site.door_runners):
                await listener_runner.cleanup()


async def until(condition, timeout_s=10.0):
    """Waits until a condition holds.

    Raises:
      TimeoutError: It does not hold within `timeout_s`; the test hangs.
    """
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(0.01)


def event_numbers(body):
    """Returns the numbers of the events in the body of a stream."""
    return [
        int(line[4:])
        for line in body.decode().splitlines()
        if line.startswith("id: ")
    ]


def to_json(document):
    return json.dumps(document).encode()
