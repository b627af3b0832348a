"""Replies shared by several stand-ins."""

from __future__ import annotations

from aiohttp import web


async def health(_request: web.Request) -> web.Response:
    """Answers a health check, which is not recorded."""
    return web.Response(text="ok")


def abort(request: web.Request) -> None:
    """Aborts the connection of a request."""
    if request.transport is not None:
        request.transport.abort()


def refuse(message: str, not_run: bool) -> web.Response:
    """Returns a 503 that states whether the request was not run."""
    return web.json_response(
        {"error": message, "not_run": not_run},
        status=503,
        headers={"Retry-After": "1"},
    )
