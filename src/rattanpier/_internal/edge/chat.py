"""Serves `POST /v1/chat/completions`.

Turns the parts of an answer from the runner into an HTTP response.
"""

from __future__ import annotations

import json
from collections.abc import AsyncIterator
from contextlib import aclosing

import attrs
from aiohttp import web

from rattanpier._internal.claims.records import Answer
from rattanpier._internal.dispatch.bills import make_completion
from rattanpier._internal.dispatch.engine import Chunk
from rattanpier._internal.dispatch.parts import (
    Completed,
    Flush,
    Part,
    Recorded,
    Refused,
    ReleasedChunk,
    Started,
)
from rattanpier._internal.dispatch.runner import Runner
from rattanpier._internal.edge.errors import error_event, refuse
from rattanpier._internal.edge.intake import (
    RequestRefusedError,
    find_caller,
    make_route_request,
    read_body,
)
from rattanpier._internal.edge.pins import SessionPins
from rattanpier._internal.edge.sessions import SessionTokens
from rattanpier._internal.exceptions import StoreUnavailableError
from rattanpier._internal.models.plan import Plan
from rattanpier._internal.models.refusal import Refusal, RefusalCode
from rattanpier._internal.models.request import RouteRequest
from rattanpier._internal.models.settings import EdgeSettings
from rattanpier._internal.routing.plan import make_plan
from rattanpier._internal.utils.clock import Clock
from rattanpier._internal.utils.ids import new_request_id
from rattanpier._internal.utils.metrics import Metrics

PIN_RETRY_S = 2.0
DONE_EVENT = b"data: [DONE]\n\n"


