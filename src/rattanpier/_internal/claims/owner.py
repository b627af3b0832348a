"""The owner of one claim shard: group commit, fencing, read-back.

All claims of a batch become certain by one conditional write: "this epoch's
lease row is unchanged, and this log position is still empty". A write whose
answer is lost is never abandoned: the same batch is written again at the same
position until it is known to be there, or the epoch is known to be lost.
"""

from __future__ import annotations

import asyncio
import collections
import enum
from collections.abc import Callable, Coroutine, Mapping
from typing import Any

import attrs
import structlog

from rattanpier._internal.claims.book import (
    Ask,
    Claim,
    ClaimBook,
    ClaimId,
    Decision,
)
from rattanpier._internal.claims.compaction import Compacted, Compactor
from rattanpier._internal.claims.outage import Outage
from rattanpier._internal.claims.records import (
    Batch,
    ClaimOp,
    ClaimResult,
    PendingBill,
    SettleOp,
    ShardLease,
    lease_key,
    log_key,
    log_prefix,
)
from rattanpier._internal.claims.snapshot import read_claims
from rattanpier._internal.exceptions import StoreUnavailableError
from rattanpier._internal.models.outcomes import (
    ClaimOutcome,
    Committed,
    Conflict,
    NotRun,
    SettleOutcome,
    Uncertain,
)
from rattanpier._internal.platform.objects import Objects, TableObjects
from rattanpier._internal.platform.table import (
    ABSENT,
    Check,
    Put,
    Row,
    Table,
    Transaction,
    scan_all,
)
from rattanpier._internal.utils.clock import Clock
from rattanpier._internal.utils.codec import decode, encode
from rattanpier._internal.utils.metrics import Metrics

log = structlog.get_logger(part="claims")

RETRY_PAUSE_S = 0.2  # Between tries of a batch while the store is down.
BATCH_BYTES = 256 * 1024  # A row of the log is kept below about this size.
PENDING_BYTES = 16 * 2**20  # Operations not yet written, of one shard.
MAX_WAITERS = 4096  # Calls that wait for a write, of one shard.
OP_BYTES = 300  # An operation without its answer, roughly.
DISOWNED_KEPT = 4096  # Disowned holders remembered, of one shard.
CLOSE_PAUSE_S = 0.01
CLOSE_LIMIT_S = 3.0  # Then the shard is given up as if the process died.
OUTAGE_RETRY_S = 2.0  # Told to callers while the store is down.


class FlushResult(enum.Enum):
    """What became of a batch."""

    DURABLE = "durable"
    EPOCH_LOST = "epoch_lost"
    STORE_DOWN = "store_down"  # Not written, or not known; tried again.


@attrs.define
class Waiter:
    """Someone who waits for a decision to become durable."""

    decision: Decision
    done: asyncio.Future[Decision | None]


@attrs.define
class OpenBatch:
    """Operations that will be one row of the log, and who waits for it."""

    ops: list[ClaimOp | SettleOp] = attrs.Factory(list)
    waiters: list[Waiter] = attrs.Factory(list)
    size: int = 0


