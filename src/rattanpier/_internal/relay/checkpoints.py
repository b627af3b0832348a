"""A compressed copy of the operators' table, from which a start goes on.

Load answered: all entries start at once before a manifest of a thousand routes
and more. Each reads it whole, over a link on which that takes most of a second,
while callers wait. One entry keeps a copy as of a version of the store in the
entries' own table, a tenth as long; a start reads that, and then what changed
since, so that it knows what a whole reading would tell.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

import attrs
import structlog

from rattanpier._internal.exceptions import (
    HistoryGoneError,
    StoreUnavailableError,
    UnreadableError,
)
from rattanpier._internal.models.feed import (
    FeedRow,
    Page,
    RowCheck,
    RowPut,
    WrittenAt,
)
from rattanpier._internal.models.outcomes import Conflict, NotRun, Uncertain
from rattanpier._internal.models.relay_settings import StoreSettings
from rattanpier._internal.models.revision import Revision
from rattanpier._internal.relay.fleet import Fleet
from rattanpier._internal.relay.own_table import (
    CHECKPOINT,
    TABLE,
    OwnTable,
    rows_of,
)
from rattanpier._internal.relay.store import RelayStore
from rattanpier._internal.utils.clock import Clock
from rattanpier._internal.utils.codec import pack, unpack

log = structlog.get_logger(part="store")

CHECK_INTERVAL_S = 0.5
# An entry that has just started may know of no other, and all would write.
STARTUP_GRACE_S = 3.0
# The feed goes on from a copy while the store holds the history since: a copy
# is renewed in time for a start that comes just before the next renewal.
RENEWALS_PER_HISTORY = 3


@attrs.frozen
class TableRows:
    """All rows of a table."""

    rows: list[FeedRow]


@attrs.frozen
class Checkpoint:
    """A table as of a revision of the store.

    Attributes:
      as_of: The revision.
      packed: Its `TableRows`, packed.
    """

    as_of: Revision
    packed: bytes


def find_checkpoint(page: Page, table: str) -> Checkpoint | None:
    """Returns a table's checkpoint, None if there is none that can be read.

    Args:
      page: Of the system's own table.
      table: The table that is copied.
    """
    for row in rows_of(page, CHECKPOINT):
        if row.key != table:
            continue
        try:
            return unpack(Checkpoint, row.value)
        except UnreadableError as error:
            log.warning(
                "Checkpoint can't be read.", table=table, error=str(error)
            )
    return None


@attrs.define(eq=False, repr=False)
class CheckpointedStore:
    """A store of which one table is first read by its checkpoint.

    Attributes:
      table: That table.
      own_table: Holds the checkpoint.
      used: The checkpoint was asked for.
    """

    store: RelayStore
    table: str
    own_table: OwnTable
    checkpoint_tried: bool = False

    async def scan(self, table: str) -> Page:
        """Returns all rows of a table and the version that they are as of."""
        if table == self.table and not self.checkpoint_tried:
            own = await self.own_table.first()
            checkpoint = find_checkpoint(own, table)
            self.checkpoint_tried = True
            if (
                checkpoint is not None
                and checkpoint.as_of.era != own.revision.era
            ):
                # Its version may have been given out again.
                log.info("Checkpoint of no use.", error="of another era")
                checkpoint = None
            page = None if checkpoint is None else await self.resume(checkpoint)
            if page is not None:
                return page
        return await self.store.scan(table)

    async def resume(self, checkpoint: Checkpoint) -> Page | None:
        """Returns a checkpoint's rows with what changed since, if told."""
        try:
            known = unpack(TableRows, checkpoint.packed).rows
            page = await self.store.changes(self.table, checkpoint.as_of, 0.0)
        except (HistoryGoneError, UnreadableError) as error:
            log.info("Checkpoint of no use.", error=str(error))
            return None
        if page.revision.era != checkpoint.as_of.era:
            log.info("Checkpoint of no use.", error="a new era began")
            return None
        log.info(
            "Went on from a checkpoint.",
            table=self.table,
            as_of=checkpoint.as_of.number,
            revision=page.revision.number,
            rows=len(known),
            changed=len(page.rows),
        )
        rows = merge_rows(known, page.rows)
        return Page(rows, page.revision, page.now_ms, whole=True)

    async def changes(self, table: str, since: Revision, wait_s: float) -> Page:
        """Waits for changes of a table behind a revision."""
        return await self.store.changes(table, since, wait_s)

    async def transact(
        self,
        checks: Sequence[RowCheck],
        puts: Sequence[RowPut],
        removed: Sequence[RowCheck] = (),
    ) -> WrittenAt | Conflict | NotRun | Uncertain:
        """Writes some rows if all checks hold, else nothing."""
        return await self.store.transact(checks, puts, removed)


