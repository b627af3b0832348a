"""Polls the queue lengths of model engines and shares them with all entries.

Meant for many entries in front of many engines: each entry gets an answer from
a given engine only once in many seconds, so that prompts pile up at some
engines while others are free. A few entries poll a part of the engines each,
so that the cost for an entry does not grow with the number of engines. One of
them merges the results and sends all entries the engines with waiting
requests; an engine that is not listed has none. The result is a hint: it loses
its weight within seconds, and without it entries use only their own reports.

The same messages carry the paces of workers, see `placement.worker_pace`. Each
entry sends its measurements to the publishing entry every now and then, the
less often the more entries there are. An update lists the paces of some workers
in turn, so that its size does not depend on their number.
"""

from __future__ import annotations

import asyncio
import bisect
import math
import random
from collections.abc import Awaitable, Callable, Collection, Sequence

import attrs
import structlog

from rattanpier._internal.models.upstream_request import ReportedLoad
from rattanpier._internal.models.worker import RegisteredWorker
from rattanpier._internal.peers.proto import peer_pb2
from rattanpier._internal.placement.worker_pace import WorkerPaces
from rattanpier._internal.relay.directory import WorkerDirectory
from rattanpier._internal.relay.fleet import Fleet
from rattanpier._internal.relay.load import Loads
from rattanpier._internal.utils.clock import Clock
from rattanpier._internal.utils.codec import pack, unpack
from rattanpier._internal.utils.record import Record

log = structlog.get_logger(part="queues")

# About the time that an engine takes to read a prompt for a large model.
POLL_INTERVAL_S = 0.5
POLL_TIMEOUT_S = 0.4  # Engines answer within a few ms.
FRESH_REPORT_S = 0.5  # Reports up to this age are used instead of a poll.
REPORT_LAG_S = 0.1  # Typical age of a report when it is applied.
# Polling this many engines takes an entry about a hundredth of a core.
MAX_ENGINES_PER_READER = 16
# A part that was not updated for this long is ignored.
PART_TTL_S = 1.5
# Messages with measured paces from all entries, per round. With 0.45 KB each,
# they amount to at most 0.9 KB/s at the publishing entry.
PACE_MESSAGES_PER_ROUND = 1
MAX_SENT_PACES = 32  # In a message to the publishing entry.
# Paces add 0.4 KB to an update, or 0.8 KB/s at an entry that sends it to 8
# others.
PACE_UPDATE_ROUNDS = 8
MAX_PUBLISHED_PACES = 24
# Part of a message that has paces only. Older entries add its result, which is
# empty, to those of the other parts.
NO_PART = -1


@attrs.frozen(eq=False, repr=False)
class QueueUpdate(Record):
    """Queue lengths of workers.

    Field names are on the wire and can't be changed.

    Attributes:
      asked: Number of workers that answered; if 0, nothing is known.
      waiting: Waiting requests by worker id; workers not listed have none.
      part: Index of the part that was polled.
      paces: Packed paces by worker id: measured by the sender and not sent
        before, or in an update to all, of all entries.
    """

    asked: int
    waiting: dict[str, int]
    part: int = 0
    paces: dict[str, list[float]] = attrs.Factory(dict)