@attrs.define
class ChatHandler:
    """Serves chat completions.

    Attributes:
      runner: Answers the requests.
      tokens: Signs and verifies session tokens.
      pins: Pinned versions of sessions whose callers send no token.
      settings: Limits on bodies and timeouts.
      clock: Source of the deadlines.
      metrics: Counts refusals.
    """

    runner: Runner
    tokens: SessionTokens
    pins: SessionPins
    settings: EdgeSettings
    clock: Clock
    metrics: Metrics

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Serves one chat request, streamed or not."""
        request_id = new_request_id()
        try:
            route = await self.parse_request(request)
        except RequestRefusedError as error:
            return self.refuse(error.refusal, request_id)
        parts = self.runner.answer(route, request_id)
        async with aclosing(parts):
            if route.stream:
                return await self.respond_events(
                    request, route, request_id, parts
                )
            return await self.respond_json(route, request_id, parts)

    async def parse_request(self, request: web.Request) -> RouteRequest:
        """Authenticates the caller, validates the body and finds the pin.

        Raises:
          RequestRefusedError: The key, the body or a header is not valid, or
            the session's pin can't be read.
        """
        workspace = find_caller(
            request,
            self.runner.configuration(),
            self.runner.dispatcher.current(),
        )
        data = await read_body(request, self.settings.max_body_bytes)
        pinned = self.tokens.pinned_version(
            workspace, request.headers.get("X-Session-Token", "")
        )
        route = make_route_request(
            request, workspace, data, self.settings, self.clock, pinned
        )
        if pinned or not route.session:
            return route
        return await self.with_pin(route)

    async def with_pin(self, route: RouteRequest) -> RouteRequest:
        """Returns a request with the version that its session is pinned to.

        Raises:
          RequestRefusedError: The version can't be read, and the request would
            be routed to the candidate of a roll-out.
        """
        try:
            pinned = await self.pins.find(route.workspace, route.session)
        except StoreUnavailableError as error:
            if self.gets_candidate(route):
                raise RequestRefusedError(pin_unavailable()) from error
            return route
        return attrs.evolve(route, pinned=pinned)

    def gets_candidate(self, route: RouteRequest) -> bool:
        """Returns whether a request's plan has a roll-out's candidate in it."""
        configuration = self.runner.configuration()
        plan = make_plan(configuration, route, self.runner.braked)
        candidates = {
            rollout.candidate for rollout in configuration.rollouts.values()
        }
        return isinstance(plan, Plan) and not candidates.isdisjoint(plan.steps)

    async def keep_pin(self, route: RouteRequest, started: Started) -> Started:
        """Pins the session of an answer whose first byte is released next.

        Returns:
          The start of the answer, with the version in `pin_lost` that another
          entry pinned first, if there is one.
        """
        if not route.session:
            return started
        kept = await self.pins.keep(
            route.workspace, route.session, started.version
        )
        if kept == started.version:
            return started
        return attrs.evolve(started, pin_lost=kept)

    def refuse(self, refusal: Refusal, request_id: str) -> web.Response:
        """Returns the response for a refusal and counts its reason."""
        return refuse(self.metrics, refusal, request_id)

    def headers(
        self, route: RouteRequest, request_id: str, started: Started
    ) -> dict[str, str]:
        """Returns the response headers of an answer."""
        headers = {
            "X-Request-Id": request_id,
            "X-Model-Version": started.version,
            "X-Session-Token": self.tokens.sign(
                route.workspace, started.version
            ),
        }
        if started.pin_lost:
            headers["X-Session-Version-Lost"] = started.pin_lost
        return headers

    async def respond_json(
        self,
        route: RouteRequest,
        request_id: str,
        parts: AsyncIterator[Part],
    ) -> web.Response:
        """Responds with one JSON body."""
        headers: dict[str, str] = {}
        chunks: list[Chunk] = []
        async for part in parts:
            match part:
                case Started():
                    part = await self.keep_pin(route, part)
                    headers = self.headers(route, request_id, part)
                case ReleasedChunk(chunk):
                    chunks.append(chunk)
                case Recorded(answer):
                    return recorded_response(answer, request_id)
                case Refused(refusal):
                    return self.refuse(refusal, request_id)
                case Completed():
                    return web.json_response(
                        make_completion(chunks), headers=headers
                    )
        raise AssertionError("an answer ended without a last part")

    async def respond_events(
        self,
        request: web.Request,
        route: RouteRequest,
        request_id: str,
        parts: AsyncIterator[Part],
    ) -> web.StreamResponse:
        """Responds with server-sent events."""
        response: web.StreamResponse | None = None
        # Chunks that were received together are sent in one write, which
        # usually makes one packet.
        ready: list[bytes] = []
        async for part in parts:
            match part:
                case ReleasedChunk(chunk):
                    ready.append(b"data: " + chunk.data + b"\n\n")
                    if not chunk.more_buffered:
                        await write_all(response, ready)
                case Flush():
                    await write_all(response, ready)
                case Started():
                    part = await self.keep_pin(route, part)
                    response = event_stream(
                        self.headers(route, request_id, part)
                    )
                    await response.prepare(request)
                case Recorded(answer):
                    return await replay(request, answer, request_id)
                case Refused(refusal):
                    if response is None:
                        return self.refuse(refusal, request_id)
                    self.metrics.count(f"refusal.{refusal.code.value}")
                    ready.append(error_event(refusal, request_id))
                    await write_all(response, ready)
                case Completed():
                    ready.append(DONE_EVENT)
                    await write_all(response, ready)
        assert response is not None
        return response


async def write_all(
    response: web.StreamResponse | None, ready: list[bytes]
) -> None:
    """Writes the pending events and clears the list."""
    assert response is not None
    if ready:
        data = b"".join(ready)
        ready.clear()
        await response.write(data)


def pin_unavailable() -> Refusal:
    """Returns the refusal for a session whose pin can't be read."""
    return Refusal(
        RefusalCode.NO_VERSION,
        "The session's version can't be read now; send X-Session-Token.",
        True,
        PIN_RETRY_S,
    )


def event_stream(headers: dict[str, str]) -> web.StreamResponse:
    """Returns a response for server-sent events."""
    response = web.StreamResponse(headers=headers)
    response.content_type = "text/event-stream"
    return response


def recorded_response(answer: Answer, request_id: str) -> web.Response:
    """Returns the response for a recorded answer."""
    return web.Response(
        status=answer.status,
        text=answer.body,
        content_type=answer.content_type,
        headers={
            "X-Request-Id": request_id,
            "X-Model-Version": answer.version,
        },
    )


async def replay(
    request: web.Request, answer: Answer, request_id: str
) -> web.StreamResponse:
    """Streams a recorded answer as one chunk and the end mark."""
    body = json.loads(answer.body)
    choice = body["choices"][0]
    event = {
        **body,
        "object": "chat.completion.chunk",
        "choices": [
            {
                "index": 0,
                "delta": choice["message"],
                "finish_reason": choice["finish_reason"],
            }
        ],
    }
    response = event_stream(
        {"X-Request-Id": request_id, "X-Model-Version": answer.version}
    )
    await response.prepare(request)
    await response.write(f"data: {json.dumps(event)}\n\n".encode())
    await response.write(DONE_EVENT)
    return response
