"""Workers that give a drawn outcome at each send of a request."""

import asyncio
import contextlib
import enum

import attrs

from rattanpier._internal.standin.platform_worker import (
    PlatformWorkerServer,
    head,
    reset,
)
from tests.lib.answer_judge import GivenAnswer
from tests.lib.kept_callers import request_bytes

EVENTS = 5
READ_S = 0.005  # In which the bytes before a reset are read.
OUTCOMES = "X-Outcomes"  # Of each send of a request, separated by spaces.


class Break(enum.StrEnum):
    """How a worker breaks an answer off."""

    RESET = "reset"
    CLOSE = "close"
    INSIDE = "inside"  # Closes in order inside an event.


STATUSES = (
    *(200, 204, 206, 299, 301, 302, 304, 307, 400, 401, 403, 404, 408, 409),
    *(410, 413, 421, 422, 429, 431, 499, 500, 501, 502, 503, 504, 511, 599),
)
FRAMES = ("length", "chunked", "none")


def draw_outcomes(rng, sends=4):
    """Returns what workers do at each send of one request, as a header."""
    return " ".join(draw_outcome(rng) for _ in range(sends))


def draw_outcome(rng):
    kind = rng.random()
    frame = rng.choice(FRAMES)
    if kind < 0.45:
        return f"events:{rng.randrange(EVENTS)}:{rng.choice(list(Break))}"
    if kind < 0.85:
        receipt = rng.choice(("signed", "unsigned", "not-run"))
        return f"status:{rng.choice(STATUSES)}:{frame}:{receipt}"
    return "whole"


@attrs.define
class DrawnWorker(PlatformWorkerServer):
    """A worker that does what requests say; workers share `given`.

    Attributes:
      given: The answers of all workers.
      sends: Number of sends of each request to all workers, by id.
    """

    given: list = attrs.Factory(list)
    sends: dict = attrs.Factory(dict)

    async def take(self, run, writer):
        outcomes = run.headers.get(OUTCOMES.lower(), "whole").split(" ")
        number = self.sends.get(run.id, 0)
        self.sends[run.id] = number + 1
        kind, *more = outcomes[min(number, len(outcomes) - 1)].split(":")
        self.runs.append(run)
        if kind == "status":
            return await self.send_status(run, writer, int(more[0]), *more[1:])
        if kind == "events":
            return await self.send_events(run, writer, int(more[0]), more[1])
        return await self.send_whole(run, writer)

    def record(self, run, status, receipt, body, whole):
        self.given.append(GivenAnswer(run.id, status, receipt, body, whole))

    async def send_status(self, run, writer, status, frame, receipt):
        body = b"" if status in (204, 304) else f"{self.id} {status}".encode()
        headers = [("X-Attempt-Id", run.id)]
        signature = ""
        if receipt == "signed":
            signature = f"{self.id}.{run.id}.{status}"
            headers.append(("X-Response-Signature", signature))
        if receipt == "not-run":
            headers.append(("X-Not-Executed", "1"))
        length = len(body) if frame == "length" and body else None
        if frame == "chunked" and body:
            headers.append(("Transfer-Encoding", "chunked"))
        self.record(run, status, signature, body, True)
        if frame == "chunked" and body:
            sent = b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
        else:
            sent = body
        writer.write(head(status, headers, length) + sent)
        await writer.drain()
        if frame == "none":
            writer.close()
            return False
        return True

    def start_stream(self, run, writer):
        signature = f"{self.id}.{run.id}.200"
        headers = [
            ("X-Attempt-Id", run.id),
            ("X-Response-Signature", signature),
            ("Content-Type", "text/event-stream"),
        ]
        writer.write(self.stream_head(headers))
        return signature

    async def send_events(self, run, writer, last, how):
        signature = self.start_stream(run, writer)
        first = int(run.headers.get("last-event-id", "0")) + 1
        for number in range(first, min(last, EVENTS - 1) + 1):
            writer.write(self.encode_piece(self.make_event(run, number)))
        if how == Break.INSIDE:
            writer.write(self.encode_piece(b"id: 99\nda"))
        self.record(run, 200, signature, b"", False)
        await writer.drain()
        if how != Break.RESET:
            writer.close()
            return False
        await asyncio.sleep(READ_S)
        reset(writer)
        return False

    async def send_whole(self, run, writer):
        signature = self.start_stream(run, writer)
        first = int(run.headers.get("last-event-id", "0")) + 1
        for number in range(first, EVENTS + 1):
            writer.write(self.encode_piece(self.make_event(run, number)))
        self.record(run, 200, signature, b"", True)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


async def add_drawn_workers(site, count):
    """Adds workers that answer chats; returns the answers that they give."""
    given, sends = [], {}
    for number in range(count):
        worker = DrawnWorker(f"d{number}", given=given, sends=sends)
        await worker.start()
        site.workers[worker.id] = worker
        site.register(worker.id, "engine")
    return given


async def read_all(address, request_id, outcomes, timeout_s=6.0):
    """Returns all bytes with which a chat is answered.

    The channel is kept open for a while behind a complete answer, so that what
    comes after it is read as well.
    """
    reader, writer = await asyncio.open_connection(address.host, address.port)
    headers = {OUTCOMES: outcomes}
    writer.write(
        request_bytes(request_id, "/chat/x", body=b"x", headers=headers)
    )
    data = b""
    try:
        async with asyncio.timeout(timeout_s):
            while True:
                # A channel that is silent for so long has no more to say.
                piece = await asyncio.wait_for(
                    reader.read(65536), 0.3 if ends(data) else timeout_s
                )
                if not piece:
                    break
                data += piece
    except (ConnectionError, TimeoutError):
        pass
    with contextlib.suppress(ConnectionError):
        writer.close()
        await writer.wait_closed()
    return data


def ends(data):
    """Returns whether bytes look like the end of an answer."""
    head, _, body = data.partition(b"\r\n\r\n")
    chunked = b"chunked" in head.lower()
    return body.endswith(b"0\r\n\r\n") if chunked else bool(head)
