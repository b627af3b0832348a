"""Restores rows of the system's own table that the store lost.

All entries learn almost at once that the store was restored from a backup. To
avoid a burst of calls, one of them reads the table once and writes the rows
that all entries know and the backup lacks. If it doesn't report that it is
done, the next entry takes over.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence

import attrs
import structlog

from rattanpier._internal.exceptions import StoreUnavailableError
from rattanpier._internal.models.feed import Page, RowCheck, RowPut, WrittenAt
from rattanpier._internal.models.revision import Revision
from rattanpier._internal.relay.fleet import Fleet
from rattanpier._internal.relay.history import StoreHistory
from rattanpier._internal.relay.own_table import TABLE, OwnTable
from rattanpier._internal.relay.store import RelayStore
from rattanpier._internal.utils.clock import Clock
from rattanpier._internal.utils.record import Record

log = structlog.get_logger(part="store")

DUTY = "restore"
CHECK_INTERVAL_S = 0.25
# Each further entry in the order of preference waits this much longer for the
# report that the rows are restored.
TAKEOVER_DELAY_S = 0.5
# The store accepts at most a hundred rows and 1 MB in a transaction.
MAX_ROWS_PER_TRANSACTION = 40


@attrs.frozen(eq=False, repr=False)
class LostRow(Record):
    """A row of the system's own table that is to be written or removed.

    Attributes:
      key: Key of the row.
      value: Value of the row, or None if it is to be removed.
      related_puts: Rows of other tables to write in the same transaction.
    """

    key: str
    value: bytes | None
    related_puts: tuple[RowPut, ...] = ()


LostRowFinder = Callable[[Page], Iterable[LostRow]]


@attrs.define(eq=False, repr=False)
class RowRestorer:
    """Restores lost rows when this entry is responsible for it.

    Attributes:
      store: Where the rows are written.
      own_table: Holds the rows.
      fleet: Determines which entry is responsible.
      history: Tracks the newest era, and whether its rows are restored.
      clock: Monotonic clock.
      available: Returns whether this entry reaches the store.
      publish: Sends to all peers the era whose rows are restored.
      finders: Find rows that a full read lacks, one for each kind of row.
    """

    store: RelayStore
    own_table: OwnTable
    fleet: Fleet
    history: StoreHistory
    clock: Clock
    available: Callable[[], bool]
    publish: Callable[[int], None]
    finders: Sequence[LostRowFinder]

    async def run(self) -> None:
        """Restores rows whenever that is due, until cancelled."""
        while True:
            await self.clock.sleep(CHECK_INTERVAL_S)
            if self.is_due():
                await self.step()

    def is_due(self) -> bool:
        """Returns whether this entry has to check the table now.

        Only entries that saw the era begin know what was lost from the one
        before.
        """
        if (
            self.history.restored_era >= self.history.era
            or not self.available()
        ):
            return False
        elapsed_s = self.clock.monotonic() - self.history.era_began_at
        substitutes = int(elapsed_s / TAKEOVER_DELAY_S)
        preferred = self.fleet.preferred(DUTY, 1 + substitutes)
        return self.fleet.me.member.name in preferred

    async def step(self) -> None:
        """Restores all lost rows, and publishes that it is done."""
        era = self.history.era
        try:
            page = await self.own_table.read()
        except StoreUnavailableError as error:
            log.debug("Own table not read.", error=str(error))
            return
        if page.revision.era != era:
            return
        lost = [row for find in self.finders for row in find(page)]
        read_at = {row.key: row.revision for row in page.rows}
        for start in range(0, len(lost), MAX_ROWS_PER_TRANSACTION):
            if not await self.write(
                lost[start : start + MAX_ROWS_PER_TRANSACTION], read_at
            ):
                return
        self.history.record_restored(era)
        self.publish(era)
        log.info(
            "Lost rows restored.",
            era=era,
            rows=len(lost),
            keys=[row.key for row in lost][:MAX_ROWS_PER_TRANSACTION],
        )

    async def write(
        self, rows: Sequence[LostRow], read_at: dict[str, Revision]
    ) -> bool:
        """Writes rows unless one changed since; returns whether it did."""
        checks = [
            RowCheck(TABLE, row.key, read_at.get(row.key, Revision()))
            for row in rows
        ]
        puts = [
            RowPut(TABLE, row.key, row.value)
            for row in rows
            if row.value is not None
        ]
        puts += [put for row in rows for put in row.related_puts]
        removed = [
            check
            for check, row in zip(checks, rows, strict=True)
            if row.value is None
        ]
        outcome = await self.store.transact(checks, puts, removed)
        if not isinstance(outcome, WrittenAt):
            log.info("Lost rows not restored.", outcome=repr(outcome))
        return isinstance(outcome, WrittenAt)
