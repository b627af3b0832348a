"""Rows by which entries find each other.

An entry writes its row at its start and reads those of the others; from then
on they talk directly. The row outlives the entry: one that is stale costs the
others a call now and then.
"""

from __future__ import annotations

from collections.abc import Callable

import attrs
import structlog

from rattanpier._internal.exceptions import (
    StoreUnavailableError,
    UnreadableError,
)
from rattanpier._internal.models.feed import (
    FeedRow,
    RowCheck,
    RowPut,
    WrittenAt,
)
from rattanpier._internal.relay import checkpoints, held_rows
from rattanpier._internal.relay.checkpoints import Checkpoint
from rattanpier._internal.relay.fleet import Fleet, MemberNews
from rattanpier._internal.relay.store import RelayStore
from rattanpier._internal.utils.clock import Clock
from rattanpier._internal.utils.codec import decode, encode

log = structlog.get_logger(part="fleet")

TABLE = "entries"
# Until the row is written; seeds lead to the others as well.
RETRY_S = 1.0
POLL_S = 0.1  # Between looks at whether the store is back.
# An entry that knows no other looks for them this often.
REREAD_S = 5.0


@attrs.define(eq=False, repr=False)
class EntryRows:
    """Writes this entry's row and reads the others'.

    One call reads what else is kept beside them.

    Attributes:
      available: Whether this entry reaches the store. Calls in an outage are
        paid for, and all entries may start in one.
      take_held: Takes in the row of a held request, and the store's clock in
        ms.
      checkpoint: The newest one that was read.
    """

    store: RelayStore
    fleet: Fleet
    clock: Clock
    available: Callable[[], bool]
    take_held: Callable[[FeedRow, float], None]
    checkpoint: Checkpoint | None = None

    async def run(self) -> None:
        """Writes the row; reads all again while no other entry is known.

        Of two that start at once one sees the other's row so, if neither saw
        any at its first reading.
        """
        await self.store_is_there()
        while not await self.write():
            await self.clock.sleep(RETRY_S)
            await self.store_is_there()
        while self.is_alone() and not await self.read_again():
            await self.clock.sleep(RETRY_S)
            await self.store_is_there()
        while True:
            await self.clock.sleep(REREAD_S)
            if self.is_alone():
                await self.read_again()

    def is_alone(self) -> bool:
        """Says whether no other entry is known to live."""
        return len(self.fleet.live()) == 1

    async def store_is_there(self) -> None:
        """Waits until those who follow the store were answered."""
        while not self.available():
            await self.clock.sleep(POLL_S)

    async def write(self) -> bool:
        """Writes this entry's row; says whether it surely stands."""
        me = self.fleet.me
        put = RowPut(TABLE, me.member.name, encode(me).encode())
        outcome = await self.store.transact([], [put])
        if isinstance(outcome, WrittenAt):
            return True
        log.info("Own row not written.", outcome=repr(outcome))
        return False

    async def read_again(self) -> bool:
        """Reads all rows; says whether that worked."""
        try:
            await self.read()
        except StoreUnavailableError as error:
            # The loss of the store is told once, where it is noticed.
            log.debug("Entries not read.", error=str(error))
            return False
        return True

    async def read_checkpoint(self) -> Checkpoint | None:
        """Reads all rows, and returns the checkpoint among them.

        Raises:
          StoreUnavailableError: No answer in time.
        """
        await self.read()
        return self.checkpoint

    async def read(self) -> None:
        """Reads all rows.

        Raises:
          StoreUnavailableError: No answer in time.
        """
        page = await self.store.scan(TABLE)
        for row in page.rows:
            if row.key.startswith(held_rows.PREFIX):
                self.take_held(row, page.now_ms)
                continue
            if row.key.startswith(checkpoints.PREFIX):
                self.checkpoint = checkpoints.read_checkpoint(row)
                continue
            try:
                self.fleet.take(decode(MemberNews, row.value))
            except UnreadableError as error:
                log.warning(
                    "Entry's row can't be read.", row=row.key, error=str(error)
                )
                await self.store.transact([], [], [RowCheck(TABLE, row.key)])
