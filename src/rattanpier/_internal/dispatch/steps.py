"""The steps of a plan, from cheap to strong, as one stream of chunks."""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable
from contextlib import aclosing

import attrs

from rattanpier._internal.cascade.policy import (
    CascadePolicy,
    MayServe,
    Verdict,
    Walk,
    answer_of,
    go_on,
)
from rattanpier._internal.dispatch.bills import Spent, is_whole, spent_by
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
    """A chunk of the step that answers.

    Attributes:
      version: Version of the step.
      chunk: The chunk.
    """

    version: str
    chunk: Chunk


def usable_steps(request: RouteRequest, plan: Plan) -> list[str]:
    """Returns the versions that may be asked, in order; at least one.

    A non-idempotent request may run once: it gets the last step alone, which
    is the one that meets the quality target without another's help.
    """
    return plan.steps if request.idempotent else plan.steps[-1:]


@attrs.define
class StepRun:
    """One request on its way through its steps.

    Attributes:
      walk: Where it is.
      policy: Says whether an answer is good enough.
      open_stream: Opens the answer of a version.
      may_serve: Says whether a version may get work now.
      may_retry: Says whether the retry budget allows one more dispatch.
      spent: An item for each step whose answer was whole.
    """

    walk: Walk
    policy: CascadePolicy
    open_stream: OpenStream
    may_serve: MayServe
    may_retry: Callable[[], bool]
    spent: list[Spent] = attrs.Factory(list)

    async def chunks(self) -> AsyncIterator[StepChunk]:
        """Yields the chunks of the first step whose answer is accepted.

        The last step streams at once; an earlier one's answer is held until
        it is whole and accepted.

        Raises:
          DispatchError: There is no answer.
        """
        while not self.walk.is_last:
            version = self.walk.version
            chunks = await self.run_step(version)
            if chunks is not None:
                for chunk in chunks:
                    yield StepChunk(version, chunk)
                return
        async with aclosing(self.last_step()) as rest:
            async for chunk in rest:
                yield StepChunk(self.walk.version, chunk)

    async def run_step(self, version: str) -> list[Chunk] | None:
        """Returns an accepted answer, or None to go on to the next step.

        Raises:
          DispatchError: The step failed and there is none to go on to.
        """
        try:
            chunks = await self.collect(version)
        except DispatchError:
            # The next step is a retry: what fails must not double the load.
            if go_on(self.walk, self.may_serve) is Verdict.ACCEPT:
                raise
            if not self.may_retry():
                raise
            return None
        self.spent.append(spent_by(version, chunks))
        verdict = self.policy.judge(
            self.walk, answer_of(chunks), self.may_serve
        )
        return chunks if verdict is Verdict.ACCEPT else None

    async def collect(self, version: str) -> list[Chunk]:
        """Returns the whole answer of a step."""
        async with aclosing(self.open_stream(version)) as source:
            chunks = [chunk async for chunk in source]
        if not is_whole(chunks):
            raise incomplete_answer()
        return chunks

    async def last_step(self) -> AsyncIterator[Chunk]:
        """Yields the answer of the last step as it comes."""
        version = self.walk.version
        chunks: list[Chunk] = []
        async with aclosing(self.open_stream(version)) as source:
            async for chunk in source:
                chunks.append(chunk)
                yield chunk
        if not is_whole(chunks):
            raise incomplete_answer()
        self.spent.append(spent_by(version, chunks))
        # Its verdict changes nothing any more; the answer may be rated.
        self.policy.judge(self.walk, answer_of(chunks), self.may_serve)
