"""Dispatches requests to the workers of a version, with bounded retries.

A request is sent again only if it is idempotent or certainly did not run. Each
dispatch is preceded by checks that the claim, the configuration and the
deadline still allow it, because a withdrawal has to take effect at once.
"""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import AsyncIterator, Awaitable, Callable, Collection
from contextlib import aclosing

import aiohttp
import attrs

from rattanpier._internal.dispatch.attempt import Attempt
from rattanpier._internal.dispatch.attempts import Attempts, report_result
from rattanpier._internal.dispatch.budget import RetryBudget
from rattanpier._internal.dispatch.engine import (
    Chunk,
    EngineCall,
    cancel_chat,
    stream_chat,
)
from rattanpier._internal.dispatch.failures import (
    UpstreamError,
    claim_unconfirmed,
    deadline_exceeded,
    no_worker,
    not_current,
    retry_budget_exhausted,
    upstream_failed,
    version_withdrawn,
)
from rattanpier._internal.dispatch.quarantining import (
    AnswerWatch,
    content_key,
    has_terminated,
    request_quarantined,
)
from rattanpier._internal.models.configuration import Configuration
from rattanpier._internal.models.request import RouteRequest
from rattanpier._internal.placement.backoffs import Backoffs
from rattanpier._internal.retries.quarantine import Quarantine
from rattanpier._internal.routing.placement import (
    Load,
    Placement,
    Target,
    two_choices,
)
from rattanpier._internal.utils.clock import Clock
from rattanpier._internal.utils.metrics import Metrics

MAX_UPSTREAM_REQUESTS = 3
MAX_CLAIM_AGE_S = 3.0  # Confirming the claim and connecting take up to 2 s.
MAX_RESUMES_PER_RUN = 3

MayServe = Callable[[str], bool]
ConfirmClaim = Callable[[Attempt], Awaitable[bool]]


