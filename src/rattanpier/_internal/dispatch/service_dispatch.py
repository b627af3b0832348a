"""Dispatches calls to the workers of a plain service, with retries."""

from __future__ import annotations

from collections.abc import Collection

from rattanpier._internal.dispatch.attempt import Attempt
from rattanpier._internal.dispatch.failures import (
    DispatchError,
    UpstreamError,
    no_worker,
    upstream_failed,
)
from rattanpier._internal.dispatch.plain import (
    ServiceAnswer,
    ServiceCall,
    send_call,
)
from rattanpier._internal.dispatch.quarantining import content_key
from rattanpier._internal.dispatch.upstream_dispatcher import UpstreamDispatcher
from rattanpier._internal.models.configuration import (
    Configuration,
    UpstreamKind,
)
from rattanpier._internal.models.refusal import RefusalCode
from rattanpier._internal.routing.placement import Target


async def dispatch_call(
    dispatcher: UpstreamDispatcher,
    attempt: Attempt,
    service: str,
    call: ServiceCall,
) -> ServiceAnswer:
    """Returns the answer to a call, retrying on other workers.

    Raises:
      DispatchError: No worker can answer, or no retry is allowed.
    """
    tried: set[str] = set()
    last_error: UpstreamError | None = None
    while True:
        target = pick_target(dispatcher, service, tried)
        if target is None:
            raise upstream_failed(last_error) if last_error else no_worker()
        await dispatcher.check_claim(attempt)
        if not may_use_service(
            dispatcher.configuration(), attempt.request.workspace, service
        ):
            raise service_not_allowed(service)
        tried.add(target.name)
        ran_before = attempt.record_dispatch()
        try:
            answer = await send_to_worker(dispatcher, attempt, target, call)
            dispatcher.quarantine.record_answer(content_key(attempt.request))
            return answer
        except UpstreamError as error:
            await dispatcher.record_failure(attempt, target, error, ran_before)
            dispatcher.check_retry(attempt.request, error, tried)
            last_error = error


async def send_to_worker(
    dispatcher: UpstreamDispatcher,
    attempt: Attempt,
    target: Target,
    call: ServiceCall,
) -> ServiceAnswer:
    """Sends a call to a worker and returns its answer.

    Raises:
      UpstreamError: The worker refused or failed.
    """
    dispatcher.load.outstanding[target.name] += 1
    try:
        return await send_call(
            dispatcher.session_for(attempt.request),
            target.worker.url,
            call,
            attempt.next_request_id(),
            dispatcher.remaining_s(attempt.request),
        )
    finally:
        dispatcher.load.outstanding[target.name] -= 1


def pick_target(
    dispatcher: UpstreamDispatcher, service: str, tried: set[str]
) -> Target | None:
    """Returns the worker for the next upstream request, or None."""

    def find(leaving: Collection[str]) -> list[Target]:
        return dispatcher.placement.of_service(
            dispatcher.configuration(), service, leaving, tried
        )

    return dispatcher.choose_target(find, tried)


def may_use_service(
    configuration: Configuration, workspace: str, service: str
) -> bool:
    """Returns whether a workspace may use a plain service."""
    upstream = configuration.upstreams.get(service)
    known = configuration.workspaces.get(workspace)
    return (
        upstream is not None
        and upstream.kind is UpstreamKind.PLAIN
        and known is not None
        and service in known.services
    )


def service_not_allowed(service: str) -> DispatchError:
    """Returns the error for a service that the workspace may not use."""
    return DispatchError(
        RefusalCode.SERVICE_NOT_ALLOWED,
        f"The workspace may not use service {service!r}.",
        None,
    )
