"""A bare aiohttp pass-through: the least that a relay has to do."""

from __future__ import annotations

import asyncio
import sys

import aiohttp
from aiohttp import web


async def serve(target: str) -> None:
    """Relays POSTs to a target until killed; prints its address first."""
    session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))

    async def relay(request: web.Request) -> web.StreamResponse:
        body = await request.read()
        headers = {
            "Content-Type": "application/json",
            "X-Request-Id": request.headers.get("X-Request-Id", ""),
        }
        async with session.post(
            target + request.path, data=body, headers=headers
        ) as answer:
            response = web.StreamResponse(status=answer.status)
            response.content_type = answer.content_type
            await response.prepare(request)
            async for data in answer.content.iter_any():
                await response.write(data)
            return response

    app = web.Application()
    app.router.add_post("/{path:.*}", relay)
    runner = web.AppRunner(app, access_log=None, handler_cancellation=True)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    print(f"http://127.0.0.1:{runner.addresses[0][1]}", flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(serve(sys.argv[1]))
