"""What admission asks of the configuration, worked out once for each.

Looking at all workers for each request would cost more the more there are.
"""

from __future__ import annotations

import attrs

from rattanpier._internal.models.configuration import (
    Configuration,
    UpstreamKind,
)


@attrs.frozen
class PoolIndex:
    """The pools of one configuration.

    Attributes:
      configuration: The one that it was made from.
      by_version: The first engine upstream that serves a version.
      slots: Requests that an upstream runs at once, by its name.
    """

    configuration: Configuration
    by_version: dict[str, str]
    slots: dict[str, int]


def index_pools(configuration: Configuration) -> PoolIndex:
    """Returns the index of a configuration."""
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
