"""A stand-in for a model engine: chat completions at a set pace.

The text depends only on version and prompt, so that a test can tell a whole,
right answer from any other. Runs are counted here.
"""

from __future__ import annotations

import asyncio
import enum
import itertools
import json
import random
import time
from collections.abc import AsyncIterator
from typing import Any

import attrs
from aiohttp import web

from rattanpier._internal.models.request import estimate_tokens
from rattanpier._internal.standin.orders import OrderDesk
from rattanpier._internal.standin.runs import RunFile
from rattanpier._internal.utils.codec import decode, encode
from rattanpier._internal.utils.hashing import stable_hash

DEFAULT_MAX_TOKENS = 32


class EngineFault(enum.StrEnum):
    """What is wrong with an engine."""

    NONE = "none"
    REFUSE = "refuse"  # 503, says that it did not run the request.
    FAIL = "fail"  # 500, says nothing.
    CUT = "cut"  # Ends the stream half way.
    CUT_BEFORE_ANSWER = "cut_before_answer"  # Runs, then closes.
    STALL = "stall"  # Takes the request and says nothing.
    FORGET = "forget"  # Cuts the stream half way; can't resume it.
    SWAP = "swap"  # Answers two requests with each other's answer.
    DUPLICATE = "duplicate"  # Sends a chunk twice.
    MISSING = "missing"  # Leaves a chunk out.
    REDIRECT = "redirect"  # Sends the caller elsewhere.
    NO_END = "no_end"  # Ends the stream after the text, without its end.


@attrs.define
class EngineFaults:
    """The fault switch.

    Attributes:
      fault: What is wrong now.
      count: How many more requests it hits; -1 for all.
      slowdown: Factor on every duration.
      redirect: Address for the fault of that name.
      bad_versions: Versions whose answers are poor.
    """

    fault: EngineFault = EngineFault.NONE
    count: int = -1
    slowdown: float = 1.0
    redirect: str = ""
    bad_versions: list[str] = attrs.Factory(list)


@attrs.define
class Run:
    """One request as the engine ran it.

    Attributes:
      started: Seconds since the epoch.
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
      events: The events so far, in order.
      over: True once there will be no more.
      readers: Connections that follow it.
      changed: Set with each event.
    """

    run: Run
    total: int
    events: list[bytes] = attrs.Factory(list)
    over: bool = False
    readers: int = 0
    changed: asyncio.Event = attrs.Factory(asyncio.Event)
    task: asyncio.Task[None] | None = None


@attrs.frozen
class EngineSpeed:
    """How fast an engine is.

    Attributes:
      prefill_tokens_per_s: Prompt tokens read a second.
      decode_s: Seconds between tokens of one answer.
      slots: Requests run at once; more of them wait.
      resume_s: Seconds a cut or ended stream can be resumed.
    """

    prefill_tokens_per_s: float = 20_000.0
    decode_s: float = 0.005
    slots: int = 16
    resume_s: float = 3.0


CUTS = (EngineFault.CUT, EngineFault.FORGET)


