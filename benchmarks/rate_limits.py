"""Compares strategies for keeping all entries within workers' rate limits.

Simulates entries and workers that all name the same limit. Prints, for each
strategy and size, the most requests that reached one worker in a window from
entries that know its limit, the share of the limit that was used, and the share
of requests that found no worker available. In the last column all entries know
the limit, were idle for a while, and then get requests at the same moment.

    PYTHONPATH=. python -m benchmarks.rate_limits
"""

from __future__ import annotations

import logging
import math
import random
from collections.abc import Callable

import attrs
import structlog

from benchmarks.saved_parts import SavedParts
from benchmarks.warm_up import half_down
from rattanpier._internal.placement.rate_limits import (
    OVERSHOOT_RATIO,
    SLACK_REQUESTS,
    WINDOW_S,
)
from tests.lib.relay_parts import make_workers
from tests.lib.warm_fleet import LimitedFleet

SIZES = (8, 77, 200, 420)
RATE_PER_S = 2.3
REQUESTS_PER_S = 5.0  # At one entry.
RUN_S = 12.0
IDLE_S = 600.0


@attrs.define
class EvenShares:
    """Gives each entry an even share of the limit, saving up one request."""

    limits: object
    parts: SavedParts

    def open_workers(self, workers: list) -> list:
        """Returns the workers that this entry may send to."""
        if not self.limits.rates:
            return workers
        now = self.limits.clock.now
        rate = RATE_PER_S / self.limits.shares.fleet.size()
        return [
            each
            for each in workers
            if self.parts.touch(each.id, rate, now) >= 1.0
        ]

    def record_send(self, worker: object) -> None:
        """Records a request."""
        self.parts.spend(worker.id, self.limits.clock.now)

    def record_answer(
        self, worker: object, rate: float | None, at: float
    ) -> None:
        """Records the limit in an answer."""
        self.limits.record_answer(worker, rate, at)

    def apply_limits(self, limits: list) -> None:
        """Applies limits from a peer."""
        self.limits.apply_limits(limits)


def use_few_senders(limits: object, _rng: random.Random) -> object:
    """Returns the production strategy: a few entries, chosen by a hash."""
    return limits


def use_even_shares(limits: object, rng: random.Random) -> object:
    """Returns the alternative: an even share for each entry."""
    return EvenShares(limits, SavedParts(rng))


STRATEGIES: dict[str, Callable] = {
    "few senders": use_few_senders,
    "parts": use_even_shares,
}


def run(strategy: str, size: int, differ: bool, news: bool) -> LimitedFleet:
    """Simulates a fleet that does not know the limit at first."""
    fleet, workers = make(strategy, size, differ, news)
    fleet.run(workers, REQUESTS_PER_S, RUN_S, RATE_PER_S)
    return fleet


def run_after_idling(strategy: str, size: int, differ: bool) -> int:
    """Returns the most requests in a window after an idle period."""
    fleet, workers = make(strategy, size, differ, True)
    fleet.inform_all(workers, RATE_PER_S)
    for entry in fleet.entries.values():
        entry.open_workers(workers)
    fleet.clock.now += IDLE_S
    fleet.run(workers, REQUESTS_PER_S, WINDOW_S, RATE_PER_S)
    return max(map(len, fleet.sends.values()))


def make(
    strategy: str, size: int, differ: bool, news: bool
) -> tuple[LimitedFleet, list]:
    """Returns a fleet, and workers for it to choose from."""
    fleet = LimitedFleet()
    fleet.publishing = news
    rng = random.Random(size)
    for number in range(size):
        down = half_down(number, range(size)) if differ else ()
        fleet.add(number, range(size), down)
        fleet.entries[number] = STRATEGIES[strategy](fleet.entries[number], rng)
    return fleet, make_workers(9 + size // 3)


def main() -> None:
    """Prints the table."""
    quiet = structlog.make_filtering_bound_logger(logging.ERROR)
    structlog.configure(wrapper_class=quiet)
    allowed = math.floor(
        OVERSHOOT_RATIO * RATE_PER_S * WINDOW_S + SLACK_REQUESTS
    )
    print(f"allowed {allowed} in {WINDOW_S} s, limit {RATE_PER_S} a second")
    print("| way | entries | views | news | told | used | refused | idle |")
    print("|---|---|---|---|---|---|---|---|")
    for strategy in STRATEGIES:
        for size in SIZES:
            for differ, news in ((False, True), (True, True), (False, False)):
                fleet = run(strategy, size, differ, news)
                print_row(fleet, strategy, size, differ, news)


def print_row(
    fleet: LimitedFleet, strategy: str, size: int, differ: bool, news: bool
) -> None:
    """Prints the results of one simulation."""
    sent = sum(map(len, fleet.sends.values()))
    cells = (
        strategy,
        size,
        "differ" if differ else "alike",
        "yes" if news else "no",
        fleet.max_from_informed(WINDOW_S),
        f"{sent / RUN_S / len(fleet.sends) / RATE_PER_S:.2f}",
        f"{fleet.refused / (fleet.refused + sent):.2f}",
        run_after_idling(strategy, size, differ),
    )
    print("|", " | ".join(map(str, cells)), "|", flush=True)


if __name__ == "__main__":
    main()
