"""Rows by which a request stays held when all entries are lost at once.

Entries keep what they know in memory and ask each other when they start. That
is gone where all lose power together; the request would end three workers more.
So one entry writes a row for each request that is held. Each entry reads its
table at its start anyway, so that this costs one call for each held request.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator

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
from rattanpier._internal.models.worker_end import QuarantineNews, WorkerEnd
from rattanpier._internal.relay.fleet import Fleet
from rattanpier._internal.relay.own_table import (
    QUARANTINED_PREFIX,
    TABLE,
    rows_with_prefix,
)
from rattanpier._internal.relay.restoring import LostRow
from rattanpier._internal.relay.store import RelayStore, StoreClock
from rattanpier._internal.retries.quarantine import HOLD_S, Quarantine
from rattanpier._internal.utils.clock import Clock
from rattanpier._internal.utils.codec import decode, encode

log = structlog.get_logger(part="quarantine")

RETRY_INTERVAL_S = 1.0  # Until a row is written; entries know it meanwhile.
MS_PER_S = 1000.0


@attrs.frozen
class QuarantineRow:
    """A held request.

    Attributes:
      workers: Incarnations that ended under it.
      ended_ms: When the last one did, on the store's steady clock.
    """

    workers: list[str]
    ended_ms: float


@attrs.define(eq=False, repr=False)
class QuarantineRows:
    """Writes the rows that fall to this entry, and takes all in.

    Attributes:
      available: Whether this entry reaches the store.
      changed: Contents that are held, or no longer.
    """

    store: RelayStore
    quarantine: Quarantine
    fleet: Fleet
    store_clock: StoreClock
    clock: Clock
    available: Callable[[], bool]
    changed: asyncio.Queue[str] = attrs.Factory(asyncio.Queue)

    async def run(self) -> None:
        """Writes or removes the row of each content that changed."""
        while True:
            content = await self.changed.get()
            while not await self.sync_row(content):
                await self.clock.sleep(RETRY_INTERVAL_S)

    async def sync_row(self, content: str) -> bool:
        """Writes or removes a row; says whether that is done with."""
        if not self.is_assigned(content):
            return True
        if not self.available():
            return False
        value = self.row_value(content)
        if value is None:
            return await self.remove(content)
        put = RowPut(TABLE, QUARANTINED_PREFIX + content, value)
        return isinstance(await self.store.transact([], [put]), WrittenAt)

    def row_value(self, content: str) -> bytes | None:
        """Returns what a content's row holds, None if it is not held."""
        remaining_s = self.quarantine.held_s(content)
        if not remaining_s:
            return None
        row = QuarantineRow(
            sorted(self.quarantine.ends[content]),
            self.store_clock.now_ms() - MS_PER_S * (HOLD_S - remaining_s),
        )
        return encode(row).encode()

    def find_lost_rows(self, page: Page) -> Iterator[LostRow]:
        """Yields rows that the table lacks, or shows though they are gone."""
        present = {
            row.key for row in rows_with_prefix(page, QUARANTINED_PREFIX)
        }
        for content in self.quarantine.ends:
            value = self.row_value(content)
            if value is not None and content not in present:
                yield LostRow(QUARANTINED_PREFIX + content, value)
        for content in present & self.quarantine.cleared.keys():
            if self.row_value(content) is None:
                yield LostRow(QUARANTINED_PREFIX + content, None)

    def is_assigned(self, content: str) -> bool:
        """Says whether a row falls to this entry, by what all know."""
        me = self.fleet.me.member.name
        return self.fleet.preferred(QUARANTINED_PREFIX + content, 1) == [me]

    async def remove(self, content: str) -> bool:
        """Removes a row; says whether it surely is no longer there."""
        check = RowCheck(TABLE, QUARANTINED_PREFIX + content)
        outcome = await self.store.transact([], [], [check])
        return isinstance(outcome, WrittenAt)

    def apply_row(self, row: FeedRow, now_ms: float) -> None:
        """Takes in a row that was read.

        Args:
          row: Its key is the content.
          now_ms: The store's steady clock.
        """
        content = row.key
        try:
            stored = decode(QuarantineRow, row.value)
        except UnreadableError as error:
            log.warning(
                "Held request's row can't be read.",
                row=row.key,
                error=str(error),
            )
            self.changed.put_nowait(content)
            return
        age_s = max(0.0, (now_ms - stored.ended_ms) / MS_PER_S)
        ends = [WorkerEnd(content, worker, age_s) for worker in stored.workers]
        self.quarantine.take(QuarantineNews(ends))
        if age_s >= HOLD_S:
            self.changed.put_nowait(content)
