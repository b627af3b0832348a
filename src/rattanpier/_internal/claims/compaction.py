"""Compaction of a shard's log, which bounds memory and recovery time.

The claims are copied when a batch is created: at that moment the book holds
exactly what the log will hold up to that batch. The snapshot is written in the
background. One transaction then advances `first` and `snapshot` of the lease
row and adds the row that names the bill object of the compacted range. Log rows
are deleted only after that.
"""

from __future__ import annotations

import bisect
from collections.abc import Mapping

import attrs
import structlog

from rattanpier._internal.claims.book import Claim, ClaimId
from rattanpier._internal.claims.records import (
    Batch,
    ClaimResult,
    ShardLease,
    log_key,
    log_prefix,
)
from rattanpier._internal.claims.snapshot import (
    BilledClaim,
    BillFile,
    bill_file_key,
    bill_file_prefix,
    encode_lines,
    write_claims,
)
from rattanpier._internal.exceptions import StoreUnavailableError
from rattanpier._internal.store.objects import Objects
from rattanpier._internal.store.table import (
    Put,
    Table,
    Transaction,
    scan_all,
)
from rattanpier._internal.utils.codec import decode, encode
from rattanpier._internal.utils.metrics import Metrics

log = structlog.get_logger(part="claims")

COMPACT_BATCHES = 500  # Log rows that start a compaction.
MAX_RECALLED_COMPACTIONS = 64  # Compactions read by a new owner.
MARKS_PER_RETENTION = 16  # Recorded positions per period.
RETRY_BATCHES = 50  # Batches before a failed compaction is retried.
TRIM_ROWS = 100  # Log rows deleted in one transaction.


@attrs.define
class PositionHistory:
    """Log positions by time, sampled at an interval; for retention only.

    Attributes:
      step_s: Minimum interval between samples, in seconds.
      times: Wall-clock times of the samples in ascending order, in seconds.
      sequences: Log position at each time.
    """

    step_s: float
    times: list[float] = attrs.Factory(list)
    sequences: list[int] = attrs.Factory(list)

    def add(self, time: float, sequence: int) -> None:
        """Adds a sample if the last one is at least `step_s` old."""
        if self.times and time < self.times[-1] + self.step_s:
            return
        self.times.append(time)
        self.sequences.append(sequence)

    def position_before(self, time: float) -> int:
        """Returns the latest position known at a time; 0 if there is none."""
        index = bisect.bisect_right(self.times, time)
        return self.sequences[index - 1] if index else 0

    def forget(self, time: float) -> None:
        """Removes samples older than a time, except the latest of them."""
        index = max(0, bisect.bisect_right(self.times, time) - 1)
        del self.times[:index]
        del self.sequences[:index]


@attrs.frozen
class ShardImage:
    """Copy of a shard's claims after a batch.

    Attributes:
      last: Log position of that batch.
      claims: All claims.
      expired: Settled claims that are older than the retention period.
      stale_running: Running claims that are older than the retention period.
      time: Wall-clock time at which the batch was created, in seconds.
    """

    last: int
    claims: Mapping[ClaimId, Claim]
    expired: Mapping[ClaimId, Claim]
    stale_running: Mapping[ClaimId, Claim]
    time: float


@attrs.frozen
class PreparedCompaction:
    """Compaction whose objects are written but that is not yet committed.

    Attributes:
      image: Claims that were compacted.
      previous_lease: Lease that the compaction replaces.
      lease: Lease whose write commits the compaction.
      puts: Rows to be written in the same transaction.
    """

    image: ShardImage
    previous_lease: ShardLease
    lease: ShardLease
    puts: list[Put]


