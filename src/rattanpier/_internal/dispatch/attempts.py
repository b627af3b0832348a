"""Results of upstream requests, used to evaluate versions in a roll-out."""

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
    """Outcome of an upstream request."""

    COMPLETE = "whole"
    TRUNCATED = "truncated"  # Chunks came, but not the last one.
    FAILED = "failed"  # No chunk came.
    ABANDONED = "abandoned"  # Cancelled by the reader after the first chunk.


@attrs.frozen
class AttemptResult:
    """Result of one upstream request to a version.

    Attributes:
      workspace: Workspace of the request.
      version: Version that the request was sent to.
      outcome: Outcome of the upstream request.
      first_token_s: Seconds until the first chunk, or None if none came.
      chunks: Number of chunks received.
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
    """Yields the chunks of `source` and emits the result at the end.

    Upstream requests that did not run, or that were cancelled before the first
    chunk, say nothing about the version and are not emitted.

    Raises:
      UpstreamError: Raised by `source`.
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
                    # Emitted before the yield: the reader may close the
                    # generator once it has the last chunk.
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
