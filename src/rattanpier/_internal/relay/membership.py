"""Rows by which entries find each other.

An entry writes its row at its start and reads those of the others; from then
on they talk directly. The row outlives the entry: one that is stale costs the
others a call now and then.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterator

import attrs
import structlog

from rattanpier._internal.exceptions import (
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
from rattanpier._internal.models.member import Member
from rattanpier._internal.relay import own_table
from rattanpier._internal.relay.fleet import EntryState, Fleet
from rattanpier._internal.relay.own_table import OwnTable, rows_of
from rattanpier._internal.relay.restoring import LostRow
from rattanpier._internal.relay.store import RelayStore
from rattanpier._internal.utils.clock import Clock
from rattanpier._internal.utils.codec import decode, encode

log = structlog.get_logger(part="fleet")

# Until the row is written; seeds lead to the others as well.
RETRY_DELAY_S = 1.0
AVAILABILITY_POLL_S = 0.1  # Between looks at whether the store is back.
# An entry that knows no other looks for them this often.
REREAD_INTERVAL_S = 5.0


@attrs.define(eq=False, repr=False)
class EntryRows:
    """Writes this entry's row and reads the others'.

    Attributes:
      own_table: Holds the rows.
      available: Whether this entry reaches the store. Calls in an outage are
        paid for, and all entries may start in one.
      apply_held_row: Takes in the row of a held request, and the store's clock in
        ms.
      row_is_current: A row that leads others here row_is_current already.
    """

    store: RelayStore
    own_table: OwnTable
    fleet: Fleet
    clock: Clock
    available: Callable[[], bool]
    apply_held_row: Callable[[FeedRow, float], None]
    row_is_current: bool = False

    async def run(self) -> None:
        """Reads all rows and writes this entry's, if none leads here yet.

        Then reads again while no other entry is known: of two that start at
        once, one sees the other's row so, if neither saw any at first.
        """
        await self.retry_until_done(self.read_first)
        if not self.row_is_current:
            await self.retry_until_done(self.write)
            if self.is_alone():
                await self.retry_until_done(self.read_again)
        while True:
            await self.clock.sleep(REREAD_INTERVAL_S)
            if self.is_alone():
                await self.read_again()

    async def retry_until_done(
        self, step: Callable[[], Awaitable[bool]]
    ) -> None:
        """Takes a step again and again until it worked."""
        await self.wait_for_store()
        while not await step():
            await self.clock.sleep(RETRY_DELAY_S)
            await self.wait_for_store()

    def is_alone(self) -> bool:
        """Says whether no other entry is known to live."""
        return len(self.fleet.live()) == 1

    async def wait_for_store(self) -> None:
        """Waits until those who follow the store were answered."""
        while not self.available():
            await self.clock.sleep(AVAILABILITY_POLL_S)

    async def write(self) -> bool:
        """Writes this entry's row; says whether it surely row_is_current."""
        me = self.fleet.me
        put = RowPut(own_table.TABLE, me.member.name, encode(me).encode())
        outcome = await self.store.transact([], [put])
        if isinstance(outcome, WrittenAt):
            return True
        log.info("Own row not written.", outcome=repr(outcome))
        return False

    def lost(self, page: Page) -> Iterator[LostRow]:
        """Yields the rows that the table lacks, of entries that live."""
        present_keys = {row.key for row in page.rows}
        for state in self.fleet.live():
            if state.member.name not in present_keys:
                yield LostRow(state.member.name, encode(state).encode())

    async def read_first(self) -> bool:
        """Takes in what the start reads; says whether that worked."""
        return await self.read_and_apply(self.own_table.first)

    async def read_again(self) -> bool:
        """Reads all rows anew; says whether that worked."""
        return await self.read_and_apply(self.own_table.read)

    async def read_and_apply(self, read: Callable[[], Awaitable[Page]]) -> bool:
        """Takes in what a reading shows; says whether it worked."""
        try:
            page = await read()
        except StoreUnavailableError as error:
            # The loss of the store is told once, where it is noticed.
            log.debug("Entries not read.", error=str(error))
            return False
        for row in rows_of(page, own_table.HELD):
            self.apply_held_row(row, page.now_ms)
        for row in filter(own_table.is_entry, page.rows):
            await self.apply_row(row)
        return True

    async def apply_row(self, row: FeedRow) -> None:
        """Takes in the row of an entry; one that can't be read is removed."""
        try:
            state = decode(EntryState, row.value)
        except UnreadableError as error:
            log.warning(
                "Entry's row can't be read.", row=row.key, error=str(error)
            )
            check = RowCheck(own_table.TABLE, row.key)
            await self.store.transact([], [], [check])
            return
        if state.member.name == self.fleet.me.member.name:
            self.row_is_current = self.is_current(state.member)
        self.fleet.apply_state(state)

    def is_current(self, member: Member) -> bool:
        """Says whether an earlier row of this entry's name leads here.

        Who goes by it asks this entry, which tells of its new start: it need
        not be written anew at each.
        """
        me = self.fleet.me.member
        return attrs.evolve(member, incarnation=me.incarnation) == me
