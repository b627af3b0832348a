"""Compares strategies for dividing a cold worker's rate among all entries.

Simulates entries, each with its own view of liveness, and cold workers that all
of them would use. Prints, for each strategy and size, the most requests that
reached one worker within a second (it can handle 18), and the share of the
steady rate that was used. The unused rest goes to warm workers and slows them.

    PYTHONPATH=. python -m benchmarks.warm_up
"""

from __future__ import annotations

import logging
import math
import random
from collections.abc import Callable

import attrs
import structlog

from benchmarks.saved_parts import SavedParts
from tests.lib.relay_parts import make_workers
from tests.lib.warm_fleet import OVERSHOOT, SLACK, WARM_UP, WarmFleet

SIZES = (8, 77, 200, 420)
REQUESTS_PER_S = 5.0  # At one entry, including escalations to larger models.
RUN_S = 2.5


@attrs.define
class EvenShares:
    """Strategy 2: an even share of the rate for each entry, saved up."""

    warm_ups: object
    parts: SavedParts

    def open_workers(self, workers: list) -> list:
        """Returns the workers that this entry may send to."""
        now = self.warm_ups.clock.now
        rate = WARM_UP.rate_per_s / self.warm_ups.shares.fleet.size()
        return [
            each
            for each in workers
            if self.parts.touch(each.id, rate, now) >= 1.0
        ]

    def record_send(self, worker: object) -> None:
        """Records a request."""
        self.parts.spend(worker.id, self.warm_ups.clock.now)


@attrs.define
class RandomThinning:
    """Strategy 3: each entry considers cold workers at random.

    The probability is the workers' rate divided by the requests of all entries,
    assuming that peers get as many requests as this entry.
    """

    warm_ups: object
    rng: random.Random
    workers: int

    def open_workers(self, workers: list) -> list:
        """Returns the workers that this entry considers."""
        demand = REQUESTS_PER_S * self.warm_ups.shares.fleet.size()
        allowed = WARM_UP.rate_per_s * len(workers)
        if self.rng.random() >= min(1.0, allowed / demand):
            return []
        return workers

    def record_send(self, worker: object) -> None:
        """Records a request."""


def use_few_senders(
    warm_ups: object, _rng: random.Random, _count: int
) -> object:
    """Strategy 1, in production: a few entries, chosen by a hash."""
    return warm_ups


STRATEGIES: dict[str, Callable] = {
    "few senders": use_few_senders,
    "parts saved up": lambda warm_ups, rng, _count: EvenShares(
        warm_ups, SavedParts(rng)
    ),
    "by chance": RandomThinning,
}


def half_down(number: int, everybody: range) -> set[int]:
    """Returns the peers that an entry considers down while half restart."""
    return {other for other in everybody if (other * 7 + number) % 2} - {number}


def run(strategy: str, size: int, views_differ: bool) -> tuple[int, float]:
    """Returns the most requests in a second and the used share of the rate."""
    fleet = WarmFleet()
    workers = make_workers(2 + size // 30)
    rng = random.Random(size)
    for number in range(size):
        down = half_down(number, range(size)) if views_differ else ()
        fleet.add(number, range(size), down)
        entry = fleet.entries[number]
        for worker in workers:
            entry.record_registration(worker, appeared=True)
        fleet.entries[number] = STRATEGIES[strategy](entry, rng, len(workers))
    ask_all(fleet, workers)
    used = fleet.rate_per_s(workers, RUN_S) / WARM_UP.rate_per_s
    return fleet.max_in_a_second(), used


def ask_all(fleet: WarmFleet, workers: list) -> None:
    """Sends random requests to every entry for a while."""
    step_s = 0.01
    for _ in range(round(RUN_S / step_s)):
        fleet.clock.now += step_s
        for entry in fleet.entries.values():
            if fleet.rng.random() < REQUESTS_PER_S * step_s:
                fleet.ask(entry, workers)


def main() -> None:
    """Prints the table."""
    quiet = structlog.make_filtering_bound_logger(logging.ERROR)
    structlog.configure(wrapper_class=quiet)
    bound = math.floor(WARM_UP.rate_per_s * OVERSHOOT + SLACK)
    print(f"bound {bound} in a second, steady rate {WARM_UP.rate_per_s:.0f}/s")
    print("| way | entries | views | most in 1 s | rate used |")
    print("|---|---|---|---|---|")
    for strategy in STRATEGIES:
        for size in SIZES:
            for differ in (False, True):
                most, used = run(strategy, size, differ)
                views = "differ" if differ else "alike"
                print(
                    f"| {strategy} | {size} | {views} | {most} | {used:.2f} |"
                )


if __name__ == "__main__":
    main()