@attrs.define
class EngineServer:
    """One engine.

    Attributes:
      versions: Versions it serves, with the skill (0 to 1) of each.
      runs: Everything it ran, in order.
      streams: Answers that can be resumed, by request id.
      checks_fencing: Whether it refuses orders with old fencing numbers.
      run_file: Keeps the start of each run beyond a kill.
    """

    versions: dict[str, float]
    speed: EngineSpeed = attrs.Factory(EngineSpeed)
    faults: EngineFaults = attrs.Factory(EngineFaults)
    runs: list[Run] = attrs.Factory(list)
    streams: dict[str, Stream] = attrs.Factory(dict)
    checks_fencing: bool = False
    run_file: RunFile = attrs.Factory(RunFile)
    waiting_swap: asyncio.Future[Stream] | None = None
    swapped: Stream | None = None
    ids: itertools.count = attrs.Factory(itertools.count)
    free: asyncio.Semaphore = attrs.field(
        default=attrs.Factory(
            lambda self: asyncio.Semaphore(self.speed.slots), takes_self=True
        )
    )

    async def chat(self, request: web.Request) -> web.StreamResponse:
        """Answers a chat-completions request with a stream."""
        body = await request.json()
        fault = self.take_fault()
        if fault is EngineFault.REFUSE:
            return refuse("the engine is full", not_run=True)
        if fault is EngineFault.REDIRECT:
            raise web.HTTPTemporaryRedirect(
                f"{self.faults.redirect}{request.path}"
            )
        if body["model"] not in self.versions:
            return refuse("the version is not loaded", not_run=True)
        run = Run(
            request.headers.get("X-Request-Id", ""),
            body["model"],
            prompt_text(body),
        )
        self.runs.append(run)
        self.run_file.add(run)
        if fault is EngineFault.FAIL:
            return web.json_response({"error": "failed"}, status=500)
        if fault is EngineFault.STALL:
            await asyncio.Event().wait()
        stream = self.start(body, run)
        if fault is EngineFault.CUT_BEFORE_ANSWER:
            await self.pause(self.prefill_s(body))
            abort(request)
        if fault is EngineFault.SWAP:
            stream = await self.swap(stream)
        return await self.send(request, stream, 0, fault)

    async def resume(self, request: web.Request) -> web.StreamResponse:
        """Sends the rest of an answer; runs nothing."""
        stream = self.streams.get(request.headers.get("X-Request-Id", ""))
        if stream is None or "Last-Event-ID" not in request.headers:
            return web.json_response({"error": "not known"}, status=410)
        stream.run.resumes += 1
        start = int(request.headers["Last-Event-ID"]) + 1
        return await self.send(request, stream, start, EngineFault.NONE)

    async def cancel(self, request: web.Request) -> web.Response:
        """Stops a run."""
        stream = self.streams.get(request.headers.get("X-Request-Id", ""))
        if stream is not None:
            self.stop(stream)
        return web.Response(status=204)

    async def swap(self, stream: Stream) -> Stream:
        """Returns the answer of the other one of two requests."""
        if self.waiting_swap is None or self.waiting_swap.done():
            future = asyncio.get_running_loop().create_future()
            self.waiting_swap, self.swapped = future, stream
            return await future
        other, self.waiting_swap = self.waiting_swap, None
        other.set_result(stream)
        assert self.swapped is not None
        return self.swapped

    def start(self, body: dict[str, Any], run: Run) -> Stream:
        """Starts to generate an answer."""
        stream = Stream(run, len(self.words(body)))
        self.streams[run.request] = stream
        loop = asyncio.get_running_loop()
        stream.task = loop.create_task(self.generate(body, stream))
        return stream

    async def generate(self, body: dict[str, Any], stream: Stream) -> None:
        """Generates an answer at the engine's pace."""
        async with self.free:
            await self.pause(self.prefill_s(body))
            async for number, event in self.events(body, self.words(body)):
                line = f"id: {number}\ndata: {json.dumps(event)}\n\n"
                stream.events.append(line.encode())
                stream.run.chunks += 1
                stream.changed.set()
        stream.run.finished = True
        self.end(stream)

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
        loop.call_later(
            self.speed.resume_s, self.streams.pop, stream.run.request, None
        )

    def leave(self, stream: Stream) -> None:
        """Notes that a reader left; a run without one is stopped later."""
        stream.readers -= 1
        if stream.readers == 0 and not stream.over:
            loop = asyncio.get_running_loop()
            loop.call_later(self.speed.resume_s, self.stop_unread, stream)

    def stop_unread(self, stream: Stream) -> None:
        """Cancels a run that nobody came back for."""
        if stream.readers == 0:
            self.stop(stream)

    def take_fault(self) -> EngineFault:
        """Returns the fault that hits this request."""
        if self.faults.count == 0:
            return EngineFault.NONE
        if self.faults.fault is not EngineFault.NONE and self.faults.count > 0:
            self.faults.count -= 1
        return self.faults.fault

    async def pause(self, seconds: float) -> None:
        """Takes its time."""
        await asyncio.sleep(seconds * self.faults.slowdown)

    def prefill_s(self, body: dict[str, Any]) -> float:
        """Returns how long the prompt takes."""
        tokens = estimate_tokens(len(prompt_text(body)))
        return tokens / self.speed.prefill_tokens_per_s

    async def send(
        self,
        request: web.Request,
        stream: Stream,
        start: int,
        fault: EngineFault,
    ) -> web.StreamResponse:
        """Sends an answer's events from a number on, as they come."""
        response = web.StreamResponse(
            headers={"X-Request-Id": stream.run.request}
        )
        response.content_type = "text/event-stream"
        stream.readers += 1
        half = stream.total // 2
        try:
            await self.wait_event(stream, start)
            await response.prepare(request)
            number = start
            while await self.wait_event(stream, number):
                if fault in CUTS and number >= half:
                    if fault is EngineFault.FORGET:
                        self.stop(stream)
                        self.streams.pop(stream.run.request, None)
                    abort(request)
                    return response
                if fault is EngineFault.NO_END and number >= stream.total:
                    return response
                if fault is not EngineFault.MISSING or number != half:
                    await response.write(stream.events[number])
                if fault is EngineFault.DUPLICATE and number == half:
                    await response.write(stream.events[number])
                number += 1
            if stream.run.finished:
                await response.write(b"data: [DONE]\n\n")
        finally:
            self.leave(stream)
        return response

    async def wait_event(self, stream: Stream, number: int) -> bool:
        """Waits for an event; False if the stream ended before it."""
        while len(stream.events) <= number and not stream.over:
            stream.changed.clear()
            await stream.changed.wait()
        return len(stream.events) > number

    async def events(
        self, body: dict[str, Any], words: list[str]
    ) -> AsyncIterator[tuple[int, dict[str, Any]]]:
        """Yields numbered chat-completion chunks at the decoding pace."""
        identity = f"chatcmpl-{next(self.ids)}"
        for number, word in enumerate(words):
            await self.pause(self.speed.decode_s)
            yield number, make_event(identity, body["model"], word, None)
        prompt_tokens = estimate_tokens(len(prompt_text(body)))
        final = make_event(identity, body["model"], "", "stop")
        final["usage"] = {
            "prompt_tokens": prompt_tokens,
            "completion_tokens": len(words),
            "total_tokens": prompt_tokens + len(words),
        }
        final["confidence"] = self.confidence(body)
        yield len(words), final

    def words(self, body: dict[str, Any]) -> list[str]:
        """Returns the words of the answer."""
        good = self.is_good(body)
        count = min(body.get("max_tokens") or DEFAULT_MAX_TOKENS, 512)
        return answer_words(body["model"], prompt_text(body), count, good)

    def is_good(self, body: dict[str, Any]) -> bool:
        """Says whether the version is skilled enough for the prompt."""
        if body["model"] in self.faults.bad_versions:
            return False
        return difficulty(prompt_text(body)) < self.versions[body["model"]]

    def confidence(self, body: dict[str, Any]) -> float:
        """Returns a measure of the answer that tells a little of it."""
        noise = random.Random(stable_hash(prompt_text(body))).gauss(0, 0.15)
        base = 0.8 if self.is_good(body) else 0.4
        return min(1.0, max(0.0, base + noise))

    async def set_faults(self, request: web.Request) -> web.Response:
        """Sets the fault switch."""
        self.faults = decode(EngineFaults, await request.read())
        return web.Response(text=encode(self.faults))

    async def get_runs(self, _request: web.Request) -> web.Response:
        """Answers with everything that ran."""
        return web.Response(text=encode(self.runs))

    def app(self) -> web.Application:
        """Returns the aiohttp application."""
        app = web.Application(client_max_size=64 * 2**20)
        app.router.add_post("/v1/chat/completions", self.chat)
        app.router.add_get("/v1/chat/completions", self.resume)
        app.router.add_delete("/v1/chat/completions", self.cancel)
        app.router.add_get("/health", health)
        app.router.add_post("/standin/faults", self.set_faults)
        app.router.add_get("/standin/runs", self.get_runs)
        OrderDesk(self.versions, self.checks_fencing).add_routes(app)
        return app


