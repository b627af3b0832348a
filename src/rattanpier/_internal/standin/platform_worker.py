"""Stand-in for a worker of the users' platform, with faulty answers.

It writes raw bytes, since no HTTP library produces the faults it has to show.
"""

from __future__ import annotations

import asyncio
import contextlib
import enum
import json
import socket
import struct
from collections.abc import AsyncIterator, Callable
from typing import Any

import attrs


class WorkerFault(enum.StrEnum):
    """Fault of a worker."""

    NONE = "none"
    FAIL = "fail"  # 500 with a receipt: the request ran.
    SHED = "shed"  # 503; the request did not run.
    RESET = "reset"  # Runs the request, then resets the connection.
    CUT = "cut"  # Resets in the middle of the answer.
    EXTRA = "extra"  # Sends the answer twice.
    EXTRA_LATE = "extra_late"  # Sends the answer again after a delay.
    UNFRAMED = "unframed"  # No length; the end of the connection ends it.
    UNFRAMED_RESET = "unframed_reset"  # No length; reset instead of an end.
    NO_RECEIPT = "no_receipt"
    ENCODED = "encoded"
    GIBBERISH = "gibberish"  # The answer is not HTTP.
    HANG = "hang"  # Runs the request, never answers.


@attrs.frozen
class WorkerRun:
    """Request as the worker ran it; header names are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def id(self) -> str:
        """Id of the attempt."""
        return self.headers.get("x-attempt-id", "")

    @property
    def shared_parts(self) -> list[str]:
        """Ids of the parts of the prompt but the last."""
        parts = self.headers.get("x-prefix-hash", "").split(",")[:-1]
        return [part.partition(":")[0].strip() for part in parts]


REPORT = "/rattanpier/report"
HEALTH = "/healthz"
BRITTLE_WINDOW_S = 1.0
CRASH_S = 0.05  # From the start of a run to the crash, as logged.


@attrs.define
class PlatformWorkerServer:
    """HTTP server of one worker.

    Attributes:
      id: Name of this incarnation.
      fault: Fault that is active.
      count: Number of further requests affected; -1 for all.
      runs: Requests that it ran, in order.
      shed: Number of requests refused without a run.
      stopped: Ids of the runs stopped because the caller disconnected.
      events: Number of events of a stream.
      event_gap_s: Seconds before each event.
      model_gaps_s: Seconds before each event, by model; others take
        `event_gap_s`.
      cut_after: Number of the last complete event under the fault CUT.
      work_s: Seconds of work before an answer.
      confidence: Confidence sent with streams, by model; a model without an
        entry sends none.
      deadly: Body of requests that crash the worker when they run; none if
        empty.
      deadly_parts: Ids of prompt parts that crash the worker when it runs a
        request with one of them, unless it is the last part.
      crash_s: Seconds from the start of such a run to the crash.
      crash_events: Number of events before the crash.
      crash_tail: Last bytes of the answer under which the worker crashes.
      crash_linger_s: Seconds for which it listens after its connections ended.
      chunked: Whether streams are chunked; otherwise they have no length and
        end with their connection.
      ended: Called after such a crash.
      born: Reported start time, in Unix ms; not reported if None.
      load: Load reported in answers.
      limit: Limit announced in answers; none if empty.
      leaving: Whether answers announce that it is leaving.
      state: State given in reports; omitted if empty.
      rest: Backoff (`Retry-After`) sent with refusals; none if empty.
      room: Number of requests that it takes at once; further ones are refused.
        None: no limit.
      brittle: Refusals within a second for want of room that it stands, as
        announced in answers; beyond that it crashes. None: any number.
      running: Number of requests that it runs.
      refused_at: Times of recent refusals for want of room, in seconds of the
        loop's clock.
      falls: Number of crashes after too many refusals.
      unread_limit_s: Seconds after which it resets a stream that is not read;
        None for no limit.
      unread: Number of streams that it reset for this.
      address: IP address and port, once started.
    """

    id: str
    fault: WorkerFault = WorkerFault.NONE
    count: int = -1
    runs: list[WorkerRun] = attrs.Factory(list)
    shed: int = 0
    stopped: list[str] = attrs.Factory(list)
    events: int = 5
    event_gap_s: float = 0.0
    model_gaps_s: dict[str, float] = attrs.Factory(dict)
    cut_after: int = 2
    work_s: float = 0.0
    confidence: dict[str, float] = attrs.Factory(dict)
    deadly: bytes = b""
    deadly_parts: frozenset[str] = frozenset()
    crash_s: float = CRASH_S
    crash_events: int = 0
    crash_tail: bytes = b""
    crash_linger_s: float = 0.0
    chunked: bool = True
    ended: Callable[[], None] = lambda: None
    born: int | None = None
    load: str = "1,0,8"
    limit: str = ""
    leaving: bool = False
    state: str = ""
    rest: str = ""
    room: int | None = None
    brittle: int | None = None
    running: int = 0
    refused_at: list[float] = attrs.Factory(list)
    falls: int = 0
    unread_limit_s: float | None = None
    unread: int = 0
    address: str = ""
    server: asyncio.Server | None = None
    connections: dict[asyncio.StreamWriter, asyncio.StreamReader] = (
        attrs.Factory(dict)
    )

    async def start(self) -> None:
        """Listens on a free port."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        """Stops listening and resets all connections."""
        assert self.server is not None
        self.server.close()
        for writer in list(self.connections):
            reset(writer)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves one connection."""
        self.connections[writer] = reader
        try:
            while (run := await read_request(reader)) is not None:
                if not await self.answer(run, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            return  # Caller disconnected; its run is already recorded.
        finally:
            self.connections.pop(writer, None)
            reset(writer)

    def report(self) -> dict[str, Any]:
        """Returns the reported load; the worker has no queue."""
        load: dict[str, Any] = {"queued": 0, "active": len(self.connections)}
        if self.state:
            load["state"] = self.state
        return load if self.born is None else {**load, "born": self.born}

    def take_fault(self) -> WorkerFault:
        """Returns the fault for this request and counts the request."""
        if self.count == 0:
            return WorkerFault.NONE
        if self.fault is not WorkerFault.NONE and self.count > 0:
            self.count -= 1
        return self.fault

    async def answer(
        self, run: WorkerRun, writer: asyncio.StreamWriter
    ) -> bool:
        """Answers a request; returns whether the connection stays open."""
        expected = run.headers.get("x-expected-instance", self.id)
        if expected != self.id:
            other = [("X-Served-By", self.id), *self.words()]
            writer.write(head(421, other, 0))
            return True
        if run.target == HEALTH:
            writer.write(head(200, [("X-Served-By", self.id)], 0))
            return True
        if run.target == REPORT:
            body = json.dumps(self.report()).encode()
            writer.write(head(200, self.words(), len(body)) + body)
            return True
        if self.room is not None and self.running >= self.room:
            self.refuse(writer)
            return not await self.fell_over()
        self.running += 1
        try:
            return await self.take(run, writer)
        finally:
            self.running -= 1

    def refuse(self, writer: asyncio.StreamWriter) -> None:
        """Answers that the request is not run."""
        self.shed += 1
        shed = [("X-Not-Executed", "1"), *self.words()]
        if self.rest:
            shed.append(("Retry-After", self.rest))
        writer.write(head(503, shed, 0))

    async def fell_over(self) -> bool:
        """Counts a refusal for want of room; returns whether it crashed."""
        now = asyncio.get_running_loop().time()
        recent = [at for at in self.refused_at if now - at < BRITTLE_WINDOW_S]
        self.refused_at = [*recent, now]
        if self.brittle is None or len(self.refused_at) <= self.brittle:
            return False
        self.falls += 1
        await self.stop()
        return True

    async def take(self, run: WorkerRun, writer: asyncio.StreamWriter) -> bool:
        """Runs a request; returns whether the connection stays open."""
        fault = self.take_fault()
        if fault is WorkerFault.SHED:
            self.refuse(writer)
            return True
        self.runs.append(run)
        if self.is_deadly(run):
            await self.crash(run, writer)
            return False
        if self.work_s:
            await self.work(run, writer)
        match fault:
            case WorkerFault.RESET:
                return False
            case WorkerFault.GIBBERISH:
                writer.write(b"\x00\x01 no answer \r\n\r\n")
                await writer.drain()
                return False
            case WorkerFault.HANG:
                await self.work(run, writer, 3600.0)
        answer = self.stream if "x-model" in run.headers else self.plain
        try:
            return await answer(run, writer, fault)
        except ConnectionError:
            self.record_stop(run)
            raise

    def record_stop(self, run: WorkerRun) -> None:
        """Records that a run stopped because its caller disconnected."""
        if run.id not in self.stopped:
            self.stopped.append(run.id)

    def is_deadly(self, run: WorkerRun) -> bool:
        """Returns whether a request crashes the worker."""
        if self.deadly and run.body == self.deadly:
            return True
        return not self.deadly_parts.isdisjoint(run.shared_parts)

    async def crash(self, run: WorkerRun, writer: asyncio.StreamWriter) -> None:
        """Terminates as a process that a request crashes.

        Answers in progress break off; that of the request itself after its
        head or some events. Connections are reset if answers are chunked,
        otherwise they are closed in order, as by the kernel of a process that
        is gone.
        """
        writer.write(self.stream_head(self.own_headers(run, WorkerFault.NONE)))
        for number in range(1, self.crash_events + 1):
            writer.write(self.encode_piece(self.make_event(run, number)))
        await writer.drain()
        await asyncio.sleep(self.crash_s)
        if not self.chunked:
            writer.write(self.crash_tail)
            self.close_connections()
        elif self.crash_linger_s:
            for each in list(self.connections):
                reset(each)
        if self.crash_linger_s:
            await asyncio.sleep(self.crash_linger_s)
        await self.stop()
        self.ended()

    def close_connections(self) -> None:
        """Closes all connections in order, after the bytes written to them."""
        for writer in list(self.connections):
            writer.close()

    async def work(
        self,
        run: WorkerRun,
        writer: asyncio.StreamWriter,
        seconds: float | None = None,
    ) -> None:
        """Simulates work; stops if the caller disconnects."""
        until = self.work_s if seconds is None else seconds
        loop = asyncio.get_running_loop()
        end = loop.time() + until
        while loop.time() < end:
            if self.connections[writer].at_eof():
                self.record_stop(run)
                raise ConnectionResetError
            await asyncio.sleep(min(0.005, max(0.0, end - loop.time())))

    async def plain(
        self, run: WorkerRun, writer: asyncio.StreamWriter, fault: WorkerFault
    ) -> bool:
        """Answers a plain request."""
        body = self.make_body(run)
        headers = self.own_headers(run, fault)
        status = 500 if fault is WorkerFault.FAIL else 200
        if fault in (WorkerFault.UNFRAMED, WorkerFault.UNFRAMED_RESET):
            writer.write(head(status, headers, None) + body)
            await writer.drain()
            if fault is WorkerFault.UNFRAMED:
                writer.write_eof()
                await asyncio.sleep(0.05)
            else:
                await asyncio.sleep(
                    0.02
                )  # Lets the caller read the bytes first.
            return False
        whole = head(status, headers, len(body)) + body
        if fault is WorkerFault.CUT:
            writer.write(whole[:-3])
            await writer.drain()
            return False
        writer.write(whole)
        if fault is WorkerFault.EXTRA:
            writer.write(whole)
        if fault is WorkerFault.EXTRA_LATE:
            await writer.drain()
            await asyncio.sleep(0.02)
            writer.write(whole)
        await writer.drain()
        return True

    async def stream(
        self, run: WorkerRun, writer: asyncio.StreamWriter, fault: WorkerFault
    ) -> bool:
        """Answers with a stream of events."""
        if fault is WorkerFault.FAIL:
            return await self.plain(run, writer, fault)
        headers = self.own_headers(run, fault)
        headers.append(("Content-Type", "text/event-stream"))
        confidence = self.confidence.get(run.headers["x-model"])
        if confidence is not None:
            headers.append(("X-Confidence", str(confidence)))
        writer.write(self.stream_head(headers))
        first = int(run.headers.get("last-event-id", "0")) + 1
        async for number in self.numbers(run, writer, first):
            event = self.make_event(run, number)
            if fault is WorkerFault.CUT and number > self.cut_after:
                # In the middle of an event, as when a worker crashes.
                writer.write(self.encode_piece(event[:8]))
                await writer.drain()
                await asyncio.sleep(0.02)
                return False
            writer.write(self.encode_piece(event))
            if not await self.is_read(writer):
                return False
        if not self.chunked:
            writer.close()
            return False
        writer.write(b"0\r\n\r\n")
        return await self.is_read(writer)

    def stream_head(self, headers: list[tuple[str, str]]) -> bytes:
        """Returns the head of a stream."""
        if self.chunked:
            headers = [*headers, ("Transfer-Encoding", "chunked")]
        return head(200, headers)

    def encode_piece(self, data: bytes) -> bytes:
        """Returns a piece of a stream's body as it is sent."""
        return chunk(data) if self.chunked else data

    def make_body(self, run: WorkerRun) -> bytes:
        """Returns the body of a plain answer."""
        return f"{self.id} ran {run.id}".encode()

    def make_event(self, run: WorkerRun, number: int) -> bytes:
        """Returns one event of a stream."""
        return f"id: {number}\ndata: piece {number}\n\n".encode()

    async def is_read(self, writer: asyncio.StreamWriter) -> bool:
        """Waits until an answer is read; returns whether it is in time."""
        try:
            async with asyncio.timeout(self.unread_limit_s):
                await writer.drain()
        except TimeoutError:
            self.unread += 1
            return False
        return True

    async def numbers(
        self, run: WorkerRun, writer: asyncio.StreamWriter, first: int
    ) -> AsyncIterator[int]:
        """Yields the numbers of the events, with a pause before each."""
        for number in range(first, self.events + 1):
            gap_s = self.model_gaps_s.get(
                run.headers.get("x-model", ""), self.event_gap_s
            )
            if gap_s:
                await self.work(run, writer, gap_s)
            yield number

    def own_headers(
        self, run: WorkerRun, fault: WorkerFault
    ) -> list[tuple[str, str]]:
        """Returns the headers of an answer."""
        load = self.load
        if self.room is not None:
            load = f"{self.running},0,{self.room}"
        headers = [("X-Attempt-Id", run.id), ("X-Instance-Load", load)]
        if fault is not WorkerFault.NO_RECEIPT:
            headers.append(("X-Response-Signature", f"{self.id}.{run.id}"))
        if fault is WorkerFault.ENCODED:
            headers.append(("Content-Encoding", "gzip"))
        return headers + self.words()

    def words(self) -> list[tuple[str, str]]:
        """Returns the headers that announce the state of the worker."""
        words = [("Server-Limit", self.limit)] if self.limit else []
        if self.brittle is not None:
            words.append(("Server-Brittle", str(self.brittle)))
        return [*words, ("Server-Leaving", "1")] if self.leaving else words


async def read_request(reader: asyncio.StreamReader) -> WorkerRun | None:
    """Returns the next request of a connection, or None at its end."""
    with contextlib.suppress(asyncio.IncompleteReadError):
        text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *lines = text.rstrip().split("\r\n")
        method, target, _ = first.split(" ", 2)
        pairs = (line.partition(": ") for line in lines)
        headers = {name.lower(): value for name, _, value in pairs}
        length = int(headers.get("content-length", "0"))
        body = await reader.readexactly(length)
        return WorkerRun(method, target, headers, body)
    return None


def head(
    status: int, headers: list[tuple[str, str]], length: int | None = None
) -> bytes:
    """Returns the status line and headers of an answer."""
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers]
    if length is not None:
        lines.append(f"Content-Length: {length}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def reset(writer: asyncio.StreamWriter) -> None:
    """Closes a connection by a TCP reset instead of an orderly end."""
    sock = writer.get_extra_info("socket")
    if sock is not None and not writer.transport.is_closing():
        linger = struct.pack("ii", 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


def chunk(data: bytes) -> bytes:
    """Returns data encoded as one chunk of a chunked body."""
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"
