"""Hints between processes: many at once, lost without harm."""

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


def dropped(hints, reason):
    return hints.metrics.counts[f"peers.hint_dropped.{reason}"]


@pytest.fixture
async def peer():
    taken = []
    hints = DatagramNotifier(taken.append, Metrics())
    port = free_port()
    await hints.start("127.0.0.1", port)
    yield hints, make_member(port), taken
    await hints.stop()


async def test_a_hint_reaches_each_peer(peer):
    hints, member, taken = peer
    hints.send([member, member], make_notice())
    await until(lambda: len(taken) == 2)
    assert taken[0] == make_notice()


async def test_one_that_takes_no_hints_is_left_out(peer):
    hints, member, taken = peer
    hints.send([make_member(0), member], make_notice())
    await until(lambda: taken)
    assert taken == [make_notice()]


async def test_a_peer_that_is_gone_costs_the_others_nothing(peer):
    hints, member, taken = peer
    gone = make_member(free_port())
    for _ in range(3):
        hints.send([gone, member], make_notice())
        await asyncio.sleep(0.01)
    await until(lambda: len(taken) == 3)


async def test_what_does_not_fit_into_a_packet_is_not_sent(peer):
    hints, member, taken = peer
    long = make_notice(parts=range(MAX_BYTES))
    hints.send([member], long)
    assert dropped(hints, "long") == 1
    hints.send([member], make_notice())
    await until(lambda: taken)
    assert taken == [make_notice()]


@pytest.mark.parametrize("data", [b"\xff", b"\x5a\xff", b"no hint at all"])
async def test_bytes_that_are_no_hint_are_left_out(peer, data):
    hints, member, taken = peer
    hints.transport.sendto(data, (member.peer_host, member.peer_port))
    hints.send([member], make_notice())
    await until(lambda: make_notice() in taken)


async def test_a_kernel_that_takes_nothing_costs_hints_only(peer):
    hints, member, _ = peer
    hints.transport.get_write_buffer_size = lambda: 10**6
    hints.send([member] * 400, make_notice())
    assert dropped(hints, "full") == 1


def make_settings(**more):
    return decode_settings(settings_document("127.0.0.1:1") | more, "f")


def test_datagrams_pass_on_the_ports_between_nodes():
    assert make_settings(portRange=[7340, 7355]).hints.port == 7340
    settings = make_settings()
    assert settings.hints.port == settings.peers.port


@pytest.mark.parametrize(
    "ports", [["a", "b"], [0, 5], [70000], "7340", [True], {"first": 1}]
)
def test_ports_that_are_none_are_named(ports):
    with pytest.raises(SettingsError, match="portRange"):
        make_settings(portRange=ports)
