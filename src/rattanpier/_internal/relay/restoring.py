"""Writes rows of the system's own table again that the store lost.

Load answered: a store that comes back from an older copy, which all entries
learn within a moment. One of them reads the table once, and writes what all of
them know and the copy lacks. The next one does so if nothing was told of it.
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

log = structlog.get_logger(part="store")

DUTY = "restore"
CHECK_INTERVAL_S = 0.25
# Each further entry waits that much longer for news that it is done.
TAKEOVER_DELAY_S = 0.5
MAX_ROWS_PER_TRANSACTION = (
    40  # Of a transaction; the store takes a hundred and a megabyte.
)


@attrs.frozen
class LostRow:
    """A row of the system's own table that is to stand, or to go.

    Attributes:
      key: Its key.
      value: None: it is to be removed.
      with_it: Rows of other tables that are written with it.
    """

    key: str
    value: bytes | None
    related_puts: tuple[RowPut, ...] = ()


LostRowFinder = Callable[[Page], Iterable[LostRow]]


@attrs.define(eq=False, repr=False)
class RowRestorer:
    """Writes again what the store lost, where that falls to this entry.

    Attributes:
      own_table: Holds the rows.
      history: Which era is the newest one, and whether its rows stand again.
      available: Whether this entry reaches the store.
      tell: Tells all others that the rows of an era stand again.
      sources: Find what a reading of the table lacks, one a kind of row.
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
        """Looks again and again whether there is something to write."""
        while True:
            await self.clock.sleep(CHECK_INTERVAL_S)
            if self.is_due():
                await self.step()

    def is_due(self) -> bool:
        """Says whether it falls to this entry to look at the table now.

        Only entries that saw the era begin know what was lost with the one
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
        """Writes all that is lost."""
        era = self.history.era
        try:
            page = await self.own_table.read()
        except StoreUnavailableError as error:
            log.debug("Own rows not read.", error=str(error))
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
            "Own rows stand again.",
            era=era,
            rows=len(lost),
            keys=[row.key for row in lost][:MAX_ROWS_PER_TRANSACTION],
        )

    async def write(
        self, rows: Sequence[LostRow], read_at: dict[str, Revision]
    ) -> bool:
        """Writes some rows, unless one changed since; says whether it did."""
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
            log.info("Own rows not written again.", outcome=repr(outcome))
        return isinstance(outcome, WrittenAt)
