"""Requests for changes of the directory, which its writer applies."""

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
    """Returns requested presences that are not in the directory yet.

    Raises:
      StoreUnavailableError: The requests can't be read.
    """
    rows = await scan_all(table, REQUEST_PREFIX)
    return [decode(Presence, row.value) for row in rows]


async def write_requests(
    table: Table, presences: list[Presence]
) -> WriteOutcome:
    """Writes requests for changes; the write is idempotent."""
    puts = [
        Put(request_key(presence), encode(presence)) for presence in presences
    ]
    return await table.transact(Transaction(puts=puts))


@attrs.define
class DirectoryRequests:
    """Requests of one process to the directory's writer.

    Attributes:
      pending: Presences not yet written to the store, by request key.
    """

    table: Table
    pending: dict[str, Presence] = attrs.Factory(dict)

    def add(self, presence: Presence) -> None:
        """Adds a request to record a presence."""
        self.pending[request_key(presence)] = presence

    async def write(self) -> None:
        """Writes pending requests; those not confirmed stay pending."""
        pending = dict(self.pending)
        if not pending:
            return
        outcome = await write_requests(self.table, list(pending.values()))
        if isinstance(outcome, Committed):
            for key, presence in pending.items():
                if self.pending.get(key) == presence:
                    del self.pending[key]
