"""Takeover of a shard: acquires its lease, then reads its log.

The order matters: with the lease acquired, no earlier owner can add to the log.
"""

from __future__ import annotations

import attrs

from rattanpier._internal.claims.book import ClaimBook
from rattanpier._internal.claims.records import (
    Batch,
    ShardLease,
    lease_key,
    log_key,
    log_prefix,
)
from rattanpier._internal.claims.snapshot import read_claims
from rattanpier._internal.exceptions import StoreUnavailableError
from rattanpier._internal.models.outcomes import NotRun
from rattanpier._internal.store.objects import Objects, TableObjects
from rattanpier._internal.store.table import (
    ABSENT,
    Check,
    Put,
    Row,
    Table,
    Transaction,
    scan_all,
)
from rattanpier._internal.utils.codec import decode, encode


def next_lease(row: Row | None, owner: str, incarnation: str) -> ShardLease:
    """Returns the lease of a new owner, with the next epoch."""
    if row is None:
        return ShardLease(owner, incarnation, epoch=1)
    present = decode(ShardLease, row.value)
    return attrs.evolve(
        present,
        owner=owner,
        incarnation=incarnation,
        epoch=present.epoch + 1,
    )


async def acquire(
    table: Table, shard: int, row: Row | None, owner: str, incarnation: str
) -> tuple[ShardLease, int] | None:
    """Acquires a shard from the owner named in its lease row.

    Args:
      table: The table service.
      shard: Shard number.
      row: Lease row as last read, or None if there is none.
      owner: Member name of the new owner.
      incarnation: Incarnation of the new owner.

    Returns:
      The lease and the version of its row, or None if the lease was not
      acquired.
    """
    lease = next_lease(row, owner, incarnation)
    version = row.version if row else ABSENT
    key = lease_key(shard)
    outcome = await table.transact(
        Transaction([Check(key, version)], [Put(key, encode(lease))])
    )
    if isinstance(outcome, NotRun):
        return None
    # Reading the row returns its new version, and the result of the write
    # even if its reply was lost.
    try:
        present = await table.get(key)
    except StoreUnavailableError:
        return None
    if present is None or decode(ShardLease, present.value) != lease:
        return None
    return lease, present.version


async def recover(
    table: Table, shard: int, objects: Objects | None = None
) -> tuple[ClaimBook, int]:
    """Reads a shard's snapshot and log.

    Args:
      table: The table service.
      shard: Shard number. The caller must already hold the lease, so that no
        earlier owner can add to the log.
      objects: Object store with the snapshots; the table if None.

    Returns:
      The claims and the next log position.

    Raises:
      StoreUnavailableError: The log or the snapshot can't be read.
    """
    row = await table.get(lease_key(shard))
    first, snapshot = 1, ""
    if row is not None:
        lease = decode(ShardLease, row.value)
        first, snapshot = lease.first, lease.snapshot
    book = ClaimBook()
    if snapshot:
        book = await read_claims(objects or TableObjects(table), snapshot)
    sequence = first - 1
    after_key = log_key(shard, sequence)
    for found in await scan_all(table, log_prefix(shard), after_key):
        batch = decode(Batch, found.value)
        if batch.sequence != sequence + 1:
            raise StoreUnavailableError(f"log of shard {shard} has a gap")
        book.apply_batch(batch)
        sequence = batch.sequence
    return book, sequence + 1
