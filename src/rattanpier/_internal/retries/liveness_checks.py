"""Liveness checks of workers that were reported as crashed.

A partitioned entry whose connections are refused reports all workers that it
tries as crashed, and three such reports quarantine a harmless request at all
entries. So a few entries, chosen by a hash of the worker, ask it for its
identity as long as it is registered: an incarnation that answers has not
crashed. A crashed worker refuses connections, and its successor reports another
incarnation.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import attrs

from rattanpier._internal.models.worker import RegisteredWorker
from rattanpier._internal.relay.directory import WorkerDirectory
from rattanpier._internal.relay.fleet import Fleet
from rattanpier._internal.retries.quarantine import SAME_EVENT_S, Quarantine
from rattanpier._internal.utils.clock import Clock

CHECK_INTERVAL_S = 0.5
# Upper bound of the back-off for a worker that is registered and listens, but
# never reports its identity.
MAX_INTERVAL_S = 8.0
CHECK_TIMEOUT_S = 0.4
# Several, so that one of them is not partitioned; each asks a worker rarely.
CHECKERS_PER_WORKER = 3


@attrs.define(eq=False, repr=False)
class LivenessChecks:
    """Schedule and execution of this entry's liveness checks.

    Attributes:
      quarantine: Source of the reported crashes.
      directory: The registered workers.
      fleet: The entries that share the checks.
      clock: Source of monotonic time.
      is_alive: Asks a worker, with a timeout in seconds, whether it is the
        registered incarnation; False proves nothing.
      on_alive: Called with each incarnation that is alive and a time in
        monotonic seconds at which it was.
      intervals_s: Interval that the next check will schedule, in seconds,
        by incarnation.
      due_at: Time of the next check in monotonic seconds, by incarnation.
    """

    quarantine: Quarantine
    directory: WorkerDirectory
    fleet: Fleet
    clock: Clock
    is_alive: Callable[[RegisteredWorker, float], Awaitable[bool]]
    on_alive: Callable[[str, float], None]
    intervals_s: dict[str, float] = attrs.Factory(dict)
    due_at: dict[str, float] = attrs.Factory(dict)

    async def run(self) -> None:
        """Runs due checks until it is cancelled."""
        while True:
            await self.clock.sleep(CHECK_INTERVAL_S)
            await self.check_due()

    async def check_due(self) -> None:
        """Checks each worker that is due and assigned to this entry."""
        crash_times = self.quarantine.crash_times()
        if not (crash_times or self.due_at):
            return
        now = self.clock.monotonic()
        registered = {
            worker.incarnation: worker
            for worker in self.directory.workers.values()
            if worker.incarnation in crash_times
        }
        for known in (self.intervals_s, self.due_at):
            for incarnation in known.keys() - registered.keys():
                del known[incarnation]
        await asyncio.gather(
            *(
                self.check(worker)
                for incarnation, worker in registered.items()
                if self.is_assigned(incarnation)
                and now
                > max(
                    crash_times[incarnation] + SAME_EVENT_S,
                    self.next_check_at(worker),
                )
            )
        )

    def next_check_at(self, worker: RegisteredWorker) -> float:
        """Returns when to check a worker next, in monotonic seconds."""
        return self.due_at.get(worker.incarnation, float("-inf"))

    def is_assigned(self, incarnation: str) -> bool:
        """Returns whether this entry is to check a worker."""
        checkers = self.fleet.preferred(
            f"look/{incarnation}", CHECKERS_PER_WORKER, asks_workers=True
        )
        return self.fleet.me.member.name in checkers

    async def check(self, worker: RegisteredWorker) -> None:
        """Checks one worker and schedules its next check."""
        incarnation = worker.incarnation
        began = self.clock.monotonic()
        interval_s = self.intervals_s.get(incarnation, CHECK_INTERVAL_S)
        self.intervals_s[incarnation] = min(MAX_INTERVAL_S, 2 * interval_s)
        self.due_at[incarnation] = began + interval_s
        if await self.is_alive(worker, CHECK_TIMEOUT_S):
            # It was alive when asked, however late the answer came.
            self.on_alive(incarnation, began)
            self.quarantine.record_alive(incarnation, began)
