"""Obtains, confirms and ends the claims of attempts."""

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
CLAIM_WAIT_S = 0.1  # Before the dispatch of a keyed request.
REFUSAL_CLAIM_WAIT_S = 0.5  # A refusal waits no longer for its claim.
JOIN_POLL_INTERVAL_S = (
    0.1  # Between looks at a claim that another attempt runs.
)
RECONFIRM_AGE_S = 1.0  # A claim older than this is asked for again.
MAX_CONFIRM_REQUESTS = 3
SETTLE_RETRY_INTERVAL_S = 1.0  # Between tries to end a claim in the background.
SETTLE_DRAIN_S = 10.0  # That a planned stop waits for claims to be ended.
SETTLE_RETRY_LIMIT_S = (
    3600.0  # An outage may be long; a claim must not run for ever.
)
MAX_PENDING_SETTLEMENTS = (
    10_000  # Claims that wait to be ended; further ones lapse.
)
CLAIM_RETRY_S = 2.0
# Outcomes of a claim that tell a caller more than any refusal.
OVERRIDING_OUTCOMES = (
    ClaimOutcome.ANSWERED,
    ClaimOutcome.MISMATCH,
    ClaimOutcome.UNKNOWN,
)


@attrs.define
class ClaimManager:
    """Looks after the claims of the attempts of one entry.

    Attributes:
      tasks: Runs that go on without a caller; a planned stop waits for them.
      settlements: Claims being ended; a planned stop waits a little for them.
    """

    claims: Claims
    clock: Clock
    metrics: Metrics
    spawn: Callable[..., asyncio.Task]
    tasks: set[asyncio.Task] = attrs.Factory(set)
    settlements: set[asyncio.Task] = attrs.Factory(set)

    def spawn_tracked(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task:
        """Runs work that a planned stop has to wait for."""
        task = self.spawn(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def drain(self) -> None:
        """Waits until nothing goes on without a caller.

        A claim that can't be ended, since the store is down, does not hold
        up a planned stop: it is then taken for one of a dead holder.
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
        """Starts to obtain the claim, unless that was done."""
        if attempt.claim_task is None:
            attempt.claim_task = self.spawn(self.obtain(attempt))

    async def obtain(self, attempt: Attempt) -> ClaimReply:
        """Claims a request; waits while another attempt runs it."""
        while True:
            now = self.clock.monotonic()
            remaining_s = attempt.request.deadline - now
            if remaining_s <= 0:
                return UNAVAILABLE
            # Taken before the ask: a pause at any later moment counts.
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
        """Returns what came of the claim."""
        assert attempt.claim_task is not None
        # The claim goes on when its caller goes away: it has to be ended.
        return await asyncio.shield(attempt.claim_task)

    async def wait_at_most(self, attempt: Attempt, seconds: float) -> None:
        """Waits a little for the claim."""
        if attempt.claim_task is not None:
            await asyncio.wait({attempt.claim_task}, timeout=seconds)

    async def claim_before_dispatch(
        self, attempt: Attempt
    ) -> ClaimReply | None:
        """Claims a request, as far as its first dispatch has to wait for it.

        Returns:
          What came of the claim; None if that is not known yet and the
          dispatch may go ahead of it.
        """
        self.start(attempt)
        if not attempt.request.idempotent:
            # At most one dispatch: the claim has to be certain first.
            return await self.wait(attempt)
        if attempt.request.keyed:
            # A repeat of a key is mostly known before an engine is troubled.
            await self.wait_at_most(attempt, CLAIM_WAIT_S)
        return attempt.reply

    async def confirm(self, attempt: Attempt) -> bool:
        """Says, right before a dispatch, whether the claim still holds.

        A process that was frozen since its claim notices by the clock and
        asks again; by then the claim may have been given up as unknown.
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
        """Settles the claim; goes on trying when it can't be done now."""
        op = make_settle_op(attempt, result, bill, answer)
        attempt.closed = True
        # A caller that goes away now must not leave the claim half ended.
        return await asyncio.shield(
            self.spawn_tracked(self.settle_once(attempt, op))
        )

    async def settle_once(
        self, attempt: Attempt, op: SettleOp
    ) -> SettleOutcome:
        """Settles a claim once, and in the background if that failed."""
        outcome = await self.claims.settle(
            op, attempt.ask.holder, SETTLE_TIMEOUT_S
        )
        if outcome is SettleOutcome.UNAVAILABLE:
            self.spawn_settlement(self.settle_in_background(attempt, op))
        return outcome

    async def settle_in_background(
        self, attempt: Attempt, op: SettleOp
    ) -> None:
        """Settles a claim in the background."""
        retry_until = self.clock.monotonic() + SETTLE_RETRY_LIMIT_S
        while self.clock.monotonic() < retry_until:
            # While the store is known to be down the answer comes at once.
            await self.clock.sleep(SETTLE_RETRY_INTERVAL_S)
            outcome = await self.claims.settle(
                op, attempt.ask.holder, SETTLE_TIMEOUT_S
            )
            if outcome is not SettleOutcome.UNAVAILABLE:
                return
            self.metrics.count("claims.retry.settle")
        self.metrics.count("claims.not_ended")

    def abandon(self, attempt: Attempt) -> None:
        """Ends a claim without an answer, in the background.

        For callers that went away and for refusals: a repeat of the key has
        not to wait for this process to die.
        """
        if attempt.closed or attempt.claim_task is None:
            return
        attempt.closed = True
        self.spawn_settlement(self.disown_abandoned(attempt))

    async def disown_abandoned(self, attempt: Attempt) -> None:
        """Ends a claim once it is known whether it was asked for in vain."""
        reply = await self.wait(attempt)
        # Where no reply came, the claim may have been granted all the same.
        if is_granted(reply) or reply.outcome is ClaimOutcome.UNAVAILABLE:
            self.claims.disown(attempt.ask, result_without_answer(attempt))

    def spawn_settlement(self, work: Coroutine[Any, Any, Any]) -> None:
        """Runs the ending of a claim in the background, within a bound."""
        if len(self.settlements) >= MAX_PENDING_SETTLEMENTS:
            self.metrics.count("claims.not_ended")
            work.close()
            return
        task = self.spawn(work)
        self.settlements.add(task)
        task.add_done_callback(self.settlements.discard)

    async def refuse(self, attempt: Attempt, refusal: Refusal) -> Part:
        """Ends an attempt without an answer and returns its last part."""
        if attempt.request.keyed:
            await self.wait_at_most(attempt, REFUSAL_CLAIM_WAIT_S)
        reply = attempt.reply
        if reply is not None and reply.outcome in OVERRIDING_OUTCOMES:
            return refuse_claim(attempt, reply)
        self.abandon(attempt)
        return Refused(attrs.evolve(refusal, not_run=attempt.proves_not_run))


def result_without_answer(attempt: Attempt) -> ClaimResult:
    """Returns the truth about an attempt that gave no answer."""
    if attempt.may_have_run:
        return ClaimResult.UNKNOWN
    return ClaimResult.RELEASED


def make_settle_op(
    attempt: Attempt,
    result: ClaimResult,
    bill: Bill | None,
    answer: Answer | None,
) -> SettleOp:
    """Returns the operation that ends a granted claim."""
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
