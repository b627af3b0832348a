"""Tries to get an answer from the workers of one plain service."""

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
from rattanpier._internal.dispatch.quarantining import content_of
from rattanpier._internal.dispatch.tries import Tries
from rattanpier._internal.models.configuration import (
    Configuration,
    UpstreamKind,
)
from rattanpier._internal.models.refusal import RefusalCode
from rattanpier._internal.routing.placement import Target


async def try_service(
    tries: Tries, attempt: Attempt, service: str, call: ServiceCall
) -> ServiceAnswer:
    """Returns the answer of one worker, or of a retry on others.

    Raises:
      DispatchError: No try, or no further try, can answer.
    """
    tried: set[str] = set()
    failed: UpstreamError | None = None
    while True:
        target = pick(tries, service, tried)
        if target is None:
            raise upstream_failed(failed) if failed else no_worker()
        await tries.check_claim(attempt)
        if not may_use(
            tries.configuration(), attempt.request.workspace, service
        ):
            raise not_allowed(service)
        tried.add(target.name)
        ran_before = attempt.note_dispatch()
        try:
            answer = await send_one(tries, attempt, target, call)
            tries.quarantine.note_answered(content_of(attempt.request))
            return answer
        except UpstreamError as error:
            await tries.note_failure(attempt, target, error, ran_before)
            tries.check_retry(attempt.request, error, tried)
            failed = error


async def send_one(
    tries: Tries, attempt: Attempt, target: Target, call: ServiceCall
) -> ServiceAnswer:
    """Sends a call to one worker."""
    tries.load.outstanding[target.name] += 1
    try:
        return await send_call(
            tries.session_for(attempt.request),
            target.worker.url,
            call,
            attempt.next_id(),
            tries.left_s(attempt.request),
        )
    finally:
        tries.load.outstanding[target.name] -= 1


def pick(tries: Tries, service: str, tried: set[str]) -> Target | None:
    """Returns the worker for the next try."""

    def find(leaving: Collection[str]) -> list[Target]:
        return tries.placement.of_service(
            tries.configuration(), service, leaving, tried
        )

    return tries.choose_of(find, tried)


def may_use(configuration: Configuration, workspace: str, service: str) -> bool:
    """Says whether a workspace may use a plain service now."""
    upstream = configuration.upstreams.get(service)
    known = configuration.workspaces.get(workspace)
    return (
        upstream is not None
        and upstream.kind is UpstreamKind.PLAIN
        and known is not None
        and service in known.services
    )


def not_allowed(service: str) -> DispatchError:
    """Returns the error for a service that the workspace lost."""
    return DispatchError(
        RefusalCode.SERVICE_NOT_ALLOWED,
        f"The workspace may not use service {service!r}.",
        None,
    )
