"""What became of each attempt to answer a request, for those who judge."""

from __future__ import annotations

import asyncio
import enum
from collections.abc import AsyncIterator
from contextlib import aclosing

import attrs
from reactivex.subject import Subject

from rattanpier._internal.dispatch.engine import Chunk
from rattanpier._internal.dispatch.failures import UpstreamError
from rattanpier._internal.utils.clock import Clock


class AttemptOutcome(enum.StrEnum):
    """How an attempt ended."""

    COMPLETE = "whole"
    TRUNCATED = "truncated"  # It began, and did not come to its end.
    FAILED = "failed"  # Nothing came.
    ABANDONED = "abandoned"  # It began; then it was not wanted any more.


@attrs.frozen
class AttemptResult:
    """One attempt that a version finished.

    Attributes:
      workspace: Whose request it was.
      version: The version that was asked.
      outcome: How it ended.
      first_token_s: Seconds to the first chunk; None if none came.
      chunks: Chunks that came.
    """

    workspace: str
    version: str
    outcome: AttemptOutcome
    first_token_s: float | None
    chunks: int


Attempts = Subject[AttemptResult]


async def report_result(
    source: AsyncIterator[Chunk],
    attempts: Attempts,
    clock: Clock,
    workspace: str,
    version: str,
) -> AsyncIterator[Chunk]:
    """Passes chunks on and emits the result at the end.

    Attempts that did not run, or were not wanted any more before anything
    came, say nothing of the version and are not emitted.
    """
    started = clock.monotonic()
    first: float | None = None
    chunks = 0
    finish: str | None = None

    def emit(outcome: AttemptOutcome) -> None:
        attempts.on_next(
            AttemptResult(workspace, version, outcome, first, chunks)
        )

    try:
        async with aclosing(source):
            async for chunk in source:
                if first is None:
                    first = clock.monotonic() - started
                chunks += 1
                finish = chunk.finish
                if finish is not None:
                    # The caller may stop asking once it has the last chunk.
                    emit(AttemptOutcome.COMPLETE)
                yield chunk
    except UpstreamError as error:
        if chunks and finish is None:
            emit(AttemptOutcome.TRUNCATED)
        elif not chunks and not error.not_run:
            emit(AttemptOutcome.FAILED)
        raise
    except (GeneratorExit, asyncio.CancelledError):
        if chunks and finish is None:
            emit(AttemptOutcome.ABANDONED)
        raise
    if finish is None:
        emit(AttemptOutcome.TRUNCATED if chunks else AttemptOutcome.FAILED)
