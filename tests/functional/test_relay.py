"""The relay that parts processes passes bytes on until it is cut."""

import asyncio

import pytest

from tests.lib.tcp_proxy import ProxyMode, TcpProxy


@pytest.fixture
async def echo():
    async def serve(reader, writer):
        while data := await reader.read(100):
            writer.write(data)
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    relay = TcpProxy("127.0.0.1", server.sockets[0].getsockname()[1])
    port = await relay.start()
    yield relay, port
    await relay.stop()
    server.close()


async def test_open_then_cut(echo):
    relay, port = echo
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(b"one")
    assert await reader.readexactly(3) == b"one"
    relay.set_mode(ProxyMode.CUT)
    with pytest.raises((ConnectionResetError, asyncio.IncompleteReadError)):
        await reader.readexactly(1)
    reader, _ = await asyncio.open_connection("127.0.0.1", port)
    with pytest.raises((ConnectionResetError, asyncio.IncompleteReadError)):
        await reader.readexactly(1)


async def test_silent_then_open(echo):
    relay, port = echo
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    relay.set_mode(ProxyMode.SILENT)
    writer.write(b"two")
    reading = asyncio.create_task(reader.readexactly(3))
    done, _ = await asyncio.wait({reading}, timeout=0.1)
    assert not done
    relay.set_mode(ProxyMode.OPEN)
    assert await reading == b"two"
    writer.close()
