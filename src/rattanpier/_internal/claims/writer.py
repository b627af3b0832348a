"""Group commit for one shard: operations become durable in batches.

A write with an uncertain result is never abandoned. The same batch is written
again at the same position until it is known to be durable, or the epoch is
known to be lost.
"""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Callable, Coroutine, Mapping
from typing import Any

import attrs
import structlog

from rattanpier._internal.claims.book import Claim, ClaimBook, ClaimId, Decision
from rattanpier._internal.claims.compaction import Compactor, PreparedCompaction
from rattanpier._internal.claims.outage import Outage
from rattanpier._internal.claims.pending import (
    OpenBatch,
    Waiter,
    op_size_bytes,
    outage_reply,
    release_op,
)
from rattanpier._internal.claims.records import (
    Batch,
    ClaimOp,
    ClaimResult,
    SettleOp,
    lease_key,
)
from rattanpier._internal.claims.shard_log import FlushResult, ShardLog
from rattanpier._internal.exceptions import StoreUnavailableError
from rattanpier._internal.models.outcomes import ClaimOutcome, SettleOutcome

log = structlog.get_logger(part="claims")

RETRY_INTERVAL_S = 0.2  # Between writes of a batch while the store is down.
MAX_BATCH_BYTES = 256 * 1024  # Approximate limit for one log row.
CLOSE_POLL_INTERVAL_S = 0.01
CLOSE_TIMEOUT_S = 3.0  # Afterwards the shard is given up as on a crash.


