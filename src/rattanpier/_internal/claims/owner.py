"""The owner of one claim shard: group commit, fencing, read-back.

All claims of a batch become certain by one conditional write: "this epoch's
lease row is unchanged, and this log position is still empty". A write whose
answer is lost is never abandoned: the same batch is written again at the same
position until it is known to be there, or the epoch is known to be lost.
"""

from __future__ import annotations

import asyncio
import enum
from collections.abc import Callable

import attrs
import structlog

from rattanpier._internal.claims.book import Ask, Claim, ClaimBook, Decision
from rattanpier._internal.claims.records import (
    Batch,
    ClaimOp,
    SettleOp,
    ShardLease,
    lease_key,
    log_key,
    log_prefix,
)
from rattanpier._internal.exceptions import StoreUnavailableError
from rattanpier._internal.models.outcomes import (
    Committed,
    Conflict,
    NotRun,
    Uncertain,
)
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
class ShardOwner:
    """One shard, while this process owns it.

    Attributes:
      shard: Its number.
      lease: The lease row's content, as this process wrote it.
      lease_version: The lease row's version.
      book: Claims, including those not yet durable.
      next_sequence: Log position of the next batch.
      lost: True once another owner is known, or has to be assumed.
      store_down: True while the last write did not become known.
    """

    shard: int
    lease: ShardLease
    lease_version: int
    table: Table
    clock: Clock
    metrics: Metrics
    alive: Callable[[str], bool]
    interval_s: float
    book: ClaimBook = attrs.Factory(ClaimBook)
    next_sequence: int = 1
    lost: bool = False
    store_down: bool = False
    pending_ops: list[ClaimOp | SettleOp] = attrs.Factory(list)
    pending_waiters: list[Waiter] = attrs.Factory(list)
    settled: dict[tuple[str, str], list[asyncio.Future[None]]] = attrs.Factory(
        dict
    )
    wake: asyncio.Event = attrs.Factory(asyncio.Event)

    async def ask(self, ask: Ask) -> Decision | None:
        """Decides on a claim; None if the epoch was lost meanwhile."""
        return await self.submit(self.book.ask(ask, self.alive))

    async def settle(self, op: SettleOp) -> Decision | None:
        """Ends a claim; None if the epoch was lost meanwhile."""
        return await self.submit(self.book.settle(op))

    async def submit(self, decision: Decision) -> Decision | None:
        """Waits until a decision and all it rests on are durable."""
        if self.lost:
            return None
        if decision.op is not None:
            self.book.apply(decision.op, self.next_sequence)
            self.pending_ops.append(decision.op)
        loop = asyncio.get_running_loop()
        waiter = Waiter(decision, loop.create_future())
        self.pending_waiters.append(waiter)
        self.wake.set()
        return await waiter.done

    def find(self, workspace: str, key: str) -> Claim | None:
        """Returns a claim as it stands."""
        return self.book.claims.get((workspace, key))

    async def wait_settled(self, workspace: str, key: str) -> None:
        """Waits until a running claim ends or the epoch is lost."""
        future = asyncio.get_running_loop().create_future()
        self.settled.setdefault((workspace, key), []).append(future)
        await future

    async def run(self) -> None:
        """Writes batches until the epoch is lost."""
        while not self.lost:
            await self.wake.wait()
            self.wake.clear()
            await self.flush()
            # The write budget sets the pace, not the number of requests.
            await self.clock.sleep(self.interval_s)

    async def flush(self) -> None:
        """Writes what is pending as one batch and answers its waiters."""
        ops, self.pending_ops = self.pending_ops, []
        waiters, self.pending_waiters = self.pending_waiters, []
        if ops:
            await self.write(self.make_batch(ops))
        self.answer(waiters, ops)

    def make_batch(self, ops: list[ClaimOp | SettleOp]) -> Batch:
        """Returns the next batch of the log."""
        batch = Batch(
            self.lease.epoch, self.next_sequence, self.lease.incarnation, ops
        )
        self.next_sequence += 1
        return batch

    async def write(self, batch: Batch) -> None:
        """Writes a batch until it is durable or the epoch is lost."""
        while not self.lost:
            result = await self.write_once(batch)
            self.store_down = result is FlushResult.STORE_DOWN
            if result is FlushResult.DURABLE:
                return
            if result is FlushResult.EPOCH_LOST:
                self.lose()
                return
            self.metrics.count("claims.retry.store_down")
            await self.clock.sleep(RETRY_PAUSE_S)

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
        if lease is None or lease.version != self.lease_version:
            return FlushResult.EPOCH_LOST
        # Not there yet, but a delayed write may still arrive: the same batch
        # has to be written again at the same position.
        return FlushResult.STORE_DOWN

    def answer(
        self, waiters: list[Waiter], ops: list[ClaimOp | SettleOp]
    ) -> None:
        """Gives waiters their decisions, or None if the epoch was lost."""
        for waiter in waiters:
            if not waiter.done.done():
                waiter.done.set_result(None if self.lost else waiter.decision)
        for op in ops:
            if isinstance(op, SettleOp):
                self.notify(op.workspace, op.key)

    def notify(self, workspace: str, key: str) -> None:
        """Wakes those who wait for a claim to end."""
        for future in self.settled.pop((workspace, key), []):
            if not future.done():
                future.set_result(None)

    def lose(self) -> None:
        """Gives up the shard; nothing more is granted or settled here."""
        if self.lost:
            return
        self.lost = True
        self.metrics.count("claims.epoch_lost")
        log.warning("Epoch lost.", shard=self.shard, epoch=self.lease.epoch)
        waiters, self.pending_waiters = self.pending_waiters, []
        self.answer(waiters, [])
        for workspace, key in list(self.settled):
            self.notify(workspace, key)
        self.wake.set()


async def recover(table: Table, shard: int) -> tuple[ClaimBook, int]:
    """Reads a shard's log.

    Args:
      table: The table service.
      shard: The shard; its epoch must be the caller's already, so that no
        earlier owner can add to the log.

    Returns:
      The book and the next log position.

    Raises:
      StoreUnavailableError: The log can't be read.
    """
    book = ClaimBook()
    sequence = 0
    for row in await scan_all(table, log_prefix(shard)):
        batch = decode(Batch, row.value)
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
