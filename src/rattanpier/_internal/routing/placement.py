"""Which worker of a version gets a request."""

from __future__ import annotations

import collections
import random
from collections.abc import Collection, Iterator

import attrs

from rattanpier._internal.models.configuration import (
    Configuration,
    Upstream,
    UpstreamKind,
    Worker,
)


@attrs.frozen
class Target:
    """A worker, by name, with its upstream."""

    upstream: str
    name: str
    worker: Worker


@attrs.define
class Load:
    """What this entry has under way.

    Attributes:
      outstanding: Requests sent and not ended, by worker name.
    """

    outstanding: collections.Counter[str] = attrs.Factory(collections.Counter)


def targets_of_version(
    configuration: Configuration, version: str, leaving: Collection[str]
) -> Iterator[Target]:
    """Yields the workers that may get new work for a version."""
    for name, upstream in configuration.upstreams.items():
        if upstream.kind is UpstreamKind.ENGINE:
            for target in live_targets(name, upstream, leaving):
                if version in target.worker.versions:
                    yield target


def live_targets(
    name: str, upstream: Upstream, leaving: Collection[str]
) -> Iterator[Target]:
    """Yields the workers of an upstream that are not leaving."""
    if upstream.draining:
        return
    for worker_name, worker in upstream.workers.items():
        if not worker.draining and worker_name not in leaving:
            yield Target(name, worker_name, worker)


def two_choices(
    targets: list[Target],
    load: Load,
    domain: str,
    rng: random.Random,
) -> Target | None:
    """Returns the less loaded of two random workers.

    Between equals the one in the entry's own failure domain is taken.
    """
    if not targets:
        return None
    pair = rng.sample(targets, min(2, len(targets)))

    def cost(target: Target) -> tuple[float, bool]:
        used = load.outstanding[target.name] / target.worker.slots
        return used, target.worker.domain != domain

    return min(pair, key=cost)
