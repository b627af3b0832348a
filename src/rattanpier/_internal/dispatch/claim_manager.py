"""Obtains, confirms and settles the claims of attempts.

A claim is settled even if its caller has disconnected or the store is
unavailable, so that a repeat of its key need not wait until this process ends.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import attrs

from rattanpier._internal.claims.records import (
    Answer,
    Bill,
    ClaimResult,
    SettleOp,
)
from rattanpier._internal.claims.service import (
    UNAVAILABLE,
    ClaimReply,
    Claims,
)
from rattanpier._internal.dispatch.attempt import Attempt, is_granted
from rattanpier._internal.dispatch.parts import Part, Recorded, Refused
from rattanpier._internal.models.outcomes import ClaimOutcome, SettleOutcome
from rattanpier._internal.models.refusal import Refusal, RefusalCode
from rattanpier._internal.utils.clock import Clock
from rattanpier._internal.utils.metrics import Metrics

CLAIM_TIMEOUT_S = 3.0
SETTLE_TIMEOUT_S = 5.0
# Maximum wait for the claim before the dispatch of an idempotent request that
# has an idempotency key.
CLAIM_WAIT_S = 0.1
REFUSAL_CLAIM_WAIT_S = 0.5  # Maximum wait for the claim before a refusal.
# Interval of asking for a claim while another attempt runs the request.
JOIN_POLL_INTERVAL_S = 0.1
RECONFIRM_AGE_S = 1.0  # An older claim is requested again before a dispatch.
MAX_CONFIRM_REQUESTS = 3
SETTLE_RETRY_INTERVAL_S = 1.0
SETTLE_DRAIN_S = 10.0  # Maximum wait of a planned stop for settlements.
# Outages of the store may be long, and a claim must not stay running forever.
SETTLE_RETRY_LIMIT_S = 3600.0
MAX_PENDING_SETTLEMENTS = 10_000  # Claims beyond this are left unsettled.
CLAIM_RETRY_S = 2.0
# Outcomes of a claim that are returned in place of another refusal, since they
# tell the caller more.
OVERRIDING_OUTCOMES = (
    ClaimOutcome.ANSWERED,
    ClaimOutcome.MISMATCH,
    ClaimOutcome.UNKNOWN,
)


@attrs.define
class ClaimManager:
    """Manages the claims of the attempts of one entry.

    Attributes:
      tasks: Runs and settlements that a planned stop waits for, even if their
        callers disconnect.
      settlements: Background settlements; a planned stop waits for them up to
        SETTLE_DRAIN_S.
    """

    claims: Claims
    clock: Clock
    metrics: Metrics
    spawn: Callable[..., asyncio.Task]
    tasks: set[asyncio.Task] = attrs.Factory(set)
    settlements: set[asyncio.Task] = attrs.Factory(set)

    def spawn_tracked(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task:
        """Starts and returns a task that a planned stop has to wait for."""
        task = self.spawn(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def drain(self) -> None:
        """Waits until all tracked tasks and background settlements are done.

        A claim that can't be settled because the store is unavailable does not
        delay a planned stop by more than SETTLE_DRAIN_S. It is then treated as
        a claim whose holder terminated.
        """
        while self.tasks:
            await asyncio.wait(list(self.tasks))
        drain_limit = self.spawn(self.clock.sleep(SETTLE_DRAIN_S))
        while self.settlements and not drain_limit.done():
            await asyncio.wait(
                {drain_limit, *self.settlements},
                return_when=asyncio.FIRST_COMPLETED,
            )
        drain_limit.cancel()

    def start(self, attempt: Attempt) -> None:
        """Starts to obtain the claim unless that was done before."""
        if attempt.claim_task is None:
            attempt.claim_task = self.spawn(self.obtain(attempt))

    async def obtain(self, attempt: Attempt) -> ClaimReply:
        """Claims a request, waiting while another attempt runs it.

        Returns:
          The reply to the claim; RUNNING if the other attempt did not end
          before the deadline or this one was closed, UNAVAILABLE if the
          deadline has passed.
        """
        while True:
            now = self.clock.monotonic()
            remaining_s = attempt.request.deadline - now
            if remaining_s <= 0:
                return UNAVAILABLE
            # Read before the request, so that the age of the claim includes any
            # later suspension of the process.
            attempt.claim_asked_at = now
            reply = await self.claims.claim(
                attempt.ask, min(CLAIM_TIMEOUT_S, remaining_s)
            )
            if reply.outcome is not ClaimOutcome.RUNNING:
                return reply
            if remaining_s <= JOIN_POLL_INTERVAL_S or attempt.closed:
                return reply
            self.metrics.count("claims.joined")
            await self.clock.sleep(JOIN_POLL_INTERVAL_S)

    async def wait(self, attempt: Attempt) -> ClaimReply:
        """Waits for the claim and returns the reply."""
        assert attempt.claim_task is not None
        # The claim is not cancelled when the caller disconnects, because a
        # granted claim has to be settled.
        return await asyncio.shield(attempt.claim_task)

    async def wait_at_most(self, attempt: Attempt, seconds: float) -> None:
        """Waits for the claim, for at most the given seconds."""
        if attempt.claim_task is not None:
            await asyncio.wait({attempt.claim_task}, timeout=seconds)

    async def claim_before_dispatch(
        self, attempt: Attempt
    ) -> ClaimReply | None:
        """Starts the claim and waits as long as the first dispatch has to.

        Returns:
          The reply to the claim; None if it is not known yet and the request
          may be dispatched before it.
        """
        self.start(attempt)
        if not attempt.request.idempotent:
            # May be dispatched only once, so the claim has to be certain first.
            return await self.wait(attempt)
        if attempt.request.keyed:
            # Usually long enough to recognize a repeated key, which then causes
            # no load on an engine.
            await self.wait_at_most(attempt, CLAIM_WAIT_S)
        return attempt.reply

    async def confirm(self, attempt: Attempt) -> bool:
        """Returns whether the claim still holds, right before a dispatch.

        A process that was suspended after its claim detects this by the clock
        and requests the claim again. Meanwhile the claim may have been settled
        as unknown.
        """
        reply = attempt.reply
        assert reply is not None and is_granted(reply)
        for _ in range(MAX_CONFIRM_REQUESTS):
            now = self.clock.monotonic()
            if now - attempt.claim_asked_at <= RECONFIRM_AGE_S:
                return True
            self.metrics.count("claims.retry.confirm")
            again = await self.claims.claim(attempt.ask, CLAIM_TIMEOUT_S)
            if not is_granted(again) or again.attempt != reply.attempt:
                return False
            attempt.claim_asked_at = now
        return False

    async def settle(
        self,
        attempt: Attempt,
        result: ClaimResult,
        bill: Bill | None = None,
        answer: Answer | None = None,
    ) -> SettleOutcome:
        """Settles the claim, and retries in the background if that fails.

        Returns:
          The outcome of the first try.
        """
        op = make_settle_op(attempt, result, bill, answer)
        attempt.closed = True
        # The settlement must not be cancelled when the caller disconnects.
        return await asyncio.shield(
            self.spawn_tracked(self.settle_once(attempt, op))
        )

    async def settle_once(
        self, attempt: Attempt, op: SettleOp
    ) -> SettleOutcome:
        """Settles a claim; on failure, starts retries in the background."""
        outcome = await self.claims.settle(
            op, attempt.ask.holder, SETTLE_TIMEOUT_S
        )
        if outcome is SettleOutcome.UNAVAILABLE:
            self.spawn_settlement(self.settle_in_background(attempt, op))
        return outcome

    async def settle_in_background(
        self, attempt: Attempt, op: SettleOp
    ) -> None:
        """Retries a settlement for at most SETTLE_RETRY_LIMIT_S."""
        retry_until = self.clock.monotonic() + SETTLE_RETRY_LIMIT_S
        while self.clock.monotonic() < retry_until:
            # While the store is known to be down, settling fails immediately.
            await self.clock.sleep(SETTLE_RETRY_INTERVAL_S)
            outcome = await self.claims.settle(
                op, attempt.ask.holder, SETTLE_TIMEOUT_S
            )
            if outcome is not SettleOutcome.UNAVAILABLE:
                return
            self.metrics.count("claims.retry.settle")
        self.metrics.count("claims.not_ended")

    def abandon(self, attempt: Attempt) -> None:
        """Ends the claim of an attempt without an answer, in the background.

        Used for disconnected callers and for refusals, so that a repeat of the
        key need not wait until this process ends.
        """
        if attempt.closed or attempt.claim_task is None:
            return
        attempt.closed = True
        self.spawn_settlement(self.disown_abandoned(attempt))

    async def disown_abandoned(self, attempt: Attempt) -> None:
        """Waits for the reply to a claim and disowns the claim if needed."""
        reply = await self.wait(attempt)
        # If the reply was lost, the claim may nevertheless have been granted.
        if is_granted(reply) or reply.outcome is ClaimOutcome.UNAVAILABLE:
            self.claims.disown(attempt.ask, result_without_answer(attempt))

    def spawn_settlement(self, work: Coroutine[Any, Any, Any]) -> None:
        """Runs a settlement in the background.

        If MAX_PENDING_SETTLEMENTS are running already, it is dropped.
        """
        if len(self.settlements) >= MAX_PENDING_SETTLEMENTS:
            self.metrics.count("claims.not_ended")
            work.close()
            return
        task = self.spawn(work)
        self.settlements.add(task)
        task.add_done_callback(self.settlements.discard)

    async def refuse(self, attempt: Attempt, refusal: Refusal) -> Part:
        """Ends an attempt without an answer and returns its last part.

        For a request with an idempotency key, the outcome of an earlier attempt
        takes precedence over the refusal.
        """
        if attempt.request.keyed:
            await self.wait_at_most(attempt, REFUSAL_CLAIM_WAIT_S)
        reply = attempt.reply
        if reply is not None and reply.outcome in OVERRIDING_OUTCOMES:
            return refuse_claim(attempt, reply)
        self.abandon(attempt)
        return Refused(attrs.evolve(refusal, not_run=attempt.proves_not_run))


def result_without_answer(attempt: Attempt) -> ClaimResult:
    """Returns the result to record for an attempt without an answer."""
    if attempt.may_have_run:
        return ClaimResult.UNKNOWN
    return ClaimResult.RELEASED


def make_settle_op(
    attempt: Attempt,
    result: ClaimResult,
    bill: Bill | None,
    answer: Answer | None,
) -> SettleOp:
    """Returns the operation that settles a granted claim."""
    reply = attempt.reply
    assert reply is not None and is_granted(reply)
    return SettleOp(
        attempt.ask.workspace,
        attempt.ask.key,
        reply.attempt,
        result,
        bill,
        answer,
    )


def refuse_claim(attempt: Attempt, reply: ClaimReply) -> Part:
    """Returns the part for a claim that was not granted."""
    match reply.outcome:
        case ClaimOutcome.ANSWERED if reply.answer is not None:
            return Recorded(reply.answer)
        case ClaimOutcome.ANSWERED:
            code = RefusalCode.OUTCOME_UNKNOWN
            message = "The request was answered; its answer is not kept."
        case ClaimOutcome.MISMATCH:
            code = RefusalCode.KEY_MISMATCH
            message = "The key was used for another request."
        case ClaimOutcome.UNKNOWN:
            code = RefusalCode.OUTCOME_UNKNOWN
            message = "An earlier attempt may have run the request."
        case ClaimOutcome.RUNNING:
            code = RefusalCode.DEADLINE
            message = "Another attempt still runs the request."
        case _:
            code = RefusalCode.CLAIM_UNAVAILABLE
            message = "The request's claim can't be made certain now."
    return Refused(
        Refusal(
            code,
            message,
            attempt.proves_not_run,
            reply.retry_after_s or CLAIM_RETRY_S,
        )
    )
