"""Work that goes on to its end when its caller goes away."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import aclosing

from rattanpier._internal.dispatch.parts import Part


async def detached(
    parts: AsyncIterator[Part], spawn: Callable[..., asyncio.Task]
) -> AsyncIterator[Part]:
    """Yields parts that a task of their own makes.

    Closing this generator leaves the task running.
    """
    # At most one answer is queued; its size is bounded by its max_tokens.
    queue: asyncio.Queue[Part | None] = asyncio.Queue()
    task = spawn(pump(parts, queue))
    while (part := await queue.get()) is not None:
        yield part
    await task


async def pump(
    parts: AsyncIterator[Part], queue: asyncio.Queue[Part | None]
) -> None:
    """Moves all parts to a queue, then None."""
    try:
        async with aclosing(parts):
            async for part in parts:
                queue.put_nowait(part)
    finally:
        queue.put_nowait(None)
