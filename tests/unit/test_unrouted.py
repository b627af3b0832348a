"""Exceptions of handlers give a refusal, unless a response has begun."""

import aiohttp
import pytest
from aiohttp import web

from rattanpier._internal.edge.server import HttpServer
from rattanpier._internal.edge.unrouted import mark_started, refuse_unrouted
from rattanpier._internal.models.settings import ListenSettings
from rattanpier._internal.utils.metrics import Metrics


async def fail(_request):
    raise ValueError("a fault")


async def fail_after_start(request):
    response = web.StreamResponse()
    await response.prepare(request)
    await response.write(b"data: begun\n\n")
    raise ValueError("a fault")


@pytest.fixture
async def failing_server():
    metrics = Metrics()
    app = web.Application(middlewares=[refuse_unrouted(metrics)])
    app.on_response_prepare.append(mark_started)
    app.router.add_get("/fail", fail)
    app.router.add_get("/late", fail_after_start)
    server = HttpServer(app, ListenSettings())
    await server.start()
    async with aiohttp.ClientSession(server.url) as session:
        yield session, metrics
    await server.stop()


async def test_handler_exception_is_refused_without_claiming_not_run(
    failing_server,
):
    session, metrics = failing_server
    async with session.get("/fail") as response:
        error = (await response.json())["error"]
    assert (response.status, error["code"]) == (500, "internal")
    assert error["not_run"] is False
    assert metrics.counts == {"refusal.internal": 1}


async def test_exception_after_the_start_adds_no_second_response(
    failing_server,
):
    session, metrics = failing_server
    data = b""
    with pytest.raises(aiohttp.ClientPayloadError):
        async with session.get("/late") as response:
            async for chunk in response.content.iter_any():
                data += chunk
    assert data == b"data: begun\n\n"
    assert not metrics.counts
