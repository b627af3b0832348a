"""Answers one request: plan, claim, dispatch, release, settle, bill."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator, Callable, Collection
from contextlib import aclosing

import attrs

from rattanpier._internal.claims.book import Ask
from rattanpier._internal.claims.records import (
    Answer,
    Bill,
    ClaimResult,
    SettleOp,
)
from rattanpier._internal.claims.service import ClaimReply, Claims
from rattanpier._internal.dispatch.attempts import Attempts, observe
from rattanpier._internal.dispatch.engine import Chunk, EngineError, Usage
from rattanpier._internal.dispatch.parts import (
    Ended,
    Part,
    Piece,
    Recorded,
    Refused,
    Started,
)
from rattanpier._internal.dispatch.tries import (
    NoWorkerError,
    Tries,
    VersionStoppedError,
)
from rattanpier._internal.models.configuration import Configuration, Version
from rattanpier._internal.models.outcomes import ClaimOutcome, SettleOutcome
from rattanpier._internal.models.plan import Plan
from rattanpier._internal.models.refusal import Refusal, RefusalCode
from rattanpier._internal.models.request import RouteRequest
from rattanpier._internal.routing.plan import make_plan, may_serve
from rattanpier._internal.utils.clock import Clock
from rattanpier._internal.utils.metrics import Metrics

CLAIM_TIMEOUT_S = 3.0
CLAIM_HEAD_START_S = 0.1
SETTLE_TIMEOUT_S = 5.0
JOIN_PAUSE_S = 0.1  # Between looks at a claim that another attempt runs.
MILLION = 1_000_000


@attrs.define
class Runner:
    """Answers requests for models.

    Attributes:
      configuration: Returns the configuration in force.
      braked: Versions that peers stopped using.
      holder: Prefix of this process's claims, "name/incarnation".
      attempts: Emits the result of each attempt.
    """

    configuration: Callable[[], Configuration]
    claims: Claims
    tries: Tries
    clock: Clock
    metrics: Metrics
    holder: str
    spawn: Callable[..., asyncio.Task]
    braked: Collection[str] = ()
    attempts: Attempts = attrs.Factory(Attempts)

    async def answer(
        self, request: RouteRequest, request_id: str
    ) -> AsyncIterator[Part]:
        """Yields the parts of an answer."""
        plan = make_plan(self.configuration(), request, self.braked)
        if isinstance(plan, Refusal):
            yield Refused(plan)
            return
        ask = Ask(
            request.workspace,
            request.key,
            f"{self.holder}/{request_id}",
            request.idempotent,
            request.digest,
        )
        claim = self.spawn(self.claim(request, ask))
        if not request.idempotent:
            # At most one dispatch: the claim has to be certain first.
            await claim
        elif request.keyed:
            # A repeat of a key is mostly known before the engine is troubled.
            await asyncio.wait({claim}, timeout=CLAIM_HEAD_START_S)
        async for part in self.run_claimed(request, plan, ask, claim):
            yield part

    async def claim(self, request: RouteRequest, ask: Ask) -> ClaimReply:
        """Claims a request; waits while another attempt runs it."""
        while True:
            left = request.deadline - self.clock.monotonic()
            reply = await self.claims.claim(ask, min(CLAIM_TIMEOUT_S, left))
            if reply.outcome is not ClaimOutcome.RUNNING or left <= 0:
                return reply
            self.metrics.count("claims.joined")
            await self.clock.sleep(JOIN_PAUSE_S)

    async def run_claimed(
        self,
        request: RouteRequest,
        plan: Plan,
        ask: Ask,
        claim: asyncio.Task[ClaimReply],
    ) -> AsyncIterator[Part]:
        """Runs a request unless its claim went to somebody else."""
        if claim.done() and not granted(claim.result()):
            yield refuse_claim(claim.result())
            return
        version = plan.steps[0]
        chunks: list[Chunk] = []
        failure: Refusal | None = None
        source = self.chunks(request, version, ask.holder)
        try:
            async with aclosing(source):
                async for chunk in source:
                    if not chunks:
                        reply = await claim
                        if not granted(reply):
                            yield refuse_claim(reply)
                            return
                        yield Started(version, plan.pin_lost)
                    chunks.append(chunk)
                    if chunk.finish is None:
                        yield Piece(chunk)
        except (EngineError, NoWorkerError, VersionStoppedError) as error:
            failure = describe_failure(error)
        reply = await claim
        if not granted(reply):
            yield refuse_claim(reply)
            return
        if failure is None and (not chunks or chunks[-1].finish is None):
            failure = Refusal(
                RefusalCode.UPSTREAM_FAILED, "The answer is not whole.", False
            )
        if failure is not None:
            yield await self.give_up(request, ask, reply, failure)
            return
        async for part in self.finish(request, version, ask, reply, chunks):
            yield part

    def chunks(
        self, request: RouteRequest, version: str, request_id: str
    ) -> AsyncIterator[Chunk]:
        """Returns an answer's chunks from the workers of a version."""

        def allowed(name: str) -> bool:
            configuration = self.configuration()
            return may_serve(
                configuration,
                configuration.workspaces[request.workspace],
                name,
                request.pinned == name,
                self.braked,
            )

        return observe(
            self.tries.stream(request, version, request_id, allowed),
            self.attempts,
            self.clock,
            request.workspace,
            version,
        )

    async def give_up(
        self,
        request: RouteRequest,
        ask: Ask,
        reply: ClaimReply,
        failure: Refusal,
    ) -> Part:
        """Ends a claim without an answer."""
        may_rerun = failure.not_run or request.idempotent
        result = ClaimResult.RELEASED if may_rerun else ClaimResult.UNKNOWN
        op = SettleOp(request.workspace, request.key, reply.attempt, result)
        await self.claims.settle(op, ask.holder, SETTLE_TIMEOUT_S)
        return Refused(failure)

    async def finish(
        self,
        request: RouteRequest,
        version: str,
        ask: Ask,
        reply: ClaimReply,
        chunks: list[Chunk],
    ) -> AsyncIterator[Part]:
        """Settles and bills an answer, then releases its last chunk."""
        bill = make_bill(self.configuration(), request, version, chunks)
        op = SettleOp(
            request.workspace,
            request.key,
            reply.attempt,
            ClaimResult.ANSWERED,
            bill,
            make_answer(version, chunks),
        )
        outcome = await self.claims.settle(op, ask.holder, SETTLE_TIMEOUT_S)
        if outcome is SettleOutcome.SETTLED:
            yield Piece(chunks[-1])
            yield Ended(bill)
        elif outcome is SettleOutcome.SUPERSEDED:
            yield Refused(
                Refusal(
                    RefusalCode.SUPERSEDED,
                    "A later attempt answers this request.",
                    False,
                )
            )
        else:
            yield Refused(
                Refusal(
                    RefusalCode.OUTCOME_UNKNOWN,
                    "The answer could not be settled; ask again by key.",
                    False,
                    retry_after_s=2.0,
                )
            )


