"""Measures latency, table writes and CPU time of claims.

It runs in one process against the in-memory table stand-in with a fixed write
time. The results therefore show the batch interval and the cost of the code,
not of a network.

    python benchmarks/claims.py [seconds]
"""

from __future__ import annotations

import asyncio
import sys
import time

import attrs
from hdrh.histogram import HdrHistogram

from rattanpier._internal.claims.book import Ask
from rattanpier._internal.claims.owner import ShardOwner
from rattanpier._internal.claims.records import (
    Answer,
    Bill,
    ClaimResult,
    SettleOp,
)
from rattanpier._internal.claims.takeover import acquire
from rattanpier._internal.models.outcomes import WriteOutcome
from rattanpier._internal.standin.table import MemoryTable
from rattanpier._internal.store.table import Transaction
from rattanpier._internal.utils.clock import SystemClock
from rattanpier._internal.utils.metrics import Metrics

RATES_PER_S = (1, 50, 230)  # Claims of one shard.
INTERVALS_S = (1 / 15, 0.02)  # 16 shards in 240 writes/s; 4 in 200.
WRITE_TIME_S = 0.005
ANSWER = "x" * 900  # About 220 tokens.
MICROSECONDS = 1_000_000


class SlowTable(MemoryTable):
    """In-memory table with a fixed write time."""

    async def transact(self, transaction: Transaction) -> WriteOutcome:
        """Runs a transaction after `WRITE_TIME_S`."""
        await asyncio.sleep(WRITE_TIME_S)
        return await super().transact(transaction)


@attrs.define
class Measurements:
    """Results of one run.

    Attributes:
      claim: Latency of claims in microseconds.
      settle: Latency of settlements in microseconds.
      batches: Number of batches written.
      bytes_written: Total size of the rows.
      cpu_s: CPU time in seconds.
    """

    claim: HdrHistogram
    settle: HdrHistogram
    batches: int = 0
    bytes_written: int = 0
    cpu_s: float = 0.0


async def run_request(
    owner: ShardOwner, number: int, measurements: Measurements
) -> None:
    """Claims and settles one request."""
    key = f"k{number}"
    started = time.perf_counter()
    await owner.ask(Ask("desk", key, f"e/i/{number}", True, "d" * 64))
    record_duration(measurements.claim, started)
    await asyncio.sleep(0.2)
    started = time.perf_counter()
    await owner.settle(
        SettleOp(
            "desk",
            key,
            1,
            ClaimResult.ANSWERED,
            Bill("desk", key, "small@1", 100, 220, 1.0),
            Answer(200, "application/json", ANSWER, "small@1"),
        )
    )
    record_duration(measurements.settle, started)


def record_duration(histogram: HdrHistogram, started: float) -> None:
    """Records the time since `started` in microseconds."""
    histogram.record_value(int((time.perf_counter() - started) * MICROSECONDS))


async def run_shard(
    rate: int, interval_s: float, seconds: float
) -> Measurements:
    """Runs the load of one shard.

    Args:
      rate: Requests per second.
      interval_s: Seconds between two batches.
      seconds: Duration of the load in seconds.
    """
    table = SlowTable()
    obtained = await acquire(table, 0, None, "e", "i")
    assert obtained is not None
    lease, version = obtained
    owner = ShardOwner(
        shard=0,
        lease=lease,
        lease_version=version,
        table=table,
        clock=SystemClock(),
        metrics=Metrics(),
        alive=lambda _: True,
        interval_s=interval_s,
    )
    writer = asyncio.create_task(owner.run())
    histogram = HdrHistogram(1, 60 * MICROSECONDS, 3)
    measurements = Measurements(
        histogram, HdrHistogram(1, 60 * MICROSECONDS, 3)
    )
    cpu_started_s = time.process_time()
    requests = []
    for number in range(int(rate * seconds)):
        requests.append(
            asyncio.create_task(run_request(owner, number, measurements))
        )
        await asyncio.sleep(1 / rate)
    await asyncio.gather(*requests)
    measurements.cpu_s = time.process_time() - cpu_started_s
    measurements.batches = owner.next_sequence - 1
    measurements.bytes_written = sum(
        len(row.value) for row in table.rows.values()
    )
    writer.cancel()
    return measurements


def main() -> None:
    """Prints a table of results."""
    seconds = float(sys.argv[1]) if len(sys.argv) > 1 else 10.0
    print(f"write {WRITE_TIME_S * 1000:.0f} ms, {seconds:.0f} s a run")
    print(
        "rate/s interval claim p50 p99 ms settle p50 p99 writes/s B/req us/req"
    )
    for interval_s in INTERVALS_S:
        for rate in RATES_PER_S:
            measurements = asyncio.run(run_shard(rate, interval_s, seconds))
            count = int(rate * seconds)
            values = [
                histogram.get_value_at_percentile(percentile) / 1000
                for histogram in (measurements.claim, measurements.settle)
                for percentile in (50, 99)
            ]
            print(
                f"{rate:6d} {interval_s * 1000:6.0f}ms",
                *(f"{value:8.1f}" for value in values),
                f"{measurements.batches / seconds:8.1f}",
                f"{measurements.bytes_written / count:7.0f}",
                f"{measurements.cpu_s / count * MICROSECONDS:7.0f}",
            )


if __name__ == "__main__":
    main()
