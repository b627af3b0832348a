"""Stand-in for a model engine: streams chat completions at a set speed.

The text depends only on version and prompt, so that a test can tell a
complete, correct answer from any other. The stand-in records its runs itself.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import random
from collections.abc import AsyncIterator
from typing import Any

import attrs
from aiohttp import web

from rattanpier._internal.models.request import estimate_tokens
from rattanpier._internal.standin.faults import EngineFault, EngineFaults
from rattanpier._internal.standin.orders import OrderDesk
from rattanpier._internal.standin.replies import abort, health, refuse
from rattanpier._internal.standin.runs import RunFile
from rattanpier._internal.standin.streams import Run, Stream, Streams
from rattanpier._internal.standin.texts import (
    answer_words,
    difficulty,
    make_event,
    prompt_text,
)
from rattanpier._internal.utils.codec import decode, encode
from rattanpier._internal.utils.hashing import stable_hash

DEFAULT_MAX_TOKENS = 32
MAX_WORDS = 512  # Per answer; a word counts as a token.
MAX_BODY_BYTES = 64 * 2**20
CONFIDENCE_NOISE = 0.15  # Standard deviation.


@attrs.frozen
class EngineSpeed:
    """Speed and concurrency of an engine.

    Attributes:
      prefill_tokens_per_s: Prompt tokens processed per second.
      decode_s: Seconds between two tokens of an answer.
      slots: Maximum number of concurrent requests; others wait.
      resume_s: Seconds for which a stream can be resumed after a
        disconnection or its end.
    """

    prefill_tokens_per_s: float = 20_000.0
    decode_s: float = 0.005
    slots: int = 16
    resume_s: float = 3.0


CUTS = (EngineFault.CUT, EngineFault.FORGET)
# Number of times the middle event is sent under a fault; otherwise once.
WRITTEN_TIMES = {EngineFault.MISSING: 0, EngineFault.DUPLICATE: 2}


@attrs.define
class EngineServer:
    """HTTP server of one engine.

    Attributes:
      versions: Skill (0 to 1) of each served version, by version.
      runs: All runs, in the order of their start.
      streams: Streams that can be resumed.
      checks_fencing: Whether orders with outdated fencing numbers are
        refused.
      run_file: Records the start of each run so that it survives a kill.
      waiting_swap: Resolved by the second of two swapped requests.
      swapped: Stream of the first of two swapped requests.
      ids: Counter for the identifiers of answers.
      free: Semaphore of free slots.
    """

    versions: dict[str, float]
    speed: EngineSpeed = attrs.Factory(EngineSpeed)
    faults: EngineFaults = attrs.Factory(EngineFaults)
    runs: list[Run] = attrs.Factory(list)
    checks_fencing: bool = False
    run_file: RunFile = attrs.Factory(RunFile)
    waiting_swap: asyncio.Future[Stream] | None = None
    swapped: Stream | None = None
    ids: itertools.count = attrs.Factory(itertools.count)
    streams: Streams = attrs.field(
        default=attrs.Factory(
            lambda self: Streams(self.speed.resume_s), takes_self=True
        )
    )
    free: asyncio.Semaphore = attrs.field(
        default=attrs.Factory(
            lambda self: asyncio.Semaphore(self.speed.slots), takes_self=True
        )
    )

    async def chat(self, request: web.Request) -> web.StreamResponse:
        """Handles a chat-completions request; answers with a stream."""
        body = await request.json()
        fault = self.faults.take()
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
        """Sends the rest of an answer without starting a run."""
        stream = self.streams.find(request.headers.get("X-Request-Id", ""))
        if stream is None or "Last-Event-ID" not in request.headers:
            return web.json_response({"error": "not known"}, status=410)
        stream.run.resumes += 1
        start = int(request.headers["Last-Event-ID"]) + 1
        return await self.send(request, stream, start, EngineFault.NONE)

    async def cancel(self, request: web.Request) -> web.Response:
        """Cancels the run of a request."""
        stream = self.streams.find(request.headers.get("X-Request-Id", ""))
        if stream is not None:
            self.streams.stop(stream)
        return web.Response(status=204)

    async def swap(self, stream: Stream) -> Stream:
        """Returns the stream of the other of two requests."""
        if self.waiting_swap is None or self.waiting_swap.done():
            future = asyncio.get_running_loop().create_future()
            self.waiting_swap, self.swapped = future, stream
            return await future
        other, self.waiting_swap = self.waiting_swap, None
        other.set_result(stream)
        assert self.swapped is not None
        return self.swapped

    def start(self, body: dict[str, Any], run: Run) -> Stream:
        """Starts generating an answer in a task."""
        stream = Stream(run, len(self.words(body)))
        self.streams.add(stream)
        loop = asyncio.get_running_loop()
        stream.task = loop.create_task(self.generate(body, stream))
        return stream

    async def generate(self, body: dict[str, Any], stream: Stream) -> None:
        """Generates an answer at the speed of the engine."""
        async with self.free:
            await self.pause(self.prefill_s(body))
            async for number, event in self.events(body, self.words(body)):
                line = f"id: {number}\ndata: {json.dumps(event)}\n\n"
                stream.add(line.encode())
        stream.run.finished = True
        self.streams.end(stream)

    async def pause(self, seconds: float) -> None:
        """Sleeps for a duration, scaled by the slowdown factor."""
        await asyncio.sleep(seconds * self.faults.slowdown)

    def prefill_s(self, body: dict[str, Any]) -> float:
        """Returns the seconds needed to process the prompt."""
        tokens = estimate_tokens(len(prompt_text(body)))
        return tokens / self.speed.prefill_tokens_per_s

    async def send(
        self,
        request: web.Request,
        stream: Stream,
        start: int,
        fault: EngineFault,
    ) -> web.StreamResponse:
        """Sends the events of an answer from number `start` on."""
        response = web.StreamResponse(
            headers={"X-Request-Id": stream.run.request}
        )
        response.content_type = "text/event-stream"
        stream.readers += 1
        half = stream.total // 2
        try:
            await stream.wait(start)
            await response.prepare(request)
            number = start
            while await stream.wait(number):
                if fault in CUTS and number >= half:
                    if fault is EngineFault.FORGET:
                        self.streams.forget(stream)
                    abort(request)
                    return response
                if fault is EngineFault.NO_END and number >= stream.total:
                    return response
                event = stream.events[number]
                # MISSING and DUPLICATE affect only the middle event.
                times = WRITTEN_TIMES.get(fault, 1) if number == half else 1
                for _ in range(times):
                    await response.write(event)
                number += 1
            if stream.run.finished:
                await response.write(b"data: [DONE]\n\n")
        finally:
            self.streams.leave(stream)
        return response

    async def events(
        self, body: dict[str, Any], words: list[str]
    ) -> AsyncIterator[tuple[int, dict[str, Any]]]:
        """Yields numbered chat-completion chunks at the decoding speed."""
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
        count = min(body.get("max_tokens") or DEFAULT_MAX_TOKENS, MAX_WORDS)
        return answer_words(body["model"], prompt_text(body), count, good)

    def is_good(self, body: dict[str, Any]) -> bool:
        """Returns whether the version is skilled enough for the prompt."""
        if body["model"] in self.faults.bad_versions:
            return False
        return difficulty(prompt_text(body)) < self.versions[body["model"]]

    def confidence(self, body: dict[str, Any]) -> float:
        """Returns a noisy confidence (0 to 1), higher for good answers."""
        noise = random.Random(stable_hash(prompt_text(body))).gauss(
            0, CONFIDENCE_NOISE
        )
        base = 0.8 if self.is_good(body) else 0.4
        return min(1.0, max(0.0, base + noise))

    async def set_faults(self, request: web.Request) -> web.Response:
        """Replaces the fault settings."""
        self.faults = decode(EngineFaults, await request.read())
        return web.Response(text=encode(self.faults))

    async def get_runs(self, _request: web.Request) -> web.Response:
        """Answers with all runs."""
        return web.Response(text=encode(self.runs))

    def app(self) -> web.Application:
        """Returns the aiohttp application of this stand-in."""
        app = web.Application(client_max_size=MAX_BODY_BYTES)
        app.router.add_post("/v1/chat/completions", self.chat)
        app.router.add_get("/v1/chat/completions", self.resume)
        app.router.add_delete("/v1/chat/completions", self.cancel)
        app.router.add_get("/health", health)
        app.router.add_post("/standin/faults", self.set_faults)
        app.router.add_get("/standin/runs", self.get_runs)
        OrderDesk(self.versions, self.checks_fencing).add_routes(app)
        return app
