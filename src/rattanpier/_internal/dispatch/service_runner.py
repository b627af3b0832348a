"""Answers calls to plain services.

A call goes through the same stages as a request for a model, but its answer is
returned complete rather than streamed.
"""

from __future__ import annotations

import asyncio
import base64
from collections.abc import Callable

import attrs
import structlog

from rattanpier._internal.claims.records import Answer, Bill, ClaimResult
from rattanpier._internal.dispatch.admit import Admit, admit_all
from rattanpier._internal.dispatch.attempt import (
    Attempt,
    is_granted,
    make_attempt,
)
from rattanpier._internal.dispatch.claim_manager import (
    ClaimManager,
    refuse_claim,
)
from rattanpier._internal.dispatch.failures import (
    DispatchError,
    deadline_exceeded,
    not_current,
)
from rattanpier._internal.dispatch.parts import Recorded, Refused
from rattanpier._internal.dispatch.plain import ServiceAnswer, ServiceCall
from rattanpier._internal.dispatch.repeatable import may_repeat
from rattanpier._internal.dispatch.runner import (
    internal_failure,
    may_dispatch,
    settle_refusal,
)
from rattanpier._internal.dispatch.service_dispatch import dispatch_call
from rattanpier._internal.dispatch.upstream_dispatcher import UpstreamDispatcher
from rattanpier._internal.models.configuration import Configuration
from rattanpier._internal.models.plan import Plan
from rattanpier._internal.models.refusal import Refusal, RefusalCode
from rattanpier._internal.models.request import RouteRequest
from rattanpier._internal.routing.plan import make_plan

log = structlog.get_logger(part="dispatch")

MAX_RECORDED_BYTES = 256 * 2**10
DEFAULT_TYPE = "application/octet-stream"

ServiceResult = ServiceAnswer | Recorded | Refused


@attrs.define
class ServiceRunner:
    """Answers calls to plain services.

    Attributes:
      configuration: Returns the configuration in force.
      holder: Prefix of the claim holders of this process,
        "name/incarnation".
      admit: Delays or refuses a call before it is claimed.
    """

    configuration: Callable[[], Configuration]
    dispatcher: UpstreamDispatcher
    claim_manager: ClaimManager
    holder: str
    admit: Admit = admit_all

    async def answer(
        self, request: RouteRequest, call: ServiceCall, request_id: str
    ) -> ServiceResult:
        """Returns the answer to a call.

        Cancelled when the caller disconnects. An idempotent call is then
        cancelled too; a non-idempotent one is completed, so that a repeat of
        its key finds the answer.
        """
        self.dispatcher.budget.record_request()
        request = self.mark(request, request.service, call)
        plan = self.plan(request)
        if isinstance(plan, Plan):
            request = self.mark(request, plan.service, call)
        work = self.attempt(request, plan, call, request_id)
        if request.idempotent:
            return await work
        return await asyncio.shield(self.claim_manager.spawn_tracked(work))

    def mark(
        self, request: RouteRequest, service: str, call: ServiceCall
    ) -> RouteRequest:
        """Returns the request, non-idempotent if the service lists the call."""
        upstream = self.configuration().upstreams.get(service)
        listed = upstream.non_repeatable if upstream else []
        if may_repeat(listed, call.method, call.target):
            return request
        return attrs.evolve(request, idempotent=False)

    def plan(self, request: RouteRequest) -> Plan | Refusal:
        """Returns the plan for a call, or why it has none."""
        if not self.dispatcher.current():
            return not_current().refusal
        if self.dispatcher.remaining_s(request) <= 0:
            return deadline_exceeded().refusal
        plan = make_plan(self.configuration(), request)
        if isinstance(plan, Plan) and not plan.service:
            return Refusal(
                RefusalCode.NO_RULE,
                "No rule passes the request on to a service.",
                True,
            )
        return plan

    async def attempt(
        self,
        request: RouteRequest,
        plan: Plan | Refusal,
        call: ServiceCall,
        request_id: str,
    ) -> ServiceResult:
        """Runs one attempt and always ends its claim."""
        attempt = make_attempt(request, self.holder, request_id)
        try:
            if request.keyed:
                # The outcome of an earlier attempt takes precedence over any
                # refusal of this one.
                self.claim_manager.start(attempt)
            if isinstance(plan, Refusal):
                return await self.claim_manager.refuse(attempt, plan)
            async with self.admit(request, plan) as refusal:
                if refusal is not None:
                    return await self.claim_manager.refuse(attempt, refusal)
                return await self.claim_and_run(attempt, plan.service, call)
        except DispatchError as error:
            return await self.claim_manager.refuse(attempt, error.refusal)
        except AssertionError:
            raise
        except Exception:
            log.exception("Call failed.", request=attempt.ask.holder)
            return Refused(internal_failure())
        finally:
            self.claim_manager.abandon(attempt)

    async def claim_and_run(
        self, attempt: Attempt, service: str, call: ServiceCall
    ) -> ServiceResult:
        """Claims and runs a call unless its claim is refused."""
        reply = await self.claim_manager.claim_before_dispatch(attempt)
        if reply is not None and not may_dispatch(attempt.request, reply):
            return refuse_claim(attempt, reply)
        answer = await dispatch_call(self.dispatcher, attempt, service, call)
        reply = await self.claim_manager.wait(attempt)
        if not is_granted(reply):
            return refuse_claim(attempt, reply)
        refusal = await self.settle(attempt, service, answer)
        return answer if refusal is None else Refused(refusal)

    async def settle(
        self, attempt: Attempt, service: str, answer: ServiceAnswer
    ) -> Refusal | None:
        """Settles and bills an answer.

        Returns:
          None if the answer may be released, else the refusal.
        """
        request = attempt.request
        outcome = await self.claim_manager.settle(
            attempt,
            ClaimResult.ANSWERED,
            Bill(request.workspace, request.key, service, 0, 0, 0.0),
            make_record(service, answer) if request.keyed else None,
        )
        return settle_refusal(outcome)


def make_record(service: str, answer: ServiceAnswer) -> Answer:
    """Returns the record of an answer, without a body that is too large."""
    types = [
        value
        for name, value in answer.headers
        if name.lower() == "content-type"
    ]
    kept = len(answer.body) <= MAX_RECORDED_BYTES
    return Answer(
        status=answer.status,
        content_type=types[0] if types else DEFAULT_TYPE,
        body=base64.b64encode(answer.body).decode() if kept else "",
        version=service,
        base64=True,
        kept=kept,
    )
