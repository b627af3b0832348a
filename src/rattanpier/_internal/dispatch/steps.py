"""Runs the steps of a plan, cheapest first, as one stream of chunks."""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable
from contextlib import aclosing

import attrs

from rattanpier._internal.cascade.policy import (
    CascadePolicy,
    CascadeProgress,
    MayServe,
    Verdict,
    assemble_answer,
    escalate,
)
from rattanpier._internal.dispatch.bills import (
    StepUsage,
    is_complete,
    step_usage,
)
from rattanpier._internal.dispatch.engine import Chunk
from rattanpier._internal.dispatch.failures import (
    DispatchError,
    incomplete_answer,
)
from rattanpier._internal.models.plan import Plan
from rattanpier._internal.models.request import RouteRequest

OpenStream = Callable[[str], AsyncIterator[Chunk]]


@attrs.frozen
class StepChunk:
    """A chunk of the step whose answer is used.

    Attributes:
      version: Version that the step ran.
      chunk: The chunk.
    """

    version: str
    chunk: Chunk


def usable_steps(request: RouteRequest, plan: Plan) -> list[str]:
    """Returns the versions to run, in order; at least one.

    A non-idempotent request may run only once. It gets the last step alone,
    which is the one that meets the quality target by itself.
    """
    return plan.steps if request.idempotent else plan.steps[-1:]


@attrs.define
class StepRun:
    """Runs one request through the steps of its plan.

    Attributes:
      progress: Position in the steps.
      policy: Decides whether the answer of a step is accepted.
      open_stream: Returns the stream of chunks from a version.
      may_serve: Returns whether a version may take new work.
      may_retry: Returns whether the retry budget allows another dispatch.
      step_usages: Usage of each step whose answer was complete.
    """

    progress: CascadeProgress
    policy: CascadePolicy
    open_stream: OpenStream
    may_serve: MayServe
    may_retry: Callable[[], bool]
    step_usages: list[StepUsage] = attrs.Factory(list)

    async def chunks(self) -> AsyncIterator[StepChunk]:
        """Yields the chunks of the first step whose answer is accepted.

        The last step is streamed as it arrives. The answer of an earlier step
        is buffered until it is complete and accepted.

        Raises:
          DispatchError: No step gave an answer.
        """
        while not self.progress.is_last:
            version = self.progress.version
            chunks = await self.run_step(version)
            if chunks is not None:
                for chunk in chunks:
                    yield StepChunk(version, chunk)
                return
        async with aclosing(self.last_step()) as rest:
            async for chunk in rest:
                yield StepChunk(self.progress.version, chunk)

    async def run_step(self, version: str) -> list[Chunk] | None:
        """Returns the accepted answer, or None to continue with the next step.

        Raises:
          DispatchError: The step failed and no further step may run.
        """
        try:
            chunks = await self.collect(version)
        except DispatchError:
            # The next step counts as a retry, so that failures don't double
            # the load.
            if escalate(self.progress, self.may_serve) is Verdict.ACCEPT:
                raise
            if not self.may_retry():
                raise
            return None
        self.step_usages.append(step_usage(version, chunks))
        verdict = self.policy.evaluate(
            self.progress, assemble_answer(chunks), self.may_serve
        )
        return chunks if verdict is Verdict.ACCEPT else None

    async def collect(self, version: str) -> list[Chunk]:
        """Returns all chunks of the complete answer of a step."""
        async with aclosing(self.open_stream(version)) as source:
            chunks = [chunk async for chunk in source]
        if not is_complete(chunks):
            raise incomplete_answer()
        return chunks

    async def last_step(self) -> AsyncIterator[Chunk]:
        """Yields the chunks of the last step as they arrive."""
        version = self.progress.version
        chunks: list[Chunk] = []
        async with aclosing(self.open_stream(version)) as source:
            async for chunk in source:
                chunks.append(chunk)
                yield chunk
        if not is_complete(chunks):
            raise incomplete_answer()
        self.step_usages.append(step_usage(version, chunks))
        # The verdict is not used, but the policy may still rate the answer.
        self.policy.evaluate(
            self.progress, assemble_answer(chunks), self.may_serve
        )
