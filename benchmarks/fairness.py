"""Benchmark of the fairness between workspaces under a flood by one.

Simulates one pool with a few slots, one workspace that requests three times the
pool's capacity, and nine that request little. Time is simulated. Run:

    python -m benchmarks.fairness
"""

from __future__ import annotations

import collections
import heapq
import itertools
import random
from collections.abc import Callable, Iterator

import attrs
import numpy
from rich.console import Console
from rich.table import Table

from benchmarks.queues import DeficitQueue, FifoQueue
from rattanpier._internal.placement.fair_queue import (
    QueuedRequest,
    TokenCounterQueue,
    request_cost,
)

SLOTS = 32
PREFILL_S = 1 / 20_000  # Time of a prompt token.
DECODE_S = 0.02  # Time of a generated token.
DURATION_S = 600.0
SMALL_WORKSPACES = 9
TUNING_SEEDS = (1, 2, 3)
HELD_OUT_SEEDS = (101, 102, 103, 104, 105)
FLOOD = "flood"
MAX_QUEUED = 64  # Maximum number of queued requests of a workspace.


@attrs.frozen(eq=False)
class Job:
    """A request, with lengths that are unknown until it has finished.

    Attributes:
      arrival: Simulated time in seconds.
      workspace: Workspace of the request.
      prompt: Number of prompt tokens.
      output: Number of generated tokens.
      expected_output: Estimate of `output` before the request is run.
    """

    arrival: float
    workspace: str
    prompt: int
    output: int
    expected_output: int

    @property
    def service_s(self) -> float:
        """Seconds for which the request occupies a slot."""
        return self.prompt * PREFILL_S + self.output * DECODE_S

    @property
    def cost(self) -> float:
        """Actual cost of the request, see `request_cost`."""
        return request_cost(self.prompt, self.output)


@attrs.define
class Result:
    """Result of one simulation.

    Attributes:
      waits: Waiting times in seconds, by workspace.
      cost: Actual cost served, by workspace.
      refused: Number of refused requests, by workspace.
    """

    waits: dict[str, list[float]] = attrs.Factory(
        lambda: collections.defaultdict(list)
    )
    cost: collections.Counter = attrs.Factory(collections.Counter)
    refused: collections.Counter = attrs.Factory(collections.Counter)


def arrivals(seed: int) -> list[Job]:
    """Returns the jobs of one simulation in order of arrival."""
    rng = random.Random(seed)
    capacity = SLOTS / (150 * DECODE_S)
    rates = {FLOOD: 3.0 * capacity}
    for number in range(SMALL_WORKSPACES):
        rates[f"small-{number}"] = 0.4 * capacity / SMALL_WORKSPACES
    jobs: list[Job] = []
    for name, rate in rates.items():
        jobs.extend(workspace_jobs(rng, name, rate))
    return sorted(jobs, key=lambda job: job.arrival)


def workspace_jobs(rng: random.Random, name: str, rate: float) -> Iterator[Job]:
    """Yields the jobs of one workspace; those of the flood are longer."""
    mean = 200 if name == FLOOD else 100
    now = rng.expovariate(rate)
    while now < DURATION_S:
        output = max(1, int(rng.expovariate(1 / mean)))
        expected_output = max(1, int(mean * rng.uniform(0.5, 1.5)))
        yield Job(now, name, rng.randrange(20, 2000), output, expected_output)
        now += rng.expovariate(rate)


def simulate(make_queue: Callable[[], object], seed: int) -> Result:
    """Simulates the jobs of a seed, with a queue in front of the slots.

    Args:
      make_queue: Returns an empty queue.
      seed: Seed of the jobs.
    """
    queue = make_queue()
    result = Result()
    ends: list[tuple[float, int, Job]] = []
    ids = itertools.count()
    queued: collections.Counter[str] = collections.Counter()

    def start(now: float) -> None:
        while len(ends) < SLOTS:
            queued_request = queue.pop()
            if queued_request is None:
                return
            job = queued_request.item
            queued[job.workspace] -= 1
            result.waits[job.workspace].append(now - job.arrival)
            heapq.heappush(ends, (now + job.service_s, next(ids), job))

    def finish(until: float) -> None:
        while ends and ends[0][0] <= until:
            now, _, job = heapq.heappop(ends)
            expected_cost = request_cost(job.prompt, job.expected_output)
            queue.charge(job.workspace, job.cost - expected_cost, 1.0)
            result.cost[job.workspace] += job.cost
            start(now)

    for job in arrivals(seed):
        finish(job.arrival)
        if queued[job.workspace] >= MAX_QUEUED:
            result.refused[job.workspace] += 1
            continue
        queued[job.workspace] += 1
        cost = request_cost(job.prompt, job.expected_output)
        queue.push(QueuedRequest(job, job.workspace, cost, 1.0))
        start(job.arrival)
    return result


POLICIES: dict[str, Callable[[], object]] = {
    "FIFO": FifoQueue,
    "deficit round-robin, jobs": lambda: DeficitQueue(by_cost=False),
    "deficit round-robin, cost": lambda: DeficitQueue(by_cost=True),
    "virtual token counter": TokenCounterQueue,
}


def small_waits(results: list[Result]) -> list[float]:
    """Returns the waiting times of all small workspaces in seconds."""
    return [
        wait
        for result in results
        for name, waits in result.waits.items()
        if name != FLOOD
        for wait in waits
    ]


def report(title: str, seeds: tuple[int, ...]) -> Table:
    """Returns a table with all policies, each simulated with all seeds."""
    table = Table(title=title)
    for column in (
        "policy",
        "small p50 s",
        "small p95 s",
        "small p99 s",
        "small refused",
        "flood's cost share",
        "total cost",
    ):
        table.add_column(column)
    for name, make_queue in POLICIES.items():
        results = [simulate(make_queue, seed) for seed in seeds]
        waits = small_waits(results)
        total = sum(sum(result.cost.values()) for result in results)
        flood = sum(result.cost[FLOOD] for result in results)
        refused = sum(
            count
            for result in results
            for key, count in result.refused.items()
            if key != FLOOD
        )
        table.add_row(
            name,
            *(f"{numpy.percentile(waits, q):.3f}" for q in (50, 95, 99)),
            str(refused),
            f"{flood / total:.3f}",
            f"{total:.0f}",
        )
    return table


def main() -> None:
    """Prints the tables."""
    console = Console(width=120)
    console.print(report("seeds used for tuning", TUNING_SEEDS))
    console.print(report("seeds held back", HELD_OUT_SEEDS))


if __name__ == "__main__":
    main()
