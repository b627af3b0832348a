"""What one entry adds to a request, and how much it relays.

Run: python -m benchmarks.overhead [--seconds S] [--rate R]

All in one run, on one machine: an engine stand-in asked directly, through a
bare aiohttp pass-through, and through an entry. Prints latencies at a given
rate and, from the relays' processor time, what one core relays.
"""

from __future__ import annotations

import asyncio
import json
import os
import pathlib
import random
import sys
import tempfile
import time
from collections.abc import Callable

import aiohttp
import attrs
import fire

from tests.lib.builders import DESK_KEY, SMALL, configuration_text
from tests.lib.cluster import Cluster

PROMPT = "x" * 8000  # 2,000 tokens: 100 ms of prefill at the engine.
TOKENS = 64
SLOTS = 4096  # Of the engine.
TICKS = os.sysconf("SC_CLK_TCK")


@attrs.frozen
class Sample:
    """One answer: seconds to the first token and to the end, and chunks."""

    first_s: float
    whole_s: float
    chunks: int


async def ask(
    session: aiohttp.ClientSession, url: str, model: str, number: int
) -> Sample:
    """Streams one answer."""
    body = {
        "model": model,
        "stream": True,
        "max_tokens": TOKENS,
        "messages": [{"role": "user", "content": f"{number}{PROMPT}"}],
    }
    headers = {
        "Authorization": f"Bearer {DESK_KEY}",
        "X-Request-Id": f"bench-{number}",
        "Content-Type": "application/json",
    }
    started = time.perf_counter()
    first = 0.0
    chunks = 0
    async with session.post(
        f"{url}/v1/chat/completions", data=json.dumps(body), headers=headers
    ) as response:
        assert response.status == 200, await response.text()
        done = False
        async for line in response.content:
            if line.startswith(b"data:"):
                first = first or time.perf_counter() - started
                chunks += 1
                done = line.startswith(b"data: [DONE]")
    assert done
    return Sample(first, time.perf_counter() - started, chunks)


def percentile(values: list[float], share: float) -> float:
    """Returns a percentile in milliseconds."""
    ranked = sorted(values)
    return 1000 * ranked[min(len(ranked) - 1, int(share * len(ranked)))]


def processor_s(pid: int) -> float:
    """Returns the processor time that a process has used."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().split(")")[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


async def open_loop(
    targets: dict[str, tuple[str, str]], rate: float, seconds: float
) -> dict[str, list[Sample]]:
    """Asks every target at a rate each, at the same random moments."""
    rng = random.Random(1)
    tasks: dict[str, list[asyncio.Task]] = {name: [] for name in targets}
    async with aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0)
    ) as session:
        end = time.perf_counter() + seconds
        number = 0
        while time.perf_counter() < end:
            for name, (url, model) in targets.items():
                number += 1
                work = ask(session, url, model, number)
                tasks[name].append(asyncio.create_task(work))
                await asyncio.sleep(rng.expovariate(rate * len(targets)))
        return {
            name: list(await asyncio.gather(*started))
            for name, started in tasks.items()
        }


async def saturate(
    url: str, model: str, streams: int, seconds: float, pid: int
) -> str:
    """Keeps a number of streams open; returns a line of figures."""
    samples: list[Sample] = []
    end = time.perf_counter() + seconds
    before, started = processor_s(pid), time.perf_counter()
    async with aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0)
    ) as session:

        async def keep(first: int) -> None:
            number = first
            while time.perf_counter() < end:
                samples.append(await ask(session, url, model, number))
                number += streams

        await asyncio.gather(*(keep(10**6 + n) for n in range(streams)))
    took = time.perf_counter() - started
    used = processor_s(pid) - before
    chunks = sum(sample.chunks for sample in samples)
    return (
        f"{len(samples) / took:8.1f} requests/s {chunks / took:9.0f} chunks/s"
        f" {used / took:6.2f} cores; a core relays"
        f" {len(samples) / used:7.1f} requests/s {chunks / used:8.0f} chunks/s"
    )


def report(results: dict[str, list[Sample]]) -> None:
    """Prints latencies, and what each relay adds to the direct way."""
    fields: dict[str, Callable[[Sample], float]] = {
        "first token": lambda sample: sample.first_s,
        "whole": lambda sample: sample.whole_s,
    }
    for field, value in fields.items():
        for share in (0.5, 0.99):
            base = percentile([value(s) for s in results["direct"]], share)
            for name, samples in results.items():
                found = percentile([value(s) for s in samples], share)
                print(
                    f"{field:12} p{share * 100:g} {name:12}"
                    f" {found:8.1f} ms, added {found - base:7.1f} ms"
                )


async def run(seconds: float, rate: float, streams: int) -> None:
    """Runs everything once."""
    folder = tempfile.mkdtemp()
    async with Cluster(folder) as cluster:
        await cluster.start_table()
        speed = ("--versions", SMALL, "--slots", str(SLOTS))
        engine = await cluster.start_standin("engine", "engine", *speed)
        text = configuration_text([engine], fleet_size=1)
        # Admission must not hold back what the pass-through lets through.
        slots = f'domain = "a"\nslots = {SLOTS}'
        await cluster.apply(text.replace('domain = "a"', slots))
        entry = await cluster.start_entry("entry-1")
        relay = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "benchmarks.passthrough",
            engine,
            stdout=asyncio.subprocess.PIPE,
        )
        assert relay.stdout is not None
        through = (await relay.stdout.readline()).decode().strip()
        targets = {
            "direct": (engine, SMALL),
            "pass-through": (through, SMALL),
            "entry": (entry, "auto"),
        }
        await open_loop(targets, rate, 2.0)
        print(f"{rate:g} requests/s each way, {TOKENS} tokens, {seconds:g} s")
        report(await open_loop(targets, rate, seconds))
        pids = {
            "pass-through": relay.pid,
            "entry": cluster.processes["entry-1"].process.pid,
        }
        print(f"{streams} streams at a time")
        for name, pid in pids.items():
            url, model = targets[name]
            line = await saturate(url, model, streams, seconds, pid)
            print(f"{name:12} {line}")
        relay.terminate()
        await relay.wait()


def main(seconds: float = 10.0, rate: float = 10.0, streams: int = 64) -> None:
    """Measures one entry.

    Args:
      seconds: Length of each part.
      rate: Requests a second of each way while latency is measured.
      streams: Streams at a time while throughput is measured.
    """
    asyncio.run(run(seconds, rate, streams))


if __name__ == "__main__":
    fire.Fire(main)
