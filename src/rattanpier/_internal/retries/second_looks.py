"""Looks again at workers that are said to have ended.

An entry that is cut off so that connections are refused takes all workers that
it tries for ended, tells so, and three of them hold a sound request for all.
So a few entries, found by a hash of the worker, ask it who it is for as long as
it is registered: the incarnation that answers has not ended. A worker that
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

LOOK_EVERY_S = 0.5
# One that is registered, listens and never says who it is, is asked less often.
MOST_PAUSE_S = 8.0
ASK_TIMEOUT_S = 0.4
# So that one of them is not cut off; each asks a worker once in a while.
LOOKERS = 3


@attrs.define(eq=False, repr=False)
class SecondLooks:
    """Which workers this entry looks at again, and when.

    Attributes:
      answers: Asks a worker within some seconds whether it is the incarnation
        that is registered; False says nothing.
      found_alive: Told of the incarnation of each that is, and since when it
        surely was, in monotonic seconds.
      pauses: Until the next look at each, in seconds, by incarnation.
      due: When that is, in monotonic seconds.
    """

    quarantine: Quarantine
    directory: WorkerDirectory
    fleet: Fleet
    clock: Clock
    answers: Callable[[RegisteredWorker, float], Awaitable[bool]]
    found_alive: Callable[[str, float], None]
    pauses: dict[str, float] = attrs.Factory(dict)
    due: dict[str, float] = attrs.Factory(dict)

    async def run(self) -> None:
        """Looks again and again."""
        while True:
            await self.clock.sleep(LOOK_EVERY_S)
            await self.round()

    async def round(self) -> None:
        """Looks once at each worker that it is time for."""
        told = self.quarantine.crash_times()
        if not (told or self.due):
            return
        now = self.clock.monotonic()
        registered = {
            worker.incarnation: worker
            for worker in self.directory.workers.values()
            if worker.incarnation in told
        }
        for known in (self.pauses, self.due):
            for incarnation in known.keys() - registered.keys():
                del known[incarnation]
        await asyncio.gather(
            *(
                self.look(worker)
                for incarnation, worker in registered.items()
                if self.is_mine(incarnation)
                and now
                > max(told[incarnation] + SAME_EVENT_S, self.due_at(worker))
            )
        )

    def due_at(self, worker: RegisteredWorker) -> float:
        """Returns when a worker is to be looked at, in monotonic seconds."""
        return self.due.get(worker.incarnation, float("-inf"))

    def is_mine(self, incarnation: str) -> bool:
        """Says whether this entry looks at a worker, by what all know."""
        drawn = self.fleet.preferred(f"look/{incarnation}", LOOKERS)
        return self.fleet.me.member.name in drawn

    async def look(self, worker: RegisteredWorker) -> None:
        """Asks a worker who it is."""
        incarnation = worker.incarnation
        began = self.clock.monotonic()
        pause_s = self.pauses.get(incarnation, LOOK_EVERY_S)
        self.pauses[incarnation] = min(MOST_PAUSE_S, 2 * pause_s)
        self.due[incarnation] = began + pause_s
        if await self.answers(worker, ASK_TIMEOUT_S):
            # It lived when it was asked, whenever the answer came.
            self.found_alive(incarnation, began)
            self.quarantine.record_alive(incarnation, began)