def granted(reply: ClaimReply) -> bool:
    """Says whether a claim was granted."""
    return reply.outcome is ClaimOutcome.GRANTED


def refuse_claim(reply: ClaimReply) -> Part:
    """Returns the part for a claim that was not granted."""
    match reply.outcome:
        case ClaimOutcome.ANSWERED:
            assert reply.answer is not None
            return Recorded(reply.answer)
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
    return Refused(Refusal(code, message, False, retry_after_s=2.0))


def describe_failure(error: Exception) -> Refusal:
    """Returns the refusal for a failed dispatch."""
    match error:
        case NoWorkerError():
            return Refusal(
                RefusalCode.NO_WORKER, "No worker is free.", True, 1.0
            )
        case VersionStoppedError():
            return Refusal(
                RefusalCode.VERSION_WITHDRAWN,
                f"Version {error} takes no new work.",
                True,
            )
        case EngineError():
            return Refusal(
                RefusalCode.UPSTREAM_FAILED,
                f"The upstream failed: {error}.",
                error.not_run,
                error.retry_after_s or 1.0,
            )
        case _:
            raise error


def make_bill(
    configuration: Configuration,
    request: RouteRequest,
    version: str,
    chunks: list[Chunk],
) -> Bill:
    """Returns the bill for a whole answer."""
    usage = chunks[-1].usage or Usage(request.prompt_tokens, len(chunks))
    known = configuration.versions.get(version) or Version("")
    price = (
        usage.prompt_tokens * known.input_price
        + usage.output_tokens * known.output_price
    ) / MILLION
    return Bill(
        request.workspace,
        request.key,
        version,
        usage.prompt_tokens,
        usage.output_tokens,
        price,
    )


def make_answer(version: str, chunks: list[Chunk]) -> Answer:
    """Returns the answer to record: the whole chat completion."""
    return Answer(
        200, "application/json", json.dumps(completion(chunks)), version
    )


def completion(chunks: list[Chunk]) -> dict:
    """Returns a chat completion from the chunks of its stream."""
    last = json.loads(chunks[-1].data)
    text = "".join(chunk.text for chunk in chunks)
    return {
        "id": last["id"],
        "object": "chat.completion",
        "created": last.get("created", 0),
        "model": last["model"],
        "choices": [
            {
                "index": 0,
                "message": {"role": "assistant", "content": text},
                "finish_reason": chunks[-1].finish,
            }
        ],
        "usage": last.get("usage"),
    }
