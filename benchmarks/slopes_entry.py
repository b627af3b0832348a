"""Slopes of real processes: entries under load and idle, control processes.

Processor time comes from /proc, so other work on the machine matters little.
The bytes are what a relay in between counts: HTTP with its headers, without
TCP and IP.
"""

from __future__ import annotations

import asyncio
import pathlib
import random
import tempfile
import time
import urllib.parse
from collections.abc import Coroutine, Iterable, Iterator
from typing import Any

import attrs
import numpy as np

from benchmarks.overhead import processor_s
from benchmarks.slopes_fit import Slope, fit
from tests.lib.builders import DESK_KEY, SMALL
from tests.lib.builders import configuration_text as small_text
from tests.lib.cluster import Cluster

PART = "entry"
LOADS = ((5, 4), (40, 4), (5, 64), (20, 64), (40, 64))  # Requests/s, tokens.
LOAD_S = 5.0
DECODE_S = "0.02"
IDLE_S = 12.0
WARM_S = 4.0
TARGET_SIZE = 420
SHARDS = (4, 16, 64)
FLEETS = (8, 100, 420)
PROBED = (1, 30, 60)
ORDERED = (1, 20, 40)
MICRO = 1e6
PAGE = 4096


@attrs.frozen
class Idle:
    """What an idle process takes, each second, and its memory."""

    busy_us: float
    reads: float
    writes: float
    store_bytes: float
    engine_bytes: float
    resident: float


class CountingRelay:
    """Relays TCP to an address and counts bytes, both ways."""

    def __init__(self, url: str) -> None:
        self.target = urllib.parse.urlsplit(url)
        self.bytes = 0
        self.server: asyncio.Server | None = None

    async def start(self) -> str:
        """Listens; returns the address to use instead."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        return f"http://127.0.0.1:{port}"

    async def serve(self, reader, writer) -> None:
        """Relays one connection."""
        far = await asyncio.open_connection(
            self.target.hostname, self.target.port
        )
        await asyncio.gather(
            self.pump(reader, far[1]), self.pump(far[0], writer)
        )

    async def pump(self, reader, writer) -> None:
        """Relays one direction."""
        try:
            while data := await reader.read(65536):
                self.bytes += len(data)
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()


def measure() -> Iterator[Slope]:
    """Yields the slopes of processes."""
    yield from loads(asyncio.run(measure_loads()))
    found = at_once(idle_entry(TARGET_SIZE, count, 1) for count in SHARDS)
    stored = [idle.store_bytes for idle in found]
    yield line("idle_bytes_shards", "claim shards", "bytes/s", SHARDS, stored)
    memory = [idle.resident for idle in found]
    yield line("idle_memory", "claim shards", "bytes", SHARDS, memory)
    found = at_once(idle_entry(size, 16, 1) for size in FLEETS)
    for name, unit, readings in (
        ("idle_processor", "us/s", [idle.busy_us for idle in found]),
        ("idle_reads", "reads/s", [idle.reads for idle in found]),
        ("idle_bytes", "bytes/s", [idle.store_bytes for idle in found]),
    ):
        yield line(name, "nodes, by settings", unit, FLEETS, readings)
    found = at_once(idle_entry(TARGET_SIZE, 4, count) for count in PROBED)
    for name, unit, readings in (
        ("probe_processor", "us/s", [idle.busy_us for idle in found]),
        ("probe_bytes", "bytes/s", [idle.engine_bytes for idle in found]),
    ):
        yield line(name, "workers probed", unit, PROBED, readings)
    found = at_once(idle_control(count) for count in ORDERED)
    for name, unit, readings in (
        ("orders_processor", "us/s", [idle.busy_us for idle in found]),
        ("orders_bytes", "bytes/s", [idle.engine_bytes for idle in found]),
        ("control_memory", "bytes", [idle.resident for idle in found]),
    ):
        yield line(name, "workers ordered", unit, ORDERED, readings)


def at_once(runs: Iterable[Coroutine[Any, Any, Idle]]) -> list[Idle]:
    """Runs a few measurements of idle processes side by side."""

    async def gather() -> list[Idle]:
        return list(await asyncio.gather(*runs))

    return asyncio.run(gather())


def line(name, x, unit, sizes, readings) -> Slope:
    """Fits a line of this part."""
    return fit(name, x, unit, sizes, readings, PART)


# Under load.


def loads(rows: list[tuple[float, float, float]]) -> Iterator[Slope]:
    """Separates an entry's time for requests from that for chunks."""
    table = np.array([[asked, chunks, 1.0] for asked, chunks, _ in rows])
    busy = np.array([used for _, _, used in rows])
    found, *_ = np.linalg.lstsq(table, busy, rcond=None)
    per_request, per_chunk, _ = found
    error = float(np.sqrt(np.mean((table @ found - busy) ** 2)) / busy.mean())
    for name, column, value in (
        ("entry_per_request", 0, per_request),
        ("entry_per_chunk", 1, per_chunk),
    ):
        sizes = sorted({float(row[column]) for row in table})
        command = f"python -m benchmarks.slopes --parts {PART}"
        x = "requests/s" if column == 0 else "chunks/s"
        yield Slope(name, x, "us/s", value, 0.0, error, sizes, command)


