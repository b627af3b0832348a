"""A withdrawal between the dispatch decision and the body is honoured."""

import aiohttp
import pytest

from rattanpier._internal.dispatch.engine import EngineCall, stream_chat
from rattanpier._internal.dispatch.failures import UpstreamError
from rattanpier._internal.edge.server import HttpServer
from rattanpier._internal.models.settings import ListenSettings
from rattanpier._internal.standin.engine import EngineServer


@pytest.mark.parametrize("allowed", [True, False])
async def test_body_is_withheld_if_the_version_was_withdrawn(allowed):
    engine = EngineServer({"small@1": 1.0})
    server = HttpServer(engine.app(), ListenSettings())
    await server.start()
    body = b'{"model": "small@1", "messages": [{"content": "x"}]}'
    runs_when_asked = []

    def may_send():
        runs_when_asked.append(len(engine.runs))
        return allowed

    call = EngineCall(server.url, body, "r1", 5.0, may_send)
    chunks, error = [], None
    async with aiohttp.ClientSession() as session:
        try:
            async for chunk in stream_chat(session, call):
                chunks.append(chunk)
        except UpstreamError as raised:
            error = raised
        # The connection stays usable, as nothing of the body was sent on it.
        follow_up = EngineCall(server.url, body, "r2", 5.0)
        follow_up_chunks = [
            chunk async for chunk in stream_chat(session, follow_up)
        ]
    await server.stop()
    assert runs_when_asked == [0]
    assert len(engine.runs) == (2 if allowed else 1)
    assert follow_up_chunks[-1].finish == "stop"
    if allowed:
        assert chunks[-1].finish == "stop"
    else:
        assert error is not None and error.not_run
