"""Middleware that refuses requests which no handler answers."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import structlog
from aiohttp import web

from rattanpier._internal.edge.errors import refuse
from rattanpier._internal.models.refusal import Refusal, RefusalCode
from rattanpier._internal.utils.ids import new_request_id
from rattanpier._internal.utils.metrics import Metrics

log = structlog.get_logger(part="edge")

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]
Middleware = Callable[[web.Request, Handler], Awaitable[web.StreamResponse]]

STARTED = web.RequestKey("started", bool)


async def mark_started(
    request: web.Request, _response: web.StreamResponse
) -> None:
    """Marks a request whose response head is about to be sent."""
    request[STARTED] = True


def refuse_unrouted(metrics: Metrics) -> Middleware:
    """Returns the middleware that refuses requests without an answer.

    Unknown paths, wrong methods and exceptions of a handler get the same error
    body as other refusals, unless a response has already begun.
    """

    @web.middleware
    async def middleware(
        request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        try:
            return await handler(request)
        except web.HTTPNotFound:
            return refuse(metrics, unknown_path(request), new_request_id())
        except web.HTTPMethodNotAllowed as error:
            refusal = wrong_method(request, error)
            response = refuse(metrics, refusal, new_request_id())
            response.headers["Allow"] = error.headers["Allow"]
            return response
        except (web.HTTPException, ConnectionError):
            raise
        except Exception:
            if STARTED in request:
                raise
            log.exception("Handler failed.", path=request.path)
            return refuse(metrics, handler_failed(), new_request_id())

    return middleware


def unknown_path(request: web.Request) -> Refusal:
    """Returns the refusal for a path that does not exist."""
    return Refusal(
        RefusalCode.UNKNOWN_PATH,
        f"There is no path {request.path!r}; try /v1/chat/completions.",
        True,
    )


def wrong_method(
    request: web.Request, error: web.HTTPMethodNotAllowed
) -> Refusal:
    """Returns the refusal for a method that a path does not support."""
    allowed = ", ".join(sorted(error.allowed_methods))
    return Refusal(
        RefusalCode.METHOD_NOT_ALLOWED,
        f"{request.path!r} takes {allowed}, not {request.method}.",
        True,
    )


def handler_failed() -> Refusal:
    """Returns the refusal for an unexpected exception of a handler."""
    return Refusal(
        RefusalCode.INTERNAL,
        "The request failed for a fault of the router; it may have run.",
        False,
    )
