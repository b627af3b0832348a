"""The system's own table, read once by a start for all that keep rows there.

Calls to the store are paid for, and most of them are made by starts. Entries'
rows, held requests, roll-outs' records and the checkpoint of the operators'
table stand in one table, so that one call reads them all.
"""

from __future__ import annotations

import asyncio

import attrs

from rattanpier._internal.models.feed import FeedRow, Page
from rattanpier._internal.relay.store import RelayStore
from rattanpier._internal.utils.clock import Clock

TABLE = "entries"
# What a key begins with says what its row is; entries' names begin with none.
QUARANTINED_PREFIX = "held/"
ROLLOUT_PREFIX = "rollout/"
CHECKPOINT_PREFIX = "checkpoint/"
# A start asks for the first reading several times within a moment.
CACHE_TTL_S = 2.0


@attrs.define(eq=False, repr=False)
class OwnTable:
    """Reads the table.

    Attributes:
      lock: So that a reading under way is waited for.
      page: The last reading.
      read_at: When it was asked for, in monotonic seconds.
    """

    store: RelayStore
    clock: Clock
    lock: asyncio.Lock = attrs.Factory(asyncio.Lock)
    page: Page | None = None
    read_at: float = float("-inf")

    async def read(self) -> Page:
        """Reads all rows.

        Raises:
          StoreUnavailableError: No answer in time.
        """
        return await self.store.scan(TABLE)

    async def read_cached(self) -> Page:
        """Returns all rows, as others asked for them just now, or reads them.

        Raises:
          StoreUnavailableError: No answer in time.
        """
        async with self.lock:
            now = self.clock.monotonic()
            if self.page is None or now - self.read_at > CACHE_TTL_S:
                self.page = await self.read()
                self.read_at = now
            return self.page


def rows_with_prefix(page: Page, prefix: str) -> list[FeedRow]:
    """Returns the rows of a kind, their keys without the prefix.

    >>> from rattanpier._internal.models.revision import Revision
    >>> rows = [FeedRow(key, b"", Revision()) for key in ("e1", "held/x")]
    >>> page = Page(rows, Revision(), 0.0, whole=True)
    >>> [row.key for row in rows_with_prefix(page, QUARANTINED_PREFIX)]
    ['x']
    """
    return [
        attrs.evolve(row, key=row.key.removeprefix(prefix))
        for row in page.rows
        if row.key.startswith(prefix)
    ]


def is_entry_row(row: FeedRow) -> bool:
    """Says whether a row is an entry's."""
    return not row.key.startswith(
        (QUARANTINED_PREFIX, ROLLOUT_PREFIX, CHECKPOINT_PREFIX)
    )
