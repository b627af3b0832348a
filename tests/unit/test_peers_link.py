"""A link to faulty peers: frozen, half open, stopped and restarted."""

import asyncio

import pytest

from rattanpier._internal.exceptions import (
    PeerRefusedError,
    PeerUnavailableError,
)
from rattanpier._internal.peers import link as link_module
from rattanpier._internal.peers.link import Link
from rattanpier._internal.peers.proto import peer_pb2
from rattanpier._internal.peers.server import PeerServer


async def start_server(port=0, hold=None):
    server = PeerServer()
    server.pings = 0

    async def ping(_call):
        server.pings += 1
        if hold is not None:
            await hold.wait()
        return peer_pb2.Reply(ping=peer_pb2.PingReply(state="live"))

    server.on_call("ping", ping)
    await server.start("127.0.0.1", port)
    return server


def ping_call():
    return peer_pb2.Call(ping=peer_pb2.PingRequest())


@pytest.fixture
async def links():
    made = []

    def make(port):
        made.append(Link("127.0.0.1", port, "client"))
        return made[-1]

    yield make
    for link in made:
        await link.close()


async def test_call_to_a_closed_port_is_refused(links):
    server = await start_server()
    await server.stop()
    with pytest.raises(PeerRefusedError):
        await links(server.port).call(ping_call(), 5)


async def test_pending_calls_fail_at_once_when_the_stream_breaks(links):
    hold = asyncio.Event()
    server = await start_server(hold=hold)
    link = links(server.port)
    calls = [
        asyncio.create_task(link.call(ping_call(), 3600)) for _ in range(50)
    ]
    while server.pings < 50:
        await asyncio.sleep(0.01)
    stopping = asyncio.create_task(server.stop())
    ended = await asyncio.wait_for(
        asyncio.gather(*calls, return_exceptions=True), 30
    )
    assert all(isinstance(error, PeerUnavailableError) for error in ended)
    assert link.pending == {}
    hold.set()
    await stopping


async def test_link_reconnects_after_its_peer_restarts(links):
    server = await start_server()
    link = links(server.port)
    await link.call(ping_call(), 5)
    await server.stop()
    for _ in range(6):
        with pytest.raises(PeerUnavailableError):
            await link.call(ping_call(), 5)
        assert link.backoff_s <= link_module.MAX_BACKOFF_S
    again = await start_server(server.port)
    reply = await link.call(ping_call(), 5)
    assert reply.ping.state == "live"
    await again.stop()


async def test_half_open_stream_is_replaced_after_timeouts(links):
    accepted = []

    async def swallow(reader, writer):
        accepted.append(writer)
        while await reader.read(65536):
            pass

    listener = await asyncio.start_server(swallow, "127.0.0.1", 0)
    link = links(listener.sockets[0].getsockname()[1])
    for _ in range(link_module.MAX_CONSECUTIVE_TIMEOUTS + 2):
        with pytest.raises(PeerUnavailableError):
            await asyncio.wait_for(link.call(ping_call(), 0.1), 30)
    # The stream without replies was replaced by a new one.
    assert len(accepted) == 2
    assert link.pending == {}
    listener.close()
    for writer in accepted:
        writer.close()


async def test_timeouts_of_overlapping_calls_do_not_end_the_stream(links):
    hold = asyncio.Event()
    server = await start_server(hold=hold)
    link = links(server.port)
    long_call = asyncio.create_task(link.call(ping_call(), 60))
    short_calls = [
        asyncio.create_task(link.call(ping_call(), 0.2)) for _ in range(200)
    ]
    ended = await asyncio.gather(*short_calls, return_exceptions=True)
    assert all(isinstance(error, PeerUnavailableError) for error in ended)
    hold.set()
    # The timeouts of 200 simultaneous calls count as one.
    assert (await long_call).ping.state == "live"
    await server.stop()


async def test_short_timeouts_do_not_prevent_a_reconnect(links):
    server = await start_server()
    await server.stop()
    link = links(server.port)
    for _ in range(8):
        with pytest.raises(PeerUnavailableError):
            await link.call(ping_call(), 60)
    assert link.backoff_s == link_module.MAX_BACKOFF_S
    again = await start_server(server.port)
    replies = []
    # Each call times out before the stream is open again.
    for _ in range(100):
        try:
            replies.append(await link.call(ping_call(), 0.1))
        except PeerUnavailableError:
            continue
        break
    assert [reply.ping.state for reply in replies] == ["live"]
    await again.stop()


async def test_pending_calls_and_notices_are_bounded(links, monkeypatch):
    monkeypatch.setattr(link_module, "MAX_PENDING", 10)
    monkeypatch.setattr(link_module, "MAX_NOTICES", 10)
    hold = asyncio.Event()
    server = await start_server(hold=hold)
    link = links(server.port)
    calls = [asyncio.create_task(link.call(ping_call(), 60)) for _ in range(10)]
    await asyncio.sleep(0)
    with pytest.raises(PeerUnavailableError, match="full"):
        await link.call(ping_call(), 60)
    for _ in range(50):
        link.notify(peer_pb2.Notice(leaving=peer_pb2.Leaving(member="x")))
    assert len(link.frame.notices) == 10
    hold.set()
    await asyncio.gather(*calls)
    await server.stop()
