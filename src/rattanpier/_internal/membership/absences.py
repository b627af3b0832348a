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


class Reason(enum.StrEnum):
    """Why a worker gets nothing new."""

    LEAVING = "leaving"  # The platform says so.
    SILENT = "silent"  # It does not answer.


@attrs.define
class Absence:
    """A worker that gets nothing new; times are monotonic seconds.

    Attributes:
      reason: Why.
      since: When this entry learned of it.
      heard: When it last heard of it.
      url: Where the worker was then; a new address is a new machine.
      told: When it last told others.
    """

    reason: Reason
    since: float
    heard: float
    url: str
    told: float = float("-inf")


@attrs.define
class Absences:
    """A collection of the names of the workers that get nothing new.

    Attributes:
      configuration: Returns the configuration in force.
      absent: Workers that are leaving or silent, by name.
    """

    configuration: Callable[[], Configuration]
    absent: dict[str, Absence] = attrs.Factory(dict)

    def __contains__(self, name: object) -> bool:
        """Says whether a worker gets nothing new."""
        absence = self.absent.get(str(name))
        if absence is None or absence.url != self.url_of(str(name)):
            return False
        if absence.reason is Reason.LEAVING:
            return True
        return str(name) in self.left_out(self.pool_of(str(name)))

    def is_leaving(self, name: str) -> bool:
        """Says whether the platform told that a worker leaves."""
        absence = self.absent.get(name)
        return (
            absence is not None
            and absence.reason is Reason.LEAVING
            and absence.url == self.url_of(name)
        )

    def __iter__(self) -> Iterator[str]:
        """Iterates over the workers that get nothing new."""
        return (name for name in self.absent if name in self)

    def __len__(self) -> int:
        """Returns how many workers get nothing new."""
        return sum(1 for _ in self)

    def get(self, name: str) -> Absence | None:
        """Returns what is known of a worker, though it be out of date."""
        return self.absent.get(name)

    def add(
        self, name: str, reason: Reason, since: float, now: float
    ) -> Absence:
        """Notes that a worker gets nothing new at its present address."""
        absence = Absence(reason, since, now, self.url_of(name))
        self.absent[name] = absence
        return absence

    def drop(self, name: str) -> None:
        """Takes a worker into use again."""
        del self.absent[name]

    def expire(self, before: float) -> None:
        """Drops what was last heard of too long ago, or is not in use."""
        for name, absence in list(self.absent.items()):
            if absence.heard < before or self.find(name) is None:
                self.drop(name)

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

    def left_out(self, pool: Upstream | None) -> list[str]:
        """Returns the silent workers of a pool that are left out.

        Should most of a pool seem silent, the fault may be the observer's:
        those suspected last stay in use.
        """
        if pool is None:
            return []
        silent = [
            name
            for name in pool.workers
            if name in self.absent and self.absent[name].reason is Reason.SILENT
        ]
        silent.sort(key=lambda name: (self.absent[name].since, name))
        return silent[: int(len(pool.workers) * MAX_SUSPECT_SHARE)]
