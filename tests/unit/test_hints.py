"""Notices as datagrams: delivery to many peers and harmless losses."""

import asyncio

import pytest

from rattanpier._internal.exceptions import SettingsError
from rattanpier._internal.models.member import Member, Role
from rattanpier._internal.peers.datagrams import MAX_BYTES, DatagramNotifier
from rattanpier._internal.peers.proto import peer_pb2
from rattanpier._internal.platform.settings import decode_settings
from rattanpier._internal.utils.metrics import Metrics
from tests.lib.platform_site import settings_document, until
from tests.lib.ports import free_port


def make_member(port):
    return Member(
        "e", "i", Role.ENTRY, "a", "r", "u", "127.0.0.1", 1, hint_port=port
    )


def make_notice(worker=7, **more):
    told = peer_pb2.PromptSent(worker=worker, read_s=0.5, **more)
    return peer_pb2.Notice(prompt_sent=told)


def dropped(notifier, reason):
    return notifier.metrics.counts[f"peers.hint_dropped.{reason}"]


@pytest.fixture
async def peer():
    received = []
    notifier = DatagramNotifier(received.append, Metrics())
    port = free_port()
    await notifier.start("127.0.0.1", port)
    yield notifier, make_member(port), received
    await notifier.stop()


async def test_notice_reaches_each_peer(peer):
    notifier, member, received = peer
    notifier.send([member, member], make_notice())
    await until(lambda: len(received) == 2)
    assert received[0] == make_notice()


async def test_peer_without_a_hint_port_is_skipped(peer):
    notifier, member, received = peer
    notifier.send([make_member(0), member], make_notice())
    await until(lambda: received)
    assert received == [make_notice()]


async def test_stopped_peer_does_not_affect_delivery_to_others(peer):
    notifier, member, received = peer
    gone = make_member(free_port())
    for _ in range(3):
        notifier.send([gone, member], make_notice())
        await asyncio.sleep(0.01)
    await until(lambda: len(received) == 3)


async def test_notice_larger_than_a_packet_is_not_sent(peer):
    notifier, member, received = peer
    long = make_notice(parts=range(MAX_BYTES))
    notifier.send([member], long)
    assert dropped(notifier, "long") == 1
    notifier.send([member], make_notice())
    await until(lambda: received)
    assert received == [make_notice()]


@pytest.mark.parametrize("data", [b"\xff", b"\x5a\xff", b"no hint at all"])
async def test_unreadable_datagrams_are_dropped(peer, data):
    notifier, member, received = peer
    notifier.transport.sendto(data, (member.peer_host, member.peer_port))
    notifier.send([member], make_notice())
    await until(lambda: make_notice() in received)


async def test_notices_are_dropped_while_the_send_buffer_is_full(peer):
    notifier, member, _ = peer
    notifier.transport.get_write_buffer_size = lambda: 10**6
    notifier.send([member] * 400, make_notice())
    assert dropped(notifier, "full") == 1


def make_settings(**more):
    return decode_settings(settings_document("127.0.0.1:1") | more, "f")


def test_datagrams_use_a_port_of_the_configured_range():
    assert make_settings(portRange=[7340, 7355]).hints.port == 7340
    settings = make_settings()
    assert settings.hints.port == settings.peers.port


@pytest.mark.parametrize(
    "ports", [["a", "b"], [0, 5], [70000], "7340", [True], {"first": 1}]
)
def test_invalid_port_range_is_named_in_the_error(ports):
    with pytest.raises(SettingsError, match="portRange"):
        make_settings(portRange=ports)