async def health(_request: web.Request) -> web.Response:
    """Answers that the process runs; counted nowhere."""
    return web.Response(text="ok")


def abort(request: web.Request) -> None:
    """Closes the connection at once."""
    if request.transport is not None:
        request.transport.abort()


def refuse(message: str, not_run: bool) -> web.Response:
    """Returns a refusal."""
    return web.json_response(
        {"error": message, "not_run": not_run},
        status=503,
        headers={"Retry-After": "1"},
    )


def make_event(
    identity: str, model: str, text: str, finish: str | None
) -> dict[str, Any]:
    """Returns a chat-completion chunk."""
    return {
        "id": identity,
        "object": "chat.completion.chunk",
        "created": 0,
        "model": model,
        "choices": [
            {
                "index": 0,
                "delta": {"role": "assistant", "content": text},
                "finish_reason": finish,
            }
        ],
    }


def prompt_text(body: dict[str, Any]) -> str:
    """Returns the text of all messages."""
    return "\n".join(
        str(message.get("content", "")) for message in body["messages"]
    )


def difficulty(prompt: str) -> float:
    """Returns how hard a prompt is, 0 to 1, the same every time."""
    return stable_hash(f"difficulty\x1f{prompt}") % 10_000 / 10_000


def answer_words(
    version: str, prompt: str, count: int, good: bool
) -> list[str]:
    """Returns the words of an answer; the first says whether it is good."""
    rng = random.Random(stable_hash(f"{version}\x1f{prompt}"))
    words = [f" w{rng.randrange(10_000)}" for _ in range(max(0, count - 1))]
    return ["good" if good else "poor", *words]
