"""Workers that one entry excludes from new requests.

This is local state only; `workers` probes and exchanges notices.
"""

from __future__ import annotations

import enum
from collections.abc import Callable, Iterator

import attrs

from rattanpier._internal.models.configuration import (
    Configuration,
    Upstream,
    Worker,
)

# Share of a pool that may be excluded because workers do not answer.
MAX_SUSPECT_SHARE = 0.5


class ExclusionReason(enum.StrEnum):
    """Why a worker is excluded from new requests."""

    LEAVING = "leaving"  # The platform lists its VM as leaving.
    SILENT = "silent"  # It does not answer probes or requests.


@attrs.define
class Exclusion:
    """The exclusion of one worker; times are monotonic seconds.

    Attributes:
      reason: Why the worker is excluded.
      since: When this entry first recorded the exclusion.
      confirmed_at: When the exclusion was last confirmed, here or by a peer.
      url: Base address of the worker at that time. A worker with another
        address runs on another machine, so the exclusion does not apply.
      announced_at: When peers were last notified of it, by this entry or by
        the one that found it.
    """

    reason: ExclusionReason
    since: float
    confirmed_at: float
    url: str
    announced_at: float = float("-inf")


@attrs.define
class WorkerExclusions:
    """A collection of the names of excluded workers.

    Attributes:
      configuration: Returns the configuration in force.
      exclusions: Exclusions by worker name. Some may be out of date, or exceed
        the share of a pool that may be excluded.
    """

    configuration: Callable[[], Configuration]
    exclusions: dict[str, Exclusion] = attrs.Factory(dict)

    def __contains__(self, name: object) -> bool:
        """Returns whether a worker is excluded from new requests."""
        exclusion = self.exclusions.get(str(name))
        if exclusion is None or exclusion.url != self.url_of(str(name)):
            return False
        if exclusion.reason is ExclusionReason.LEAVING:
            return True
        return str(name) in self.excluded_silent(self.pool_of(str(name)))

    def is_leaving(self, name: str) -> bool:
        """Returns whether the platform lists a worker as leaving."""
        exclusion = self.exclusions.get(name)
        return (
            exclusion is not None
            and exclusion.reason is ExclusionReason.LEAVING
            and exclusion.url == self.url_of(name)
        )

    def __iter__(self) -> Iterator[str]:
        """Iterates over the names of the excluded workers."""
        return (name for name in self.exclusions if name in self)

    def __len__(self) -> int:
        """Returns the number of excluded workers."""
        return sum(1 for _ in self)

    def get(self, name: str) -> Exclusion | None:
        """Returns the exclusion of a worker, even if it is out of date."""
        return self.exclusions.get(name)

    def add(
        self, name: str, reason: ExclusionReason, since: float, now: float
    ) -> Exclusion:
        """Excludes a worker at its current address."""
        exclusion = Exclusion(reason, since, now, self.url_of(name))
        self.exclusions[name] = exclusion
        return exclusion

    def remove(self, name: str) -> None:
        """Removes the exclusion of a worker.

        Raises:
          KeyError: The worker has no exclusion.
        """
        del self.exclusions[name]

    def expire(self, before: float) -> None:
        """Removes exclusions confirmed before a time or of unknown workers.

        Args:
          before: Monotonic seconds.
        """
        for name, exclusion in list(self.exclusions.items()):
            if exclusion.confirmed_at < before or self.find(name) is None:
                self.remove(name)

    def workers(self) -> Iterator[tuple[str, Worker]]:
        """Iterates over names and workers of the whole configuration."""
        for upstream in self.configuration().upstreams.values():
            yield from upstream.workers.items()

    def pool_of(self, name: str) -> Upstream | None:
        """Returns the pool that a worker belongs to, or None."""
        for upstream in self.configuration().upstreams.values():
            if name in upstream.workers:
                return upstream
        return None

    def find(self, name: str) -> Worker | None:
        """Returns a worker of the configuration in force, or None."""
        pool = self.pool_of(name)
        return pool.workers[name] if pool else None

    def url_of(self, name: str) -> str:
        """Returns the base address of a worker, or "" if it is unknown."""
        worker = self.find(name)
        return worker.url if worker else ""

    def excluded_silent(self, pool: Upstream | None) -> list[str]:
        """Returns the silent workers of a pool that are excluded.

        If most of a pool seems silent, the fault may be on the side of this
        entry, so the workers suspected last stay in use.
        """
        if pool is None:
            return []
        silent = [
            name
            for name in pool.workers
            if name in self.exclusions
            and self.exclusions[name].reason is ExclusionReason.SILENT
        ]
        silent.sort(key=lambda name: (self.exclusions[name].since, name))
        return silent[: int(len(pool.workers) * MAX_SUSPECT_SHARE)]
