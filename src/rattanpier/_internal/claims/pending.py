"""Decisions that wait to become durable, and replies to them in an outage."""

from __future__ import annotations

import asyncio

import attrs

from rattanpier._internal.claims.book import Decision
from rattanpier._internal.claims.records import ClaimOp, ClaimResult, SettleOp
from rattanpier._internal.models.outcomes import ClaimOutcome, SettleOutcome
from rattanpier._internal.utils.metrics import Metrics

OP_BYTES = 300  # Approximate size of an operation without its answer.
OUTAGE_RETRY_AFTER_S = 2.0  # Sent to callers while the store is down.


@attrs.define
class Waiter:
    """Caller that waits for a decision to become durable.

    Attributes:
      decision: Decision to be returned.
      future: Resolves to the reply, or to None if the epoch was lost.
    """

    decision: Decision
    future: asyncio.Future[Decision | None]


@attrs.define
class OpenBatch:
    """Operations that will form one log row, and their waiters.

    Attributes:
      ops: Operations, in order.
      waiters: Callers that wait for the row to be written.
      size_bytes: Approximate size of the operations.
    """

    ops: list[ClaimOp | SettleOp] = attrs.Factory(list)
    waiters: list[Waiter] = attrs.Factory(list)
    size_bytes: int = 0


def op_size_bytes(op: ClaimOp | SettleOp) -> int:
    """Returns the approximate size of an operation in the log."""
    if isinstance(op, SettleOp) and op.answer is not None:
        return OP_BYTES + len(op.answer.body)
    return OP_BYTES


def release_op(op: ClaimOp) -> SettleOp:
    """Returns the operation that releases a claim."""
    return SettleOp(op.workspace, op.key, op.attempt, ClaimResult.RELEASED)


def refuse(
    decision: Decision, retry_after_s: float, reason: str, metrics: Metrics
) -> Decision:
    """Returns the refusal of an ask and counts its reason.

    Args:
      decision: Decision that would have been made.
      retry_after_s: Seconds after which the caller may retry.
      reason: Reason, for the name of the counter.
      metrics: Counts refusals.
    """
    metrics.count(f"claims.refused.{reason}")
    return Decision(
        ClaimOutcome.UNAVAILABLE,
        decision.claim,
        not_run=decision.not_run,
        retry_after_s=retry_after_s,
    )


def outage_reply(
    decision: Decision, confirmed: bool, metrics: Metrics
) -> Decision | None:
    """Returns the reply to a waiter while the store is down.

    Args:
      decision: Decision for which it waits.
      confirmed: Whether peers can't reach the store either.
      metrics: Counts refusals.

    Returns:
      The reply, or None if it has to keep waiting.
    """
    match decision.op:
        case ClaimOp(idempotent=False):
            # Its operation may become durable; the writer then releases it.
            surely_not_run = decision.not_run and confirmed
            return refuse(
                attrs.evolve(decision, not_run=surely_not_run),
                OUTAGE_RETRY_AFTER_S,
                "store_down",
                metrics,
            )
        case None if decision.outcome is SettleOutcome.SUPERSEDED:
            return Decision(SettleOutcome.UNAVAILABLE)
        case None if is_non_idempotent_grant(decision):
            return refuse(decision, OUTAGE_RETRY_AFTER_S, "store_down", metrics)
        case _ if not confirmed:
            return None
        case _:
            return attrs.evolve(decision, durable=False)


def is_non_idempotent_grant(decision: Decision) -> bool:
    """Returns whether a decision grants a non-idempotent request."""
    granted = decision.outcome is ClaimOutcome.GRANTED
    claim = decision.claim
    return granted and claim is not None and not claim.idempotent
