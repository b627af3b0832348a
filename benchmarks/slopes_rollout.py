"""Slopes of a roll-out's evidence, the driver's work, and cascades."""

from __future__ import annotations

import gc
import time
import tracemalloc
from collections.abc import Iterator

from benchmarks.slopes_fit import MICRO, REPEATS, Slope, fit
from rattanpier._internal.peers.proto import peer_pb2
from rattanpier._internal.rollout.course import Course
from rattanpier._internal.rollout.evidence import BUCKETS, Counts
from rattanpier._internal.rollout.ledger import Ledger
from rattanpier._internal.rollout.records import EvidenceRow, EvidenceRows
from rattanpier._internal.utils.codec import decode, encode
from tests.lib.cascades import CHAT, LEGAL, CascadeWorld

PART = "rollout"
ROWS = (2, 4, 8)
ORIGINS = (50, 150, 420)
WORKSPACES = (10, 50, 200)
REQUESTS = (500, 1000, 2000)
FRAME_OVERHEAD = 40 + 40 + 9 + 5


def measure() -> Iterator[Slope]:
    """Yields the slopes of roll-outs."""
    sizes = [len(make_notice(0, rows)) + FRAME_OVERHEAD for rows in ROWS]
    yield fit("evidence_bytes", "rows", "bytes", ROWS, sizes, PART)
    taken = [take_us(origins) for origins in ORIGINS]
    yield fit("evidence_take", "notices", "us", ORIGINS, taken, PART)
    memory = [ledger_bytes(origins) for origins in ORIGINS]
    yield fit("evidence_memory", "entries", "bytes", ORIGINS, memory, PART)
    judged = [judge_us(count) for count in WORKSPACES]
    yield fit("judge", "workspaces", "us", WORKSPACES, judged, PART)
    used = [cascade_us(count) for count in REQUESTS]
    yield fit("cascade_request", "requests", "us", REQUESTS, used, PART)


def make_rows(rows: int, sequence: int) -> EvidenceRows:
    """Returns rows of a notice."""
    latency = tuple(range(100, 100 + BUCKETS))
    counts = Counts(10_000, 10, 10, 1_000, 50, latency)
    return EvidenceRows(
        [
            EvidenceRow(
                f"workspace-{n}", f"draft-mini@{n % 2}", sequence, counts
            )
            for n in range(rows)
        ]
    )


def make_notice(origin: int, rows: int, sequence: int = 1) -> bytes:
    """Returns an encoded frame with one notice."""
    evidence = peer_pb2.Evidence(
        rollout="draft-mini",
        origin=f"entry-{origin}/{origin:032x}",
        sequence=sequence,
        counts=encode(make_rows(rows, sequence)).encode(),
    )
    notice = peer_pb2.Notice(evidence=evidence)
    return peer_pb2.Frame(notices=[notice]).SerializeToString()


def take(ledger: Ledger, data: bytes) -> None:
    """Takes a notice in, as `Driver.receive` does."""
    for notice in peer_pb2.Frame.FromString(data).notices:
        for row in decode(EvidenceRows, notice.evidence.counts).rows:
            ledger.take(notice.evidence.origin, row)


def take_us(origins: int) -> float:
    """Processor time of a notice of each entry, of eight rows."""
    found = []
    for sequence in range(1, REPEATS + 1):
        ledger = Ledger()
        notices = [make_notice(n, 8, sequence) for n in range(origins)]
        started = time.process_time()
        for data in notices:
            take(ledger, data)
        found.append((time.process_time() - started) * MICRO)
    return min(found)


def ledger_bytes(origins: int) -> int:
    """Memory of a ledger with eight rows of each entry."""
    notices = [make_notice(n, 8) for n in range(origins)]
    gc.collect()
    tracemalloc.start()
    ledger = Ledger()
    for data in notices:
        take(ledger, data)
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert len(ledger.rows) == origins
    return used


def judge_us(workspaces: int) -> float:
    """Processor time of one look at a roll-out."""
    found = []
    for _ in range(REPEATS):
        ledger, course = Ledger(), Course()
        spent = 0.0
        for sequence in range(1, 4):
            latency = tuple(sequence * n for n in range(BUCKETS))
            counts = Counts(1000 * sequence, sequence, 0, 100, 5, latency)
            for n in range(workspaces):
                for version in ("a@1", "a@2"):
                    row = EvidenceRow(f"w{n}", version, sequence, counts)
                    ledger.take("entry", row)
            started = time.process_time()
            course.observe(ledger.totals("a@1", "a@2"))
            course.decide(0.1, 1.0)
            spent = time.process_time() - started
        found.append(spent * MICRO)
    return min(found)


def cascade_us(requests: int) -> float:
    """Processor time of requests through a learned cascade, without ratings.

    A second passes between two requests, so searches are included.
    """
    world = CascadeWorld(lambda _item: True, budget=0)
    started = time.process_time()
    for number in range(requests):
        world.answer(LEGAL if number % 4 else CHAT)
        world.clock.now += 1.0
    return (time.process_time() - started) * MICRO
