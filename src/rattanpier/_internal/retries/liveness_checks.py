"""Looks again at workers that are said to have ended.

An entry that is cut off so that connections are refused takes all workers that
it tries for ended, tells so, and three of them hold a sound request for all.
So a few entries, found by a hash of the worker, ask it who it is for as long as
it is registered: the incarnation that is_alive has not ended. A worker that
ended refuses connections, and its successor names itself otherwise.
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
# One that is registered, listens and never says who it is, is asked less often.
MAX_INTERVAL_S = 8.0
CHECK_TIMEOUT_S = 0.4
# So that one of them is not cut off; each asks a worker once in a while.
CHECKERS_PER_WORKER = 3


@attrs.define(eq=False, repr=False)
class LivenessChecks:
    """Which workers this entry looks at again, and when.

    Attributes:
      is_alive: Asks a worker within some seconds whether it is the incarnation
        that is registered; False says nothing.
      on_alive: Told of the incarnation of each that is, and since when it
        surely was, in monotonic seconds.
      intervals_s: Until the next look at each, in seconds, by incarnation.
      due_at: When that is, in monotonic seconds.
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
        """Looks again and again."""
        while True:
            await self.clock.sleep(CHECK_INTERVAL_S)
            await self.check_due()

    async def check_due(self) -> None:
        """Looks once at each worker that it is time for."""
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
        """Returns when a worker is to be looked at, in monotonic seconds."""
        return self.due_at.get(worker.incarnation, float("-inf"))

    def is_assigned(self, incarnation: str) -> bool:
        """Says whether this entry looks at a worker, by what all know."""
        checkers = self.fleet.preferred(
            f"look/{incarnation}", CHECKERS_PER_WORKER
        )
        return self.fleet.me.member.name in checkers

    async def check(self, worker: RegisteredWorker) -> None:
        """Asks a worker who it is."""
        incarnation = worker.incarnation
        began = self.clock.monotonic()
        interval_s = self.intervals_s.get(incarnation, CHECK_INTERVAL_S)
        self.intervals_s[incarnation] = min(MAX_INTERVAL_S, 2 * interval_s)
        self.due_at[incarnation] = began + interval_s
        if await self.is_alive(worker, CHECK_TIMEOUT_S):
            # It lived when it was asked, whenever the answer came.
            self.on_alive(incarnation, began)
            self.quarantine.record_alive(incarnation, began)
