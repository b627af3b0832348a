"""Runs of a stand-in engine, and their answers while resumable."""

from __future__ import annotations

import asyncio
import time

import attrs


@attrs.define
class Run:
    """One request as the engine ran it.

    Attributes:
      request: Request id that the caller of the engine sent.
      version: Version that ran it.
      prompt: Text of all messages.
      started: Start, in seconds since the Unix epoch.
      chunks: Events generated so far.
      finished: Whether the complete answer was generated.
      cancelled: Whether it was stopped before that.
      resumes: Number of requests to resume its answer.
    """

    request: str
    version: str
    prompt: str = ""
    started: float = attrs.Factory(time.time)
    chunks: int = 0
    finished: bool = False
    cancelled: bool = False
    resumes: int = 0


@attrs.define
class Stream:
    """Answer of a run, retained for a time so that it can be resumed.

    Attributes:
      total: Number of words of the answer.
      events: Events generated so far, in order.
      over: Whether no more events will follow.
      readers: Number of connections that read it.
      changed: Set at each new event and at the end.
      task: Task that generates it, once started.
    """

    run: Run
    total: int
    events: list[bytes] = attrs.Factory(list)
    over: bool = False
    readers: int = 0
    changed: asyncio.Event = attrs.Factory(asyncio.Event)
    task: asyncio.Task[None] | None = None

    async def wait(self, number: int) -> bool:
        """Waits for an event; returns False if the stream ends before it."""
        while len(self.events) <= number and not self.over:
            self.changed.clear()
            await self.changed.wait()
        return len(self.events) > number

    def add(self, event: bytes) -> None:
        """Appends an event and wakes the readers."""
        self.events.append(event)
        self.run.chunks += 1
        self.changed.set()


@attrs.define
class Streams:
    """Streams that can be resumed.

    Attributes:
      resume_s: Seconds for which a stream can be resumed after a
        disconnection or its end.
      kept: Streams by request id.
    """

    resume_s: float
    kept: dict[str, Stream] = attrs.Factory(dict)

    def find(self, request: str) -> Stream | None:
        """Returns the stream of a request id, or None."""
        return self.kept.get(request)

    def add(self, stream: Stream) -> None:
        """Registers a stream under its request id."""
        self.kept[stream.run.request] = stream

    def forget(self, stream: Stream) -> None:
        """Cancels a run and drops its stream, so that it can't be resumed."""
        self.stop(stream)
        self.kept.pop(stream.run.request, None)

    def stop(self, stream: Stream) -> None:
        """Cancels a run that is not finished."""
        if stream.over:
            return
        stream.run.cancelled = True
        assert stream.task is not None
        stream.task.cancel()
        self.end(stream)

    def end(self, stream: Stream) -> None:
        """Ends a stream and drops it after `resume_s`."""
        stream.over = True
        stream.changed.set()
        loop = asyncio.get_running_loop()
        loop.call_later(self.resume_s, self.kept.pop, stream.run.request, None)

    def leave(self, stream: Stream) -> None:
        """Removes a reader; a run without any is cancelled after `resume_s`."""
        stream.readers -= 1
        if stream.readers == 0 and not stream.over:
            loop = asyncio.get_running_loop()
            loop.call_later(self.resume_s, self.stop_unread, stream)

    def stop_unread(self, stream: Stream) -> None:
        """Cancels a run that still has no reader."""
        if stream.readers == 0:
            self.stop(stream)
