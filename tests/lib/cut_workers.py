"""Workers that break off an answer after a number of bytes."""

import asyncio
import enum

import attrs

from rattanpier._internal.standin.platform_worker import (
    PlatformWorkerServer,
    reset,
)

# Numbers of bytes of the answers that are sent, one for each attempt; the last
# one also for further attempts.
CUT_AFTER = "X-Cut-After"
CUT_HOW = "X-Cut-How"  # How connections end, one for each attempt.
CUT_MODEL = "X-Cut-Model"  # Only answers of this model are cut.
READ_S = 0.005  # In which the bytes before a reset are read.


class Ending(enum.StrEnum):
    """How a connection ends that is cut."""

    CLOSED = "closed"
    RESET = "reset"


class CutError(ConnectionError):
    """All bytes that may be sent have been sent."""


@attrs.define
class CutWriter:
    """Writer that lets a number of bytes pass."""

    writer: asyncio.StreamWriter
    left: int

    def write(self, data):
        passed = data[: self.left]
        self.left -= len(passed)
        self.writer.write(passed)
        if len(passed) < len(data):
            raise CutError

    async def drain(self):
        await self.writer.drain()

    def write_eof(self):
        self.writer.write_eof()

    def close(self):
        self.writer.close()


@attrs.define
class CuttingWorker(PlatformWorkerServer):
    """A worker that cuts the answers to requests with `CUT_AFTER`.

    `attempts` holds the ids of such requests, which workers may share; `cuts`
    after how many bytes it cut; `cuts_of_kept` how often on a connection that
    had been used before; `head_size` the bytes of the last head of a stream. If
    `late` is set, it first answers an earlier request, cut alike.
    """

    attempts: list = attrs.Factory(list)
    cuts: list = attrs.Factory(list)
    cuts_of_kept: int = 0
    used: set = attrs.Factory(set)  # Connections with a whole answer.
    head_size: int = 0
    late: bool = False

    async def take(self, run, writer):
        headers = run.headers
        after = headers.get(CUT_AFTER.lower())
        model = headers.get(CUT_MODEL.lower())
        if after is None or (model and model != headers.get("x-model")):
            self.used.add(writer)
            return await super().take(run, writer)
        self.runs.append(run)
        number = self.attempts.count(run.id)
        self.attempts.append(run.id)
        size = int(nth(after, number))
        try:
            if self.late:
                late = make_late_answer(self.make_body(run))
                CutWriter(writer, size).write(late)
            await self.write_answer(run, CutWriter(writer, size))
        except CutError:
            self.cuts.append(size)
            self.cuts_of_kept += writer in self.used
            await end(writer, nth(headers[CUT_HOW.lower()], number))
            return False
        return self.chunked

    async def write_answer(self, run, writer):
        make = self.stream if "x-model" in run.headers else self.plain
        await make(run, writer, self.fault)

    def stream_head(self, headers):
        head = super().stream_head(headers)
        self.head_size = len(head)
        return head


def nth(values, number):
    """Returns the value of an attempt, from a header's list."""
    return values.split(",")[: number + 1][-1]


def make_late_answer(body):
    lines = [
        "HTTP/1.1 200 X",
        "X-Attempt-Id: earlier",
        "X-Response-Signature: earlier",
        f"Content-Length: {len(body)}",
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def end(writer, how):
    """Ends a connection after the bytes that were written to it."""
    await writer.drain()
    if how == Ending.CLOSED:
        writer.close()
        return
    await asyncio.sleep(READ_S)
    reset(writer)


def cut_headers(after, how, model=""):
    """Returns the headers of a request whose answers are to be cut.

    Args:
      after: Numbers of bytes, a list for several attempts.
      how: Endings, in the same form.
      model: Model whose answers are cut; empty for all.
    """
    headers = {CUT_AFTER: joined(after), CUT_HOW: joined(how)}
    return {**headers, CUT_MODEL: model} if model else headers


def joined(values):
    values = values if isinstance(values, list) else [values]
    return ",".join(map(str, values))


async def add_cutting_worker(site, name, service="plain", **more):
    worker = CuttingWorker(name, **more)
    await worker.start()
    site.workers[name] = worker
    site.register(name, service)
    return worker
