"""Measures the cost of choosing a worker and how evenly subsets load workers.

Run: python -m benchmarks.placement_cost

The cost is the processor time of one choice, by size of the pool. The evenness
is simulated with seeded arrivals at 420 entries and 600 workers; each entry
chooses from its own subset with the production code.
"""

from __future__ import annotations

import asyncio
import collections
import heapq
import random
import statistics
import time
from collections.abc import Iterator

import attrs
import fire

from rattanpier._internal.dispatch.pool_admission import PoolAdmission
from rattanpier._internal.models.configuration import (
    Configuration,
    UpstreamKind,
)
from rattanpier._internal.models.plan import Plan
from rattanpier._internal.routing.placement import (
    Load,
    Placement,
    Target,
    choose_subset,
    targets_of,
    two_choices,
)
from rattanpier._internal.utils.clock import SystemClock
from rattanpier._internal.utils.metrics import Metrics
from tests.lib.builders import SMALL, build_request
from tests.lib.pools import DOMAINS, pool_configuration

ENTRIES = 420
WORKERS = 600
POOLS = (9, 60, 200, 600)
SIZES = (8, 16, 32, 64, 600)
RATE = 3700.0  # Requests per second.
SERVICE_S = 2.0  # Mean duration of a request at a worker.
SLOTS = 16
WARM_UP_S = 10.0
SEEDS = (1, 2, 3)
KEY = (UpstreamKind.ENGINE, SMALL)


def choice_us(workers: int, calls: int = 2000) -> float:
    """Returns the processor time of one choice, in microseconds."""
    configuration = pool_configuration(workers, ENTRIES)
    placement = Placement("entry-1")
    return cost_us(
        lambda: placement.of_version(configuration, SMALL, set()), calls
    )


def listing_us(workers: int, calls: int = 200) -> float:
    """Returns the same if all workers are listed for each request."""
    configuration = pool_configuration(workers, ENTRIES)
    leaving: set[str] = set()
    return cost_us(
        lambda: [
            target
            for target in targets_of(configuration, KEY)
            if target.name not in leaving
        ],
        calls,
    )


def revision_us(workers: int, calls: int = 20) -> float:
    """Returns the cost of the first choice after a configuration change."""
    configurations = [pool_configuration(workers, ENTRIES) for _ in range(2)]
    placement = Placement("entry-1")

    def change() -> None:
        configurations.reverse()
        placement.of_version(configurations[0], SMALL, set())

    return cost_us(change, calls)


def admission_us(workers: int, calls: int = 300) -> float:
    """Returns the cost of admission to a pool, in microseconds."""
    configuration = pool_configuration(workers, 1)
    gates = PoolAdmission(
        lambda: configuration, lambda: 1, SystemClock(), Metrics()
    )
    request = build_request(deadline=float("inf"))
    plan = Plan("all", [SMALL])

    async def pass_all() -> float:
        started = time.process_time()
        for _ in range(calls):
            async with gates.admit(request, plan):
                pass
        return time.process_time() - started

    return 1e6 * min(asyncio.run(pass_all()) for _ in range(5)) / calls


def cost_us(work, calls: int) -> float:
    """Returns the microseconds of a call and a choice among its targets."""
    load, rng = Load(), random.Random(1)
    best = float("inf")
    for _ in range(5):
        started = time.process_time()
        for _ in range(calls):
            two_choices(work() or [], load, "a", rng)
        best = min(best, time.process_time() - started)
    return 1e6 * best / calls


@attrs.frozen
class Evenness:
    """How evenly the workers are loaded.

    Attributes:
      spread: Standard deviation of the workers' loads, relative to the mean.
      highest: The highest load of a worker, relative to the mean.
      over_capacity: Share of requests that found no free slot.
    """

    spread: float
    highest: float
    over_capacity: float


def subsets_of(
    configuration: Configuration, size: int
) -> Iterator[list[Target]]:
    """Yields the subset of each entry."""
    all_targets = list(targets_of(configuration, KEY))
    for number in range(ENTRIES):
        yield choose_subset(f"entry-{number}", all_targets, size)


def simulate(
    size: int, seed: int, seconds: float, reported: bool = False
) -> Evenness:
    """Simulates seeded arrivals and returns the evenness of the load.

    Args:
      size: Workers in a subset.
      seed: Seed of the arrivals.
      seconds: Simulated seconds that are measured.
      reported: Whether to choose by the workers' own counts without any lag,
        instead of the requests that the entry itself has in progress.
    """
    rng = random.Random(seed)
    subsets = list(subsets_of(pool_configuration(WORKERS, ENTRIES), size))
    at_worker: collections.Counter[str] = collections.Counter()
    reported_load = Load(at_worker)
    loads = [Load() for _ in range(ENTRIES)]
    busy_s: collections.Counter[str] = collections.Counter()
    ends: list[tuple[float, int, str]] = []
    now, arrived, over_capacity = 0.0, 0, 0
    while now < WARM_UP_S + seconds:
        now += rng.expovariate(RATE)
        while ends and ends[0][0] <= now:
            _, entry, name = heapq.heappop(ends)
            loads[entry].outstanding[name] -= 1
            at_worker[name] -= 1
        entry = rng.randrange(ENTRIES)
        domain = DOMAINS[entry % len(DOMAINS)]
        load = reported_load if reported else loads[entry]
        target = two_choices(subsets[entry], load, domain, rng)
        assert target is not None
        duration_s = rng.expovariate(1 / SERVICE_S)
        if now > WARM_UP_S:
            arrived += 1
            over_capacity += at_worker[target.name] >= SLOTS
            busy_s[target.name] += duration_s
        loads[entry].outstanding[target.name] += 1
        at_worker[target.name] += 1
        heapq.heappush(ends, (now + duration_s, entry, target.name))
    values = [busy_s[f"w{number}"] for number in range(WORKERS)]
    mean = statistics.fmean(values)
    return Evenness(
        statistics.pstdev(values) / mean,
        max(values) / mean,
        over_capacity / arrived,
    )


def main(seconds: float = 20.0) -> None:
    """Prints the cost of a choice and the evenness of subsets.

    Args:
      seconds: Simulated seconds of arrivals that are measured.
    """
    print("us of processor | all listed | subset | first | admission")
    for workers in POOLS:
        print(
            f"{workers:4} workers    | {listing_us(workers):10.1f} |"
            f" {choice_us(workers):6.1f} | {revision_us(workers):8.1f}"
            f" | {admission_us(workers):6.1f}"
        )
    print(
        f"{ENTRIES} entries, {WORKERS} workers, {RATE:g} requests/s of"
        f" {SERVICE_S:g} s, {seconds:g} s simulated, seeds {SEEDS}"
    )
    for reported in (False, True):
        print("by the workers' counts" if reported else "by own count")
        for size in SIZES:
            runs = [simulate(size, n, seconds, reported) for n in SEEDS]
            print(
                f"subset {size:3}: spread"
                f" {statistics.fmean(r.spread for r in runs):5.3f}, highest"
                f" {max(r.highest for r in runs):5.2f} of the mean, no free"
                f" slot {statistics.fmean(r.over_capacity for r in runs):6.4f}"
            )


if __name__ == "__main__":
    fire.Fire(main)
