"""Keeps brittle workers from having to refuse requests for want of room.

A brittle worker falls over if it refuses more than a few requests within a
second, and its load then moves to the next one. Entries can't see each other's
requests in time, so the slots of each worker of such a service are divided
among the entries that reach workers. If all keep to their parts, no worker is
ever full, without communication for each request. With more entries than slots,
only some entries have a part of a worker; the others forward requests to them.

While entries disagree about which of them are alive, or if a worker takes less
than its slots, a worker may refuse all the same. All entries then pause, since
the next refusals would come from them.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable, Sequence

import attrs
import structlog

from rattanpier._internal.models.rate_limit import RateLimit
from rattanpier._internal.models.worker import RegisteredWorker
from rattanpier._internal.placement.reported_limits import ReportedLimits
from rattanpier._internal.relay.fleet import Fleet
from rattanpier._internal.utils.clock import Clock
from rattanpier._internal.utils.hashing import weight_for

log = structlog.get_logger(part="workers")

FULL_PAUSE_S = 1.0  # As long as a worker counts its refusals.
# A worker may notice late that a connection was closed, and works on meanwhile.
ABORTED_REQUEST_S = 0.3
RETRY_AFTER_S = 0.2  # A plain request takes about 0.1 s.
# An entry that has just started may not know its peers yet.
STARTUP_GRACE_S = 3.0


@attrs.define(eq=False, repr=False)
class BrittleWorkers:
    """Brittle workers, and this entry's part of their slots.

    Attributes:
      fleet: The entries that share the slots.
      clock: Source of monotonic time.
      workers_of: Returns the workers of a service that accept requests.
      in_flight: Returns the number of this entry's requests at a worker, by
        its id.
      is_registered: Returns whether a worker id and incarnation are in the
        directory.
      publish_full: Broadcasts that a worker incarnation refused a request.
      reports: How many refusals workers say that they stand.
      limits: Those in force, by service and incarnation.
      full_until: Until when nothing is sent to a worker that refused a request,
        in monotonic seconds, by incarnation.
      aborted_until: Until when each aborted request may still occupy a worker,
        in monotonic seconds, by its id.
      started_at: Start of this entry, in monotonic seconds.
    """

    fleet: Fleet
    clock: Clock
    workers_of: Callable[[str], Sequence[RegisteredWorker]]
    in_flight: Callable[[str], int]
    is_registered: Callable[[str, str], bool] = lambda _worker, _incarnation: (
        True
    )
    publish_full: Callable[[str], None] = lambda _incarnation: None
    reports: ReportedLimits = attrs.field(
        default=attrs.Factory(
            lambda self: ReportedLimits(
                clock=self.clock,
                is_registered=self.is_registered,
                on_limit=self.apply_limit,
                on_dropped=self.end_limit,
            ),
            takes_self=True,
        )
    )
    limits: dict[str, float] = attrs.Factory(dict)
    full_until: dict[str, float] = attrs.Factory(dict)
    aborted_until: dict[str, list[float]] = attrs.Factory(dict)
    started_at: float = attrs.field(
        default=attrs.Factory(
            lambda self: self.clock.monotonic(), takes_self=True
        )
    )

    # What workers say.

    def apply_limit(
        self, limit: RateLimit, previous: RateLimit | None, source: str
    ) -> None:
        """Puts into force how many refusals a worker stands."""
        if limit.rate_per_s is None:
            self.end_limit(limit.incarnation)
        else:
            self.limits[limit.incarnation] = limit.rate_per_s
        log.info(
            "Brittleness of a worker changed.",
            worker=limit.worker,
            refusals_per_s=limit.rate_per_s,
            before=None if previous is None else previous.rate_per_s,
            serial=limit.serial,
            source=source,
        )

    def end_limit(self, incarnation: str) -> None:
        """Records that an incarnation is not brittle any more, or gone."""
        self.limits.pop(incarnation, None)
        self.full_until.pop(incarnation, None)

    def is_brittle(self, service: str) -> bool:
        """Returns whether a worker of a service says that it is brittle.

        All workers of a service are brittle at the same time.
        """
        if not self.limits:
            return False
        return any(
            worker.incarnation in self.limits
            for worker in self.workers_of(service)
        )

    # Refusals.

    def record_refusal(self, worker: RegisteredWorker) -> None:
        """Records that a worker refused a request, and tells the peers."""
        if not self.is_brittle(worker.service):
            return
        known = self.is_full(worker)
        self.apply_full([worker.incarnation])
        if known:
            return
        log.info(
            "Brittle worker refused a request.",
            worker=worker.id,
            in_flight=self.in_flight(worker.id),
            share=self.share(worker),
            pause_s=FULL_PAUSE_S,
        )
        self.publish_full(worker.incarnation)

    def apply_full(self, incarnations: Sequence[str]) -> None:
        """Pauses the sending to workers that refused a request."""
        now = self.clock.monotonic()
        self.full_until = {
            known: until
            for known, until in self.full_until.items()
            if until > now
        }
        for incarnation in incarnations:
            self.full_until[incarnation] = now + FULL_PAUSE_S

    def is_full(self, worker: RegisteredWorker) -> bool:
        """Returns whether a worker refused a request just now."""
        until = self.full_until.get(worker.incarnation, -math.inf)
        return until > self.clock.monotonic()

    # Parts of the slots.

    def share(self, worker: RegisteredWorker) -> int:
        """Returns how many of a worker's slots this entry may use."""
        me = self.fleet.me.member.name
        if self.fleet.size() == 1 and self.is_starting():
            return 0
        return self.shares(worker).get(me, 0)

    def is_starting(self) -> bool:
        """Returns whether this entry may not know its peers yet."""
        return self.clock.monotonic() - self.started_at < STARTUP_GRACE_S

    def shares(self, worker: RegisteredWorker) -> dict[str, int]:
        """Returns the slots of a worker that each entry may use, by name.

        Entries without a part are left out.
        """
        return self.fleet.cached(
            f"shares of {worker.id}, {worker.slots} slots",
            lambda: self.divide(worker),
        )

    def divide(self, worker: RegisteredWorker) -> dict[str, int]:
        """Computes `shares`."""
        names = [
            state.member.name
            for state in self.fleet.live()
            if not state.partitioned
        ]
        ranked = heapq.nlargest(worker.slots, names, key=weight_for(worker.id))
        if not ranked:
            return {}
        each, rest = divmod(worker.slots, len(ranked))
        return {name: each + (rank < rest) for rank, name in enumerate(ranked)}

    def entries_with_share(self, service: str) -> set[str]:
        """Returns the names of the entries that may use a service's workers."""
        return {
            name
            for worker in self.workers_of(service)
            for name in self.shares(worker)
        }

    # Requests to workers.

    def open_workers(
        self, workers: Sequence[RegisteredWorker]
    ) -> Sequence[RegisteredWorker]:
        """Returns the workers that this entry may send to now."""
        if not workers or not self.is_brittle(workers[0].service):
            return workers
        return [each for each in workers if self.has_room(each)]

    def has_room(self, worker: RegisteredWorker) -> bool:
        """Returns whether this entry's part of a worker has a free slot."""
        if self.is_full(worker):
            return False
        used = self.in_flight(worker.id) + self.count_aborted(worker.id)
        return used < self.share(worker)

    def lacks_room(self, service: str) -> bool:
        """Returns whether a service is brittle and has no room for this entry.

        Other entries may have room.
        """
        if not self.is_brittle(service):
            return False
        return not any(map(self.has_room, self.workers_of(service)))

    def available_in_s(self, worker: RegisteredWorker) -> float:
        """Returns the seconds until this entry may send to a worker."""
        if not self.is_brittle(worker.service) or self.has_room(worker):
            return 0.0
        return RETRY_AFTER_S

    def record_aborted(self, worker: RegisteredWorker) -> None:
        """Records that a connection was closed before its answer's end."""
        if not self.is_brittle(worker.service):
            return
        until = self.clock.monotonic() + ABORTED_REQUEST_S
        self.aborted_until.setdefault(worker.id, []).append(until)

    def count_aborted(self, worker: str) -> int:
        """Returns how many aborted requests may still occupy a worker."""
        if worker not in self.aborted_until:
            return 0
        now = self.clock.monotonic()
        still = [until for until in self.aborted_until[worker] if until > now]
        if still:
            self.aborted_until[worker] = still
        else:
            del self.aborted_until[worker]
        return len(still)
