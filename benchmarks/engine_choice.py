"""Measures the processor time of choosing one of 45 engines.

Run: python -m benchmarks.engine_choice

The first line is without reported ratios, as in deployments whose workers do
not report any; the second one with the paces of all workers known, and some of
them slowed down at the moment.
"""

from __future__ import annotations

import random
import time

import fire
import structlog

from rattanpier._internal.models.upstream_request import ReportedLoad
from rattanpier._internal.relay.directory import WorkerDirectory
from rattanpier._internal.relay.load import Loads
from rattanpier._internal.relay.model_groups import ModelGroups
from rattanpier._internal.relay.model_timings import ModelTimings
from rattanpier._internal.relay.placement import Chooser
from rattanpier._internal.utils.clock import SystemClock
from tests.lib.relay_parts import make_chat, make_workers

WORKERS = 45
SLOWED = 6  # 15% of the workers, which is more than one entry hears of.
ROUNDS = 60


structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(40))


def make_chooser() -> Chooser:
    """Returns a chooser that knows the load of all workers.

    A third of them has waiting requests, and another third own requests.
    """
    clock = SystemClock()
    chooser = Chooser(
        Loads(clock),
        "a",
        random.Random(1),
        ModelTimings(clock),
        ModelGroups(clock),
    )
    for number in range(WORKERS):
        waiting = number % 3 == 0
        chooser.loads.record_report(f"w{number}", ReportedLoad(9, waiting, 32))
        if number % 3 == 1:
            chooser.loads.begin(f"w{number}", 0.1)
    return chooser


def add_paces(chooser: Chooser) -> None:
    """Makes the paces of all workers known to a chooser."""
    directory = WorkerDirectory(chooser.loads.clock)
    workers = make_workers(WORKERS)
    for worker in workers:
        directory.put(worker)
    paces = chooser.paces
    paces.worker_of = directory.workers.get
    paces.apply_published(
        {worker.id: [600 + 20 * n, 99] for n, worker in enumerate(workers)}
    )


def report_slowdowns(chooser: Chooser) -> None:
    """Makes some workers report that work takes longer at the moment."""
    for number in range(SLOWED):
        chooser.paces.record_report(f"w{number}", 2.5)


def choice_us(chooser: Chooser, calls: int) -> float:
    """Returns the least processor time of a choice, in microseconds."""
    workers, request = make_workers(WORKERS), make_chat()
    started = time.process_time()
    for _ in range(calls):
        chooser.choose(request, workers, "small")
    return 1e6 * (time.process_time() - started) / calls


def main(calls: int = 60) -> None:
    """Prints the least processor time of a choice in several rounds.

    Args:
      calls: Choices in a round.
    """
    plain, paced = make_chooser(), make_chooser()
    if hasattr(paced, "paces"):
        add_paces(paced)
    times = []
    for _ in range(ROUNDS):
        if hasattr(paced, "paces"):
            report_slowdowns(paced)
        times.append((choice_us(plain, calls), choice_us(paced, calls)))
    print(f"without paces: {min(each[0] for each in times):.1f} us")
    print(f"with paces:    {min(each[1] for each in times):.1f} us")


if __name__ == "__main__":
    fire.Fire(main)
