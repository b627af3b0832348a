"""Mutual TLS between processes, and TLS for callers."""

import ssl

import aiohttp
import pytest
from aiohttp import web

from rattanpier._internal.edge.server import HttpServer
from rattanpier._internal.exceptions import (
    PeerUnavailableError,
    SettingsError,
)
from rattanpier._internal.models.settings import ListenSettings
from rattanpier._internal.peers.link import Link
from rattanpier._internal.peers.proto import peer_pb2
from rattanpier._internal.peers.server import PeerServer
from rattanpier._internal.peers.tls import (
    peer_client_context,
    peer_server_context,
)
from tests.lib.certificates import Authority


def listen(authority, name):
    certificate, key = authority.issue(name)
    return ListenSettings(
        certificate=certificate, key=key, authority=str(authority.path)
    )


@pytest.fixture
def authority(tmp_path):
    return Authority(tmp_path)


@pytest.fixture
async def server(authority):
    server = PeerServer()
    server.pings = 0

    async def ping(_call):
        server.pings += 1
        return peer_pb2.Reply(ping=peer_pb2.PingReply(state="live"))

    server.on_call("ping", ping)
    context = peer_server_context(listen(authority, "server"))
    await server.start("127.0.0.1", 0, context)
    yield server
    await server.stop()


async def ping(port, context):
    link = Link("127.0.0.1", port, "client", context)
    try:
        return await link.call(
            peer_pb2.Call(ping=peer_pb2.PingRequest()), timeout_s=5
        )
    finally:
        await link.close()


async def test_peers_with_certificates_of_one_authority_connect(
    server, authority
):
    context = peer_client_context(listen(authority, "client"))
    reply = await ping(server.port, context)
    assert reply.ping.state == "live"


async def test_plain_text_peer_is_refused(server):
    with pytest.raises(PeerUnavailableError):
        await ping(server.port, None)
    assert server.pings == 0


async def test_peer_without_a_certificate_is_refused(server, authority):
    context = ssl.create_default_context(cafile=str(authority.path))
    context.check_hostname = False
    context.set_alpn_protocols(["h2"])
    with pytest.raises(PeerUnavailableError):
        await ping(server.port, context)
    assert server.pings == 0


async def test_peer_certified_by_another_authority_is_refused(server, tmp_path):
    other = listen(Authority(tmp_path, "other"), "stranger")
    context = peer_client_context(other)
    context.verify_mode = ssl.CERT_NONE
    with pytest.raises(PeerUnavailableError):
        await ping(server.port, context)
    assert server.pings == 0


async def test_server_certified_by_another_authority_is_not_trusted(
    server, tmp_path
):
    context = peer_client_context(
        listen(Authority(tmp_path, "other"), "client")
    )
    with pytest.raises(PeerUnavailableError):
        await ping(server.port, context)
    assert server.pings == 0


async def test_callers_connect_by_tls(authority, tmp_path):
    certificate, key = authority.issue("callers")
    app = web.Application()

    async def hello(_request):
        return web.Response(text="hello")

    app.router.add_get("/", hello)
    server = HttpServer(app, ListenSettings(certificate=certificate, key=key))
    await server.start()
    trusted = ssl.create_default_context(cafile=str(authority.path))
    async with aiohttp.ClientSession() as session:
        async with session.get(server.url, ssl=trusted) as response:
            assert await response.text() == "hello"
        with pytest.raises(aiohttp.ClientError):
            await session.get(server.url, ssl=ssl.create_default_context())
    await server.stop()


@pytest.mark.parametrize(
    ("change", "message"),
    [
        ({"key": "/no/such/file"}, "key '/no/such/file' can't be read"),
        ({"certificate": "/no/file"}, "certificate '/no/file' can't be read"),
        ({"authority": "/no/file"}, "authority '/no/file' can't be read"),
        ({"authority": ""}, "no authority"),
        ({"key": ""}, "only one of certificate and key"),
        ({"key": "OTHER"}, "can't be used together"),
    ],
)
def test_settings_error_names_the_invalid_tls_setting(
    authority, change, message
):
    fields = {
        name: authority.issue("other")[1] if value == "OTHER" else value
        for name, value in change.items()
    }
    settings = listen(authority, "node")
    with pytest.raises(SettingsError, match=message):
        peer_server_context(
            ListenSettings(
                **{
                    "certificate": settings.certificate,
                    "key": settings.key,
                    "authority": settings.authority,
                    **fields,
                }
            )
        )