async def measure_loads() -> list[tuple[float, float, float]]:
    """Returns requests/s, chunks/s and microseconds/s of one entry.

    The entry owns all claim shards itself, so a request's time includes its
    claim, its bill and the writes of both.
    """
    with tempfile.TemporaryDirectory() as folder:
        async with Cluster(folder) as cluster:
            await cluster.start_table()
            engine = await cluster.start_standin(
                "engine",
                "engine",
                "--versions",
                f"{SMALL}=1.0",
                "--slots",
                "4096",
                "--decode_s",
                DECODE_S,
            )
            text = small_text([engine], fleet_size=1)
            text = text.replace('domain = "a"', 'domain = "a"\nslots = 4096')
            await cluster.apply(text)
            url = await cluster.start_entry("entry-1")
            pid = cluster.processes["entry-1"].process.pid
            await load(cluster.session, url, 10, 4, "warm")
            rows = []
            for rate, tokens in LOADS:
                before, started = processor_s(pid), time.monotonic()
                chunks = await load(
                    cluster.session, url, rate, tokens, f"{rate}-{tokens}"
                )
                took = time.monotonic() - started
                busy = (processor_s(pid) - before) / took * MICRO
                asked = int(rate * LOAD_S) / took
                rows.append((asked, chunks / took, busy))
            return rows


async def load(session, url, rate, tokens, run) -> int:
    """Sends requests at a rate; returns the chunks that came back."""
    rng = random.Random(1)
    started = time.monotonic()
    due = started
    tasks = []
    for number in range(int(rate * LOAD_S)):
        tasks.append(
            asyncio.create_task(ask(session, url, tokens, f"{run}-{number}"))
        )
        due += rng.uniform(0.5, 1.5) / rate
        await asyncio.sleep(max(0.0, due - time.monotonic()))
    return sum(await asyncio.gather(*tasks))


async def ask(session, url, tokens, key) -> int:
    """Streams one answer; returns its chunks."""
    body = {
        "model": "auto",
        "stream": True,
        "max_tokens": tokens,
        "messages": [{"role": "user", "content": f"{key} " + "x" * 2000}],
    }
    headers = {
        "Authorization": f"Bearer {DESK_KEY}",
        "X-Request-Id": f"slopes-{key}",
    }
    chunks = 0
    async with session.post(
        f"{url}/v1/chat/completions", json=body, headers=headers
    ) as response:
        assert response.status == 200, await response.text()
        async for data in response.content:
            chunks += data.startswith(b"data:")
    return chunks


# Idle.


def idle_text(size: int, shards: int, urls: list[str]) -> str:
    """Returns a configuration with so many nodes to come and shards."""
    text = small_text(urls, fleet_size=size)
    return text.replace("claim_shards = 4", f"claim_shards = {shards}")


async def idle_entry(size: int, shards: int, workers: int) -> Idle:
    """Measures an entry without requests."""
    with tempfile.TemporaryDirectory() as folder:
        async with Cluster(folder) as cluster:
            await cluster.start_table()
            engine = await cluster.start_standin(
                "engine", "engine", "--versions", f"{SMALL}=1.0"
            )
            relays = CountingRelay(cluster.urls["table"]), CountingRelay(engine)
            table, through = [await relay.start() for relay in relays]
            urls = [through] * workers
            await cluster.apply(idle_text(size, shards, urls))
            cluster.urls["table"] = table
            await cluster.start_entry("entry-1")
            return await watch(cluster, "entry-1", relays)


async def idle_control(workers: int) -> Idle:
    """Measures a control process that gives orders to workers."""
    with tempfile.TemporaryDirectory() as folder:
        async with Cluster(folder) as cluster:
            await cluster.start_table()
            engine = await cluster.start_standin(
                "engine", "engine", "--versions", f"{SMALL}=1.0,large@1=1.0"
            )
            relays = CountingRelay(cluster.urls["table"]), CountingRelay(engine)
            table, through = [await relay.start() for relay in relays]
            text = idle_text(TARGET_SIZE, 4, [through] * workers)
            text = text.replace(
                'kind = "engine"', 'kind = "engine"\ntakes_orders = true'
            )
            await cluster.apply(text)
            cluster.urls["table"] = table
            await cluster.start_node("control-1", "control")
            await asyncio.sleep(WARM_S)
            return await watch(cluster, "control-1", relays)


async def watch(cluster, name, relays) -> Idle:
    """Measures a process while nothing is asked of it."""
    await asyncio.sleep(WARM_S)
    pid = cluster.processes[name].process.pid
    before = await totals(cluster, pid, relays)
    started = time.monotonic()
    await asyncio.sleep(IDLE_S)
    after = await totals(cluster, pid, relays)
    took = time.monotonic() - started
    busy, reads, writes, stored, probed = (
        (new - old) / took for new, old in zip(after, before, strict=True)
    )
    return Idle(busy, reads, writes, stored, probed, resident_bytes(pid))


async def totals(cluster, pid, relays) -> tuple[float, ...]:
    """Counts so far."""
    # Asked past the relay, so as not to be counted.
    target = relays[0].target.geturl()
    async with cluster.session.get(f"{target}/standin/stats") as response:
        stats = await response.json(content_type=None)
    return (
        processor_s(pid) * MICRO,
        stats["reads"],
        stats["writes"],
        *(relay.bytes for relay in relays),
    )


def resident_bytes(pid: int) -> int:
    """Returns the resident memory of a process."""
    fields = pathlib.Path(f"/proc/{pid}/statm").read_text().split()
    return int(fields[1]) * PAGE
