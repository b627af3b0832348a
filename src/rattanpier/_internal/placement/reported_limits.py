"""Limits that workers report in their answers, shared by all entries.

Entries publish limits to each other, since most of them send nothing to the
worker and would not learn from its answers that a limit began or ended.

Answers may overlap and arrive in another order than they were written. A lower
limit therefore takes effect at once. A higher one takes effect only if its
answer is to a request that was sent after the current limit was known, which
proves that it is newer.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

import attrs

from rattanpier._internal.models.rate_limit import RateLimit
from rattanpier._internal.models.worker import RegisteredWorker
from rattanpier._internal.utils.clock import Clock
from rattanpier._internal.utils.hashing import stable_hash

MAX_LIMITS = 1024  # Incarnations with stored limits; 0.5 KB each.


def ignore_limit(
    _limit: RateLimit, _previous: RateLimit | None, _source: str
) -> None:
    """Does nothing when a limit changes."""


@attrs.define(eq=False, repr=False, kw_only=True)
class ReportedLimits:
    """The limits that workers reported, by incarnation.

    Attributes:
      clock: Source of monotonic time.
      is_registered: Returns whether a worker id and incarnation are in the
        directory.
      publish: Broadcasts a limit to all peers.
      on_limit: Called with a limit that takes effect, the previous one or
        None, and the source of the limit.
      on_dropped: Called with an incarnation whose limit is dropped.
      reported: The newest limit of each worker, including limits that ended.
      received_at: When each limit was received here, in monotonic seconds.
    """

    clock: Clock
    is_registered: Callable[[str, str], bool] = lambda _worker, _incarnation: (
        True
    )
    publish: Callable[[RateLimit], None] = lambda _limit: None
    on_limit: Callable[[RateLimit, RateLimit | None, str], None] = ignore_limit
    on_dropped: Callable[[str], None] = lambda _incarnation: None
    reported: dict[str, RateLimit] = attrs.Factory(dict)
    received_at: dict[str, float] = attrs.Factory(dict)

    # Limits that workers report.

    def record_answer(
        self,
        worker: RegisteredWorker,
        rate_per_s: float | None,
        asked_at: float,
    ) -> None:
        """Records the limit in a worker's answer.

        Args:
          worker: The worker that answered.
          rate_per_s: The limit per second, or None without one.
          asked_at: When the request was sent, in monotonic seconds.
        """
        known = self.reported.get(worker.incarnation)
        if known is None:
            if rate_per_s is not None:
                self.publish_limit(
                    RateLimit(worker.id, worker.incarnation, rate_per_s)
                )
            return
        if rate_per_s == known.rate_per_s:
            return
        reported = attrs.evolve(known, rate_per_s=rate_per_s)
        if asked_at >= self.received_at[worker.incarnation]:
            self.publish_limit(attrs.evolve(reported, serial=known.serial + 1))
        elif reported.is_stricter(known.rate_per_s):
            self.publish_limit(reported)

    def publish_limit(self, limit: RateLimit) -> None:
        """Puts a limit from a worker's answer into force and publishes it."""
        self.set_limit(limit, "answer")
        self.publish(limit)

    def apply_limits(self, limits: Iterable[RateLimit]) -> None:
        """Applies limits from a peer; the newer of two limits is kept.

        If both may be equally new, the lower one is kept.
        """
        for limit in limits:
            known = self.reported.get(limit.incarnation)
            if known is None or limit.supersedes(known):
                self.set_limit(limit, "peer")

    def set_limit(self, limit: RateLimit, source: str) -> None:
        """Stores a limit and puts it into force."""
        previous = self.reported.get(limit.incarnation)
        self.reported[limit.incarnation] = limit
        self.received_at[limit.incarnation] = self.clock.monotonic()
        self.on_limit(limit, previous, source)
        if len(self.reported) > MAX_LIMITS:
            self.drop(next(iter(self.reported)))

    def forget(self, worker: str) -> None:
        """Drops the limits of a worker that was deregistered."""
        for incarnation, limit in list(self.reported.items()):
            if limit.worker == worker:
                self.drop(incarnation)

    def drop(self, incarnation: str) -> None:
        """Drops the limit of an incarnation."""
        del self.reported[incarnation]
        del self.received_at[incarnation]
        self.on_dropped(incarnation)

    # Synchronisation with peers.

    def registered_limits(self) -> list[RateLimit]:
        """Returns the limits of registered workers."""
        return [
            limit
            for limit in self.reported.values()
            if self.is_registered(limit.worker, limit.incarnation)
        ]

    def digest(self) -> int:
        """Returns a digest of the limits, to compare with peers."""
        total = 0
        for limit in self.registered_limits():
            total ^= stable_hash(
                f"{limit.incarnation}/{limit.serial}/{limit.rate_per_s}"
            )
        return total
