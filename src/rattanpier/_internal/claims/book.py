"""The state of one shard's claims, and the decisions made from it.

Pure: no clock, no network. The same operations in the same order give the
same book, in the owner, in a new owner that reads the log, and in the
exporter of bills.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator

import attrs

from rattanpier._internal.claims.records import (
    Answer,
    Batch,
    Bill,
    ClaimOp,
    ClaimResult,
    SettleOp,
)
from rattanpier._internal.models.outcomes import ClaimOutcome, SettleOutcome

ClaimId = tuple[str, str]


@attrs.frozen
class Claim:
    """One claim as it stood at some moment; a change makes a new object.

    Attributes:
      attempt: The latest attempt; only it may settle.
      holder: Who runs that attempt.
      idempotent: Whether a later attempt may run it again.
      digest: Digest of the request.
      result: How it ended, or running.
      bill: Set once, when answered.
      answer: The recorded answer.
      sequence: Log position of the last change.
    """

    attempt: int
    holder: str
    idempotent: bool
    digest: str
    result: ClaimResult = ClaimResult.RUNNING
    bill: Bill | None = None
    answer: Answer | None = None
    sequence: int = 0


@attrs.frozen
class Ask:
    """An entry asks to run a request."""

    workspace: str
    key: str
    holder: str
    idempotent: bool
    digest: str


@attrs.frozen
class Decision:
    """What an ask or a settlement comes to.

    Attributes:
      outcome: For the asker.
      claim: The claim as it stands, or None.
      op: The operation to be logged first, or None.
      durable: False if the operation is not yet in the log.
      not_run: True if no attempt of this claim can have run.
      retry_after_s: When to come back, if refused.
    """

    outcome: ClaimOutcome | SettleOutcome
    claim: Claim | None = None
    op: ClaimOp | SettleOp | None = None
    durable: bool = True
    not_run: bool = False
    retry_after_s: float = 0.0


@attrs.define
class ClaimBook:
    """Claims of one shard, by workspace and key."""

    claims: dict[ClaimId, Claim] = attrs.Factory(dict)

    def ask(self, ask: Ask, alive: Callable[[str], bool]) -> Decision:
        """Decides who may run a request.

        Args:
          ask: The request's claim.
          alive: Says whether a holder may still be running.

        Returns:
          The decision; with an operation if a new attempt is granted.
        """
        claim = self.claims.get((ask.workspace, ask.key))
        if claim is None:
            return self.grant(ask, 1)
        if claim.digest != ask.digest:
            return Decision(ClaimOutcome.MISMATCH, claim)
        if claim.result is ClaimResult.ANSWERED:
            return Decision(ClaimOutcome.ANSWERED, claim)
        if claim.result is ClaimResult.RELEASED:
            return self.grant(ask, claim.attempt + 1)
        if claim.result is ClaimResult.UNKNOWN:
            if claim.idempotent and ask.idempotent:
                return self.grant(ask, claim.attempt + 1)
            return Decision(ClaimOutcome.UNKNOWN, claim)
        return self.ask_running(ask, claim, alive)

    def ask_running(
        self, ask: Ask, claim: Claim, alive: Callable[[str], bool]
    ) -> Decision:
        """Decides on a claim that some attempt holds."""
        if claim.holder == ask.holder:
            # The reply to the same ask was lost; asking again is idempotent.
            return Decision(ClaimOutcome.GRANTED, claim)
        if alive(claim.holder):
            return Decision(ClaimOutcome.RUNNING, claim)
        if claim.idempotent and ask.idempotent:
            return self.grant(ask, claim.attempt + 1)
        unknown_op = SettleOp(
            ask.workspace, ask.key, claim.attempt, ClaimResult.UNKNOWN
        )
        return Decision(ClaimOutcome.UNKNOWN, claim, unknown_op)

    def grant(self, ask: Ask, attempt: int) -> Decision:
        """Returns the grant of a new attempt."""
        op = ClaimOp(
            ask.workspace,
            ask.key,
            attempt,
            ask.holder,
            ask.idempotent,
            ask.digest,
        )
        previous = self.claims.get((ask.workspace, ask.key))
        not_run = previous is None or previous.result is ClaimResult.RELEASED
        return Decision(ClaimOutcome.GRANTED, None, op, not_run=not_run)

    def settle(self, op: SettleOp) -> Decision:
        """Decides whether an attempt may end a claim.

        A repeated settlement of the same attempt is settled again without
        an operation, so a lost reply does no harm.
        """
        claim = self.claims.get((op.workspace, op.key))
        if claim is None or claim.attempt != op.attempt:
            return Decision(SettleOutcome.SUPERSEDED, claim)
        if claim.result is op.result:
            return Decision(SettleOutcome.SETTLED, claim)
        if claim.result is not ClaimResult.RUNNING:
            return Decision(SettleOutcome.SUPERSEDED, claim)
        return Decision(SettleOutcome.SETTLED, claim, op)

    def disown(self, op: SettleOp, holder: str) -> Decision:
        """Ends whatever attempt a holder has; `op.attempt` is not known.

        A holder whose ask was not answered does not know whether it was
        granted. Without an end such a claim would run for ever. Superseded
        says that the holder has no claim.
        """
        claim = self.claims.get((op.workspace, op.key))
        if claim is None or claim.holder != holder:
            return Decision(SettleOutcome.SUPERSEDED, claim)
        return self.settle(attrs.evolve(op, attempt=claim.attempt))

    def restore(
        self, claim: ClaimOp, settle: SettleOp
    ) -> list[ClaimOp | SettleOp]:
        """Takes in a claim whose answer was released in an outage.

        Returns:
          The operations to be logged; none if the claim is answered already,
          so that a bill restored twice is billed once.
        """
        current = self.claims.get((claim.workspace, claim.key))
        if current is not None and current.result is ClaimResult.ANSWERED:
            return []
        if (
            current is not None
            and current.holder == claim.holder
            and current.result is ClaimResult.RUNNING
        ):
            return [attrs.evolve(settle, attempt=current.attempt)]
        attempt = current.attempt + 1 if current else claim.attempt
        return [
            attrs.evolve(claim, attempt=attempt),
            attrs.evolve(settle, attempt=attempt),
        ]

    def apply(self, op: ClaimOp | SettleOp, sequence: int = 0) -> None:
        """Applies an operation; one that no longer fits changes nothing."""
        if isinstance(op, ClaimOp):
            self.apply_claim(op, sequence)
        else:
            self.apply_settle(op, sequence)

    def apply_claim(self, op: ClaimOp, sequence: int) -> None:
        """Applies a claim unless a later attempt or an end came first."""
        claim = self.claims.get((op.workspace, op.key))
        if claim is not None and claim.attempt >= op.attempt:
            return
        if claim is not None and claim.result is ClaimResult.ANSWERED:
            return
        self.claims[op.workspace, op.key] = Claim(
            op.attempt,
            op.holder,
            op.idempotent,
            op.digest,
            sequence=sequence,
        )

    def apply_settle(self, op: SettleOp, sequence: int) -> None:
        """Applies a settlement if its attempt still runs."""
        claim = self.claims.get((op.workspace, op.key))
        if claim is None or claim.attempt != op.attempt:
            return
        if claim.result is not ClaimResult.RUNNING:
            return
        self.claims[op.workspace, op.key] = attrs.evolve(
            claim,
            result=op.result,
            bill=op.bill,
            answer=op.answer,
            sequence=sequence,
        )

    def apply_batch(self, batch: Batch) -> None:
        """Applies a row of the log."""
        for op in batch.ops:
            self.apply(op, batch.sequence)

    def bills(self) -> Iterator[Bill]:
        """Yields the bill of each answered claim."""
        for claim in self.claims.values():
            if claim.bill is not None:
                yield claim.bill
