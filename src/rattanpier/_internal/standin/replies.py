"""Answers that several stand-ins give."""

from __future__ import annotations

from aiohttp import web


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
