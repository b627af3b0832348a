"""Decisions that wait to become durable, and what an outage makes of them."""

from __future__ import annotations

import asyncio

import attrs

from rattanpier._internal.claims.book import Decision
from rattanpier._internal.claims.records import ClaimOp, ClaimResult, SettleOp
from rattanpier._internal.models.outcomes import ClaimOutcome, SettleOutcome
from rattanpier._internal.utils.metrics import Metrics

OP_BYTES = 300  # An operation without its answer, roughly.
OUTAGE_RETRY_AFTER_S = 2.0  # Told to callers while the store is down.


@attrs.define
class Waiter:
    """Someone who waits for a decision to become durable."""

    decision: Decision
    future: asyncio.Future[Decision | None]


@attrs.define
class OpenBatch:
    """Operations that will be one row of the log, and who waits for it."""

    ops: list[ClaimOp | SettleOp] = attrs.Factory(list)
    waiters: list[Waiter] = attrs.Factory(list)
    size_bytes: int = 0


def op_size_bytes(op: ClaimOp | SettleOp) -> int:
    """Returns roughly the bytes of an operation in the log."""
    if isinstance(op, SettleOp) and op.answer is not None:
        return OP_BYTES + len(op.answer.body)
    return OP_BYTES


def release_op(op: ClaimOp) -> SettleOp:
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


def outage_reply(
    decision: Decision, confirmed: bool, metrics: Metrics
) -> Decision | None:
    """Returns what a waiter gets while the store is down.

    Args:
      decision: What it waits for.
      confirmed: True if peers can't reach the store either.
      metrics: Counts refusals.

    Returns:
      The reply, or None if it has to wait on.
    """
    match decision.op:
        case ClaimOp(idempotent=False):
            # Its operation may have become durable: the writer takes it back.
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
    """Says whether a grant is of a request that may run only once."""
    granted = decision.outcome is ClaimOutcome.GRANTED
    claim = decision.claim
    return granted and claim is not None and not claim.idempotent
