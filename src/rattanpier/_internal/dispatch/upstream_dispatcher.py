"""Tries to get an answer from the workers of one version."""

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
    content_key,
    has_terminated,
    request_quarantined,
)
from rattanpier._internal.models.configuration import Configuration
from rattanpier._internal.models.request import RouteRequest
from rattanpier._internal.placement.rests import Rests
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
MAX_CLAIM_AGE_S = 3.0  # Age of a claim; confirming and connecting take 2 s.
MAX_RESUMES_PER_RUN = 3  # Of one run.

MayServe = Callable[[str], bool]
ConfirmClaim = Callable[[Attempt], Awaitable[bool]]


@attrs.define
class UpstreamDispatcher:
    """Sends requests to workers.

    Attributes:
      session: For requests that may be repeated.
      unpooled_session: For non-idempotent ones: each gets a connection of its
        own, so that none is lost on a pooled connection that the upstream
        closed.
      configuration: Returns the configuration in force.
      confirm: Says right before a dispatch whether a claim still holds.
      placement: The workers that this entry uses.
      leaving: Workers that get nothing new.
      announced_leaving: Returns those of them that the platform told to leave;
        the others only seem silent.
      on_failure: Called with a worker's name and the error of a try.
      quarantine: Requests under which workers ended.
      backoffs: Workers that turned a request away and asked for rest.
      current: Says whether the node's configuration is in force now.
      attempts: Emits the result of each try.
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
    backoffs: Rests
    load: Load = attrs.Factory(Load)
    leaving: Collection[str] = ()
    announced_leaving: Callable[[], Collection[str]] = tuple
    on_failure: Callable[[str, Exception], None] = lambda name, error: None
    current: Callable[[], bool] = lambda: True
    attempts: Attempts = attrs.Factory(Attempts)

    async def stream(
        self, attempt: Attempt, version: str, may_serve: MayServe
    ) -> AsyncIterator[Chunk]:
        """Yields an answer's chunks, from one worker or a retry on others.

        A request is sent again only if it is idempotent or certainly did not
        run. Where chunks came already, a rerun may only go on if it repeats
        them word for word.

        Raises:
          DispatchError: No try, or no further try, can answer.
        """
        tried: set[str] = set()
        released: list[Chunk] = []
        last_error: UpstreamError | None = None
        while True:
            # A stop is the reason to tell, also where no worker is left.
            await self.check_dispatch(attempt, version, may_serve)
            target = self.pick_target(version, tried)
            if target is None:
                raise upstream_failed(last_error) if last_error else no_worker()
            tried.add(target.name)
            ran_before = attempt.record_dispatch()
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
                        if not is_already_released(chunk, released):
                            released.append(chunk)
                            yield chunk
                self.quarantine.note_answered(content_key(attempt.request))
                return
            except UpstreamError as error:
                await self.record_failure(attempt, target, error, ran_before)
                self.check_retry(attempt.request, error, tried)
                last_error = error

    async def check_dispatch(
        self, attempt: Attempt, version: str, may_serve: MayServe
    ) -> None:
        """Raises DispatchError if there must be no dispatch now."""
        await self.check_claim(attempt)
        # Asked last before each dispatch: a withdrawal counts at once.
        if not may_serve(version):
            raise version_withdrawn(version)

    async def check_claim(self, attempt: Attempt) -> None:
        """Raises DispatchError if an attempt may dispatch nothing more."""
        held_s = self.quarantine.held_s(content_key(attempt.request))
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
    ) -> None:
        """Notes that a try failed, and whether the request may have run.

        Args:
          attempt: The attempt that the try was part of.
          target: The worker that was tried.
          error: How it failed.
          ran_before: What the attempt's `record_dispatch` returned.
        """
        self.on_failure(target.name, error)
        if error.retry_after_s:
            self.backoffs.hear(target.name, error.retry_after_s)
        if error.not_run:
            attempt.may_have_run = ran_before
        elif await has_terminated(target):
            self.metrics.count("dispatch.worker_ended")
            self.quarantine.note_end(content_key(attempt.request), target.name)

    def choose(self, targets: list[Target]) -> Target | None:
        """Returns the worker to use of some; None if there is none."""
        return two_choices(targets, self.load, self.domain, self.rng)

    def check_retry(
        self, request: RouteRequest, error: UpstreamError, tried: set[str]
    ) -> None:
        """Raises DispatchError unless a failed request may go elsewhere."""
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
        """Says whether a body may be sent, however long connecting took.

        A process may have been frozen since the claim was confirmed.
        """
        if self.remaining_s(attempt.request) <= 0:
            return False
        age = self.clock.monotonic() - attempt.claim_asked_at
        return attempt.request.idempotent or age <= MAX_CLAIM_AGE_S

    def may_retry_step(self) -> bool:
        """Says whether the next step may follow a step that failed."""
        allowed = self.budget.try_acquire()
        if allowed:
            self.metrics.count("dispatch.retry.step")
        return allowed

    def remaining_s(self, request: RouteRequest) -> float:
        """Returns the seconds until the caller gives up."""
        return request.deadline - self.clock.monotonic()

    def pick_target(self, version: str, tried: set[str]) -> Target | None:
        """Returns the worker for the next try."""

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
        """Returns the worker for a try.

        A worker that seems silent may only have been late to answer a probe:
        before a retry is given up for want of a worker it is asked as well. A
        first try is refused at once instead.

        Args:
          find: Returns the workers that are not among those given to it.
          tried: Workers that the request was sent to before.
        """
        target = self.choose(self.without_backoff(find(self.leaving)))
        if target is None and tried:
            target = self.choose(
                self.without_backoff(find(self.announced_leaving()))
            )
        return target

    def without_backoff(self, targets: list[Target]) -> list[Target]:
        """Returns the workers that did not ask for rest."""
        backoffs = self.backoffs
        if backoffs.all_over():
            return targets
        return [each for each in targets if not backoffs.opens_in_s(each.name)]

    def session_for(self, request: RouteRequest) -> aiohttp.ClientSession:
        """Returns the session whose connections suit a request."""
        return self.session if request.idempotent else self.unpooled_session

    async def stream_run(
        self,
        target: Target,
        attempt: Attempt,
        version: str,
        may_serve: MayServe,
    ) -> AsyncIterator[Chunk]:
        """Yields the chunks of one run, resumed where its stream was cut.

        Raises:
          UpstreamError: The run failed or can't be resumed.
        """
        call = self.make_call(target, attempt, version, may_serve)
        session = self.session_for(attempt.request)
        after: int | None = None
        resumes = 0
        finished = False  # The engine has nothing left to stop.
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
        """Returns the call that resumes a cut run.

        Raises:
          UpstreamError: There is nothing to resume, or no time.
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
        """Returns the call of one try."""
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
    """Says whether a rerun repeats a chunk that was seen before.

    Raises:
      UpstreamError: The rerun says something else.
    """
    if chunk.number >= len(released):
        return False
    before = released[chunk.number]
    if (chunk.text, chunk.finish) != (before.text, before.finish):
        raise UpstreamError(
            "a rerun differs from what was released", False, final=True
        )
    return True
