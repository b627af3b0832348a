"""Slopes of claims: the owner's work, messages, memory, writes, snapshots."""

from __future__ import annotations

import asyncio
import gc
import time
import tracemalloc
from collections.abc import Iterator

import attrs

from benchmarks.slopes_fit import Slope, fit
from rattanpier._internal.claims.book import Ask, ClaimBook, Decision
from rattanpier._internal.claims.messages import (
    describe_claim,
    describe_settle,
    encode_bill,
)
from rattanpier._internal.claims.owner import ShardOwner
from rattanpier._internal.claims.records import (
    Answer,
    Bill,
    ClaimOp,
    ClaimResult,
    SettleOp,
)
from rattanpier._internal.claims.snapshot import read_claims, write_claims
from rattanpier._internal.claims.takeover import acquire
from rattanpier._internal.membership.members import new_incarnation
from rattanpier._internal.models.outcomes import ClaimOutcome, SettleOutcome
from rattanpier._internal.peers.link import Link
from rattanpier._internal.peers.proto import peer_pb2
from rattanpier._internal.peers.server import PeerServer
from rattanpier._internal.standin.table import MemoryTable
from rattanpier._internal.store.objects import TableObjects
from rattanpier._internal.utils.clock import SystemClock
from rattanpier._internal.utils.codec import encode
from rattanpier._internal.utils.hashing import short_digest
from rattanpier._internal.utils.metrics import Metrics

PART = "claims"
RATES = (30, 60, 120, 240)  # Claims a second of one shard.
RUN_S = 3.0
INTERVAL_S = 16 / 240
ANSWER_BYTES = 1000  # 222 tokens, with the JSON around them.
ANSWERS = (0, 1000, 4000)
BOOKS = (1000, 2000, 4000)
CALLS = (250, 500, 1000)
# TCP/IP and its acknowledgement, HTTP/2, gRPC around a frame.
FRAME_OVERHEAD = 40 + 40 + 9 + 5
INCARNATION = len(new_incarnation())
MICRO = 1e6


def measure() -> Iterator[Slope]:
    """Yields the slopes of claims."""
    runs = [asyncio.run(run_owner(rate)) for rate in RATES]
    busy = [run.busy_s * MICRO for run in runs]
    yield line("owner_per_claim", "claims/s", "us/s", RATES, busy)
    writes = [run.writes for run in runs]
    yield line("writes_per_claim", "claims/s", "writes/s", RATES, writes)
    logged = [run.logged for run in runs]
    yield line("log_bytes_per_claim", "claims/s", "bytes/s", RATES, logged)
    sizes = [exchange_bytes(size) for size in ANSWERS]
    yield line("claim_bytes", "answer bytes", "bytes", ANSWERS, sizes)
    memory = [book_bytes(count, ANSWER_BYTES) for count in BOOKS]
    yield line("memory_per_claim", "claims", "bytes", BOOKS, memory)
    memory = [book_bytes(count, 0) for count in BOOKS]
    yield line("memory_without_answer", "claims", "bytes", BOOKS, memory)
    images = [asyncio.run(snapshot(count)) for count in BOOKS]
    for name, unit in (
        ("snapshot_write", "us"),
        ("snapshot_read", "us"),
        ("snapshot_bytes", "bytes"),
    ):
        readings = [image[name] for image in images]
        yield line(name, "claims", unit, BOOKS, readings)
    calls = [asyncio.run(call_link(count, 1)) for count in CALLS]
    yield line("link_call", "calls, a frame each", "us", CALLS, calls)
    calls = [asyncio.run(call_link(count, 25)) for count in CALLS]
    yield line("link_call_batched", "calls, 25 a frame", "us", CALLS, calls)


def line(name, x, unit, sizes, readings) -> Slope:
    """Fits a line of this part."""
    return fit(name, x, unit, sizes, readings, PART)


@attrs.frozen
class Run:
    """What one run of an owner took, each second."""

    busy_s: float
    writes: float
    logged: float


def settlement(number: int, size: int) -> SettleOp:
    """Returns an answered request."""
    key = key_of(number)
    answer = Answer(200, "application/json", "x" * size, "small@1")
    bill = Bill("desk", key, "small@1", 100, 222, 1.0)
    return SettleOp("desk", key, 1, ClaimResult.ANSWERED, bill, answer)


def ask_of(number: int) -> Ask:
    """Returns a request's claim."""
    holder = f"entry-100/{'0' * INCARNATION}/{number:016x}"
    digest = short_digest(str(number))
    return Ask("desk", key_of(number), holder, True, digest)


def key_of(number: int) -> str:
    """Returns a key as long as one that an entry makes up."""
    return f"auto-{number:022d}"


