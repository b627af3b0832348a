"""Workers that get nothing new, as one entry knows them; no network here."""

from __future__ import annotations

import enum
from collections.abc import Callable, Iterator

import attrs

from rattanpier._internal.models.configuration import (
    Configuration,
    Upstream,
    Worker,
)

MAX_SUSPECT_SHARE = 0.5  # Of a pool; more are not left out on suspicion.


class ExclusionReason(enum.StrEnum):
    """Why a worker gets nothing new."""

    LEAVING = "leaving"  # The platform says so.
    SILENT = "silent"  # It does not answer.


@attrs.define
class Exclusion:
    """A worker that gets nothing new; times are monotonic seconds.

    Attributes:
      reason: Why.
      since: When this entry learned of it.
      confirmed_at: When it last heard of it.
      url: Where the worker was then; a new address is a new machine.
      announced_at: When it last told others.
    """

    reason: ExclusionReason
    since: float
    confirmed_at: float
    url: str
    announced_at: float = float("-inf")


@attrs.define
class WorkerExclusions:
    """A collection of the names of the workers that get nothing new.

    Attributes:
      configuration: Returns the configuration in force.
      exclusions: Workers that are leaving or silent, by name.
    """

    configuration: Callable[[], Configuration]
    exclusions: dict[str, Exclusion] = attrs.Factory(dict)

    def __contains__(self, name: object) -> bool:
        """Says whether a worker gets nothing new."""
        exclusion = self.exclusions.get(str(name))
        if exclusion is None or exclusion.url != self.url_of(str(name)):
            return False
        if exclusion.reason is ExclusionReason.LEAVING:
            return True
        return str(name) in self.excluded_silent(self.pool_of(str(name)))

    def is_leaving(self, name: str) -> bool:
        """Says whether the platform told that a worker leaves."""
        exclusion = self.exclusions.get(name)
        return (
            exclusion is not None
            and exclusion.reason is ExclusionReason.LEAVING
            and exclusion.url == self.url_of(name)
        )

    def __iter__(self) -> Iterator[str]:
        """Iterates over the workers that get nothing new."""
        return (name for name in self.exclusions if name in self)

    def __len__(self) -> int:
        """Returns how many workers get nothing new."""
        return sum(1 for _ in self)

    def get(self, name: str) -> Exclusion | None:
        """Returns what is known of a worker, though it be out of date."""
        return self.exclusions.get(name)

    def add(
        self, name: str, reason: ExclusionReason, since: float, now: float
    ) -> Exclusion:
        """Notes that a worker gets nothing new at its present address."""
        exclusion = Exclusion(reason, since, now, self.url_of(name))
        self.exclusions[name] = exclusion
        return exclusion

    def remove(self, name: str) -> None:
        """Takes a worker into use again."""
        del self.exclusions[name]

    def expire(self, before: float) -> None:
        """Drops what was last heard of too long ago, or is not in use."""
        for name, exclusion in list(self.exclusions.items()):
            if exclusion.confirmed_at < before or self.find(name) is None:
                self.remove(name)

    def workers(self) -> Iterator[tuple[str, Worker]]:
        """Iterates over all workers of the configuration, by name."""
        for upstream in self.configuration().upstreams.values():
            yield from upstream.workers.items()

    def pool_of(self, name: str) -> Upstream | None:
        """Returns the pool of a worker, or None."""
        for upstream in self.configuration().upstreams.values():
            if name in upstream.workers:
                return upstream
        return None

    def find(self, name: str) -> Worker | None:
        """Returns a worker of the configuration in force, or None."""
        pool = self.pool_of(name)
        return pool.workers[name] if pool else None

    def url_of(self, name: str) -> str:
        """Returns where a worker is by the configuration in force."""
        worker = self.find(name)
        return worker.url if worker else ""

    def excluded_silent(self, pool: Upstream | None) -> list[str]:
        """Returns the silent workers of a pool that are left out.

        Should most of a pool seem silent, the fault may be the observer's:
        those suspected last stay in use.
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
