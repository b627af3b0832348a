"""State machine for the claims of one shard.

It uses neither clock nor network. Applying the same operations in the same
order gives the same state in the owner, in a new owner that reads the log, and
in the exporter of bills.
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
    """Immutable state of one claim; each change creates a new object.

    Attributes:
      attempt: Number of the latest attempt; only this attempt may settle.
      holder: Holder that runs the latest attempt, as in `ClaimOp.holder`.
      idempotent: Whether a later attempt may run the request again.
      digest: Digest of the request.
      result: Final result, or running.
      bill: Bill; set once, when the claim is answered.
      answer: Recorded answer.
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
    """Request of an entry for permission to run a request."""

    workspace: str
    key: str
    holder: str
    idempotent: bool
    digest: str


@attrs.frozen
class Decision:
    """Outcome of an ask or a settlement.

    Attributes:
      outcome: Outcome reported to the caller.
      claim: Current state of the claim, or None.
      op: Operation that has to be logged before the reply, or None.
      durable: False if the operation is not yet in the log.
      not_run: True if no attempt of this claim can have run.
      retry_after_s: Seconds to wait before a retry, if refused.
    """

    outcome: ClaimOutcome | SettleOutcome
    claim: Claim | None = None
    op: ClaimOp | SettleOp | None = None
    durable: bool = True
    not_run: bool = False
    retry_after_s: float = 0.0


@attrs.define
class ClaimBook:
    """Claims of one shard, by workspace and key.

    Attributes:
      claims: Current state of each claim.
    """

    claims: dict[ClaimId, Claim] = attrs.Factory(dict)

    def ask(self, ask: Ask, alive: Callable[[str], bool]) -> Decision:
        """Decides whether a holder may run a request.

        Args:
          ask: The ask for the request.
          alive: Returns whether a holder may still be running.

        Returns:
          The decision. It has an operation if a new attempt is granted, or if
          the holder of the running attempt died and the request can't be
          repeated.
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
        """Decides on an ask while an attempt of the claim is running."""
        if claim.holder == ask.holder:
            # The reply was lost; repeating the same ask is idempotent.
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
        """Returns the decision that grants a new attempt."""
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
        """Decides whether an attempt may settle its claim.

        Repeating a settlement succeeds without a second operation, so the
        caller can retry after a lost reply.
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
        """Settles the attempt of a holder that does not know its number.

        A holder whose ask was not answered does not know whether it was
        granted. Without a settlement such a claim would stay running forever.

        Args:
          op: The settlement; its `attempt` is ignored.
          holder: The holder that gives up.

        Returns:
          The decision; superseded if the holder has no claim.
        """
        claim = self.claims.get((op.workspace, op.key))
        if claim is None or claim.holder != holder:
            return Decision(SettleOutcome.SUPERSEDED, claim)
        return self.settle(attrs.evolve(op, attempt=claim.attempt))

    def restore(
        self, claim: ClaimOp, settle: SettleOp
    ) -> list[ClaimOp | SettleOp]:
        """Restores a claim whose answer was released during an outage.

        Returns:
          The operations to be logged. Empty if the claim is already answered,
          so a bill that is restored twice is charged once.
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
        """Applies an operation; ignores it if it is obsolete."""
        if isinstance(op, ClaimOp):
            self.apply_claim(op, sequence)
        else:
            self.apply_settle(op, sequence)

    def apply_claim(self, op: ClaimOp, sequence: int) -> None:
        """Applies a claim unless it is superseded or already answered."""
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
        """Applies a settlement if its attempt is still running."""
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
        """Applies the operations of one log row."""
        for op in batch.ops:
            self.apply(op, batch.sequence)

    def bills(self) -> Iterator[Bill]:
        """Yields the bills of all answered claims."""
        for claim in self.claims.values():
            if claim.bill is not None:
                yield claim.bill
