"""Answers model requests: plan, admit, claim, dispatch, settle and bill.

Nothing is released to the caller before the claim is certain, and the end of an
answer not before it is settled.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable, Collection
from contextlib import aclosing

import attrs
import structlog

from rattanpier._internal.cascade.policy import (
    CascadePolicy,
    fixed_threshold,
)
from rattanpier._internal.claims.records import Bill, ClaimResult
from rattanpier._internal.claims.service import ClaimReply, Claims
from rattanpier._internal.dispatch.admit import Admit, admit_all
from rattanpier._internal.dispatch.attempt import (
    Attempt,
    is_granted,
    make_attempt,
)
from rattanpier._internal.dispatch.attempts import Attempts
from rattanpier._internal.dispatch.bills import make_answer, make_bill
from rattanpier._internal.dispatch.claim_manager import (
    ClaimManager,
    refuse_claim,
)
from rattanpier._internal.dispatch.detach import detached
from rattanpier._internal.dispatch.engine import Chunk
from rattanpier._internal.dispatch.failures import (
    DispatchError,
    deadline_exceeded,
    not_current,
)
from rattanpier._internal.dispatch.parts import (
    Completed,
    Flush,
    Part,
    Refused,
    ReleasedChunk,
    Started,
)
from rattanpier._internal.dispatch.steps import StepRun, usable_steps
from rattanpier._internal.dispatch.upstream_dispatcher import UpstreamDispatcher
from rattanpier._internal.models.configuration import Configuration
from rattanpier._internal.models.outcomes import SettleOutcome
from rattanpier._internal.models.plan import Plan
from rattanpier._internal.models.refusal import Refusal, RefusalCode
from rattanpier._internal.models.request import RouteRequest
from rattanpier._internal.routing.plan import make_plan, may_serve
from rattanpier._internal.utils.clock import Clock
from rattanpier._internal.utils.metrics import Metrics

log = structlog.get_logger(part="dispatch")

UNSETTLED_RETRY_S = 2.0
INTERNAL_RETRY_S = 1.0
# Versions are withdrawn a few times a day. A second withdrawal between planning
# and dispatch is therefore rare, and is reported to the caller.
MAX_PLANS = 2

Observe = Callable[[RouteRequest, Plan | Refusal, Collection[str]], None]


def observe_nothing(
    request: RouteRequest, plan: Plan | Refusal, braked: Collection[str]
) -> None:
    """Ignores a request and its plan."""


@attrs.define
class Runner:
    """Answers requests for models.

    Attributes:
      configuration: Returns the configuration in force.
      holder: Prefix of the claim holders of this process,
        "name/incarnation".
      braked: Versions that peers stopped using.
      admit: Delays or refuses a request before it is claimed.
      policy: Decides which step to start at and when to continue.
      observe: Called with each request and its plan, to record them.
    """

    configuration: Callable[[], Configuration]
    claims: Claims
    dispatcher: UpstreamDispatcher
    claim_manager: ClaimManager
    clock: Clock
    metrics: Metrics
    holder: str
    spawn: Callable[..., asyncio.Task]
    braked: Collection[str] = ()
    admit: Admit = admit_all
    policy: CascadePolicy = attrs.Factory(lambda: fixed_threshold(0.0))
    observe: Observe = observe_nothing

    @property
    def attempts(self) -> Attempts:
        """Emits the result of each upstream request."""
        return self.dispatcher.attempts

    def answer(
        self, request: RouteRequest, request_id: str
    ) -> AsyncIterator[Part]:
        """Yields the parts of an answer.

        Closing the generator early means that the caller disconnected. An
        idempotent request is then cancelled and its claim released. A
        non-idempotent one is completed, so that a repeat of its key finds the
        answer.
        """
        parts = self.attempt(request, request_id)
        if request.idempotent:
            return parts
        return detached(parts, self.claim_manager.spawn_tracked)

    async def attempt(
        self, request: RouteRequest, request_id: str
    ) -> AsyncIterator[Part]:
        """Yields the parts of an answer and always ends the claim."""
        attempt = make_attempt(request, self.holder, request_id)
        try:
            async with aclosing(self.run_with_replanning(attempt)) as parts:
                async for part in parts:
                    yield part
        except AssertionError:
            raise
        except Exception:
            log.exception("Request failed.", request=attempt.ask.holder)
            yield Refused(internal_failure())
        finally:
            self.claim_manager.abandon(attempt)

    async def run_with_replanning(
        self, attempt: Attempt
    ) -> AsyncIterator[Part]:
        """Plans and runs a request, planning it again if the plan is stale.

        A version may be withdrawn between planning and dispatch. If nothing
        was sent yet, the request is planned once more.
        """
        request = attempt.request
        self.dispatcher.budget.record_request()
        if request.keyed:
            # The outcome of an earlier attempt takes precedence over any
            # refusal of this one.
            self.claim_manager.start(attempt)
        for plans in range(1, MAX_PLANS + 1):
            try:
                async with aclosing(self.plan_and_run(attempt)) as parts:
                    async for part in parts:
                        yield part
                return
            except DispatchError as error:
                if plans == MAX_PLANS or not is_plan_stale(error, attempt):
                    yield await self.claim_manager.refuse(
                        attempt, error.refusal
                    )
                    return
                self.metrics.count("dispatch.planned_again")

    async def plan_and_run(self, attempt: Attempt) -> AsyncIterator[Part]:
        """Plans a request with the configuration in force, and runs it.

        Raises:
          DispatchError: There is no answer, or no more of it.
        """
        configuration = self.configuration()
        plan = self.plan(configuration, attempt.request)
        if isinstance(plan, Refusal):
            yield await self.claim_manager.refuse(attempt, plan)
            return
        async with self.admit(attempt.request, plan) as refusal:
            if refusal is not None:
                yield await self.claim_manager.refuse(attempt, refusal)
                return
            run = self.claim_and_run(attempt, configuration, plan)
            async with aclosing(run) as parts:
                async for part in parts:
                    yield part

    def plan(
        self, configuration: Configuration, request: RouteRequest
    ) -> Plan | Refusal:
        """Returns the plan for a request, or why it has none."""
        plan = make_plan(configuration, request, self.braked)
        self.observe(request, plan, self.braked)
        if not self.dispatcher.current():
            return not_current().refusal
        if self.dispatcher.remaining_s(request) <= 0:
            return deadline_exceeded().refusal
        if isinstance(plan, Plan) and not plan.steps:
            return Refusal(
                RefusalCode.NO_RULE,
                "The rule names a plain service: ask under /services/.",
                True,
            )
        return plan

    async def claim_and_run(
        self, attempt: Attempt, configuration: Configuration, plan: Plan
    ) -> AsyncIterator[Part]:
        """Claims and runs a request unless its claim is refused.

        Raises:
          DispatchError: There is no answer, or no more of it.
        """
        reply = await self.claim_manager.claim_before_dispatch(attempt)
        if reply is not None and not may_dispatch(attempt.request, reply):
            yield refuse_claim(attempt, reply)
            return
        async with aclosing(
            self.stream_claimed(attempt, configuration, plan)
        ) as parts:
            async for part in parts:
                yield part

    async def stream_claimed(
        self, attempt: Attempt, configuration: Configuration, plan: Plan
    ) -> AsyncIterator[Part]:
        """Yields the parts of an answer as soon as they may be released.

        Nothing is released before the claim is certain. The end of the answer
        is withheld until the claim is settled.

        Raises:
          DispatchError: There is no answer, or no more of it.
        """
        chunks: list[Chunk] = []
        withheld: list[Chunk] = []  # From the finishing chunk on.
        version = ""
        run = self.start_steps(attempt, plan)
        async with aclosing(run.chunks()) as steps:
            async for step in steps:
                if not chunks:
                    reply = await self.claim_manager.wait(attempt)
                    if not is_granted(reply):
                        yield refuse_claim(attempt, reply)
                        return
                    version = step.version
                    yield Started(version, plan.pin_lost)
                chunks.append(step.chunk)
                if withheld or step.chunk.finish is not None:
                    withheld.append(step.chunk)
                else:
                    yield ReleasedChunk(step.chunk)
        yield Flush()
        bill = make_bill(configuration, attempt.request, run.step_usages)
        refusal = await self.settle(attempt, version, bill, chunks)
        if refusal is not None:
            yield Refused(refusal)
            return
        for chunk in withheld:
            yield ReleasedChunk(chunk)
        yield Completed(bill)

    def start_steps(self, attempt: Attempt, plan: Plan) -> StepRun:
        """Returns the run of an attempt through the steps of its plan."""
        request = attempt.request

        def allowed(name: str) -> bool:
            configuration = self.configuration()
            workspace = configuration.workspaces.get(request.workspace)
            return workspace is not None and may_serve(
                configuration,
                workspace,
                name,
                request.pinned == name,
                self.braked,
            )

        return StepRun(
            self.policy.begin(
                request, usable_steps(request, plan), attempt.ask.holder
            ),
            self.policy,
            lambda version: self.dispatcher.stream(attempt, version, allowed),
            allowed,
            self.dispatcher.may_retry_step,
        )

    async def settle(
        self, attempt: Attempt, version: str, bill: Bill, chunks: list[Chunk]
    ) -> Refusal | None:
        """Settles and bills an answer.

        Returns:
          None if the answer may be released, else the refusal.
        """
        # The key of an unkeyed request was generated here, so no caller can
        # ask for its answer.
        keep = attempt.request.keyed
        outcome = await self.claim_manager.settle(
            attempt,
            ClaimResult.ANSWERED,
            bill,
            make_answer(version, chunks) if keep else None,
        )
        return settle_refusal(outcome)


def is_plan_stale(error: DispatchError, attempt: Attempt) -> bool:
    """Returns whether an attempt failed on a stale plan before any dispatch."""
    withdrawn = error.refusal.code is RefusalCode.VERSION_WITHDRAWN
    return withdrawn and not attempt.may_have_run


def may_dispatch(request: RouteRequest, reply: ClaimReply) -> bool:
    """Returns whether a claim allows a dispatch.

    A grant that is not durable suffices only for idempotent requests, which may
    run twice.
    """
    return is_granted(reply) and (reply.durable or request.idempotent)


def internal_failure() -> Refusal:
    """Returns the refusal for an unexpected exception."""
    return Refusal(
        RefusalCode.INTERNAL, "The entry failed.", False, INTERNAL_RETRY_S
    )


def settle_refusal(outcome: SettleOutcome) -> Refusal | None:
    """Returns the refusal for an unsettled answer; None if it is settled."""
    match outcome:
        case SettleOutcome.SETTLED:
            return None
        case SettleOutcome.SUPERSEDED:
            return Refusal(
                RefusalCode.SUPERSEDED,
                "A later attempt answers this request.",
                False,
                UNSETTLED_RETRY_S,
            )
        case _:
            return Refusal(
                RefusalCode.OUTCOME_UNKNOWN,
                "The answer could not be settled; ask again by key.",
                False,
                UNSETTLED_RETRY_S,
            )
