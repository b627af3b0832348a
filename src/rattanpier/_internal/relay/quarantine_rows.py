"""Stored rows that keep requests quarantined when all entries fail at once.

Entries keep the quarantine in memory and get it from their peers when they
start. If all entries lose power together it is lost, and a quarantined request
would crash three more workers. So one entry writes a row for each quarantined
request. Entries read the table at their start anyway, so this costs one call
for each quarantined request.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable, Iterator
from typing import TypeVar

import attrs
import structlog

from rattanpier._internal.exceptions import UnreadableError
from rattanpier._internal.models.feed import (
    FeedRow,
    Page,
    RowCheck,
    RowPut,
    WrittenAt,
)
from rattanpier._internal.models.worker_crash import (
    PartProven,
    QuarantineUpdate,
    WorkerCrash,
)
from rattanpier._internal.relay.fleet import Fleet
from rattanpier._internal.relay.own_table import (
    QUARANTINED_PREFIX,
    TABLE,
    rows_with_prefix,
)
from rattanpier._internal.relay.restoring import LostRow
from rattanpier._internal.relay.store import RelayStore, StoreClock
from rattanpier._internal.retries.quarantine import QUARANTINE_S, Quarantine
from rattanpier._internal.utils.clock import Clock
from rattanpier._internal.utils.codec import decode, encode
from rattanpier._internal.utils.record import Record

log = structlog.get_logger(part="quarantine")

Aged = TypeVar("Aged", WorkerCrash, PartProven)

# Interval between attempts to write a row; meanwhile entries have it in memory.
RETRY_INTERVAL_S = 1.0
# Interval at which entries look whether rows are theirs by now, as those of an
# entry that ended before it wrote them.
DUTY_CHECK_INTERVAL_S = 1.0
# Key of the row with the evidence on parts that are not held yet, the number of
# entries that write it, and the least time between two writes.
EVIDENCE_KEY = "evidence"
EVIDENCE_WRITERS = 2
EVIDENCE_INTERVAL_S = 0.3
MS_PER_S = 1000.0


@attrs.frozen(eq=False, repr=False)
class QuarantineRow(Record):
    """A quarantined request.

    Attributes:
      workers: Worker incarnations that crashed while running it.
      ended_ms: When the last of them crashed, by the store's monotonic clock.
      parts: Ids of the parts of prompts that are held; empty if it is a single
        request that is quarantined.
    """

    workers: list[str]
    ended_ms: float
    parts: tuple[str, ...] = ()


@attrs.frozen(eq=False, repr=False)
class EvidenceRow(Record):
    """Crashes under parts of prompts that may be held soon.

    Attributes:
      written_ms: When it was written, by the store's monotonic clock; the ages
        in the update are as of then.
      update: The crashes, and when workers stood the parts.
    """

    written_ms: float
    update: QuarantineUpdate


@attrs.define(eq=False, repr=False)
class QuarantineRows:
    """Writes the rows assigned to this entry, and applies rows that are read.

    A request is identified by its content. Parts of prompts that are held have
    a row like that of a request, with the key of the hold as its content.

    Attributes:
      store: Where the rows are stored.
      quarantine: Requests that are quarantined.
      fleet: Determines which entry writes a row.
      store_clock: Clock of the stored times.
      clock: Monotonic clock.
      available: Returns whether this entry reaches the store.
      changed: Contents whose quarantine began or ended.
      new_evidence: Set when a part has crashes that the store does not have.
      written_evidence: Contents and workers of the crashes written last.
      duties: Contents whose rows were assigned to this entry at the last look.
    """

    store: RelayStore
    quarantine: Quarantine
    fleet: Fleet
    store_clock: StoreClock
    clock: Clock
    available: Callable[[], bool]
    changed: asyncio.Queue[str] = attrs.Factory(asyncio.Queue)
    new_evidence: asyncio.Event = attrs.Factory(asyncio.Event)
    written_evidence: frozenset[tuple[str, str]] = frozenset()
    duties: set[str] = attrs.Factory(set)

    async def run(self) -> None:
        """Syncs the row of each changed content, until cancelled."""
        while True:
            content = await self.changed.get()
            while not await self.sync_row(content):
                await self.clock.sleep(RETRY_INTERVAL_S)

    async def run_duty_checks(self) -> None:
        """Takes over the rows of other entries, until cancelled."""
        while True:
            await self.clock.sleep(DUTY_CHECK_INTERVAL_S)
            self.take_over()

    async def run_evidence(self) -> None:
        """Writes the evidence on parts that are not held, until cancelled."""
        while True:
            await self.new_evidence.wait()
            self.new_evidence.clear()
            await self.write_evidence()
            await self.clock.sleep(EVIDENCE_INTERVAL_S)

    async def write_evidence(self) -> None:
        """Writes the row of the evidence, if that is assigned to this entry.

        A failed write is not repeated: the next crash writes the row anew.
        """
        me = self.fleet.me.member.name
        duty = QUARANTINED_PREFIX + EVIDENCE_KEY
        writers = self.fleet.preferred(duty, EVIDENCE_WRITERS)
        if me not in writers or not self.available():
            return
        update = self.quarantine.evidence()
        crashes = frozenset((each.content, each.worker) for each in update.ends)
        if crashes <= self.written_evidence:
            return
        self.written_evidence = crashes
        row = EvidenceRow(self.store_clock.now_ms(), update)
        await self.store.transact(
            [], [RowPut(TABLE, duty, encode(row).encode())]
        )

    def apply_evidence(self, row: FeedRow, now_ms: float) -> None:
        """Applies the row of the evidence.

        Raises:
          UnreadableError: The row can't be decoded.
        """
        stored = decode(EvidenceRow, row.value)
        age_s = max(0.0, (now_ms - stored.written_ms) / MS_PER_S)
        update = stored.update
        self.quarantine.apply_update(
            QuarantineUpdate(
                ends=[older(each, age_s) for each in update.ends],
                proven=[older(each, age_s) for each in update.proven],
            )
        )

    def take_over(self) -> None:
        """Queues the rows that were assigned to this entry since the last look.

        Another entry may have ended, or lost the store, before it wrote them.
        """
        assigned = set(filter(self.is_assigned, self.quarantine.quarantined()))
        for content in assigned - self.duties:
            self.changed.put_nowait(content)
        self.duties = assigned

    async def sync_row(self, content: str) -> bool:
        """Writes or removes a row; returns False if it must be retried."""
        if not self.is_assigned(content):
            return True
        self.duties.add(content)
        if not self.available():
            return False
        value = self.row_value(content)
        if value is None:
            return await self.remove(content)
        put = RowPut(TABLE, QUARANTINED_PREFIX + content, value)
        return isinstance(await self.store.transact([], [put]), WrittenAt)

    def row_value(self, content: str) -> bytes | None:
        """Returns the row of a content, or None if it is not quarantined."""
        hold = self.quarantine.holds.get(content)
        if hold is not None:
            return self.encode_row(
                hold.workers, hold.last_crash, tuple(sorted(hold.parts))
            )
        if not self.quarantine.remaining_s(content):
            return None
        crashes = self.quarantine.crashes[content]
        return self.encode_row(crashes, max(crashes.values()))

    def encode_row(
        self, workers: Iterable[str], ended: float, parts: tuple[str, ...] = ()
    ) -> bytes:
        """Returns the value of a row.

        Args:
          workers: Worker incarnations that crashed.
          ended: When the last of them crashed, in monotonic seconds.
          parts: Ids of the parts of prompts that are held.
        """
        age_s = self.clock.monotonic() - ended
        ended_ms = self.store_clock.now_ms() - MS_PER_S * age_s
        row = QuarantineRow(sorted(workers), ended_ms, parts)
        return encode(row).encode()

    def find_lost_rows(self, page: Page) -> Iterator[LostRow]:
        """Yields rows to write or remove after a restore of the store."""
        present = {
            row.key for row in rows_with_prefix(page, QUARANTINED_PREFIX)
        }
        for content in {*self.quarantine.crashes, *self.quarantine.holds}:
            value = self.row_value(content)
            if value is not None and content not in present:
                yield LostRow(QUARANTINED_PREFIX + content, value)
        for content in present & self.quarantine.cleared.keys():
            if self.row_value(content) is None:
                yield LostRow(QUARANTINED_PREFIX + content, None)

    def is_assigned(self, content: str) -> bool:
        """Returns whether a row is assigned to this entry.

        All entries derive the same answer from the fleet's state.
        """
        me = self.fleet.me.member.name
        return self.fleet.preferred(QUARANTINED_PREFIX + content, 1) == [me]

    async def remove(self, content: str) -> bool:
        """Removes a row; returns whether the store confirmed the removal."""
        check = RowCheck(TABLE, QUARANTINED_PREFIX + content)
        outcome = await self.store.transact([], [], [check])
        return isinstance(outcome, WrittenAt)

    def apply_row(self, row: FeedRow, now_ms: float) -> None:
        """Applies a row that was read to the quarantine.

        Expired and unreadable rows are queued for removal.

        Args:
          row: A row whose key is the content.
          now_ms: Current time of the store's monotonic clock, in ms.
        """
        content = row.key
        try:
            if content == EVIDENCE_KEY:
                self.apply_evidence(row, now_ms)
                return
            stored = decode(QuarantineRow, row.value)
        except UnreadableError as error:
            log.warning(
                "Row of a quarantined request is unreadable.",
                row=row.key,
                error=str(error),
            )
            self.changed.put_nowait(content)
            return
        age_s = max(0.0, (now_ms - stored.ended_ms) / MS_PER_S)
        ends = [
            row_crash(content, worker, age_s, stored.parts)
            for worker in stored.workers
        ]
        self.quarantine.apply_update(QuarantineUpdate(ends))
        if age_s >= QUARANTINE_S:
            self.changed.put_nowait(content)


def older(message: Aged, age_s: float) -> Aged:
    """Returns a message with a greater age, in seconds."""
    return attrs.evolve(message, age_s=message.age_s + age_s)


def row_crash(
    content: str, worker: str, age_s: float, parts: tuple[str, ...]
) -> WorkerCrash:
    """Returns a crash that a row tells of.

    Args:
      content: Content of the request, or key of a hold.
      worker: Incarnation of the worker.
      age_s: Seconds since the crash.
      parts: Ids of the parts of prompts that are held; empty for a request.
    """
    if not parts:
        return WorkerCrash(content, worker, age_s)
    # Requests under which one worker each crashed as it began to answer.
    return WorkerCrash(f"{content}/{worker}", worker, age_s, parts, 0.0)
