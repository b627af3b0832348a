"""Listening address of aiohttp's low-level HTTP server.

Only the low-level server is imported. The application layer with its routes is
not needed here, and its import takes a twentieth of the start-up time.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable
from typing import Any

import attrs
from aiohttp.web_request import BaseRequest
from aiohttp.web_response import StreamResponse
from aiohttp.web_server import Server

from rattanpier._internal.models.relay_settings import Address

Handler = Callable[[BaseRequest], Awaitable[StreamResponse]]


@attrs.define(eq=False, repr=False)
class HttpListener:
    """One listening address.

    Attributes:
      server: Serves the connections.
      sockets: Accepts the connections.
    """

    server: Server
    sockets: asyncio.Server

    def stop_accepting(self) -> None:
        """Accepts no more connections; open ones continue."""
        self.sockets.close()

    async def close(self) -> None:
        """Closes all connections."""
        await asyncio.sleep(0)  # Requests that were just accepted are served.
        self.server.pre_shutdown()
        await self.server.shutdown(0.0)


async def listen(
    handler: Handler,
    address: Address,
    backlog: int,
    listening: socket.socket | None = None,
    **options: Any,
) -> HttpListener:
    """Starts an HTTP server at an address or on a listening socket.

    Args:
      handler: Answers requests.
      address: Address to bind, unless `listening` is given.
      backlog: Maximum number of connections that wait to be accepted.
      listening: A socket that already listens there, or None.
      **options: Options of `aiohttp.web_server.Server`.
    """
    server = Server(handler, **options)
    bind_options: dict[str, Any] = {"host": address.host, "port": address.port}
    if listening is not None:
        bind_options = {"sock": listening}
    loop = asyncio.get_running_loop()
    sockets = await loop.create_server(server, backlog=backlog, **bind_options)
    return HttpListener(server, sockets)
