"""Divides a pool's workers between the smallest model and larger ones.

Long prompts of a large model delay the tokens of all requests that run at the
same worker. On the day of the highest load at one site the median duration of
the smallest model's streams was 4.2 s at workers shared with the largest model
and 2.7 s at separate ones. Longer streams also mean that more requests are in
flight, and lost, when VMs fail.

All entries compute the same groups from the workers' ids, without
communication. The sizes of the groups follow the demand that an entry sees,
which is a sample of the demand on all entries. Free of I/O.
"""

from __future__ import annotations

import collections
import functools
from collections.abc import Sequence

import attrs

from rattanpier._internal.models.worker import RegisteredWorker
from rattanpier._internal.utils.clock import Clock
from rattanpier._internal.utils.hashing import rendezvous
from rattanpier._internal.utils.interleave import interleave
from rattanpier._internal.utils.samples import DecayingSum

MIN_WORKERS = 4  # In a smaller pool each worker serves all models.
# Share of a pool for the smallest model before any demand was measured, derived
# from the request mixes of two sites (0.15 to 0.35).
DEFAULT_SHARE = 0.2
MIN_SHARE, MAX_SHARE = 0.1, 0.5
# The set of workers changes with the workers that are currently avoided.
MAX_CACHED_ORDERS = 64
DEFAULT_SHARE_WEIGHT = 20.0  # Weight of DEFAULT_SHARE, in requests.
# The request mix of a fleet changes slowly, and an entry sees little of it.
HALF_LIFE_S = 15.0


@attrs.define(eq=False, repr=False)
class Demand:
    """Demand of requests for some models on workers.

    Attributes:
      reading: Seconds in which a worker reads their prompts.
      running: Seconds in which they occupy slots, divided by the worker's
        number of slots.
    """

    reading: DecayingSum = attrs.Factory(lambda: DecayingSum(HALF_LIFE_S))
    running: DecayingSum = attrs.Factory(lambda: DecayingSum(HALF_LIFE_S))

    def current(self, now: float) -> float:
        """Returns the larger of both demands, in worker seconds.

        Prompts are read while slots are occupied, so the demands don't add up.

        Args:
          now: Monotonic seconds.
        """
        self.reading.decay(now)
        self.running.decay(now)
        return max(self.reading.total, self.running.total)


@attrs.define(eq=False, repr=False)
class ModelGroups:
    """Worker groups by the demand of small and of large models.

    Attributes:
      clock: Source of monotonic time.
      small: Demand of requests for the smallest model of their route.
      large: Demand of requests for larger models.
    """

    clock: Clock
    small: Demand = attrs.Factory(Demand)
    large: Demand = attrs.Factory(Demand)

    def record_upstream_request(self, small: bool, read_s: float) -> None:
        """Records the prompt reading of an upstream request, in seconds."""
        demand = self.small if small else self.large
        demand.reading.add(read_s, self.clock.monotonic())

    def record_run(self, small: bool, seconds: float, slots: int) -> None:
        """Records for how many seconds a request occupied a slot."""
        demand = self.small if small else self.large
        demand.running.add(seconds / max(1, slots), self.clock.monotonic())

    def share(self) -> float:
        """Returns the share of a pool for the smallest model, from 0 to 1."""
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
        """Returns the workers for the smallest model, or for larger ones."""
        if len(workers) < MIN_WORKERS:
            return workers
        ordered = sort_workers(workers)
        count = max(1, round(self.share() * len(ordered)))
        return ordered[:count] if small else ordered[count:]


def sort_workers(workers: Sequence[RegisteredWorker]) -> list[RegisteredWorker]:
    """Returns workers in a stable order that alternates between domains."""
    by_id = {worker.id: worker for worker in workers}
    places = tuple(sorted((worker.id, worker.domain) for worker in workers))
    return [by_id[id] for id in sort_ids(places)]


@functools.lru_cache(maxsize=MAX_CACHED_ORDERS)
def sort_ids(places: tuple[tuple[str, str], ...]) -> tuple[str, ...]:
    """Returns ids in a stable order that alternates between domains.

    Args:
      places: Id and domain of each worker.
    """
    domain_of = dict(places)
    domains: dict[str, list[str]] = collections.defaultdict(list)
    for id in rendezvous("models", domain_of):
        domains[domain_of[id]].append(id)
    return tuple(interleave(domains[name] for name in sorted(domains)))
