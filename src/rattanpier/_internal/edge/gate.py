"""Counts requests in flight and refuses new ones during a drain."""

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

# Served until the process ends: these requests run nothing on an upstream, and
# callers use them to find another entry.
UNGATED_PATHS = frozenset({"/healthz", "/readyz", "/v1/entries"})
RETRY_AFTER_S = 1.0


@attrs.define
class Gate:
    """Admission of callers' requests to an entry, as it drains.

    Attributes:
      metrics: Counts refusals.
      leaving: Each connection is closed after its current response.
      closed: New requests are refused; `leaving` is also set.
      in_flight: Number of requests in flight.
      idle: Set while no request is in flight.
    """

    metrics: Metrics
    leaving: bool = False
    closed: bool = False
    in_flight: int = 0
    idle: asyncio.Event = attrs.Factory(asyncio.Event)

    def __attrs_post_init__(self) -> None:
        """Sets `idle`, since no request is in flight at the start."""
        self.idle.set()

    def leave(self) -> None:
        """Closes each connection after its current request."""
        self.leaving = True

    def close(self) -> None:
        """Refuses new requests from now on."""
        self.leaving = True
        self.closed = True

    async def handle(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        """Serves or refuses one request, as an aiohttp middleware does."""
        if request.path in UNGATED_PATHS:
            return self.close_if_leaving(await handler(request))
        if self.closed:
            self.metrics.count(f"refusal.{RefusalCode.DRAINING.value}")
            return self.close_if_leaving(refuse_draining())
        self.begin_request()
        try:
            response = self.close_if_leaving(await handler(request))
            if self.leaving:
                # Written here, so that the request counts as in flight until
                # its last byte.
                await response.prepare(request)
                await response.write_eof()
            return response
        finally:
            self.end_request()

    def close_if_leaving(
        self, response: web.StreamResponse
    ) -> web.StreamResponse:
        """Marks the connection to be closed if the entry is leaving."""
        if self.leaving and not response.prepared:
            response.force_close()
        return response

    def begin_request(self) -> None:
        """Adds a request to those in flight."""
        self.in_flight += 1
        self.idle.clear()

    def end_request(self) -> None:
        """Removes a request; sets `idle` if it was the last."""
        self.in_flight -= 1
        if self.in_flight == 0:
            self.idle.set()


def gate_middleware(gate: Gate) -> Callable[..., Awaitable[web.StreamResponse]]:
    """Returns the aiohttp middleware that applies a gate."""

    @web.middleware
    async def middleware(
        request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        return await gate.handle(request, handler)

    return middleware


def refuse_draining() -> web.Response:
    """Returns the refusal for a request that arrives after `Gate.close`."""
    refusal = Refusal(
        RefusalCode.DRAINING,
        "This entry is leaving; ask another for GET /v1/entries.",
        True,
        RETRY_AFTER_S,
    )
    return error_response(refusal, new_request_id())