@attrs.define
class Compactor:
    """Compacts one shard's log.

    Attributes:
      shard: Shard number.
      table: Table service with the log.
      objects: Object store for snapshots and bills.
      metrics: Counts compactions and retries.
      retention_s: Seconds for which settled claims are kept.
      compact_after_batches: Log rows that start a compaction.
      history: Log positions by time.
      busy: True from the copy of the claims until the replaced data is
        deleted, or until a failure.
      next_try_sequence: First log position of a retry after a failure.
      prepared: Compaction to be committed after the next batch, or None.
    """

    shard: int
    table: Table
    objects: Objects
    metrics: Metrics
    retention_s: float
    compact_after_batches: int = COMPACT_BATCHES
    history: PositionHistory = attrs.field(
        default=attrs.Factory(
            lambda self: PositionHistory(
                self.retention_s / MARKS_PER_RETENTION
            ),
            takes_self=True,
        )
    )
    busy: bool = False
    next_try_sequence: int = 0
    prepared: PreparedCompaction | None = None

    def capture(
        self, batch: Batch, lease: ShardLease, claims: Mapping[ClaimId, Claim]
    ) -> ShardImage | None:
        """Copies the claims if a compaction is due.

        It has to run when the batch is created, before later operations are
        applied.

        Args:
          batch: The batch that was just created.
          lease: Current lease.
          claims: Claims with all operations up to this batch, and none after.

        Returns:
          The copy, or None if no compaction is due.
        """
        self.history.add(batch.time, batch.sequence)
        if self.busy or batch.sequence < self.next_try_sequence:
            return None
        if batch.sequence - lease.first + 1 < self.compact_after_batches:
            return None
        self.busy = True
        limit = self.history.position_before(batch.time - self.retention_s)
        self.history.forget(batch.time - 2 * self.retention_s)
        unchanged = {
            claim_id: claim
            for claim_id, claim in claims.items()
            if claim.sequence <= limit
        }
        ended, stale_running = split_running(unchanged)
        return ShardImage(
            batch.sequence, dict(claims), ended, stale_running, batch.time
        )

    async def prepare(self, image: ShardImage, lease: ShardLease) -> None:
        """Writes the objects of a compaction; schedules a retry on failure."""
        try:
            self.prepared = await self.write(image, lease)
        except StoreUnavailableError:
            # The log is unchanged; a later batch starts another compaction.
            self.metrics.count("claims.retry.compaction")
            self.next_try_sequence = image.last + RETRY_BATCHES
            self.busy = False

    async def write(
        self, image: ShardImage, lease: ShardLease
    ) -> PreparedCompaction:
        """Writes the snapshot and the bills.

        Raises:
          StoreUnavailableError: It is not certain that they were written.
        """
        suffix = f"{self.shard:04d}/{image.last:012d}-{lease.epoch}"
        retained = {
            claim_id: claim
            for claim_id, claim in image.claims.items()
            if claim_id not in image.expired
        }
        snapshot = f"snapshots/{suffix}"
        await write_claims(self.objects, snapshot, retained)
        billed = [
            BilledClaim(self.shard, claim.sequence, claim.bill)
            for claim in image.claims.values()
            if claim.bill is not None and claim.sequence >= lease.first
        ]
        name = f"bills/{suffix}" if billed else ""
        if billed:
            await self.objects.put(name, await encode_lines(billed))
        file = BillFile(lease.first, image.last, name, len(billed), image.time)
        new_lease = attrs.evolve(lease, first=image.last + 1, snapshot=snapshot)
        key = bill_file_key(self.shard, image.last)
        return PreparedCompaction(
            image, lease, new_lease, [Put(key, encode(file))]
        )

    async def finish(self, done: PreparedCompaction) -> None:
        """Deletes the data that a committed compaction replaced."""
        self.prepared = None
        try:
            await self.trim(done.lease.first)
            if done.previous_lease.snapshot:
                await self.objects.delete(done.previous_lease.snapshot)
        except StoreUnavailableError:
            self.metrics.count("claims.retry.trim")
        self.busy = False
        self.metrics.count("claims.compacted")

    async def load_history(self, lease: ShardLease) -> None:
        """Loads the times of log positions from earlier compactions.

        Without them a new owner would not know the age of claims.

        Raises:
          StoreUnavailableError: The rows can't be read.
        """
        start = max(
            0,
            lease.first
            - 1
            - MAX_RECALLED_COMPACTIONS * self.compact_after_batches,
        )
        after_key = bill_file_key(self.shard, start)
        prefix = bill_file_prefix(self.shard)
        for row in await scan_all(self.table, prefix, after_key):
            file = decode(BillFile, row.value)
            self.history.add(file.time, file.last)

    async def trim(self, first: int) -> None:
        """Deletes the log rows before a position."""
        end = log_key(self.shard, first)
        while True:
            rows = await self.table.scan(log_prefix(self.shard), "", TRIM_ROWS)
            keys = [row.key for row in rows if row.key < end]
            if keys:
                await self.table.transact(Transaction(deletes=keys))
            if len(keys) < TRIM_ROWS:
                return


def split_running(
    claims: Mapping[ClaimId, Claim],
) -> tuple[dict[ClaimId, Claim], dict[ClaimId, Claim]]:
    """Returns the settled claims and the running claims."""
    ended: dict[ClaimId, Claim] = {}
    running: dict[ClaimId, Claim] = {}
    for claim_id, claim in claims.items():
        runs = claim.result is ClaimResult.RUNNING
        (running if runs else ended)[claim_id] = claim
    return ended, running
