"""Placement: choice of the worker of a version that gets a request.

An entry uses only a subset of bounded size of a large pool of workers, so that
its memory, its work per request and the connections of a worker do not grow
with the fleet.
"""

from __future__ import annotations

import collections
import itertools
import random
from collections.abc import Collection, Iterable, Iterator

import attrs

from rattanpier._internal.models.configuration import (
    Configuration,
    UpstreamKind,
    Worker,
)
from rattanpier._internal.utils.hashing import rendezvous
from rattanpier._internal.utils.interleave import interleave

SUBSET_SIZE = 64  # Workers per version that an entry uses of a larger pool.
MIN_ENTRIES_PER_WORKER = 32  # On average; with fewer, load gets uneven.


@attrs.frozen
class Target:
    """A worker with its name and its upstream.

    Attributes:
      upstream: Name of the upstream.
      name: Name of the worker.
      worker: Its configuration.
    """

    upstream: str
    name: str
    worker: Worker


@attrs.define
class Load:
    """Requests of this entry that are in progress.

    Attributes:
      outstanding: Number of unfinished requests, by worker name.
    """

    outstanding: collections.Counter[str] = attrs.Factory(collections.Counter)


@attrs.define
class Subset:
    """The workers of one version or service that an entry uses.

    Attributes:
      primary: Workers chosen from the current configuration.
      fallback: Workers used while less than half of `primary` are usable.
      is_complete: Whether `primary` contains all workers.
    """

    primary: list[Target]
    fallback: list[Target]
    is_complete: bool


@attrs.define
class Placement:
    """This entry's subsets of workers, computed once per configuration.

    Attributes:
      entry: Name of this entry, which determines its subsets.
      configuration: The configuration that the subsets were computed from.
      subsets: By the kind of upstream and the name of the version or service.
    """

    entry: str
    configuration: Configuration = attrs.Factory(Configuration)
    subsets: dict[tuple[UpstreamKind, str], Subset] = attrs.Factory(dict)

    def of_version(
        self,
        configuration: Configuration,
        version: str,
        leaving: Collection[str],
        tried: Collection[str] = (),
    ) -> list[Target]:
        """Returns the workers that may get new requests for a version.

        Args:
          configuration: The current configuration.
          version: Name of the version.
          leaving: Workers that get no new requests; evaluated at each call.
          tried: Workers that the request was already sent to.
        """
        key = (UpstreamKind.ENGINE, version)
        return self.find_targets(configuration, key, leaving, tried)

    def of_service(
        self,
        configuration: Configuration,
        service: str,
        leaving: Collection[str],
        tried: Collection[str] = (),
    ) -> list[Target]:
        """Returns the workers that may get new requests for a plain service."""
        key = (UpstreamKind.PLAIN, service)
        return self.find_targets(configuration, key, leaving, tried)

    def find_targets(
        self,
        configuration: Configuration,
        key: tuple[UpstreamKind, str],
        leaving: Collection[str],
        tried: Collection[str],
    ) -> list[Target]:
        """Returns the usable workers of a subset or of its fallback."""
        if configuration is not self.configuration:
            self.configuration = configuration
            self.subsets.clear()
        subset = self.subsets.get(key)
        if subset is None:
            subset = self.subsets[key] = self.make_subset(key)
        enough = 1 if subset.is_complete else (len(subset.primary) + 1) // 2
        usable = usable_targets(subset.primary, leaving, tried)
        if len(usable) >= enough or subset.is_complete:
            return usable
        usable = usable_targets(subset.fallback, leaving, tried)
        if len(usable) >= enough:
            return usable
        all_targets = targets_of(configuration, key)
        subset.fallback = self.choose_targets(
            usable_targets(all_targets, leaving, tried)
        )
        return list(subset.fallback)

    def make_subset(self, key: tuple[UpstreamKind, str]) -> Subset:
        """Returns the subset for the current configuration."""
        all_targets = list(targets_of(self.configuration, key))
        primary = self.choose_targets(all_targets)
        return Subset(primary, [], len(primary) == len(all_targets))

    def choose_targets(self, targets: list[Target]) -> list[Target]:
        """Returns this entry's subset of some workers."""
        size = subset_size(len(targets), self.configuration.fleet.size)
        return choose_subset(self.entry, targets, size)


def subset_size(workers: int, entries: int) -> int:
    """Returns how many of a number of workers an entry uses.

    If there are few entries for many workers, each entry has to use more of
    them, or some workers would get far fewer requests than others, or none.

    >>> subset_size(9, 8), subset_size(600, 420), subset_size(600, 60)
    (9, 64, 320)
    """
    fair_share = -(-workers * MIN_ENTRIES_PER_WORKER // max(1, entries))
    return min(workers, max(SUBSET_SIZE, fair_share))


def choose_subset(
    entry: str, targets: Iterable[Target], size: int
) -> list[Target]:
    """Returns the subset of an entry, from each failure domain in turn.

    Rendezvous hashing is used, so that a worker that is added or removed
    changes the subsets of few entries only.
    """
    # Workers of two pools may have the same name.
    by_name = {f"{target.upstream}/{target.name}": target for target in targets}
    if len(by_name) <= size:
        return list(by_name.values())
    domains: dict[str, list[Target]] = {}
    for name in rendezvous(entry, by_name):
        target = by_name[name]
        domains.setdefault(target.worker.domain, []).append(target)
    return list(itertools.islice(interleave(domains.values()), size))


def usable_targets(
    targets: Iterable[Target],
    leaving: Collection[str],
    tried: Collection[str],
) -> list[Target]:
    """Returns the targets that a request may be sent to."""
    return [
        target
        for target in targets
        if target.name not in tried and target.name not in leaving
    ]


def targets_of(
    configuration: Configuration, key: tuple[UpstreamKind, str]
) -> Iterator[Target]:
    """Yields all workers of a version or service that are not draining."""
    kind, wanted_name = key
    for name, upstream in configuration.upstreams.items():
        if upstream.draining or upstream.kind is not kind:
            continue
        if kind is UpstreamKind.PLAIN and name != wanted_name:
            continue
        for worker_name, worker in upstream.workers.items():
            serves = (
                kind is UpstreamKind.PLAIN or wanted_name in worker.versions
            )
            if serves and not worker.draining:
                yield Target(name, worker_name, worker)


def two_choices(
    targets: list[Target],
    load: Load,
    domain: str,
    rng: random.Random,
) -> Target | None:
    """Returns the less loaded of two random targets, or None without any.

    Of two equally loaded ones, one in the entry's own failure domain is
    preferred.
    """
    if not targets:
        return None
    candidates = rng.sample(targets, min(2, len(targets)))

    def cost(target: Target) -> tuple[float, bool]:
        utilization = load.outstanding[target.name] / target.worker.slots
        return utilization, target.worker.domain != domain

    return min(candidates, key=cost)
