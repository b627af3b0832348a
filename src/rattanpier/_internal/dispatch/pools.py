"""Index of the pools of a configuration, as needed by admission.

It is built once for each configuration, because visiting all workers for each
request would cost more the more workers there are.
"""

from __future__ import annotations

import attrs

from rattanpier._internal.models.configuration import (
    Configuration,
    UpstreamKind,
)


@attrs.frozen
class PoolIndex:
    """Index of the pools of one configuration.

    Attributes:
      configuration: Configuration that the index was built from.
      by_version: Name of the first engine upstream that serves a version, by
        version.
      slots: Number of requests that an upstream's workers can run at once, by
        upstream; without draining workers.
    """

    configuration: Configuration
    by_version: dict[str, str]
    slots: dict[str, int]


def index_pools(configuration: Configuration) -> PoolIndex:
    """Builds and returns the index of a configuration."""
    by_version: dict[str, str] = {}
    slots: dict[str, int] = {}
    for name, upstream in configuration.upstreams.items():
        slots[name] = 0
        for worker in upstream.workers.values():
            if not worker.draining:
                slots[name] += worker.slots
            if upstream.kind is UpstreamKind.ENGINE:
                for version in worker.versions:
                    by_version.setdefault(version, name)
    return PoolIndex(configuration, by_version, slots)
