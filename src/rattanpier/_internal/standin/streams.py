"""What a stand-in engine runs, and the answers it keeps for a while."""

from __future__ import annotations

import asyncio
import time

import attrs


@attrs.define
class Run:
    """One request as the engine ran it.

    Attributes:
      request: The request's id, as the caller of the engine named it.
      version: The version it ran on.
      prompt: The text of all messages.
      started: Seconds since the epoch.
      chunks: Events generated so far.
      finished: Whether the answer was generated whole.
      cancelled: Whether it was stopped before.
      resumes: How often its answer was asked for again.
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
    """The answer of a run, kept for a while so that it can be resumed.

    Attributes:
      total: How many words the answer has.
      events: The events so far, in order.
      over: True once there will be no more.
      readers: Connections that follow it.
      changed: Set with each event.
      task: What generates it, once that began.
    """

    run: Run
    total: int
    events: list[bytes] = attrs.Factory(list)
    over: bool = False
    readers: int = 0
    changed: asyncio.Event = attrs.Factory(asyncio.Event)
    task: asyncio.Task[None] | None = None

    async def wait(self, number: int) -> bool:
        """Waits for an event; False if the stream ended before it."""
        while len(self.events) <= number and not self.over:
            self.changed.clear()
            await self.changed.wait()
        return len(self.events) > number

    def add(self, event: bytes) -> None:
        """Adds an event."""
        self.events.append(event)
        self.run.chunks += 1
        self.changed.set()


@attrs.define
class Streams:
    """The answers that can be resumed.

    Attributes:
      resume_s: Seconds a cut or ended stream can be resumed.
      kept: Streams by request id.
    """

    resume_s: float
    kept: dict[str, Stream] = attrs.Factory(dict)

    def find(self, request: str) -> Stream | None:
        """Returns the stream of a request id, or None."""
        return self.kept.get(request)

    def add(self, stream: Stream) -> None:
        """Keeps a stream from now on."""
        self.kept[stream.run.request] = stream

    def forget(self, stream: Stream) -> None:
        """Stops a run and its answer, which can't be resumed any more."""
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
        """Ends a stream and forgets it after a while."""
        stream.over = True
        stream.changed.set()
        loop = asyncio.get_running_loop()
        loop.call_later(self.resume_s, self.kept.pop, stream.run.request, None)

    def leave(self, stream: Stream) -> None:
        """Notes that a reader left; a run without one is stopped later."""
        stream.readers -= 1
        if stream.readers == 0 and not stream.over:
            loop = asyncio.get_running_loop()
            loop.call_later(self.resume_s, self.stop_unread, stream)

    def stop_unread(self, stream: Stream) -> None:
        """Cancels a run that nobody came back for."""
        if stream.readers == 0:
            self.stop(stream)
