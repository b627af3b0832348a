"""Requests for changes of the directory, until its writer takes them in."""

from __future__ import annotations

import attrs

from rattanpier._internal.membership.records import (
    REQUEST_PREFIX,
    Presence,
    request_key,
)
from rattanpier._internal.models.outcomes import Committed, WriteOutcome
from rattanpier._internal.store.table import (
    Put,
    Table,
    Transaction,
    scan_all,
)
from rattanpier._internal.utils.codec import decode, encode


async def read_requests(table: Table) -> list[Presence]:
    """Returns what was asked for and is not in the directory yet.

    Raises:
      StoreUnavailableError: It can't be read.
    """
    rows = await scan_all(table, REQUEST_PREFIX)
    return [decode(Presence, row.value) for row in rows]


async def write_requests(
    table: Table, presences: list[Presence]
) -> WriteOutcome:
    """Asks for changes; repeating it is harmless."""
    puts = [
        Put(request_key(presence), encode(presence)) for presence in presences
    ]
    return await table.transact(Transaction(puts=puts))


@attrs.define
class Requests:
    """What one process has to ask the directory's writer for.

    Attributes:
      waiting: Presences that the store does not have yet, by request key.
    """

    table: Table
    waiting: dict[str, Presence] = attrs.Factory(dict)

    def add(self, presence: Presence) -> None:
        """Sees to it that the directory gets a presence."""
        self.waiting[request_key(presence)] = presence

    async def write(self) -> None:
        """Writes what waits; what is not surely written keeps waiting."""
        waiting = dict(self.waiting)
        if not waiting:
            return
        outcome = await write_requests(self.table, list(waiting.values()))
        if isinstance(outcome, Committed):
            for key, presence in waiting.items():
                if self.waiting.get(key) == presence:
                    del self.waiting[key]