@attrs.define(eq=False, repr=False)
class CheckpointWriter:
    """Keeps a table's checkpoint, where that falls to this entry.

    Attributes:
      table: The table that is copied.
      settings: How long the store's history and a row may be.
      available: Whether this entry reaches the store.
      started_at: When this entry started, in monotonic seconds.
      rows: The table's rows by key, None while others have the duty.
      as_of: The revision up to which the table's changes came here.
      packed: The rows as they are kept; None: to be packed.
      written_at: When the checkpoint was written last, in monotonic seconds.
      too_long: The rows do not fit into one row.
    """

    table: str
    store: RelayStore
    fleet: Fleet
    clock: Clock
    settings: StoreSettings
    available: Callable[[], bool]
    started_at: float = attrs.field(
        default=attrs.Factory(
            lambda self: self.clock.monotonic(), takes_self=True
        )
    )
    rows: dict[str, FeedRow] | None = None
    as_of: Revision = Revision()
    packed: bytes | None = None
    written_at: float = float("-inf")
    is_too_large: bool = False

    async def run(self) -> None:
        """Writes the checkpoint again and again."""
        while True:
            await self.clock.sleep(CHECK_INTERVAL_S)
            await self.step()

    async def step(self) -> None:
        """Brings the checkpoint up to date, if that is due here."""
        if not self.is_assigned():
            self.rows = self.packed = None
            return
        if not self.available():
            return
        try:
            if self.rows is None:
                self.apply_page(await self.store.scan(self.table))
        except StoreUnavailableError as error:
            log.debug("Table not read.", table=self.table, error=str(error))
            return
        # A whole reading that changes overtook is of no use.
        if self.rows is not None and self.is_due():
            await self.write()

    def is_assigned(self) -> bool:
        """Says whether the duty is this entry's, by what all know."""
        if self.clock.monotonic() - self.started_at < STARTUP_GRACE_S:
            return False
        me = self.fleet.me.member.name
        return self.fleet.preferred(CHECKPOINT + self.table, 1) == [me]

    def apply_page(self, page: Page) -> None:
        """Takes in what was read of the table, here or by the others.

        Pages come in the order of their versions and leave nothing out.
        """
        if page.whole:
            if page.revision >= self.as_of:
                self.rows = {row.key: row for row in page.rows}
                self.packed = None
        elif page.rows and self.rows is not None:
            known = list(self.rows.values())
            self.rows = {row.key: row for row in merge_rows(known, page.rows)}
            self.packed = None
        self.as_of = max(self.as_of, page.revision)

    def is_due(self) -> bool:
        """Says whether the row that is kept is out of date, or soon too old."""
        if self.packed is None:
            return True
        renew_s = self.settings.history_s / RENEWALS_PER_HISTORY
        age_s = self.clock.monotonic() - self.written_at
        return age_s >= renew_s and not self.is_too_large

    async def write(self) -> None:
        """Writes the checkpoint, unless it is too long for a row."""
        assert self.rows is not None
        if self.packed is None:
            self.packed = pack(TableRows(list(self.rows.values())))
        value = pack(Checkpoint(self.as_of, self.packed))
        self.is_too_large = len(value) > self.settings.row_bytes
        if self.is_too_large:
            log.info("Table too long for a checkpoint.", bytes=len(value))
            return
        put = RowPut(TABLE, CHECKPOINT + self.table, value)
        self.written_at = self.clock.monotonic()
        outcome = await self.store.transact([], [put])
        if not isinstance(outcome, WrittenAt):
            # One that is too old is of no use, and does no harm.
            log.info("Checkpoint not written.", outcome=repr(outcome))


def merge_rows(
    known: Sequence[FeedRow], changed: Sequence[FeedRow]
) -> list[FeedRow]:
    """Returns a table's rows after some changes.

    >>> old = FeedRow("a", b"1", Revision(1, 1))
    >>> new = FeedRow("a", b"2", Revision(1, 2))
    >>> merge_rows([old], [new]) == [new] == merge_rows([new], [old])
    True
    >>> merge_rows([old], [FeedRow("a", b"", Revision(1, 3), deleted=True)])
    []
    """
    rows = {row.key: row for row in known}
    for row in changed:
        before = rows.get(row.key)
        if before is None or before.revision <= row.revision:
            rows[row.key] = row
    return [row for row in rows.values() if not row.deleted]
