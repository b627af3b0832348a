"""Compaction of a shard's log, so that memory and recovery stay bounded.

A snapshot is taken at the moment a batch is made, when the book holds exactly
what the log will hold up to that batch. It is written beside the traffic. The
lease row then moves its `first` and `snapshot` on, together with the row that
names the bills of the span; only after that are log rows deleted.
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

COMPACT_BATCHES = 500  # Rows of a log before it is compacted.
MAX_RECALLED_COMPACTIONS = 64  # Earlier compactions that a new owner looks at.
MARKS_PER_RETENTION = 16  # Marks of time in one retention period.
RETRY_BATCHES = 50  # Batches until a compaction that failed is tried again.
TRIM_ROWS = 100  # Log rows deleted by one write.


@attrs.define
class PositionHistory:
    """Which log position was reached when; for retention only.

    Attributes:
      step_s: Seconds between marks.
      times: Times of the marks, rising.
      sequences: Log position at each.
    """

    step_s: float
    times: list[float] = attrs.Factory(list)
    sequences: list[int] = attrs.Factory(list)

    def add(self, time: float, sequence: int) -> None:
        """Notes a position, if the last mark is old enough."""
        if self.times and time < self.times[-1] + self.step_s:
            return
        self.times.append(time)
        self.sequences.append(sequence)

    def position_before(self, time: float) -> int:
        """Returns a position that was reached before a time; 0 if none."""
        index = bisect.bisect_right(self.times, time)
        return self.sequences[index - 1] if index else 0

    def forget(self, time: float) -> None:
        """Forgets marks older than a time, but for the last of them."""
        index = max(0, bisect.bisect_right(self.times, time) - 1)
        del self.times[:index]
        del self.sequences[:index]


@attrs.frozen
class ShardImage:
    """A shard's claims as they stood after a batch.

    Attributes:
      last: Log position of that batch.
      claims: The claims.
      forgotten: Those that are over and older than retention.
      old: Those that run since before that.
      time: When the batch was made.
    """

    last: int
    claims: Mapping[ClaimId, Claim]
    expired: Mapping[ClaimId, Claim]
    stale_running: Mapping[ClaimId, Claim]
    time: float


@attrs.frozen
class PreparedCompaction:
    """A compaction whose objects are written, ready to take effect.

    Attributes:
      image: What was compacted.
      previous_lease: The lease row that it follows.
      lease: The lease row that makes it take effect.
      puts: The rows to be written with it.
    """

    image: ShardImage
    previous_lease: ShardLease
    lease: ShardLease
    puts: list[Put]


@attrs.define
class Compactor:
    """Compacts one shard's log.

    Attributes:
      busy: True from the taking of an image until it took effect.
      not_before: Log position of the next try, after one that failed.
      ready: What is to take effect with the next write.
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
        """Returns an image if it is time; has to run with the batch's making.

        Args:
          batch: The batch being made.
          lease: The lease as it stands.
          claims: The book, with nothing in it behind this batch.
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
        """Writes an image's objects."""
        try:
            self.prepared = await self.write(image, lease)
        except StoreUnavailableError:
            # The log stays as it is; a later batch tries again.
            self.metrics.count("claims.retry.compaction")
            self.next_try_sequence = image.last + RETRY_BATCHES
            self.busy = False

    async def write(
        self, image: ShardImage, lease: ShardLease
    ) -> PreparedCompaction:
        """Writes the snapshot and the bills of an image."""
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
        """Deletes what a compaction that took effect made superfluous."""
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
        """Learns from earlier compactions which claims are how old.

        Raises:
          StoreUnavailableError: Their rows can't be read.
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
        """Deletes log rows in front of a position."""
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
    """Returns the claims that are over, and those that run."""
    ended: dict[ClaimId, Claim] = {}
    running: dict[ClaimId, Claim] = {}
    for claim_id, claim in claims.items():
        runs = claim.result is ClaimResult.RUNNING
        (running if runs else ended)[claim_id] = claim
    return ended, running