@attrs.define
class UpstreamDispatcher:
    """Dispatches requests to workers and retries failed ones.

    Attributes:
      session: HTTP session with pooled connections, for idempotent requests.
      unpooled_session: HTTP session for non-idempotent requests. Each request
        gets its own connection, so that none is lost on a pooled connection
        that the upstream has closed.
      configuration: Returns the configuration in force.
      confirm: Returns whether a claim still holds, right before a dispatch.
      budget: Limits the retries of this entry.
      placement: The workers that this entry uses.
      leaving: Names of the workers that get no new requests.
      announced_leaving: Returns those of `leaving` that the platform announced
        as leaving; the others only failed to answer probes.
      on_failure: Called with a worker's name and the error of an upstream
        request.
      quarantine: Requests under which workers crashed.
      backoffs: Workers that refused a request and sent Retry-After.
      current: Returns whether the configuration of this node is in force.
      attempts: Emits the result of each upstream request.
    """

    session: aiohttp.ClientSession
    unpooled_session: aiohttp.ClientSession
    configuration: Callable[[], Configuration]
    clock: Clock
    metrics: Metrics
    domain: str
    rng: random.Random
    spawn: Callable[..., asyncio.Task]
    confirm: ConfirmClaim
    budget: RetryBudget
    placement: Placement
    quarantine: Quarantine
    backoffs: Backoffs
    load: Load = attrs.Factory(Load)
    leaving: Collection[str] = ()
    announced_leaving: Callable[[], Collection[str]] = tuple
    on_failure: Callable[[str, Exception], None] = lambda name, error: None
    current: Callable[[], bool] = lambda: True
    attempts: Attempts = attrs.Factory(Attempts)

    async def stream(
        self, attempt: Attempt, version: str, may_serve: MayServe
    ) -> AsyncIterator[Chunk]:
        """Yields the chunks of an answer, retrying on other workers.

        A request is sent again only if it is idempotent or certainly did not
        run. If chunks were already released, a rerun is accepted only while it
        repeats them exactly.

        Args:
          attempt: The attempt to dispatch.
          version: The version that has to answer.
          may_serve: Returns whether a version may take new work.

        Raises:
          DispatchError: No worker can answer, or no retry is allowed.
        """
        tried: set[str] = set()
        released: list[Chunk] = []
        last_error: UpstreamError | None = None
        while True:
            # Checked before picking a worker: if the version was withdrawn,
            # that is the error to report even when no worker is left.
            await self.check_dispatch(attempt, version, may_serve)
            target = self.pick_target(version, tried)
            if target is None:
                raise upstream_failed(last_error) if last_error else no_worker()
            tried.add(target.name)
            ran_before = attempt.record_dispatch()
            answer = AnswerWatch(self.quarantine, attempt.request)
            try:
                source = report_result(
                    self.stream_run(target, attempt, version, may_serve),
                    self.attempts,
                    self.clock,
                    attempt.request.workspace,
                    version,
                )
                async with aclosing(source):
                    async for chunk in source:
                        answer.record_chunk()
                        if not is_already_released(chunk, released):
                            released.append(chunk)
                            yield chunk
                answer.record_end()
                return
            except UpstreamError as error:
                await self.record_failure(
                    attempt, target, error, ran_before, answer.age_s()
                )
                self.check_retry(attempt.request, error, tried)
                last_error = error

    async def check_dispatch(
        self, attempt: Attempt, version: str, may_serve: MayServe
    ) -> None:
        """Raises DispatchError if the attempt must not be dispatched now."""
        await self.check_claim(attempt)
        # Checked last, so that a withdrawal takes effect immediately.
        if not may_serve(version):
            raise version_withdrawn(version)

    async def check_claim(self, attempt: Attempt) -> None:
        """Raises DispatchError if the attempt may not dispatch any more."""
        held_s = self.quarantine.remaining_s(
            content_key(attempt.request), attempt.request.shared_parts
        )
        if held_s:
            self.metrics.count("dispatch.held")
            raise request_quarantined(held_s)
        if not self.current():
            raise not_current()
        if not attempt.request.idempotent and not await self.confirm(attempt):
            raise claim_unconfirmed()
        if self.remaining_s(attempt.request) <= 0:
            raise deadline_exceeded()

    async def record_failure(
        self,
        attempt: Attempt,
        target: Target,
        error: UpstreamError,
        ran_before: bool,
        answering_s: float | None = None,
    ) -> None:
        """Records a failed upstream request and whether it may have run.

        Args:
          attempt: The attempt that the upstream request belongs to.
          target: The worker that it was sent to.
          error: The failure.
          ran_before: The value that `attempt.record_dispatch` returned.
          answering_s: Seconds for which the worker had been answering, None if
            it had not begun.
        """
        self.on_failure(target.name, error)
        if error.retry_after_s:
            self.backoffs.record_backoff(target.name, error.retry_after_s)
        if error.not_run:
            attempt.may_have_run = ran_before
        elif await has_terminated(target):
            self.metrics.count("dispatch.worker_ended")
            self.quarantine.record_crash(
                content_key(attempt.request),
                target.name,
                attempt.request.shared_parts,
                answering_s,
            )

    def choose(self, targets: list[Target]) -> Target | None:
        """Returns the worker to use among `targets`, or None if it is empty."""
        return two_choices(targets, self.load, self.domain, self.rng)

    def check_retry(
        self, request: RouteRequest, error: UpstreamError, tried: set[str]
    ) -> None:
        """Raises DispatchError unless a failed request may be retried."""
        if self.remaining_s(request) <= 0:
            raise deadline_exceeded() from error
        if error.final or len(tried) >= MAX_UPSTREAM_REQUESTS:
            raise upstream_failed(error) from error
        if not error.not_run and not request.idempotent:
            raise upstream_failed(error) from error
        if not self.budget.try_acquire():
            raise retry_budget_exhausted() from error
        self.metrics.count(
            "dispatch.retry.not_run"
            if error.not_run
            else "dispatch.retry.failed"
        )

    def may_send(self, attempt: Attempt) -> bool:
        """Returns whether the request body may still be sent.

        Checked after connecting: the process may have been suspended since the
        claim was confirmed.
        """
        if self.remaining_s(attempt.request) <= 0:
            return False
        age = self.clock.monotonic() - attempt.claim_asked_at
        return attempt.request.idempotent or age <= MAX_CLAIM_AGE_S

    def may_retry_step(self) -> bool:
        """Returns whether the next step may be run after a failed step."""
        allowed = self.budget.try_acquire()
        if allowed:
            self.metrics.count("dispatch.retry.step")
        return allowed

    def remaining_s(self, request: RouteRequest) -> float:
        """Returns the seconds until the request's deadline."""
        return request.deadline - self.clock.monotonic()

    def pick_target(self, version: str, tried: set[str]) -> Target | None:
        """Returns the worker for the next upstream request, or None."""

        def find(leaving: Collection[str]) -> list[Target]:
            return self.placement.of_version(
                self.configuration(), version, leaving, tried
            )

        return self.choose_target(find, tried)

    def choose_target(
        self,
        find: Callable[[Collection[str]], list[Target]],
        tried: Collection[str],
    ) -> Target | None:
        """Returns the worker for an upstream request, or None.

        A worker that missed a probe may only have been slow to answer it. If
        no other worker is left for a retry, such workers are considered as
        well; a first upstream request is refused at once instead.

        Args:
          find: Returns the candidate workers, without the names given to it.
          tried: Names of the workers that the request was already sent to.
        """
        target = self.choose(self.without_backoff(find(self.leaving)))
        if target is None and tried:
            target = self.choose(
                self.without_backoff(find(self.announced_leaving()))
            )
        return target

    def without_backoff(self, targets: list[Target]) -> list[Target]:
        """Returns the workers that are not in backoff."""
        backoffs = self.backoffs
        if backoffs.none_active():
            return targets
        return [
            each for each in targets if not backoffs.available_in_s(each.name)
        ]

    def session_for(self, request: RouteRequest) -> aiohttp.ClientSession:
        """Returns the HTTP session to send a request with."""
        return self.session if request.idempotent else self.unpooled_session

    async def stream_run(
        self,
        target: Target,
        attempt: Attempt,
        version: str,
        may_serve: MayServe,
    ) -> AsyncIterator[Chunk]:
        """Yields the chunks of one run, resuming it if its stream breaks.

        Raises:
          UpstreamError: The run failed or can't be resumed.
        """
        call = self.make_call(target, attempt, version, may_serve)
        session = self.session_for(attempt.request)
        after: int | None = None
        resumes = 0
        finished = False  # True if there is nothing to cancel on the engine.
        self.load.outstanding[target.name] += 1
        try:
            while True:
                try:
                    source = stream_chat(session, call, after)
                    async with aclosing(source):
                        async for chunk in source:
                            after = chunk.number
                            yield chunk
                    finished = True
                    return
                except UpstreamError as error:
                    finished = error.not_run and after is None
                    if after is not None:
                        error.not_run = False
                    resumes += 1
                    if after is None or resumes > MAX_RESUMES_PER_RUN:
                        raise
                    if not (self.current() and may_serve(version)):
                        raise
                    call = self.make_resume_call(call, attempt.request, error)
        finally:
            self.load.outstanding[target.name] -= 1
            if not finished:
                self.spawn(cancel_chat(self.session, call))

    def make_resume_call(
        self, call: EngineCall, request: RouteRequest, error: UpstreamError
    ) -> EngineCall:
        """Returns the call that resumes an interrupted run.

        Raises:
          UpstreamError: The run can't be resumed, or the deadline passed.
        """
        left = self.remaining_s(request)
        if not error.resumable or left <= 0:
            raise error
        self.metrics.count("dispatch.retry.resume")
        return attrs.evolve(call, timeout_s=left)

    def make_call(
        self,
        target: Target,
        attempt: Attempt,
        version: str,
        may_serve: MayServe,
    ) -> EngineCall:
        """Returns the engine call for one upstream request."""
        body = {
            **attempt.request.body,
            "model": version,
            "stream": True,
            "stream_options": {"include_usage": True},
        }
        return EngineCall(
            target.worker.url,
            json.dumps(body).encode(),
            attempt.next_request_id(),
            self.remaining_s(attempt.request),
            lambda: (
                self.current() and may_serve(version) and self.may_send(attempt)
            ),
        )


def is_already_released(chunk: Chunk, released: list[Chunk]) -> bool:
    """Returns whether a chunk of a rerun was already released.

    Raises:
      UpstreamError: The chunk differs from the one released before.
    """
    if chunk.number >= len(released):
        return False
    before = released[chunk.number]
    if (chunk.text, chunk.finish) != (before.text, before.finish):
        raise UpstreamError(
            "a rerun differs from what was released", False, final=True
        )
    return True
