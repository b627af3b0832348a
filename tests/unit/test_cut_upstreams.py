"""Clients of the chat interface tell no answer that ends early as whole."""

import asyncio
import contextlib

import aiohttp
import pytest

from rattanpier._internal.dispatch.engine import EngineCall, stream_chat
from rattanpier._internal.dispatch.failures import UpstreamError
from rattanpier._internal.dispatch.plain import ServiceCall, send_call
from tests.lib import raw
from tests.lib.cut_workers import CutError, CutWriter, Ending, end

REQUEST_ID = "request-1"
WHOLE = 10**6


@contextlib.asynccontextmanager
async def cutting_upstream(write_answer):
    """Yields the address of a server, and the cut of its answers."""
    cut = {"after": WHOLE, "how": Ending.CLOSED}

    async def serve(reader, writer):
        _, headers = await raw.read_head(reader)
        await reader.readexactly(int(headers.get("content-length", "0")))
        with contextlib.suppress(CutError):
            await write_answer(CutWriter(writer, cut["after"]))
        await end(writer, cut["how"])

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    try:
        yield f"http://{host}:{port}", cut
    finally:
        server.close()


async def write_chat(writer):
    await raw.stream(REQUEST_ID, writer, raw.CHUNKS)


async def write_plain(writer):
    await raw.respond(writer, "200 OK", '{"done": true}')


async def chat(session, url):
    call = EngineCall(url, b"{}", REQUEST_ID, 3.0)
    return [chunk async for chunk in stream_chat(session, call)]


async def call_service(session, url):
    call = ServiceCall("POST", "/x", (), b"body")
    return await send_call(session, url, call, REQUEST_ID, 3.0)


@pytest.mark.parametrize("how", Ending)
@pytest.mark.parametrize(
    ("write_answer", "ask", "size", "step"),
    [(write_chat, chat, 900, 7), (write_plain, call_service, 80, 1)],
)
async def test_an_answer_cut_at_any_byte_is_an_error(
    write_answer, ask, size, step, how
):
    async with (
        aiohttp.ClientSession() as session,
        cutting_upstream(write_answer) as (url, cut),
    ):
        whole = await ask(session, url)
        cut["how"] = how
        for cut["after"] in range(0, size, step):
            with contextlib.suppress(UpstreamError):
                assert await ask(session, url) == whole
                break
        assert size / 2 < cut["after"]
