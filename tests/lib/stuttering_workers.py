"""Workers that send each answer a second time, late and in pieces."""

import asyncio
import random

import attrs

from rattanpier._internal.standin.platform_worker import PlatformWorkerServer

MAX_DELAY_S = 0.06
MAX_GAP_S = 0.005
PIECES = 3


@attrs.define(eq=False)
class RecordingWriter:
    """Writer that keeps a copy of what is written."""

    writer: asyncio.StreamWriter
    data: bytes = b""

    def __getattr__(self, name):
        return getattr(self.writer, name)

    def write(self, data):
        self.data += data
        self.writer.write(data)


@attrs.define(eq=False)
class StutteringWorker(PlatformWorkerServer):
    """A worker that answers twice on each connection.

    Attributes:
      between: Whether the second answer comes between the head and the body of
        the next one; otherwise it comes after a drawn time.
      late: Answers that are still to be sent again, by connection.
      copies: Tasks that send them.
    """

    rng: random.Random = attrs.Factory(lambda: random.Random(1))
    between: bool = False
    late: dict = attrs.Factory(dict)
    copies: set = attrs.Factory(set)

    async def take(self, run, writer):
        recorder = RecordingWriter(writer)
        earlier = self.late.pop(writer, None)
        answer = super().take
        if earlier is not None:
            answer = self.answer_around(earlier)
        self.connections[recorder] = self.connections[writer]
        try:
            kept = await answer(run, recorder)
        finally:
            del self.connections[recorder]
        if kept and self.between:
            self.late[writer] = recorder.data
        elif kept:
            task = asyncio.ensure_future(self.send_copy(writer, recorder.data))
            self.copies.add(task)
            task.add_done_callback(self.copies.discard)
        return kept

    def answer_around(self, earlier):
        async def answer(run, recorder):
            self.runs.append(run)
            body = self.make_body(run)
            whole = RecordingWriter(NullWriter())
            await self.plain(run, whole, self.fault)
            head = whole.data[: -len(body)]
            for piece in (head, earlier, body):
                recorder.writer.write(piece)
            recorder.data = whole.data
            await recorder.drain()
            return True

        return answer

    async def send_copy(self, writer, data):
        await asyncio.sleep(self.rng.uniform(0.0, MAX_DELAY_S))
        size = len(data) // PIECES + 1
        for start in range(0, len(data), size):
            if writer.transport.is_closing():
                return
            writer.write(data[start : start + size])
            await asyncio.sleep(self.rng.uniform(0.0, MAX_GAP_S))


class NullWriter:
    """Writer that drops what is written."""

    def write(self, data):
        pass

    async def drain(self):
        pass


async def add_stuttering_workers(site, count, service="plain", **more):
    for number in range(count):
        rng = random.Random(number)
        worker = StutteringWorker(f"{service}-{number}", rng=rng, **more)
        await worker.start()
        site.workers[worker.id] = worker
        site.register(worker.id, service)
