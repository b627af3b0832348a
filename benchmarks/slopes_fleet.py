"""Slopes over the fleet's size: membership, pushes, outages, probes."""

from __future__ import annotations

import asyncio
import logging
import types
import zlib
from collections.abc import Iterator

import structlog

from benchmarks.membership import (
    MESSAGE_OVERHEAD,
    measure_cost,
    start_fleet,
)
from benchmarks.slopes_fit import Slope, fit, processor_us
from benchmarks.slopes_routing import configuration_text
from rattanpier._internal.configuration.follow import poll_interval_s
from rattanpier._internal.membership.ring import neighbours
from rattanpier._internal.membership.workers import Workers
from rattanpier._internal.models.configuration import (
    Upstream,
    UpstreamKind,
    Worker,
)
from rattanpier._internal.models.member import Member, Role
from rattanpier._internal.peers.proto import peer_pb2
from rattanpier._internal.utils.clock import SystemClock
from rattanpier._internal.utils.hashing import rendezvous
from rattanpier._internal.utils.metrics import Metrics
from tests.lib.builders import SMALL, build_configuration
from tests.lib.config_fleet import TICK_S, Fleet

PART = "fleet"
MEMBERS = (8, 50, 150, 420)
FLEETS = (8, 50, 150, 420)
OUTAGES = (5, 10, 20, 40)
WORKERS = (60, 200, 600)
TARGET_NODES = 420
TARGET_WORKERS = 600
WATCHED_S = 42.0  # Two refreshes of each row at the target.
OUTAGE_S = 10.0
MILLI = 1e3


