"""Exports all bills exactly once for `rattanpier bills`.

Bills are read only from durable storage: the objects written by compaction
and the log rows that follow them. Entries are not queried, so no later fault
can revoke an exported bill.
"""

from __future__ import annotations

from collections.abc import AsyncIterator, Mapping

import attrs

from rattanpier._internal.claims.records import ShardLease, lease_key
from rattanpier._internal.claims.snapshot import (
    BilledClaim,
    BillFile,
    bill_file_prefix,
    read_bills,
)
from rattanpier._internal.claims.takeover import recover
from rattanpier._internal.exceptions import StoreUnavailableError
from rattanpier._internal.store.objects import Objects, TableObjects
from rattanpier._internal.store.table import Row, Table, scan_all
from rattanpier._internal.utils.codec import decode

LEASE_PREFIX = "shard/"


@attrs.frozen
class ShardBills:
    """A consistent view of the bills of a shard.

    Attributes:
      files: Bill objects written by compaction, in order.
      tail: Bills that are still in the log.
    """

    files: list[BillFile]
    tail: list[BilledClaim]


async def export_bills(
    table: Table,
    objects: Objects | None = None,
    after: Mapping[int, int] | None = None,
) -> AsyncIterator[BilledClaim]:
    """Yields every bill exactly once, shard by shard, in log order.

    Args:
      table: The table service.
      objects: Object store that compaction writes bills to; the table if
        None.
      after: Last log position already exported, by shard.

    Raises:
      StoreUnavailableError: The store did not answer. Bills yielded so far
        are valid; pass their positions as `after` to resume.
    """
    objects = objects or TableObjects(table)
    for row in await scan_all(table, LEASE_PREFIX):
        shard = int(row.key.removeprefix(LEASE_PREFIX))
        start = (after or {}).get(shard, 0)
        found = await read_shard(table, objects, shard, row)
        for file in found.files:
            if not file.name or file.last <= start:
                continue
            for billed in sort_by_sequence(
                await read_bills(objects, file.name)
            ):
                if billed.sequence > start:
                    yield billed
        for billed in sort_by_sequence(found.tail):
            if billed.sequence > start:
                yield billed


def sort_by_sequence(bills: list[BilledClaim]) -> list[BilledClaim]:
    """Returns bills in log order."""
    return sorted(bills, key=lambda billed: billed.sequence)


async def read_shard(
    table: Table, objects: Objects, shard: int, row: Row
) -> ShardBills:
    """Reads the bills of a shard; retries if it was compacted meanwhile.

    Raises:
      StoreUnavailableError: The store did not answer.
    """
    while True:
        lease = decode(ShardLease, row.value)
        try:
            rows = await scan_all(table, bill_file_prefix(shard))
            book, _ = await recover(table, shard, objects)
            failure = None
        except StoreUnavailableError as error:
            # Compaction may have replaced the snapshot during the read.
            failure = error
        again = await table.get(lease_key(shard))
        assert again is not None, "a shard's lease row is never deleted"
        if decode(ShardLease, again.value).first == lease.first:
            break
        row = again
    if failure is not None:
        raise failure
    files = [decode(BillFile, found.value) for found in rows]
    tail = [
        BilledClaim(shard, claim.sequence, claim.bill)
        for claim in book.claims.values()
        if claim.bill is not None and claim.sequence >= lease.first
    ]
    return ShardBills(files, tail)
