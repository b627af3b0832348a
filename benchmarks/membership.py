"""Measures the cost of membership for a node and the time to detect faults.

Run: python -m benchmarks.membership [--sizes 8,50,150,420] [--seconds 20]

Four fleet sizes run by default, each in one process on a controlled clock.
Messages are really encoded; the overhead of frame and packet is added to each
message, that of HTTP headers to each call of the store. Processor time includes
the test doubles and advancing the clock, so it is an upper bound. A probe over
a real link on loopback is measured separately.
"""

import asyncio
import gc
import logging
import random
import statistics
import time
import tracemalloc

import attrs
import fire
import structlog

from rattanpier._internal.membership.records import Presence
from rattanpier._internal.membership.roster import Roster
from rattanpier._internal.models.member import Member, Role
from rattanpier._internal.peers.link import Link
from rattanpier._internal.peers.proto import peer_pb2
from rattanpier._internal.peers.server import PeerServer
from tests.lib.network import Network

# TCP/IP and its acknowledgement, HTTP/2, gRPC and the frame around a message.
MESSAGE_OVERHEAD = 40 + 40 + 9 + 5 + 4
STORE_OVERHEAD = 500  # Headers of a request and its response.
SETTLE_S = 12.0
FAULT_COUNT = 5
DETECTION_LIMIT_S = 60.0
PING_COUNT = 2000


@attrs.frozen
class Cost:
    """Cost for each node and second."""

    messages: float
    message_bytes: float
    store_reads: float
    store_writes: float
    store_bytes: float
    processor_ms: float


def totals(nodes):
    """Returns the sums of the counters over all nodes."""
    return (
        sum(node.traffic.messages for node in nodes),
        sum(node.traffic.bytes for node in nodes),
        sum(node.table.reads for node in nodes),
        sum(node.table.writes for node in nodes),
        sum(node.table.bytes for node in nodes),
    )


async def start_fleet(size):
    """Starts a fleet and waits until membership is stable."""
    network = Network()
    nodes = [
        await network.start(f"entry-{number}", Role.ENTRY)
        for number in range(size)
    ]
    await network.clock.advance(SETTLE_S)
    return network, nodes


async def measure_cost(network, nodes, seconds):
    """Measures the cost of a stable fleet."""
    before = totals(nodes)
    started = time.process_time()
    await network.clock.advance(seconds)
    used = time.process_time() - started
    share = len(nodes) * seconds
    messages, sent, reads, writes, stored = (
        (after - start) / share
        for after, start in zip(totals(nodes), before, strict=True)
    )
    return Cost(
        messages,
        sent + messages * MESSAGE_OVERHEAD,
        reads,
        writes,
        stored + (reads + writes) * STORE_OVERHEAD,
        1000 * used / share,
    )


async def measure_detection(network, nodes, fault, rng):
    """Returns, for each fault, the seconds until all other nodes know of it."""
    found = []
    for _ in range(FAULT_COUNT):
        await network.clock.advance(rng.uniform(0, 2))
        victim = rng.choice([node for node in nodes if not node.dead])
        identity = victim.identity
        if fault == "kill":
            await victim.kill()
        else:
            victim.freeze()
        rest = [node for node in nodes if not node.dead and node is not victim]
        started = network.clock.monotonic()
        while any(node.members.alive(identity) for node in rest):
            await network.clock.advance(0.1)
            assert network.clock.monotonic() - started < DETECTION_LIMIT_S
        found.append(network.clock.monotonic() - started)
        if fault == "freeze":
            victim.thaw()
        await network.clock.advance(SETTLE_S)
    return found


async def measure_ping():
    """Returns the processor time of a probe over a real link, in ms.

    Both sides are included.
    """
    server = PeerServer()

    async def ping(_call):
        return peer_pb2.Reply(ping=peer_pb2.PingReply(state="live"))

    server.on_call("ping", ping)
    await server.start("127.0.0.1", 0)
    link = Link("127.0.0.1", server.port, "bench")
    request = peer_pb2.PingRequest(sender="entry-1", incarnation="0" * 12)
    await link.call(peer_pb2.Call(ping=request), 5)
    started = time.process_time()
    for _ in range(PING_COUNT):
        await link.call(peer_pb2.Call(ping=request), 5)
    used = time.process_time() - started
    await link.close()
    await server.stop()
    return 1000 * used / PING_COUNT


def measure_memory(size):
    """Returns the memory of one node's roster of a fleet, in bytes."""
    gc.collect()
    tracemalloc.start()
    roster = Roster()
    for number in range(size):
        member = Member(
            name=f"entry-{number}",
            incarnation=f"{number:012x}",
            role=Role.ENTRY,
            domain=f"domain-{number % 12}",
            region=f"region-{number % 3}",
            caller_url=f"https://10.0.{number // 256}.{number % 256}:8443",
            peer_host=f"10.0.{number // 256}.{number % 256}",
            peer_port=7000,
        )
        roster.apply_presence(Presence(member))
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return used


async def run(sizes, seconds, seed):
    """Measures and prints one line for each size."""
    print(f"probe over a real link: {await measure_ping():.3f} ms (both sides)")
    for size in sizes:
        network, nodes = await start_fleet(size)
        cost = await measure_cost(network, nodes, seconds)
        rng = random.Random(seed)
        kills = await measure_detection(network, nodes, "kill", rng)
        freezes = await measure_detection(network, nodes, "freeze", rng)
        await network.stop()
        print(
            f"{size:4d} nodes: per node and s {cost.messages:.1f} messages, "
            f"{cost.message_bytes:.0f} B, store {cost.store_reads:.2f} reads "
            f"{cost.store_writes:.2f} writes {cost.store_bytes:.0f} B, "
            f"processor at most {cost.processor_ms:.2f} ms; known to all after "
            f"kill median {statistics.median(kills):.1f} s max "
            f"{max(kills):.1f} s, freeze median "
            f"{statistics.median(freezes):.1f} s max {max(freezes):.1f} s; "
            f"roster {measure_memory(size) / 1024:.0f} KiB",
            flush=True,
        )


def main(sizes="8,50,150,420", seconds=20, seed=7):
    """Measures membership."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR)
    )
    # fire turns "8,50" into a tuple and "8" into a number.
    several = isinstance(sizes, list | tuple)
    text = ",".join(map(str, sizes)) if several else str(sizes)
    asyncio.run(run([int(size) for size in text.split(",")], seconds, seed))


if __name__ == "__main__":
    fire.Fire(main)
