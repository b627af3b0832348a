"""The system's own table in the store, read once during start-up.

Calls to the store are billed, and most of them are made by starting entries. So
the rows of entries, quarantined requests, roll-out records and the checkpoint
of the operators' table are kept in one table, which one call reads.
"""

from __future__ import annotations

import asyncio

import attrs

from rattanpier._internal.models.feed import FeedRow, Page
from rattanpier._internal.relay.store import RelayStore
from rattanpier._internal.utils.clock import Clock

TABLE = "entries"
# The prefix of a key gives the kind of its row. Keys of entries have no prefix.
QUARANTINED_PREFIX = "held/"
ROLLOUT_PREFIX = "rollout/"
CHECKPOINT_PREFIX = "checkpoint/"
# Start-up requests the table several times within a short time.
CACHE_TTL_S = 2.0


@attrs.define(eq=False, repr=False)
class OwnTable:
    """Reads the table, with a short-lived cache for start-up.

    Attributes:
      store: Where the table is read.
      clock: Monotonic clock.
      lock: Makes concurrent callers wait for and share one read.
      page: Result of the last cached read, None before.
      read_at: When that read was requested, in monotonic seconds.
    """

    store: RelayStore
    clock: Clock
    lock: asyncio.Lock = attrs.Factory(asyncio.Lock)
    page: Page | None = None
    read_at: float = float("-inf")

    async def read(self) -> Page:
        """Reads all rows, bypassing the cache.

        Raises:
          StoreUnavailableError: The store did not answer in time.
        """
        return await self.store.scan(TABLE)

    async def read_cached(self) -> Page:
        """Returns all rows, cached if they were read within `CACHE_TTL_S`.

        Raises:
          StoreUnavailableError: The store did not answer in time.
        """
        async with self.lock:
            now = self.clock.monotonic()
            if self.page is None or now - self.read_at > CACHE_TTL_S:
                self.page = await self.read()
                self.read_at = now
            return self.page


def rows_with_prefix(page: Page, prefix: str) -> list[FeedRow]:
    """Returns the rows whose keys have a prefix, without it in the keys.

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
    """Returns whether a row is that of an entry."""
    return not row.key.startswith(
        (QUARANTINED_PREFIX, ROLLOUT_PREFIX, CHECKPOINT_PREFIX)
    )
