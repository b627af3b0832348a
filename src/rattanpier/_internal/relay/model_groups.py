"""Which workers of a pool are for the smallest model, and which for larger.

Load answered: long prompts for a large model hold up the tokens of all that
run beside them. On one site's heaviest day the streams of the smallest model
lasted 4.2 s in the median beside the largest one's prompts and 2.7 s apart;
what is in flight when VMs fail is lost.

All entries find the same groups without talk, by the workers' ids. How many
workers each gets follows from the work that an entry sees, which is a sample
of everybody's. Code without a network.
"""

from __future__ import annotations

import collections
import functools
from collections.abc import Sequence

import attrs

from rattanpier._internal.models.worker import RegisteredWorker
from rattanpier._internal.utils.clock import Clock
from rattanpier._internal.utils.hashing import rendezvous
from rattanpier._internal.utils.samples import FadingSum
from rattanpier._internal.utils.turns import in_turns

MIN_WORKERS = 4  # Of fewer each has to serve all models.
# Share of a pool for the smallest model, until requests showed more: worked out
# from the mixes of two sites (0.15 to 0.35), not tuned by runs.
DEFAULT_SHARE = 0.2
MIN_SHARE, MAX_SHARE = 0.1, 0.5
MAX_CACHED_ORDERS = (
    64  # Sets of workers differ by those that are avoided just now.
)
DEFAULT_SHARE_WEIGHT = 20.0  # Requests that the usual share is worth.
# The mix of a fleet's requests changes slowly, and one entry sees little of it.
HALF_LIFE_S = 15.0


@attrs.define(eq=False, repr=False)
class Demand:
    """What requests for some models take of workers.

    Attributes:
      reading: Seconds in which a worker reads their prompts.
      running: Seconds of a worker's slots, against the slots that it has.
    """

    reading: FadingSum = attrs.Factory(lambda: FadingSum(HALF_LIFE_S))
    running: FadingSum = attrs.Factory(lambda: FadingSum(HALF_LIFE_S))

    def current(self, now: float) -> float:
        """Returns what is needed: reading and slots are used side by side."""
        self.reading.fade(now)
        self.running.fade(now)
        return max(self.reading.total, self.running.total)


@attrs.define(eq=False, repr=False)
class ModelGroups:
    """The work of the smallest models against that of larger ones."""

    clock: Clock
    small: Demand = attrs.Factory(Demand)
    large: Demand = attrs.Factory(Demand)

    def record_upstream_request(self, small: bool, read_s: float) -> None:
        """Takes in the reading that a send is."""
        demand = self.small if small else self.large
        demand.reading.add(read_s, self.clock.monotonic())

    def record_run(self, small: bool, seconds: float, slots: int) -> None:
        """Takes in how long a request had a slot."""
        demand = self.small if small else self.large
        demand.running.add(seconds / max(1, slots), self.clock.monotonic())

    def share(self) -> float:
        """Returns the share of a pool that is for the smallest model."""
        now = self.clock.monotonic()
        small, large = self.small.current(now), self.large.current(now)
        if small + large <= 0.0:
            return DEFAULT_SHARE
        samples = self.small.reading.weight + self.large.reading.weight
        weight = samples / (samples + DEFAULT_SHARE_WEIGHT)
        measured = small / (small + large)
        share = weight * measured + (1.0 - weight) * DEFAULT_SHARE
        return min(MAX_SHARE, max(MIN_SHARE, share))

    def workers_for(
        self, workers: Sequence[RegisteredWorker], small: bool
    ) -> Sequence[RegisteredWorker]:
        """Returns the workers for the smallest model, or those for larger."""
        if len(workers) < MIN_WORKERS:
            return workers
        ordered = sort_workers(workers)
        count = max(1, round(self.share() * len(ordered)))
        return ordered[:count] if small else ordered[count:]


def sort_workers(workers: Sequence[RegisteredWorker]) -> list[RegisteredWorker]:
    """Returns workers in an order of their ids, each domain in turn."""
    by_id = {worker.id: worker for worker in workers}
    places = tuple(sorted((worker.id, worker.domain) for worker in workers))
    return [by_id[id] for id in sort_ids(places)]


@functools.lru_cache(maxsize=MAX_CACHED_ORDERS)
def sort_ids(places: tuple[tuple[str, str], ...]) -> tuple[str, ...]:
    """Returns the order of workers, given as pairs of id and domain."""
    domain_of = dict(places)
    domains: dict[str, list[str]] = collections.defaultdict(list)
    for id in rendezvous("models", domain_of):
        domains[domain_of[id]].append(id)
    return tuple(in_turns(domains[name] for name in sorted(domains)))