@attrs.define
class BatchWriter(ShardLog):
    """Queues operations and writes them while this process owns the shard.

    Attributes:
      alive: Returns whether a holder, "name/incarnation/…", may still run.
      interval_s: Seconds between two batches.
      outage: Replicates bills to peers while the store is down.
      book: Claims, including changes that are not yet durable.
      next_sequence: Log position of the next batch.
      durable_sequence: Log position of the last batch known to be written.
      lost: True once another owner is known or has to be assumed.
      closing: True once new calls are refused for a handover.
      store_down: True while the result of the last write is not known.
      open_batches: Batches not yet written; operations go to the last one.
      in_flight: Batch being written, or None.
      compactor: Compacts the log, or None.
      background_tasks: Running tasks of the compactor.
      wake: Set when there is something to write.
    """

    alive: Callable[[str], bool]
    interval_s: float
    outage: Outage = attrs.Factory(Outage)
    book: ClaimBook = attrs.Factory(ClaimBook)
    next_sequence: int = 1
    durable_sequence: int = attrs.field(
        default=attrs.Factory(
            lambda self: self.next_sequence - 1, takes_self=True
        )
    )
    lost: bool = False
    closing: bool = False
    store_down: bool = False
    open_batches: collections.deque[OpenBatch] = attrs.Factory(
        collections.deque
    )
    in_flight: OpenBatch | None = None
    compactor: Compactor | None = None
    background_tasks: set[asyncio.Task] = attrs.Factory(set)
    wake: asyncio.Event = attrs.Factory(asyncio.Event)

    @property
    def not_serving(self) -> bool:
        """Whether callers have to find another owner."""
        return self.lost or self.closing

    @property
    def store_unavailable(self) -> bool:
        """Whether no operation can become durable now."""
        return self.store_down or self.outage.confirmed

    # Queue.

    def enqueue(self, op: ClaimOp | SettleOp | None) -> OpenBatch:
        """Queues an operation.

        Args:
          op: The operation, or None to wait for those queued before.

        Returns:
          The last batch, which has to be written first.
        """
        if not self.open_batches or (
            op and self.open_batches[-1].size_bytes >= MAX_BATCH_BYTES
        ):
            self.open_batches.append(OpenBatch())
        batch = self.open_batches[-1]
        if op is not None:
            sequence = self.next_sequence + len(self.open_batches) - 1
            self.book.apply(op, sequence)
            batch.ops.append(op)
            batch.size_bytes += op_size_bytes(op)
        self.wake.set()
        return batch

    async def submit(self, decision: Decision) -> Decision | None:
        """Waits until a decision and all that it depends on are durable.

        Returns:
          The decision, or the reply for an outage, or None if the epoch was
          lost.
        """
        if self.not_serving:
            return None
        if self.is_final(decision):
            return decision
        waiter = Waiter(decision, asyncio.get_running_loop().create_future())
        self.enqueue(decision.op).waiters.append(waiter)
        if self.store_unavailable:
            self.reply_in_outage(self.open_batches[-1])
        return await waiter.future

    def is_final(self, decision: Decision) -> bool:
        """Returns whether a decision can be returned without a check or write.

        A stale book may lack a later attempt, so the owner has to confirm its
        epoch before it grants an attempt or reports it as superseded.
        """
        if decision.op is not None or not self.is_durable(decision.claim):
            return False
        provisional_outcomes = (ClaimOutcome.GRANTED, SettleOutcome.SUPERSEDED)
        return decision.outcome not in provisional_outcomes

    def is_durable(self, claim: Claim | None) -> bool:
        """Returns whether the last change of a claim is known to be written."""
        return claim is not None and claim.sequence <= self.durable_sequence

    # Writing.

    async def run(self) -> None:
        """Writes batches until the epoch is lost."""
        while not self.lost:
            if not self.store_down:
                await self.wake.wait()
            self.wake.clear()
            await self.flush()
            # The write budget sets the interval, not the request rate.
            await self.clock.sleep(self.interval_s)

    async def flush(self) -> None:
        """Writes the first open batch and resolves its waiters."""
        if not self.open_batches and not self.store_down:
            return
        if not self.open_batches:
            self.open_batches.append(OpenBatch())
        batch = self.in_flight = self.open_batches.popleft()
        if self.open_batches:
            self.wake.set()
        if batch.ops:
            await self.write_and_compact(self.make_batch(batch.ops))
        else:
            await self.confirm_epoch()
        self.in_flight = None
        self.resolve_waiters(batch)

    async def write(self, batch: Batch) -> None:
        """Writes a batch until it is durable or the epoch is lost."""
        while not self.lost:
            result = await self.write_once(batch)
            self.record_flush(result)
            if result is FlushResult.DURABLE:
                self.durable_sequence = batch.sequence
                self.outage.release(batch.ops)
                return
            if result is FlushResult.EPOCH_LOST:
                self.mark_lost()
                return
            self.metrics.count("claims.retry.store_down")
            await self.clock.sleep(RETRY_INTERVAL_S)

    def record_flush(self, result: FlushResult) -> None:
        """Records whether the store is down; if so, replies to waiters."""
        self.store_down = result is FlushResult.STORE_DOWN
        if not self.store_down:
            return
        self.wake.set()  # Retries the write.
        for batch in [self.in_flight, *self.open_batches]:
            if batch is not None:
                self.reply_in_outage(batch)

    def make_batch(self, ops: list[ClaimOp | SettleOp]) -> Batch:
        """Creates the next batch of the log."""
        batch = Batch(
            self.lease.epoch,
            self.next_sequence,
            self.lease.incarnation,
            ops,
            self.clock.time(),
        )
        self.next_sequence += 1
        return batch

    async def confirm_epoch(self) -> None:
        """Checks that the epoch is still held, for decisions without a write.

        An owner that was paused may have decided from a stale book.
        """
        try:
            row = await self.table.get(lease_key(self.shard))
        except StoreUnavailableError:
            self.record_flush(FlushResult.STORE_DOWN)
            return
        self.record_flush(FlushResult.DURABLE)
        if not self.holds_lease(row):
            self.mark_lost()

    async def close(self) -> bool:
        """Refuses new calls and writes all queued operations.

        Returns:
          Whether everything was written within `CLOSE_TIMEOUT_S`.
        """
        self.closing = True
        end = self.clock.monotonic() + CLOSE_TIMEOUT_S
        while self.open_batches or self.in_flight is not None:
            if self.lost or self.clock.monotonic() > end:
                return False
            self.wake.set()
            await self.clock.sleep(CLOSE_POLL_INTERVAL_S)
        return not self.lost

    # Compaction.

    async def write_and_compact(self, batch: Batch) -> None:
        """Writes a batch and runs the steps of a compaction that are due."""
        image = None
        if self.compactor is not None and not self.open_batches:
            # The book has no operations after this batch.
            image = self.compactor.capture(batch, self.lease, self.book.claims)
        await self.write(batch)
        if self.compactor is None or self.lost:
            return
        if image is not None:
            self.spawn(self.compactor.prepare(image, self.lease))
            self.settle_abandoned(image.stale_running)
        elif self.compactor.prepared is not None:
            await self.commit_compaction(self.compactor.prepared)

    async def commit_compaction(self, compacted: PreparedCompaction) -> None:
        """Writes the lease of a compaction, then removes expired claims."""
        await self.replace_lease(compacted.lease, compacted.puts)
        await self.confirm_epoch()
        if self.lease != compacted.lease:
            return  # Not confirmed; retried after a later batch.
        for claim_id, claim in compacted.image.expired.items():
            if self.book.claims.get(claim_id) is claim:
                del self.book.claims[claim_id]
        assert self.compactor is not None
        self.spawn(self.compactor.finish(compacted))

    def settle_abandoned(self, old: Mapping[ClaimId, Claim]) -> None:
        """Settles old claims whose holder died and that no caller repeated."""
        for (workspace, key), claim in old.items():
            latest = self.book.claims.get((workspace, key))
            if latest is not claim or self.alive(claim.holder):
                continue
            unknown = ClaimResult.UNKNOWN
            self.enqueue(SettleOp(workspace, key, claim.attempt, unknown))
            self.metrics.count("claims.abandoned")

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Runs a coroutine as a background task."""
        task = asyncio.get_running_loop().create_task(work)
        self.background_tasks.add(task)
        task.add_done_callback(self.background_tasks.discard)

    # Replies.

    def reply_in_outage(self, batch: OpenBatch) -> None:
        """Replies in an outage to waiters that need not or must not wait."""
        waiters, batch.waiters = batch.waiters, []
        for waiter in waiters:
            reply = outage_reply(
                waiter.decision, self.outage.confirmed, self.metrics
            )
            if reply is None:
                batch.waiters.append(waiter)
            elif not waiter.future.done():
                waiter.future.set_result(reply)
            self.release_refused(waiter.decision.op)

    def release_refused(self, op: ClaimOp | SettleOp | None) -> None:
        """Releases a refused claim whose operation may still become durable."""
        if isinstance(op, ClaimOp) and not op.idempotent:
            self.enqueue(release_op(op))

    def resolve_waiters(self, batch: OpenBatch) -> None:
        """Resolves waiters to their decisions, or None if the epoch is lost."""
        for waiter in batch.waiters:
            if not waiter.future.done():
                waiter.future.set_result(None if self.lost else waiter.decision)

    def mark_lost(self) -> None:
        """Gives up the shard: no claim is granted or settled here any more."""
        if self.lost:
            return
        self.lost = True
        self.metrics.count("claims.epoch_lost")
        log.warning("Epoch lost.", shard=self.shard, epoch=self.lease.epoch)
        for batch in [self.in_flight, *self.open_batches]:
            if batch is not None:
                self.resolve_waiters(batch)
        self.open_batches.clear()
        self.wake.set()
