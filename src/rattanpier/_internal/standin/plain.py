"""Stand-in for a plain service, which records the calls it ran."""

from __future__ import annotations

import asyncio

import attrs
from aiohttp import web

from rattanpier._internal.standin.faults import EngineFault, EngineFaults
from rattanpier._internal.standin.replies import abort, health, refuse
from rattanpier._internal.standin.runs import RunFile
from rattanpier._internal.utils.codec import decode, encode


@attrs.define
class PlainCall:
    """One call as the service ran it."""

    method: str
    path: str
    request: str
    body: str = ""


@attrs.define
class PlainServer:
    """HTTP server that echoes calls under any path."""

    name: str
    faults: EngineFaults = attrs.Factory(EngineFaults)
    calls: list[PlainCall] = attrs.Factory(list)
    run_file: RunFile = attrs.Factory(RunFile)

    async def serve(self, request: web.Request) -> web.Response:
        """Runs and records one call, unless a fault prevents it."""
        fault = self.faults.take()
        if fault is EngineFault.REFUSE:
            return refuse("the service is full", not_run=True)
        body = await request.text()
        call = PlainCall(
            request.method,
            request.path,
            request.headers.get("X-Request-Id", ""),
            body,
        )
        self.calls.append(call)
        self.run_file.add(call)
        if fault is EngineFault.FAIL:
            return web.json_response({"error": "failed"}, status=500)
        if fault is EngineFault.STALL:
            await asyncio.Event().wait()
        if fault in (EngineFault.CUT, EngineFault.CUT_BEFORE_ANSWER):
            abort(request)
        return web.json_response(
            {
                "service": self.name,
                "method": request.method,
                "path": request.path,
                "body": body,
                "call": len(self.calls),
            }
        )

    async def set_faults(self, request: web.Request) -> web.Response:
        """Replaces the fault settings."""
        self.faults = decode(EngineFaults, await request.read())
        return web.Response(text=encode(self.faults))

    async def get_calls(self, _request: web.Request) -> web.Response:
        """Answers with all calls that ran."""
        return web.Response(text=encode(self.calls))

    def app(self) -> web.Application:
        """Returns the aiohttp application of this stand-in."""
        app = web.Application(client_max_size=64 * 2**20)
        app.router.add_get("/health", health)
        app.router.add_post("/standin/faults", self.set_faults)
        app.router.add_get("/standin/runs", self.get_calls)
        app.router.add_route("*", "/{path:.*}", self.serve)
        return app