async def run_owner(rate: int) -> Run:
    """Claims and settles at a rate; time for the pacing is included."""
    table = MemoryTable()
    lease, version = await acquire(table, 0, None, "e", "i")
    owner = ShardOwner(
        shard=0,
        lease=lease,
        lease_version=version,
        table=table,
        clock=SystemClock(),
        metrics=Metrics(),
        alive=lambda _: True,
        interval_s=INTERVAL_S,
    )
    writer = asyncio.create_task(owner.run())

    async def one(number: int) -> None:
        await owner.ask(ask_of(number))
        await owner.settle(settlement(number, ANSWER_BYTES))

    busy, started = time.process_time(), time.monotonic()
    requests = []
    for number in range(int(rate * RUN_S)):
        requests.append(asyncio.create_task(one(number)))
        due = started + number / rate
        await asyncio.sleep(max(0.0, due - time.monotonic()))
    await asyncio.gather(*requests)
    used = time.process_time() - busy
    took = time.monotonic() - started
    writer.cancel()
    logged = sum(len(row.value) for row in table.rows.values())
    return Run(used / took, (owner.next_sequence - 1) / took, logged / took)


def exchange_bytes(answer: int) -> int:
    """Bytes of a claim and its settlement, both ways, a frame each."""
    ask, op = ask_of(1), settlement(1, answer)
    granted = ClaimOp(ask.workspace, ask.key, 1, ask.holder, True, ask.digest)
    settle = peer_pb2.SettleRequest(
        workspace=op.workspace,
        key=op.key,
        attempt=1,
        holder=ask.holder,
        result=op.result.value,
        bill=encode_bill(op.bill),
        answer=encode(op.answer).encode() if answer else b"",
    )
    claim = peer_pb2.ClaimRequest(
        workspace=ask.workspace,
        key=ask.key,
        holder=ask.holder,
        idempotent=True,
        digest=ask.digest,
    )
    claimed = describe_claim(Decision(ClaimOutcome.GRANTED, op=granted))
    settled = describe_settle(Decision(SettleOutcome.SETTLED))
    frames = [
        peer_pb2.Frame(calls=[peer_pb2.Call(id=10**6, claim=claim)]),
        peer_pb2.Frame(calls=[peer_pb2.Call(id=10**6, settle=settle)]),
        peer_pb2.Frame(replies=[peer_pb2.Reply(id=10**6, claim=claimed)]),
        peer_pb2.Frame(replies=[settled]),
    ]
    return sum(frame.ByteSize() + FRAME_OVERHEAD for frame in frames)


def make_book(count: int, answer: int) -> ClaimBook:
    """Returns a book of settled claims."""
    book = ClaimBook()
    for number in range(count):
        granted = book.ask(ask_of(number), lambda _: True)
        op = settlement(number, answer)
        book.apply(granted.op, number)
        book.apply(op if answer else attrs.evolve(op, answer=None), number)
    return book


def book_bytes(count: int, answer: int) -> int:
    """Memory of a book."""
    gc.collect()
    tracemalloc.start()
    book = make_book(count, answer)
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert len(book.claims) == count
    return used


async def snapshot(count: int) -> dict[str, float]:
    """Processor time and size of a snapshot, written and read."""
    book = make_book(count, ANSWER_BYTES)
    table = MemoryTable()
    objects = TableObjects(table)
    started = time.process_time()
    await write_claims(objects, "s", book.claims)
    written = time.process_time()
    found = await read_claims(objects, "s")
    read = time.process_time()
    assert found.claims == book.claims
    return {
        "snapshot_write": (written - started) * MICRO,
        "snapshot_read": (read - written) * MICRO,
        "snapshot_bytes": sum(len(row.value) for row in table.rows.values()),
    }


async def call_link(count: int, together: int) -> float:
    """Processor time of calls over a link on loopback, both ends."""
    server = PeerServer()

    async def claim(_call):
        return peer_pb2.Reply(claim=peer_pb2.ClaimReply(outcome="granted"))

    server.on_call("claim", claim)
    await server.start("127.0.0.1", 0)
    link = Link("127.0.0.1", server.port, "bench")
    body = peer_pb2.ClaimRequest(
        workspace="desk", key="k" * 32, holder="h" * 70, digest="d" * 64
    )
    await link.call(peer_pb2.Call(claim=body), 10)
    started = time.process_time()
    for _ in range(count // together):
        await asyncio.gather(
            *(link.call(peer_pb2.Call(claim=body), 10) for _ in range(together))
        )
    used = time.process_time() - started
    await link.close()
    await server.stop()
    return used * MICRO
