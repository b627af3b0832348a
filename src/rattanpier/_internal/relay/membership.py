"""Discovery of other entries by rows in the store.

At its start an entry writes its row and reads those of the others; after that
entries talk to each other directly. A row outlives its entry; a stale row
costs the other entries an occasional call.
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
from rattanpier._internal.relay.own_table import OwnTable, rows_with_prefix
from rattanpier._internal.relay.restoring import LostRow
from rattanpier._internal.relay.store import RelayStore
from rattanpier._internal.utils.clock import Clock
from rattanpier._internal.utils.codec import decode, encode

log = structlog.get_logger(part="fleet")

# Between attempts to write or read rows. Entries are found by seeds as well.
RETRY_DELAY_S = 1.0
AVAILABILITY_POLL_S = 0.1  # Between checks whether the store is back.
# Between reads of the rows while no other entry is known.
REREAD_INTERVAL_S = 5.0


@attrs.define(eq=False, repr=False)
class EntryRows:
    """Writes this entry's row and reads those of the others.

    Attributes:
      store: Store that holds the rows.
      own_table: Table that holds the rows.
      fleet: Known states of all entries.
      clock: Source of time for delays.
      available: Returns whether this entry can reach the store. Calls during
        an outage are billed, and all entries may start during one.
      apply_held_row: Applies the row of a quarantined request; its second
        argument is the store's clock in ms.
      row_is_current: Whether the store already has a row with this entry's
        addresses.
    """

    store: RelayStore
    own_table: OwnTable
    fleet: Fleet
    clock: Clock
    available: Callable[[], bool]
    apply_held_row: Callable[[FeedRow, float], None]
    row_is_current: bool = False

    async def run(self) -> None:
        """Reads all rows and writes this entry's row unless it is current.

        Then keeps reading while no other entry is known: if two entries start
        at once and neither saw the other's row at first, one of them sees it
        this way.
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
        """Repeats a step until it succeeds, while the store is available."""
        await self.wait_for_store()
        while not await step():
            await self.clock.sleep(RETRY_DELAY_S)
            await self.wait_for_store()

    def is_alone(self) -> bool:
        """Returns whether no other live entry is known."""
        return len(self.fleet.live()) == 1

    async def wait_for_store(self) -> None:
        """Waits until the followers of the store got an answer."""
        while not self.available():
            await self.clock.sleep(AVAILABILITY_POLL_S)

    async def write(self) -> bool:
        """Writes this entry's row; returns whether the write is confirmed."""
        me = self.fleet.me
        put = RowPut(own_table.TABLE, me.member.name, encode(me).encode())
        outcome = await self.store.transact([], [put])
        if isinstance(outcome, WrittenAt):
            return True
        log.info("Own row not written.", outcome=repr(outcome))
        return False

    def find_lost_rows(self, page: Page) -> Iterator[LostRow]:
        """Yields rows of live entries that are missing from the table."""
        present_keys = {row.key for row in page.rows}
        for state in self.fleet.live():
            if state.member.name not in present_keys:
                yield LostRow(state.member.name, encode(state).encode())

    async def read_first(self) -> bool:
        """Applies the page read at the start; returns whether it succeeded."""
        return await self.read_and_apply(self.own_table.read_cached)

    async def read_again(self) -> bool:
        """Reads and applies all rows again; returns whether it succeeded."""
        return await self.read_and_apply(self.own_table.read)

    async def read_and_apply(self, read: Callable[[], Awaitable[Page]]) -> bool:
        """Reads and applies a page; returns whether the read succeeded."""
        try:
            page = await read()
        except StoreUnavailableError as error:
            # The outage itself is logged once, where it is detected.
            log.debug("Entries not read.", error=str(error))
            return False
        for row in rows_with_prefix(page, own_table.QUARANTINED_PREFIX):
            self.apply_held_row(row, page.now_ms)
        for row in filter(own_table.is_entry_row, page.rows):
            await self.apply_row(row)
        self.fleet.record_joined()
        return True

    async def apply_row(self, row: FeedRow) -> None:
        """Applies the row of an entry; removes it if it can't be decoded."""
        try:
            state = decode(EntryState, row.value)
        except UnreadableError as error:
            log.warning(
                "Entry row can't be decoded; removing it.",
                row=row.key,
                error=str(error),
            )
            check = RowCheck(own_table.TABLE, row.key)
            await self.store.transact([], [], [check])
            return
        if state.member.name == self.fleet.me.member.name:
            self.row_is_current = self.is_current(state.member)
        self.fleet.apply_state(state)

    def is_current(self, member: Member) -> bool:
        """Returns whether an earlier row of this entry is still valid.

        A row is valid if it differs at most in the incarnation. Peers that use
        it reach this entry and learn the new incarnation from it, so the row
        need not be rewritten at each start.
        """
        me = self.fleet.me.member
        return attrs.evolve(member, incarnation=me.incarnation) == me
