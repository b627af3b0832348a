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
class DirectoryRequests:
    """What one process has to ask the directory's writer for.

    Attributes:
      pending: Presences that the store does not have yet, by request key.
    """

    table: Table
    pending: dict[str, Presence] = attrs.Factory(dict)

    def add(self, presence: Presence) -> None:
        """Sees to it that the directory gets a presence."""
        self.pending[request_key(presence)] = presence

    async def write(self) -> None:
        """Writes what waits; what is not surely written keeps waiting."""
        pending = dict(self.pending)
        if not pending:
            return
        outcome = await write_requests(self.table, list(pending.values()))
        if isinstance(outcome, Committed):
            for key, presence in pending.items():
                if self.pending.get(key) == presence:
                    del self.pending[key]
