"""The lease row and the log of one shard, as its owner writes them.

All claims of a batch become certain by one conditional write: "this epoch's
lease row is unchanged, and this log position is still empty".
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
    """What became of a batch."""

    DURABLE = "durable"
    EPOCH_LOST = "epoch_lost"
    STORE_DOWN = "store_down"  # Not written, or not known; tried again.


@attrs.define
class ShardLog:
    """Writes batches under one lease and finds out what became of them.

    Attributes:
      shard: Its number.
      lease: The lease row's content, as this process wrote it.
      lease_version: The lease row's version.
    """

    shard: int
    lease: ShardLease
    lease_version: int
    table: Table
    clock: Clock
    metrics: Metrics

    async def write_once(self, batch: Batch) -> FlushResult:
        """Tries to write a batch and finds out what became of it."""
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
        """Reads the log position of a batch whose write is in doubt."""
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
        # Not there yet, but a delayed write may still arrive: the same batch
        # has to be written again at the same position.
        return FlushResult.STORE_DOWN

    def holds_lease(self, row: Row | None) -> bool:
        """Says whether a lease row is this owner's; follows its version.

        Only this owner writes a lease with its epoch and incarnation, so a
        version that rose under them is its own compaction.
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
        """Tries to write the lease row anew, together with other rows.

        What became of it shows when the row is next read.

        Args:
          lease: Its new content, of the same epoch and incarnation.
          puts: Rows that have to be written with it or not at all.
        """
        key = lease_key(self.shard)
        await self.table.transact(
            Transaction(
                [Check(key, self.lease_version)],
                [Put(key, encode(lease)), *puts],
            )
        )
