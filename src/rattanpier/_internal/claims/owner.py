"""Owner of one claim shard, which decides on claims and settlements."""

from __future__ import annotations

import attrs

from rattanpier._internal.claims.book import Ask, Claim, Decision
from rattanpier._internal.claims.pending import OUTAGE_RETRY_AFTER_S, refuse
from rattanpier._internal.claims.records import (
    ClaimOp,
    ClaimResult,
    PendingBill,
    SettleOp,
)
from rattanpier._internal.claims.writer import BatchWriter
from rattanpier._internal.models.outcomes import ClaimOutcome, SettleOutcome

MAX_PENDING_BYTES = 16 * 2**20  # Operations of one shard not yet written.
MAX_WAITERS = 4096  # Calls of one shard that wait for a write.
MAX_DISOWNED = 4096  # Disowned holders remembered per shard.
MIN_RETRY_AFTER_S = 0.5  # Minimum sent to callers if the queue is full.


@attrs.define
class ShardOwner(BatchWriter):
    """One shard, while this process owns it.

    Calls return None if the epoch was lost meanwhile or the shard is being
    handed over; the caller then has to find the new owner.

    Attributes:
      disowned: Holders that gave up, oldest first; their late asks are refused.
    """

    disowned: dict[str, None] = attrs.Factory(dict)

    async def ask(self, ask: Ask) -> Decision | None:
        """Decides on an ask; returns None if the epoch was lost."""
        if self.not_serving:
            return None
        decision = self.book.ask(ask, self.alive)
        if ask.holder in self.disowned:
            # The holder gave up before its ask arrived.
            return refuse(decision, 0.0, "disowned", self.metrics)
        if self.is_full():
            return refuse(decision, self.drain_s(), "full", self.metrics)
        if self.store_unavailable and decision.op is not None:
            return self.ask_in_outage(ask, decision)
        return await self.submit(decision)

    def ask_in_outage(self, ask: Ask, decision: Decision) -> Decision:
        """Decides on a new attempt while the store is down.

        A non-idempotent request is refused before an operation is queued, so
        that it can't become durable later. An idempotent request is granted
        provisionally if peers confirm the outage.
        """
        granted = decision.outcome is ClaimOutcome.GRANTED
        if granted and ask.idempotent and self.outage.confirmed:
            self.enqueue(decision.op)
            self.metrics.count("claims.provisional")
            return attrs.evolve(decision, durable=False)
        surely_not_run = decision.not_run and self.outage.confirmed
        decision = attrs.evolve(decision, not_run=surely_not_run)
        return refuse(
            decision, OUTAGE_RETRY_AFTER_S, "store_down", self.metrics
        )

    async def settle(self, op: SettleOp) -> Decision | None:
        """Settles a claim; returns None if the epoch was lost."""
        if self.not_serving:
            return None
        decision = self.book.settle(op)
        if not (self.store_unavailable and self.is_unlogged(decision)):
            reply = await self.submit(decision)
            if reply is None or reply.durable:
                return reply
        return await self.settle_in_outage(op)

    def is_unlogged(self, decision: Decision) -> bool:
        """Returns whether a settlement is not yet in the log."""
        if decision.op is not None:
            return True
        settled = decision.outcome is SettleOutcome.SETTLED
        return settled and not self.is_durable(decision.claim)

    async def settle_in_outage(self, op: SettleOp) -> Decision | None:
        """Settles a claim while the store is down.

        An answer is released only once a peer in another failure domain keeps
        its bill. Other results release no answer and need no copy.
        """
        if op.result is ClaimResult.ANSWERED:
            claim = self.find(op.workspace, op.key)
            if claim is None or claim.attempt != op.attempt:
                return Decision(SettleOutcome.UNAVAILABLE)
            if self.is_full() or not await self.keep_bill(op, claim):
                self.metrics.count("claims.refused.bill_not_kept")
                return Decision(
                    SettleOutcome.UNAVAILABLE,
                    retry_after_s=OUTAGE_RETRY_AFTER_S,
                )
        if self.not_serving:
            return None
        decision = self.book.settle(op)
        if decision.op is not None:
            self.enqueue(decision.op)
        return attrs.evolve(decision, durable=False)

    async def keep_bill(self, op: SettleOp, claim: Claim) -> bool:
        """Sends a pending bill to a peer; returns whether it is kept."""
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
        """Settles a holder's attempt, whatever its number.

        Args:
          op: The settlement; its `attempt` is ignored.
          holder: The holder that gives up.

        Returns:
          The decision, or None if the epoch was lost.
        """
        if self.not_serving:
            return None
        self.disowned[holder] = None
        if len(self.disowned) > MAX_DISOWNED:
            del self.disowned[next(iter(self.disowned))]
        decision = self.book.disown(op, holder)
        if not self.store_unavailable:
            return await self.submit(decision)
        if decision.op is not None:
            self.enqueue(decision.op)
        return attrs.evolve(decision, durable=False)

    async def restore(self, bill: PendingBill) -> Decision | None:
        """Restores a bill that a peer kept; idempotent."""
        if self.not_serving:
            return None
        if self.store_unavailable:
            return Decision(SettleOutcome.UNAVAILABLE)
        self.enqueue_pending_bill(bill)
        claim = self.find(bill.claim.workspace, bill.claim.key)
        return await self.submit(Decision(SettleOutcome.SETTLED, claim))

    def enqueue_pending_bill(self, bill: PendingBill) -> None:
        """Queues the operations that a bill kept by a peer adds."""
        for op in self.book.restore(bill.claim, bill.settle):
            self.enqueue(op)

    def find(self, workspace: str, key: str) -> Claim | None:
        """Returns the current state of a claim, or None."""
        return self.book.claims.get((workspace, key))

    def is_full(self) -> bool:
        """Returns whether the queue of operations or waiters is full."""
        size = sum(batch.size_bytes for batch in self.open_batches)
        waiting = sum(len(batch.waiters) for batch in self.open_batches)
        return size >= MAX_PENDING_BYTES or waiting >= MAX_WAITERS

    def drain_s(self) -> float:
        """Returns the estimated seconds until the queue is written."""
        return max(MIN_RETRY_AFTER_S, len(self.open_batches) * self.interval_s)
