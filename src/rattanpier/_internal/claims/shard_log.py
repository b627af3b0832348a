"""Fenced writes to the log and the lease row of one shard.

All operations of a batch become durable in one conditional write, on condition
that the lease row is unchanged and the log position is still empty. So an
owner whose lease was taken over can't write to the log.
"""

from __future__ import annotations

import enum

import attrs

from rattanpier._internal.claims.records import (
    Batch,
    ShardLease,
    lease_key,
    log_key,
)
from rattanpier._internal.exceptions import StoreUnavailableError
from rattanpier._internal.models.outcomes import (
    Committed,
    Conflict,
    NotRun,
    Uncertain,
)
from rattanpier._internal.store.table import (
    ABSENT,
    Check,
    Put,
    Row,
    Table,
    Transaction,
)
from rattanpier._internal.utils.clock import Clock
from rattanpier._internal.utils.codec import decode, encode
from rattanpier._internal.utils.metrics import Metrics


class FlushResult(enum.Enum):
    """Result of a write of a batch."""

    DURABLE = "durable"
    EPOCH_LOST = "epoch_lost"
    STORE_DOWN = "store_down"  # Not written or uncertain; to be retried.


@attrs.define
class ShardLog:
    """Writes batches under one lease and determines their results.

    Attributes:
      shard: Shard number.
      lease: Content of the lease row, as written by this process.
      lease_version: Version of the lease row.
      table: Table service.
      clock: Source of time.
      metrics: Counts reads after uncertain writes.
    """

    shard: int
    lease: ShardLease
    lease_version: int
    table: Table
    clock: Clock
    metrics: Metrics

    async def write_once(self, batch: Batch) -> FlushResult:
        """Tries once to write a batch and determines the result."""
        key = log_key(self.shard, batch.sequence)
        outcome = await self.table.transact(
            Transaction(
                [
                    Check(lease_key(self.shard), self.lease_version),
                    Check(key, ABSENT),
                ],
                [Put(key, encode(batch))],
            )
        )
        match outcome:
            case Committed():
                return FlushResult.DURABLE
            case NotRun():
                return FlushResult.STORE_DOWN
            case Conflict() | Uncertain():
                return await self.read_back(batch)

    async def read_back(self, batch: Batch) -> FlushResult:
        """Determines the result of an uncertain write by reading the rows."""
        self.metrics.count("claims.retry.read_back")
        try:
            row = await self.table.get(log_key(self.shard, batch.sequence))
            lease = await self.table.get(lease_key(self.shard))
        except StoreUnavailableError:
            return FlushResult.STORE_DOWN
        if row is not None and decode(Batch, row.value) == batch:
            return FlushResult.DURABLE
        if not self.holds_lease(lease):
            return FlushResult.EPOCH_LOST
        # The batch is missing, but a delayed write may still arrive. The same
        # batch has to be written again at the same position.
        return FlushResult.STORE_DOWN

    def holds_lease(self, row: Row | None) -> bool:
        """Returns whether a lease row is still this owner's.

        Only this owner writes a lease with its epoch and incarnation. A newer
        version with both unchanged therefore comes from its own compaction; the
        known lease and version are updated from it.
        """
        if row is None:
            return False
        if row.version == self.lease_version:
            return True
        lease = decode(ShardLease, row.value)
        mine = (self.lease.epoch, self.lease.owner, self.lease.incarnation)
        if (lease.epoch, lease.owner, lease.incarnation) != mine:
            return False
        self.lease, self.lease_version = lease, row.version
        return True

    async def replace_lease(self, lease: ShardLease, puts: list[Put]) -> None:
        """Tries to replace the lease row and to write other rows, atomically.

        The result is not returned; it shows when the lease row is next read.

        Args:
          lease: New content, with the same epoch and incarnation.
          puts: Rows to be written in the same transaction.
        """
        key = lease_key(self.shard)
        await self.table.transact(
            Transaction(
                [Check(key, self.lease_version)],
                [Put(key, encode(lease)), *puts],
            )
        )