@attrs.define(eq=False, repr=False)
class QueueWatch:
    """Polls engines, publishes their queue lengths and applies received ones.

    Attributes:
      fleet: Known states of all entries.
      directory: Registered workers.
      loads: Known loads of workers.
      notify_all: Sends a message to all peers, without acknowledgement.
      notify_one: Sends a message to the entry of a name, without
        acknowledgement.
      clock: Source of monotonic time.
      engines: Returns the services whose workers are model engines.
      read: Fetches the load of a worker within a timeout in seconds; returns
        None if the worker does not answer.
      on_restart: Called with the id of a worker that reports a new start
        before its new registration arrives.
      open_workers: Returns those workers that may be polled.
      in_backoff: Returns whether a worker asked this entry not to call it now.
      reported_starts: Start that each worker last reported, by worker id.
      parts: Monotonic time in seconds and result of the last poll, by part.
      paces: How long work takes on each worker.
      rng: Random source that spreads the messages of entries over time.
      updates: Number of updates that this entry published.
      last_published: Id of the worker whose pace was published last.
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
    paces: WorkerPaces = attrs.field(
        default=attrs.Factory(
            lambda self: WorkerPaces(self.clock), takes_self=True
        )
    )
    rng: random.Random = attrs.Factory(random.Random)
    updates: int = 0
    last_published: str = ""

    async def run(self) -> None:
        """Runs rounds until cancelled."""
        while True:
            await self.clock.sleep(POLL_INTERVAL_S)
            await self.round()

    async def round(self) -> None:
        """Polls this entry's part of the engines once and sends the result.

        Entries with the same view compute the same parts. While views differ,
        an engine may be polled twice, or its part may be missing for a moment.
        """
        engines = self.open_engines()
        readers = self.readers(len(engines))
        me = self.fleet.me.member.name
        self.send_paces(readers[0])
        if me not in readers or not (engines or self.paces.services):
            self.parts.clear()
            return
        part = readers.index(me)
        update = await self.poll(engines[part :: len(readers)], part)
        if part == 0:
            self.record_part(update)
            self.publish()
            return
        self.send_part(update, readers[0])

    def send_part(self, update: QueueUpdate, publisher: str) -> None:
        """Sends what this entry found out to the publishing entry."""
        message = peer_pb2.QueueNews(packed=pack(update))
        self.notify_one(peer_pb2.Spread(queue_part=message), publisher)

    def send_paces(self, publisher: str) -> None:
        """Sends the paces that this entry measured, if it is its turn.

        Args:
          publisher: Name of the publishing entry, possibly this one.
        """
        if publisher == self.fleet.me.member.name:
            self.paces.merge(self.paces.take_pending(MAX_SENT_PACES))
            return
        share = PACE_MESSAGES_PER_ROUND / len(self.fleet.live())
        if not self.paces.services or self.rng.random() >= share:
            return
        paces = self.paces.take_pending(MAX_SENT_PACES)
        if paces:
            self.send_part(QueueUpdate(0, {}, NO_PART, paces), publisher)

    def open_engines(self) -> list[RegisteredWorker]:
        """Returns the engines that may be polled, sorted by id."""
        engines = (
            worker
            for service in self.engines()
            for worker in self.open_workers(
                self.directory.accepting_workers(service)
            )
        )
        return sorted(engines, key=lambda worker: worker.id)

    def readers(self, engines: int) -> list[str]:
        """Returns the names of the polling entries; the first one publishes.

        Args:
          engines: Number of engines to poll.
        """
        count = max(1, math.ceil(engines / MAX_ENGINES_PER_READER))
        return self.fleet.preferred("queues", count, asks_workers=True)

    async def poll(
        self, workers: Sequence[RegisteredWorker], part: int
    ) -> QueueUpdate:
        """Polls some engines and returns their queue lengths."""
        reports = await asyncio.gather(*map(self.fetch_report, workers))
        waiting = {
            worker.id: report.waiting
            for worker, report in zip(workers, reports, strict=True)
            if report is not None and report.waiting
        }
        answered = sum(report is not None for report in reports)
        return QueueUpdate(answered, waiting, part)

    def record_part(self, update: QueueUpdate) -> None:
        """Stores the result of polling a part."""
        self.parts[update.part] = (self.clock.monotonic(), update)

    def receive_part(self, message: peer_pb2.QueueNews) -> None:
        """Stores the result of a part that another entry polled.

        Raises:
          UnreadableError: The message can't be unpacked.
        """
        update = unpack(QueueUpdate, message.packed)
        self.paces.merge(update.paces)
        if update.part != NO_PART:
            self.record_part(update)

    def publish(self) -> None:
        """Merges the recent results of all parts and sends them to peers."""
        oldest = self.clock.monotonic() - PART_TTL_S
        asked = 0
        waiting: dict[str, int] = {}
        for at, update in self.parts.values():
            if at >= oldest:
                asked += update.asked
                waiting |= update.waiting
        merged = QueueUpdate(asked, waiting, paces=self.next_paces())
        self.apply_waiting(merged)
        message = peer_pb2.QueueNews(packed=pack(merged))
        self.notify_all(peer_pb2.Spread(queue_news=message))

    def next_paces(self) -> dict[str, list[float]]:
        """Returns the paces for the next update, of some workers in turn."""
        self.updates += 1
        if self.updates % PACE_UPDATE_ROUNDS:
            return {}
        ids = sorted(self.paces.samples)
        start = bisect.bisect_right(ids, self.last_published)
        chosen = (ids[start:] + ids[:start])[:MAX_PUBLISHED_PACES]
        self.last_published = chosen[-1] if chosen else ""
        return self.paces.published(chosen)

    async def fetch_report(
        self, worker: RegisteredWorker
    ) -> ReportedLoad | None:
        """Returns a worker's load, from its last report if that is fresh."""
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
        """Records the start that a worker reported, and detects restarts."""
        known = self.reported_starts.get(worker.id, worker.born)
        self.reported_starts[worker.id] = born
        if known is not None and known != born:
            log.info(
                "Worker reported a restart.",
                worker=worker.id,
                born=born,
                before=known,
            )
            self.on_restart(worker.id)

    def receive_update(self, message: peer_pb2.QueueNews) -> None:
        """Applies the queue lengths that another entry published.

        Raises:
          UnreadableError: The message can't be unpacked.
        """
        self.apply_update(unpack(QueueUpdate, message.packed))

    def apply_update(self, update: QueueUpdate) -> None:
        """Applies queue lengths and paces that another entry published."""
        self.paces.apply_published(update.paces)
        self.apply_waiting(update)

    def apply_waiting(self, update: QueueUpdate) -> None:
        """Applies queue lengths to the known loads of all engines."""
        if not update.asked:
            return
        at = self.clock.monotonic() - REPORT_LAG_S
        for service in self.engines():
            for worker in self.directory.accepting_workers(service):
                waiting = update.waiting.get(worker.id, 0)
                self.loads.workers[worker.id].record_waiting(waiting, at)
