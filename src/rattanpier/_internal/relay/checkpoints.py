"""Compressed checkpoints of the operators' table for a faster start.

When all entries start at once, each would read the whole manifest of more than
a thousand routes, which takes most of a second over a slow link while callers
wait. So one entry keeps a checkpoint of the table, as of a revision of the
store, in the system's own table; it is a tenth of the size. A starting entry
reads that and the changes since, which give the result of a full read.
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
    DataSource,
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
    CHECKPOINT_PREFIX,
    TABLE,
    OwnTable,
    rows_with_prefix,
)
from rattanpier._internal.relay.store import RelayStore
from rattanpier._internal.utils.clock import Clock
from rattanpier._internal.utils.codec import pack, unpack
from rattanpier._internal.utils.record import Record

log = structlog.get_logger(part="store")

CHECK_INTERVAL_S = 0.5
# An entry that has just started may know of no peer, so that all would write.
STARTUP_GRACE_S = 3.0
# The feed can continue from a checkpoint only while the store keeps the changes
# since. Renewing it several times in that period leaves enough of them also for
# a start just before the next renewal.
RENEWALS_PER_HISTORY = 3


@attrs.frozen(eq=False, repr=False)
class TableRows(Record):
    """All rows of a table, as they are packed into a checkpoint."""

    rows: list[FeedRow]


@attrs.frozen(eq=False, repr=False)
class Checkpoint(Record):
    """A table as of a revision of the store.

    Attributes:
      as_of: The revision.
      packed: The table's `TableRows`, packed.
    """

    as_of: Revision
    packed: bytes


def find_checkpoint(page: Page, table: str) -> Checkpoint | None:
    """Returns a table's checkpoint, or None if it is missing or unreadable.

    Args:
      page: All rows of the system's own table.
      table: Name of the checkpointed table.
    """
    for row in rows_with_prefix(page, CHECKPOINT_PREFIX):
        if row.key != table:
            continue
        try:
            return unpack(Checkpoint, row.value)
        except UnreadableError as error:
            log.warning(
                "Checkpoint is unreadable.", table=table, error=str(error)
            )
    return None


@attrs.define(eq=False, repr=False)
class CheckpointedStore:
    """A store that answers the first full read of a table by its checkpoint.

    Attributes:
      store: The store that is wrapped.
      table: Name of the checkpointed table.
      own_table: Holds the checkpoint.
      checkpoint_tried: Whether the checkpoint was looked up; later full reads
        go to the store.
    """

    store: RelayStore
    table: str
    own_table: OwnTable
    checkpoint_tried: bool = False

    async def scan(self, table: str) -> Page:
        """Returns all rows of a table and the revision they are as of."""
        if table == self.table and not self.checkpoint_tried:
            own = await self.own_table.read_cached()
            checkpoint = find_checkpoint(own, table)
            self.checkpoint_tried = True
            if (
                checkpoint is not None
                and checkpoint.as_of.era != own.revision.era
            ):
                # The store may have assigned its version again.
                log.info("Checkpoint not used.", error="of another era")
                checkpoint = None
            page = None if checkpoint is None else await self.resume(checkpoint)
            if page is not None:
                return page
        return await self.store.scan(table)

    async def resume(self, checkpoint: Checkpoint) -> Page | None:
        """Returns a checkpoint's rows with later changes, if available."""
        try:
            known = unpack(TableRows, checkpoint.packed).rows
            page = await self.store.changes(self.table, checkpoint.as_of, 0.0)
        except (HistoryGoneError, UnreadableError) as error:
            log.info("Checkpoint not used.", error=str(error))
            return None
        if page.revision.era != checkpoint.as_of.era:
            log.info("Checkpoint not used.", error="a new era began")
            return None
        log.info(
            "Resumed from a checkpoint.",
            table=self.table,
            as_of=checkpoint.as_of.number,
            revision=page.revision.number,
            rows=len(known),
            changed=len(page.rows),
        )
        rows = merge_rows(known, page.rows)
        return Page(
            rows,
            page.revision,
            page.now_ms,
            whole=True,
            source=DataSource.CHECKPOINT,
        )

    async def changes(self, table: str, since: Revision, wait_s: float) -> Page:
        """Waits up to `wait_s` for changes of a table after a revision."""
        return await self.store.changes(table, since, wait_s)

    async def transact(
        self,
        checks: Sequence[RowCheck],
        puts: Sequence[RowPut],
        removed: Sequence[RowCheck] = (),
    ) -> WrittenAt | Conflict | NotRun | Uncertain:
        """Writes and removes rows atomically, if all checks hold."""
        return await self.store.transact(checks, puts, removed)


@attrs.define(eq=False, repr=False)
class CheckpointWriter:
    """Maintains a table's checkpoint while that is assigned to this entry.

    Attributes:
      table: Name of the checkpointed table.
      store: Where the table is read and the checkpoint is written.
      fleet: Determines which entry writes the checkpoint.
      clock: Monotonic clock.
      settings: How long the store keeps changes, and how large a row may be.
      available: Returns whether this entry reaches the store.
      started_at: When this entry started, in monotonic seconds.
      rows: The table's rows by key, None while a peer writes the checkpoint.
      as_of: The revision up to which the table's changes are applied.
      packed: The packed rows, or None if they changed since they were packed.
      written_at: When the checkpoint was last written, in monotonic seconds.
      is_too_large: Whether the checkpoint exceeds the size of a row.
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
        """Keeps the checkpoint up to date until cancelled."""
        while True:
            await self.clock.sleep(CHECK_INTERVAL_S)
            await self.step()

    async def step(self) -> None:
        """Updates the checkpoint if it is assigned to this entry and due."""
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
        # The rows stay None if newer changes were applied during the full read.
        if self.rows is not None and self.is_due():
            await self.write()

    def is_assigned(self) -> bool:
        """Returns whether this entry writes the checkpoint.

        All entries derive the same answer from the fleet's state.
        """
        if self.clock.monotonic() - self.started_at < STARTUP_GRACE_S:
            return False
        me = self.fleet.me.member.name
        return self.fleet.preferred(CHECKPOINT_PREFIX + self.table, 1) == [me]

    def apply_page(self, page: Page) -> None:
        """Applies a page of the table, read by this entry or a watcher.

        Pages must come in the order of their revisions, without gaps.
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
        """Returns whether the stored checkpoint is outdated or due to renew."""
        if self.packed is None:
            return True
        renew_s = self.settings.history_s / RENEWALS_PER_HISTORY
        age_s = self.clock.monotonic() - self.written_at
        return age_s >= renew_s and not self.is_too_large

    async def write(self) -> None:
        """Writes the checkpoint, unless it is too large for a row."""
        assert self.rows is not None
        if self.packed is None:
            self.packed = pack(TableRows(list(self.rows.values())))
        value = pack(Checkpoint(self.as_of, self.packed))
        self.is_too_large = len(value) > self.settings.row_bytes
        if self.is_too_large:
            log.info("Table too large for a checkpoint.", bytes=len(value))
            return
        put = RowPut(TABLE, CHECKPOINT_PREFIX + self.table, value)
        self.written_at = self.clock.monotonic()
        outcome = await self.store.transact([], [put])
        if not isinstance(outcome, WrittenAt):
            # Harmless: readers ignore a checkpoint that has become too old.
            log.info("Checkpoint not written.", outcome=repr(outcome))


def merge_rows(
    known: Sequence[FeedRow], changed: Sequence[FeedRow]
) -> list[FeedRow]:
    """Returns a table's rows with changes applied, without deleted rows.

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