@attrs.define
class ShardOwner:
    """One shard, while this process owns it.

    Attributes:
      shard: Its number.
      lease: The lease row's content, as this process wrote it.
      lease_version: The lease row's version.
      outage: What this process does while the store is down.
      book: Claims, including those not yet durable.
      next_sequence: Log position of the next batch.
      durable_sequence: Log position of the last batch known to be written.
      lost: True once another owner is known, or has to be assumed.
      closing: True once this owner takes nothing more, to hand over.
      store_down: True while the last write did not become known.
      open: Batches not yet written; only the last takes operations.
      in_flight: The batch being written.
      compactor: Compacts the log, or None.
      beside: Work of the compactor under way.
      disowned: Holders that gave up; a late ask of theirs is refused.
    """

    shard: int
    lease: ShardLease
    lease_version: int
    table: Table
    clock: Clock
    metrics: Metrics
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
    open: collections.deque[OpenBatch] = attrs.Factory(collections.deque)
    in_flight: OpenBatch | None = None
    disowned: dict[str, None] = attrs.Factory(dict)
    compactor: Compactor | None = None
    beside: set[asyncio.Task] = attrs.Factory(set)
    wake: asyncio.Event = attrs.Factory(asyncio.Event)

    @property
    def gone(self) -> bool:
        """True if calls have to go to another owner."""
        return self.lost or self.closing

    @property
    def down(self) -> bool:
        """True if nothing can be made durable now."""
        return self.store_down or self.outage.confirmed

    # Decisions.

    async def ask(self, ask: Ask) -> Decision | None:
        """Decides on a claim; None if the epoch was lost meanwhile."""
        if self.gone:
            return None
        decision = self.book.ask(ask, self.alive)
        if ask.holder in self.disowned:
            # Its own disowning overtook this ask.
            return refuse(decision, 0.0, "disowned", self.metrics)
        if self.is_full():
            return refuse(decision, self.drain_s(), "full", self.metrics)
        if self.down and decision.op is not None:
            return self.ask_in_outage(ask, decision)
        return await self.submit(decision)

    def ask_in_outage(self, ask: Ask, decision: Decision) -> Decision:
        """Decides on a new attempt while the store is down.

        A non-idempotent request is refused before anything is queued, so that
        nothing of it can become durable later. An idempotent one goes on.
        """
        granted = decision.outcome is ClaimOutcome.GRANTED
        if granted and ask.idempotent and self.outage.confirmed:
            self.add(decision.op)
            self.metrics.count("claims.provisional")
            return attrs.evolve(decision, durable=False)
        certain = decision.not_run and self.outage.confirmed
        decision = attrs.evolve(decision, not_run=certain)
        return refuse(decision, OUTAGE_RETRY_S, "store_down", self.metrics)

    async def settle(self, op: SettleOp) -> Decision | None:
        """Ends a claim; None if the epoch was lost meanwhile."""
        if self.gone:
            return None
        decision = self.book.settle(op)
        if not (self.down and self.is_open(decision)):
            reply = await self.submit(decision)
            if reply is None or reply.durable:
                return reply
        return await self.settle_in_outage(op)

    def is_open(self, decision: Decision) -> bool:
        """Says whether a settlement is not in the log yet."""
        if decision.op is not None:
            return True
        settled = decision.outcome is SettleOutcome.SETTLED
        return settled and not self.is_durable(decision.claim)

    async def settle_in_outage(self, op: SettleOp) -> Decision | None:
        """Ends a claim while the store is down.

        An answer is given out only once a peer in another failure domain
        keeps its bill; whatever gives nothing out needs no such care.
        """
        if op.result is ClaimResult.ANSWERED:
            claim = self.find(op.workspace, op.key)
            if claim is None or claim.attempt != op.attempt:
                return Decision(SettleOutcome.UNAVAILABLE)
            if self.is_full() or not await self.keep(op, claim):
                self.metrics.count("claims.refused.bill_not_kept")
                return Decision(
                    SettleOutcome.UNAVAILABLE, retry_after_s=OUTAGE_RETRY_S
                )
        if self.gone:
            return None
        decision = self.book.settle(op)
        if decision.op is not None:
            self.add(decision.op)
        return attrs.evolve(decision, durable=False)

    async def keep(self, op: SettleOp, claim: Claim) -> bool:
        """Has a pending bill kept by a peer."""
        grant = ClaimOp(
            op.workspace,
            op.key,
            op.attempt,
            claim.holder,
            claim.idempotent,
            claim.digest,
        )
        return await self.outage.keep(PendingBill(grant, op))

    async def disown(self, op: SettleOp, holder: str) -> Decision | None:
        """Ends a holder's attempt, whichever it is."""
        if self.gone:
            return None
        self.disowned[holder] = None
        if len(self.disowned) > DISOWNED_KEPT:
            del self.disowned[next(iter(self.disowned))]
        decision = self.book.disown(op, holder)
        if not self.down:
            return await self.submit(decision)
        if decision.op is not None:
            self.add(decision.op)
        return attrs.evolve(decision, durable=False)

    async def restore(self, bill: PendingBill) -> Decision | None:
        """Takes in a bill that a peer kept; harmless when repeated."""
        if self.gone:
            return None
        if self.down:
            return Decision(SettleOutcome.UNAVAILABLE)
        self.take_in(bill)
        claim = self.find(bill.claim.workspace, bill.claim.key)
        return await self.submit(Decision(SettleOutcome.SETTLED, claim))

    def take_in(self, bill: PendingBill) -> None:
        """Queues what a bill that a peer kept adds to the book."""
        for op in self.book.restore(bill.claim, bill.settle):
            self.add(op)

    def find(self, workspace: str, key: str) -> Claim | None:
        """Returns a claim as it stands."""
        return self.book.claims.get((workspace, key))

    # Queue.

    def add(self, op: ClaimOp | SettleOp | None) -> OpenBatch:
        """Queues an operation; returns the batch that it rests on."""
        if not self.open or (op and self.open[-1].size >= BATCH_BYTES):
            self.open.append(OpenBatch())
        batch = self.open[-1]
        if op is not None:
            sequence = self.next_sequence + len(self.open) - 1
            self.book.apply(op, sequence)
            batch.ops.append(op)
            batch.size += op_size(op)
        self.wake.set()
        return batch

    async def submit(self, decision: Decision) -> Decision | None:
        """Waits until a decision and all it rests on are durable."""
        if self.gone:
            return None
        if self.is_final(decision):
            return decision
        waiter = Waiter(decision, asyncio.get_running_loop().create_future())
        self.add(decision.op).waiters.append(waiter)
        if self.down:
            self.relieve(self.open[-1])
        return await waiter.done

    def is_final(self, decision: Decision) -> bool:
        """Says whether a decision rests on nothing that may still change.

        A book that is out of date may lack a later attempt, so the owner has
        to be sure of its epoch before it grants or denies one.
        """
        if decision.op is not None or not self.is_durable(decision.claim):
            return False
        unsure = (ClaimOutcome.GRANTED, SettleOutcome.SUPERSEDED)
        return decision.outcome not in unsure

    def is_durable(self, claim: Claim | None) -> bool:
        """Says whether a claim's last change is known to be written."""
        return claim is not None and claim.sequence <= self.durable_sequence

    def is_full(self) -> bool:
        """Says whether nothing more may wait here."""
        size = sum(batch.size for batch in self.open)
        waiting = sum(len(batch.waiters) for batch in self.open)
        return size >= PENDING_BYTES or waiting >= MAX_WAITERS

    def drain_s(self) -> float:
        """Returns the seconds until what is queued will be written."""
        return max(0.5, len(self.open) * self.interval_s)

    # Writing.

    async def run(self) -> None:
        """Writes batches until the epoch is lost."""
        while not self.lost:
            if not self.store_down:
                await self.wake.wait()
            self.wake.clear()
            await self.flush()
            # The write budget sets the pace, not the number of requests.
            await self.clock.sleep(self.interval_s)

    async def flush(self) -> None:
        """Writes the first open batch and answers its waiters."""
        if not self.open and not self.store_down:
            return
        if not self.open:
            self.open.append(OpenBatch())
        batch = self.in_flight = self.open.popleft()
        if self.open:
            self.wake.set()
        if batch.ops:
            await self.write_and_compact(self.make_batch(batch.ops))
        else:
            await self.confirm()
        self.in_flight = None
        self.answer(batch)

    async def write_and_compact(self, batch: Batch) -> None:
        """Writes a batch, and compacts the log when it is time."""
        image = None
        if self.compactor is not None and not self.open:
            # Nothing behind this batch is in the book yet.
            image = self.compactor.capture(batch, self.lease, self.book.claims)
        await self.write(batch)
        if self.compactor is None or self.lost:
            return
        if image is not None:
            self.spawn(self.compactor.prepare(image, self.lease))
            self.end_abandoned(image.old)
        elif self.compactor.ready is not None:
            await self.take_effect(self.compactor.ready)

    async def take_effect(self, compacted: Compacted) -> None:
        """Moves the lease row on to a snapshot; forgets what it left out."""
        key = lease_key(self.shard)
        await self.table.transact(
            Transaction(
                [Check(key, self.lease_version)],
                [Put(key, encode(compacted.lease)), *compacted.puts],
            )
        )
        await self.confirm()
        if self.lease != compacted.lease:
            return  # Not known yet; it is written again after a later batch.
        for claim_id, claim in compacted.image.forgotten.items():
            if self.book.claims.get(claim_id) is claim:
                del self.book.claims[claim_id]
        assert self.compactor is not None
        self.spawn(self.compactor.finish(compacted))

    def end_abandoned(self, old: Mapping[ClaimId, Claim]) -> None:
        """Ends claims whose holder died and whose key nobody repeated."""
        for (workspace, key), claim in old.items():
            changed = self.find(workspace, key) is not claim
            if changed or self.alive(claim.holder):
                continue
            unknown = ClaimResult.UNKNOWN
            self.add(SettleOp(workspace, key, claim.attempt, unknown))
            self.metrics.count("claims.abandoned")

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Runs work beside the writing of batches."""
        task = asyncio.get_running_loop().create_task(work)
        self.beside.add(task)
        task.add_done_callback(self.beside.discard)

    def make_batch(self, ops: list[ClaimOp | SettleOp]) -> Batch:
        """Returns the next batch of the log."""
        batch = Batch(
            self.lease.epoch,
            self.next_sequence,
            self.lease.incarnation,
            ops,
            self.clock.time(),
        )
        self.next_sequence += 1
        return batch

    async def write(self, batch: Batch) -> None:
        """Writes a batch until it is durable or the epoch is lost."""
        while not self.lost:
            result = await self.write_once(batch)
            self.note(result)
            if result is FlushResult.DURABLE:
                self.durable_sequence = batch.sequence
                self.outage.release(batch.ops)
                return
            if result is FlushResult.EPOCH_LOST:
                self.lose()
                return
            self.metrics.count("claims.retry.store_down")
            await self.clock.sleep(RETRY_PAUSE_S)

    def note(self, result: FlushResult) -> None:
        """Notes whether the store is down, and answers who need not wait."""
        self.store_down = result is FlushResult.STORE_DOWN
        if not self.store_down:
            return
        self.wake.set()  # So that the store is tried again.
        for batch in [self.in_flight, *self.open]:
            if batch is not None:
                self.relieve(batch)

    async def close(self) -> bool:
        """Takes nothing more and writes what is queued.

        Returns:
          True if the log has everything that was decided here.
        """
        self.closing = True
        end = self.clock.monotonic() + CLOSE_LIMIT_S
        while self.open or self.in_flight is not None:
            if self.lost or self.clock.monotonic() > end:
                return False
            self.wake.set()
            await self.clock.sleep(CLOSE_PAUSE_S)
        return not self.lost

    async def confirm(self) -> None:
        """Makes sure of the epoch, for decisions that write nothing.

        An owner that was paused may decide from a book that is out of date.
        """
        try:
            row = await self.table.get(lease_key(self.shard))
        except StoreUnavailableError:
            self.note(FlushResult.STORE_DOWN)
            return
        self.note(FlushResult.DURABLE)
        if not self.still_holds(row):
            self.lose()

    def still_holds(self, row: Row | None) -> bool:
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
        if not self.still_holds(lease):
            return FlushResult.EPOCH_LOST
        # Not there yet, but a delayed write may still arrive: the same batch
        # has to be written again at the same position.
        return FlushResult.STORE_DOWN

    # Answers.

    def relieve(self, batch: OpenBatch) -> None:
        """Answers, in an outage, those who need not or must not wait."""
        waiters, batch.waiters = batch.waiters, []
        for waiter in waiters:
            reply = self.outage_reply(waiter.decision)
            if reply is None:
                batch.waiters.append(waiter)
            elif not waiter.done.done():
                waiter.done.set_result(reply)

    def outage_reply(self, decision: Decision) -> Decision | None:
        """Returns what a waiter gets in an outage; None if it waits on."""
        match decision.op:
            case ClaimOp() as op if not op.idempotent:
                # Its operation may have become durable: it is taken back.
                self.add(release_of(op))
                certain = decision.not_run and self.outage.confirmed
                return refuse(
                    attrs.evolve(decision, not_run=certain),
                    OUTAGE_RETRY_S,
                    "store_down",
                    self.metrics,
                )
            case None if decision.outcome is SettleOutcome.SUPERSEDED:
                return Decision(SettleOutcome.UNAVAILABLE)
            case None if self.is_sole_grant(decision):
                return refuse(
                    decision, OUTAGE_RETRY_S, "store_down", self.metrics
                )
            case _ if not self.outage.confirmed:
                return None
            case _:
                return attrs.evolve(decision, durable=False)

    def is_sole_grant(self, decision: Decision) -> bool:
        """Says whether a grant is of a request that may run only once."""
        granted = decision.outcome is ClaimOutcome.GRANTED
        claim = decision.claim
        return granted and claim is not None and not claim.idempotent

    def answer(self, batch: OpenBatch) -> None:
        """Gives waiters their decisions, or None if the epoch was lost."""
        for waiter in batch.waiters:
            if not waiter.done.done():
                waiter.done.set_result(None if self.lost else waiter.decision)

    def lose(self) -> None:
        """Gives up the shard; nothing more is granted or settled here."""
        if self.lost:
            return
        self.lost = True
        self.metrics.count("claims.epoch_lost")
        log.warning("Epoch lost.", shard=self.shard, epoch=self.lease.epoch)
        for batch in [self.in_flight, *self.open]:
            if batch is not None:
                self.answer(batch)
        self.open.clear()
        self.wake.set()


def op_size(op: ClaimOp | SettleOp) -> int:
    """Returns roughly the bytes of an operation in the log."""
    if isinstance(op, SettleOp) and op.answer is not None:
        return OP_BYTES + len(op.answer.body)
    return OP_BYTES


def release_of(op: ClaimOp) -> SettleOp:
    """Returns the operation that takes a claim back."""
    return SettleOp(op.workspace, op.key, op.attempt, ClaimResult.RELEASED)


def refuse(
    decision: Decision, retry_after_s: float, reason: str, metrics: Metrics
) -> Decision:
    """Returns the refusal of an ask and counts its reason."""
    metrics.count(f"claims.refused.{reason}")
    return Decision(
        ClaimOutcome.UNAVAILABLE,
        decision.claim,
        not_run=decision.not_run,
        retry_after_s=retry_after_s,
    )


async def recover(
    table: Table, shard: int, objects: Objects | None = None
) -> tuple[ClaimBook, int]:
    """Reads a shard's snapshot and log.

    Args:
      table: The table service.
      shard: The shard; its epoch must be the caller's already, so that no
        earlier owner can add to the log.
      objects: Where snapshots are; the table if None.

    Returns:
      The book and the next log position.

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
    behind = log_key(shard, sequence)
    for found in await scan_all(table, log_prefix(shard), behind):
        batch = decode(Batch, found.value)
        if batch.sequence != sequence + 1:
            raise StoreUnavailableError(f"log of shard {shard} has a gap")
        book.apply_batch(batch)
        sequence = batch.sequence
    return book, sequence + 1


def next_lease(row: Row | None, owner: str, incarnation: str) -> ShardLease:
    """Returns the lease with which a new owner follows the present one."""
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
    """Takes a shard over from the owner seen in its lease row.

    Returns:
      The lease and its row's version, or None if it was not obtained.
    """
    lease = next_lease(row, owner, incarnation)
    version = row.version if row else ABSENT
    key = lease_key(shard)
    outcome = await table.transact(
        Transaction([Check(key, version)], [Put(key, encode(lease))])
    )
    if isinstance(outcome, NotRun):
        return None
    # The row's new version is read, also after a lost answer.
    try:
        present = await table.get(key)
    except StoreUnavailableError:
        return None
    if present is None or decode(ShardLease, present.value) != lease:
        return None
    return lease, present.version
