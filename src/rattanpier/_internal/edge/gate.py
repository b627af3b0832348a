"""Counts requests in flight, and closes the edge to new ones."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import attrs
from aiohttp import web

from rattanpier._internal.edge.errors import error_response
from rattanpier._internal.models.refusal import Refusal, RefusalCode
from rattanpier._internal.utils.ids import new_request_id
from rattanpier._internal.utils.metrics import Metrics

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]

# Answered to the end: they run nothing, and help callers to go elsewhere.
UNGATED_PATHS = frozenset({"/healthz", "/readyz", "/v1/entries"})
RETRY_AFTER_S = 1.0


@attrs.define
class Gate:
    """Whether an entry takes requests.

    Attributes:
      leaving: Connections are not kept for another request.
      closed: New requests are refused.
      in_flight: Requests in flight.
      idle: Set while there are none.
    """

    metrics: Metrics
    leaving: bool = False
    closed: bool = False
    in_flight: int = 0
    idle: asyncio.Event = attrs.Factory(asyncio.Event)

    def __attrs_post_init__(self) -> None:
        """An edge starts without requests."""
        self.idle.set()

    def leave(self) -> None:
        """Lets callers go after their present request."""
        self.leaving = True

    def close(self) -> None:
        """Refuses new requests."""
        self.leaving = True
        self.closed = True

    async def handle(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        """Serves or refuses one request, as aiohttp middleware."""
        if request.path in UNGATED_PATHS:
            return self.close_if_leaving(await handler(request))
        if self.closed:
            self.metrics.count(f"refusal.{RefusalCode.DRAINING.value}")
            return self.close_if_leaving(refuse_draining())
        self.begin_request()
        try:
            response = self.close_if_leaving(await handler(request))
            if self.leaving:
                # Written here, so that the request counts until its last byte.
                await response.prepare(request)
                await response.write_eof()
            return response
        finally:
            self.end_request()

    def close_if_leaving(
        self, response: web.StreamResponse
    ) -> web.StreamResponse:
        """Ends the connection behind a response once the entry leaves."""
        if self.leaving and not response.prepared:
            response.force_close()
        return response

    def begin_request(self) -> None:
        """Counts a request in."""
        self.in_flight += 1
        self.idle.clear()

    def end_request(self) -> None:
        """Counts a request out."""
        self.in_flight -= 1
        if self.in_flight == 0:
            self.idle.set()


def gate_middleware(gate: Gate) -> Callable[..., Awaitable[web.StreamResponse]]:
    """Returns the gate as middleware of an aiohttp application."""

    @web.middleware
    async def middleware(
        request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        return await gate.handle(request, handler)

    return middleware


def refuse_draining() -> web.Response:
    """Returns the refusal of a request that comes too late."""
    refusal = Refusal(
        RefusalCode.DRAINING,
        "This entry is leaving; ask another for GET /v1/entries.",
        True,
        RETRY_AFTER_S,
    )
    return error_response(refusal, new_request_id())
