"""Tests of the stand-ins for object store and weight store, with faults."""

import aiohttp
import pytest

from rattanpier._internal.edge.server import HttpServer
from rattanpier._internal.exceptions import StoreUnavailableError
from rattanpier._internal.models.settings import ListenSettings
from rattanpier._internal.standin.objects import (
    ObjectFault,
    ObjectFaults,
    ObjectServer,
)
from rattanpier._internal.standin.weights import (
    WeightFault,
    WeightFaults,
    WeightServer,
    WeightStats,
)
from rattanpier._internal.store.http_objects import HttpObjects


@pytest.fixture
async def serve():
    """Serves applications until the end of the test."""
    servers = []

    async def start(app):
        server = HttpServer(app, ListenSettings())
        await server.start()
        servers.append(server)
        return server.url

    yield start
    for server in servers:
        await server.stop()


@pytest.fixture
async def session():
    async with aiohttp.ClientSession() as session:
        yield session


async def test_objects_are_put_read_listed_and_deleted(serve, session):
    url = await serve(ObjectServer().app())
    objects = HttpObjects(session, url)
    await objects.put("bills/1/a b", "été")
    await objects.put("bills/2", "two")
    assert await objects.get("bills/1/a b") == "été"
    assert await objects.get("bills/3") is None
    async with session.get(f"{url}/v1/objects?prefix=bills/1") as response:
        assert await response.json(content_type=None) == ["bills/1/a b"]
    await objects.delete("bills/2")
    await objects.delete("bills/2")
    assert await objects.get("bills/2") is None


async def test_an_outage_of_the_object_store_raises(serve, session):
    server = ObjectServer()
    objects = HttpObjects(session, await serve(server.app()))
    server.faults = ObjectFaults(ObjectFault.DOWN)
    for call in (objects.put("a", "x"), objects.get("a"), objects.delete("a")):
        with pytest.raises(StoreUnavailableError):
            await call
    assert server.objects.texts == {}


async def test_a_lost_answer_raises_though_the_object_is_there(serve, session):
    server = ObjectServer()
    objects = HttpObjects(session, await serve(server.app()))
    server.faults = ObjectFaults(ObjectFault.LOSE_ANSWERS)
    with pytest.raises(StoreUnavailableError):
        await objects.put("a", "x")
    assert server.objects.texts == {"a": "x"}


async def test_a_slow_object_store_raises_at_the_timeout(serve, session):
    server = ObjectServer()
    server.faults = ObjectFaults(delay_s=60.0)
    objects = HttpObjects(session, await serve(server.app()), timeout_s=0.05)
    with pytest.raises(StoreUnavailableError):
        await objects.get("a")


async def test_weights_are_complete_truncated_or_refused(serve, session):
    server = WeightServer(size=300_000)
    url = f"{await serve(server.app())}/v1/weights/small@1"
    async with session.get(url) as response:
        assert len(await response.read()) == 300_000
    server.faults = WeightFaults(WeightFault.CUT)
    with pytest.raises(aiohttp.ClientError):
        async with session.get(url) as response:
            await response.read()
    server.faults = WeightFaults(WeightFault.DOWN)
    async with session.get(url) as response:
        assert response.status == 503
    assert (server.stats.transfers, server.stats.finished) == (2, 1)


async def test_transfers_of_weights_share_one_rate(monkeypatch, serve, session):
    server = WeightServer(size=4 * 64 * 1024)
    waits = []

    async def sleep(seconds):
        waits.append(seconds)

    monkeypatch.setattr(
        "rattanpier._internal.standin.weights.asyncio.sleep", sleep
    )
    server.faults = WeightFaults(bytes_per_s=64 * 1024)
    url = await serve(server.app())
    for version in ("small@1", "large@1"):
        async with session.get(f"{url}/v1/weights/{version}") as response:
            await response.read()
    assert waits == [1.0] * 8
    assert server.stats == WeightStats(2, 2, 8 * 64 * 1024)
