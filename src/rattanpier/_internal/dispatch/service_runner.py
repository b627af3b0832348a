"""Answers one call to a plain service: as a model's request, but whole."""

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
from rattanpier._internal.dispatch.failures import (
    DispatchError,
    deadline_exceeded,
    not_current,
)
from rattanpier._internal.dispatch.keeper import ClaimKeeper, refuse_claim
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
      holder: Prefix of this process's claims, "name/incarnation".
      admit: May hold a call back or refuse it before it is claimed.
    """

    configuration: Callable[[], Configuration]
    dispatcher: UpstreamDispatcher
    keeper: ClaimKeeper
    holder: str
    admit: Admit = admit_all

    async def answer(
        self, request: RouteRequest, call: ServiceCall, request_id: str
    ) -> ServiceResult:
        """Returns the answer to a call.

        A caller that goes away cancels this: an idempotent call then ends,
        another goes on so that a repeat of its key finds the answer.
        """
        self.dispatcher.budget.record_request()
        request = self.mark(request, request.service, call)
        plan = self.plan(request)
        if isinstance(plan, Plan):
            request = self.mark(request, plan.service, call)
        work = self.attempt(request, plan, call, request_id)
        if request.idempotent:
            return await work
        return await asyncio.shield(self.keeper.track(work))

    def mark(
        self, request: RouteRequest, service: str, call: ServiceCall
    ) -> RouteRequest:
        """Marks a request that a service's upstream says not to repeat."""
        upstream = self.configuration().upstreams.get(service)
        listed = upstream.non_repeatable if upstream else []
        if may_repeat(listed, call.method, call.target):
            return request
        return attrs.evolve(request, idempotent=False)

    def plan(self, request: RouteRequest) -> Plan | Refusal:
        """Decides which service gets a call."""
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
        """Runs one attempt and ends its claim in any case."""
        attempt = make_attempt(request, self.holder, request_id)
        try:
            if request.keyed:
                # What became of an earlier attempt goes before any refusal.
                self.keeper.begin(attempt)
            if isinstance(plan, Refusal):
                return await self.keeper.give_up(attempt, plan)
            async with self.admit(request, plan) as refusal:
                if refusal is not None:
                    return await self.keeper.give_up(attempt, refusal)
                return await self.claim_and_run(attempt, plan.service, call)
        except DispatchError as error:
            return await self.keeper.give_up(attempt, error.refusal)
        except AssertionError:
            raise
        except Exception:
            log.exception("Call failed.", request=attempt.ask.holder)
            return Refused(internal_failure())
        finally:
            self.keeper.abandon(attempt)

    async def claim_and_run(
        self, attempt: Attempt, service: str, call: ServiceCall
    ) -> ServiceResult:
        """Runs a call unless its claim went to somebody else."""
        reply = await self.keeper.claim_first(attempt)
        if reply is not None and not may_dispatch(attempt.request, reply):
            return refuse_claim(attempt, reply)
        answer = await dispatch_call(self.dispatcher, attempt, service, call)
        reply = await self.keeper.wait(attempt)
        if not is_granted(reply):
            return refuse_claim(attempt, reply)
        refusal = await self.settle(attempt, service, answer)
        return answer if refusal is None else Refused(refusal)

    async def settle(
        self, attempt: Attempt, service: str, answer: ServiceAnswer
    ) -> Refusal | None:
        """Settles and bills an answer; returns why it can't be released."""
        request = attempt.request
        outcome = await self.keeper.end(
            attempt,
            ClaimResult.ANSWERED,
            Bill(request.workspace, request.key, service, 0, 0, 0.0),
            make_record(service, answer) if request.keyed else None,
        )
        return settle_refusal(outcome)


def make_record(service: str, answer: ServiceAnswer) -> Answer:
    """Returns the answer to record."""
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
