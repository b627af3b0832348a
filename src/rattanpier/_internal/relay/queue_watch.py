"""How many requests wait at each model engine, read by a few entries for all.

Load answered: many entries before many engines. Each hears from a given engine
once in many seconds, so that prompts pile up at some while others are free. A
few entries ask a part of the engines each, so that none spends more on it where
there are more engines. One of them gathers what they find and tells all others
which engines have requests waiting; one that is not named has none. It is a
hint: what it tells fades within seconds, and without it entries weigh what they
know themselves.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Awaitable, Callable, Collection, Sequence

import attrs
import structlog

from rattanpier._internal.models.sending import ReportedLoad
from rattanpier._internal.models.worker import RegisteredWorker
from rattanpier._internal.peers.proto import peer_pb2
from rattanpier._internal.relay.directory import WorkerDirectory
from rattanpier._internal.relay.fleet import Fleet
from rattanpier._internal.relay.load import Loads
from rattanpier._internal.utils.clock import Clock
from rattanpier._internal.utils.codec import pack, unpack

log = structlog.get_logger(part="queues")

# A prompt for a large model is read in about that time.
POLL_INTERVAL_S = 0.5
POLL_TIMEOUT_S = 0.4  # Engines answer within some ms.
FRESH_REPORT_S = 0.5  # What an answer told so lately need not be asked for.
REPORT_LAG_S = 0.1  # Reports are as of about that long ago.
# Of one entry's part: asking so many takes it about a hundredth of a core.
MAX_ENGINES_PER_READER = 16
# A part that was not heard again by then tells nothing any more.
PART_TTL_S = 1.5


@attrs.frozen
class QueueUpdate:
    """Which workers have requests waiting.

    Attributes:
      asked: How many answered; with none nothing is known.
      waiting: Requests by worker; workers that are not named have none.
      part: Number of the part that was asked.
    """

    asked: int
    waiting: dict[str, int]
    part: int = 0


@attrs.define(eq=False, repr=False)
class QueueWatch:
    """Asks engines, tells the others, and takes in what is told.

    Attributes:
      notify_all: Tells all others what may be lost on the way.
      notify_one: Tells one entry, by its name.
      engines: Returns the services whose workers are model engines.
      read: Asks one worker within some seconds; None if it does not answer.
      on_restart: Told of a worker that says it started anew, before its new
        registration came.
      open_workers: Returns the workers that may be asked.
      in_backoff: Says whether a worker wants no questions from this entry now.
      reported_starts: What workers said of their start, by id.
      parts: What was found of each part, and when, in monotonic seconds.
    """

    fleet: Fleet
    directory: WorkerDirectory
    loads: Loads
    notify_all: Callable[[peer_pb2.Spread], None]
    notify_one: Callable[[peer_pb2.Spread, str], None]
    clock: Clock
    engines: Callable[[], Collection[str]]
    read: Callable[[RegisteredWorker, float], Awaitable[ReportedLoad | None]]
    on_restart: Callable[[str], None]
    open_workers: Callable[
        [Sequence[RegisteredWorker]], Sequence[RegisteredWorker]
    ] = lambda workers: workers
    in_backoff: Callable[[RegisteredWorker], bool] = lambda _worker: False
    reported_starts: dict[str, int] = attrs.Factory(dict)
    parts: dict[int, tuple[float, QueueUpdate]] = attrs.Factory(dict)

    async def run(self) -> None:
        """Asks again and again while a part falls to this entry."""
        while True:
            await self.clock.sleep(POLL_INTERVAL_S)
            await self.round()

    async def round(self) -> None:
        """Asks this entry's part of the engines once, and tells what it found.

        All entries that know the same find the same parts. Where they differ
        an engine is asked twice, or its part is not heard of for a moment.
        """
        engines = self.open_engines()
        readers = self.readers(len(engines))
        me = self.fleet.me.member.name
        if not engines or me not in readers:
            self.parts.clear()
            return
        part = readers.index(me)
        update = await self.poll(engines[part :: len(readers)], part)
        if part == 0:
            self.record_part(update)
            self.publish()
            return
        message = peer_pb2.QueueNews(packed=pack(update))
        self.notify_one(peer_pb2.Spread(queue_part=message), readers[0])

    def open_engines(self) -> list[RegisteredWorker]:
        """Returns the engines that may be asked, in the order of their ids."""
        engines = (
            worker
            for service in self.engines()
            for worker in self.open_workers(self.directory.of_service(service))
        )
        return sorted(engines, key=lambda worker: worker.id)

    def readers(self, engines: int) -> list[str]:
        """Returns the names of the entries that ask; the first one tells."""
        count = max(1, math.ceil(engines / MAX_ENGINES_PER_READER))
        return self.fleet.preferred("queues", count)

    async def poll(
        self, workers: Sequence[RegisteredWorker], part: int
    ) -> QueueUpdate:
        """Asks some engines and returns which have requests waiting."""
        reports = await asyncio.gather(*map(self.fetch_report, workers))
        waiting = {
            worker.id: report.waiting
            for worker, report in zip(workers, reports, strict=True)
            if report is not None and report.waiting
        }
        answered = sum(report is not None for report in reports)
        return QueueUpdate(answered, waiting, part)

    def record_part(self, update: QueueUpdate) -> None:
        """Keeps what was found of a part."""
        self.parts[update.part] = (self.clock.monotonic(), update)

    def receive_part(self, message: peer_pb2.QueueNews) -> None:
        """Keeps what another entry found of its part."""
        self.record_part(unpack(QueueUpdate, message.packed))

    def publish(self) -> None:
        """Tells everybody what was found of all parts."""
        oldest = self.clock.monotonic() - PART_TTL_S
        asked = 0
        waiting: dict[str, int] = {}
        for at, update in self.parts.values():
            if at >= oldest:
                asked += update.asked
                waiting |= update.waiting
        merged = QueueUpdate(asked, waiting)
        self.apply_update(merged)
        message = peer_pb2.QueueNews(packed=pack(merged))
        self.notify_all(peer_pb2.Spread(queue_news=message))

    async def fetch_report(
        self, worker: RegisteredWorker
    ) -> ReportedLoad | None:
        """Returns a worker's load, from its last answer if that is new."""
        load = self.loads.workers[worker.id]
        if self.clock.monotonic() - load.report_at < FRESH_REPORT_S:
            return load.report
        if self.in_backoff(worker):
            return None
        report = await self.read(worker, POLL_TIMEOUT_S)
        if report is not None and report.born is not None:
            self.record_start(worker, report.born)
        return report

    def record_start(self, worker: RegisteredWorker, born: int) -> None:
        """Takes in when a worker says that it started."""
        known = self.reported_starts.get(worker.id, worker.born)
        self.reported_starts[worker.id] = born
        if known is not None and known != born:
            log.info(
                "Worker says it started again.",
                worker=worker.id,
                born=born,
                before=known,
            )
            self.on_restart(worker.id)

    def receive_update(self, message: peer_pb2.QueueNews) -> None:
        """Takes in what another entry tells."""
        self.apply_update(unpack(QueueUpdate, message.packed))

    def apply_update(self, update: QueueUpdate) -> None:
        """Takes in which workers have requests waiting."""
        if not update.asked:
            return
        at = self.clock.monotonic() - REPORT_LAG_S
        for service in self.engines():
            for worker in self.directory.of_service(service):
                waiting = update.waiting.get(worker.id, 0)
                self.loads.workers[worker.id].note_waiting(waiting, at)