def measure() -> Iterator[Slope]:
    """Yields the slopes over the size of the fleet."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL)
    )
    costs = [asyncio.run(membership(size)) for size in MEMBERS]
    for name, unit in (
        ("member_messages", "messages/s"),
        ("member_bytes", "bytes/s"),
        ("member_reads_all", "reads/s"),
        ("member_writes_all", "writes/s"),
        ("member_processor", "us/s"),
    ):
        readings = [cost[name] for cost in costs]
        yield fit(name, "nodes", unit, MEMBERS, readings, PART)
    pushes = [asyncio.run(push(size)) for size in FLEETS]
    for name, unit in (
        ("push_messages", "messages"),
        ("push_bytes_mean", "bytes"),
        ("push_bytes_most", "bytes"),
    ):
        readings = [found[name] for found in pushes]
        yield fit(name, "nodes", unit, FLEETS, readings, PART)
    asked = [asyncio.run(outage(size)) for size in OUTAGES]
    yield fit("outage_asks", "nodes", "calls/s", OUTAGES, asked, PART)
    shares = [share_us(TARGET_NODES, count) for count in WORKERS]
    yield fit("probe_share", "workers", "us", WORKERS, shares, PART)
    shares = [share_us(size, TARGET_WORKERS) for size in FLEETS]
    yield fit("probe_share_nodes", "nodes", "us", FLEETS, shares, PART)
    found = [neighbours_us(size) for size in FLEETS]
    yield fit("neighbours", "nodes", "us", FLEETS, found, PART)
    found = [rank_us(size) for size in FLEETS]
    yield fit("rendezvous", "nodes", "us", FLEETS, found, PART)


async def membership(size: int) -> dict[str, float]:
    """What membership costs a second in a quiet fleet.

    Messages, bytes and processor time of a node; reads and writes of all.
    Processor time is that of the whole fleet in one process, with the fakes
    and the turning of the clock: an upper bound, without the links' work.
    """
    network, nodes = await start_fleet(size)
    cost = await measure_cost(network, nodes, WATCHED_S)
    await network.stop()
    return {
        "member_messages": cost.messages,
        "member_bytes": cost.message_bytes,
        "member_reads_all": cost.store_reads * size,
        "member_writes_all": cost.store_writes * size,
        "member_processor": cost.processor_ms * MILLI,
    }


class CountingLink:
    """Carries a call, and counts what it weighs at both ends."""

    def __init__(self, sender, receiver, weights):
        self.sender = sender
        self.receiver = receiver
        self.weights = weights

    async def call(self, call, _timeout_s):
        """Carries a push and its answer."""
        reply = await self.receiver.spreader.serve(call)
        for message in (call, reply):
            weight = message.ByteSize() + MESSAGE_OVERHEAD
            for node in (self.sender, self.receiver):
                self.weights.setdefault(node.name, []).append(weight)
        return reply


async def push(size: int) -> dict[str, float]:
    """What one change of configuration costs a node by pushes."""
    fleet = Fleet(size, size)
    await fleet.start()
    weights: dict[str, list[int]] = {}
    for node in fleet.nodes.values():
        node.spreader.links = types.SimpleNamespace(
            to=lambda member, node=node: CountingLink(
                node, fleet.nodes[member.name], weights
            )
        )
    text = configuration_text(20, 60).replace("size = 420", f"size = {size}")
    packed = zlib.compress(text.encode())
    targets = [node.members.me for node in fleet.entries]
    acked = await fleet.control.spreader.spread(2, packed, targets)
    assert len(acked) == size
    totals = [sum(weights[node.name]) for node in fleet.entries]
    count = sum(len(weights[node.name]) for node in fleet.entries)
    return {
        "push_messages": count / size,
        "push_bytes_mean": sum(totals) / size,
        "push_bytes_most": max(sum(found) for found in weights.values()),
    }


async def outage(size: int) -> float:
    """Calls a second that a node makes while nobody reaches the store."""
    fleet = await Fleet(size, size).start()
    for node in fleet.nodes.values():
        node.table.cut = True
    await run_paced(fleet, OUTAGE_S)
    before = asked(fleet)
    await run_paced(fleet, OUTAGE_S)
    return (asked(fleet) - before) / OUTAGE_S / len(fleet.nodes)


async def run_paced(fleet, seconds: float) -> None:
    """Lets time pass; nodes poll and ask as often as they would."""
    clock = fleet.clock
    end = clock.now + seconds
    due = dict.fromkeys(fleet.nodes, clock.now)
    while clock.now < end:
        for name, node in fleet.nodes.items():
            if clock.now >= node.next_poll:
                await node.follower.poll()
                section = node.follower.configuration.fleet
                node.next_poll = clock.now + poll_interval_s(section)
            if clock.now >= due[name]:
                await node.currency.step()
                due[name] = clock.now + node.currency.pause_s()
        await asyncio.sleep(0)
        clock.now += TICK_S


def asked(fleet) -> int:
    """Calls made so far by all nodes."""
    name = "config.peers_asked"
    return sum(
        node.currency.metrics.counts[name] for node in fleet.nodes.values()
    )


def make_member(number: int) -> Member:
    """Returns an entry."""
    return Member(
        name=f"entry-{number}",
        incarnation=f"{number:032x}",
        role=Role.ENTRY,
        domain=f"domain-{number % 12}",
        region=f"region-{number % 3}",
        caller_url=f"https://10.0.{number // 256}.{number % 256}:8443",
        peer_host=f"10.0.{number // 256}.{number % 256}",
        peer_port=7000,
    )


def share_us(nodes: int, workers: int) -> float:
    """Processor time of finding which workers an entry probes."""
    members = [make_member(number) for number in range(nodes)]
    pool = Upstream(
        UpstreamKind.ENGINE,
        {
            f"worker-{n}": Worker("http://127.0.0.1:1", "a", [SMALL])
            for n in range(workers)
        },
    )
    configuration = build_configuration(upstreams={"pool": pool})
    watched = Workers(
        configuration=lambda: configuration,
        members=types.SimpleNamespace(me=members[0], entries=lambda: members),
        clock=SystemClock(),
        metrics=Metrics(),
        probe=None,
        spawn=None,
    )
    return processor_us(watched.share, 5)


def neighbours_us(nodes: int) -> float:
    """Processor time of choosing the ring's neighbours."""
    names = [f"entry-{number}" for number in range(nodes)]
    return processor_us(lambda: neighbours(names, "entry-1"), 20)


def rank_us(nodes: int) -> float:
    """Processor time of one order of preference."""
    names = [f"entry-{number}" for number in range(nodes)]
    return processor_us(lambda: rendezvous("directory", names), 20)


def worker_notice_bytes() -> int:
    """Bytes of a notice about a worker, in a frame of its own."""
    notice = peer_pb2.WorkerNotice(
        worker="worker-599",
        origin="0" * 32,
        sequence=1000,
        down=True,
        reason="silent",
    )
    size = peer_pb2.Frame(notices=[peer_pb2.Notice(worker=notice)]).ByteSize()
    return size + MESSAGE_OVERHEAD


def currency_bytes() -> int:
    """Bytes of a question about being current and its answer."""
    request = peer_pb2.CurrencyRequest(
        revision=1000, member="entry-419", incarnation="0" * 32
    )
    reply = peer_pb2.CurrencyReply(
        revision=1000,
        confirmed_age_s=1.5,
        member="entry-418",
        lends=True,
        votes=True,
    )
    frames = (
        peer_pb2.Frame(calls=[peer_pb2.Call(id=1000, currency=request)]),
        peer_pb2.Frame(replies=[peer_pb2.Reply(id=1000, currency=reply)]),
    )
    return sum(frame.ByteSize() + MESSAGE_OVERHEAD for frame in frames)
