"""Runs an answer in its own task, so that it outlives its caller."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import aclosing

from rattanpier._internal.dispatch.parts import Part


async def detached(
    parts: AsyncIterator[Part], spawn: Callable[..., asyncio.Task]
) -> AsyncIterator[Part]:
    """Yields the parts of an answer that runs in its own task.

    Closing this generator leaves the task running.

    Args:
      parts: The parts of the answer.
      spawn: Starts a task.
    """
    # The queue holds at most one answer, bounded by its max_tokens.
    queue: asyncio.Queue[Part | None] = asyncio.Queue()
    task = spawn(pump(parts, queue))
    while (part := await queue.get()) is not None:
        yield part
    await task


async def pump(
    parts: AsyncIterator[Part], queue: asyncio.Queue[Part | None]
) -> None:
    """Puts all parts on a queue, followed by None."""
    try:
        async with aclosing(parts):
            async for part in parts:
                queue.put_nowait(part)
    finally:
        queue.put_nowait(None)
