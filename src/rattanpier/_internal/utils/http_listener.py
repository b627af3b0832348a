"""An address on which aiohttp's HTTP server listens.

Only the lower half of that server: the one above it, with its applications and
their routes, is not used here and takes a twentieth of a start to load.
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
    """One address.

    Attributes:
      server: Serves its connections.
      sockets: Accepts them.
    """

    server: Server
    sockets: asyncio.Server

    def stop_accepting(self) -> None:
        """Takes no more connections; those that are open go on."""
        self.sockets.close()

    async def close(self) -> None:
        """Ends all connections."""
        await asyncio.sleep(0)  # What was accepted just now is served.
        self.server.pre_shutdown()
        await self.server.shutdown(0.0)


async def listen(
    handler: Handler,
    address: Address,
    backlog: int,
    listening: socket.socket | None = None,
    **options: Any,
) -> HttpListener:
    """Opens an address, unless a socket listens there already.

    Args:
      handler: Answers requests.
      address: Where to listen.
      backlog: Connections that may wait to be accepted.
      listening: The socket that does so already, or None.
      **options: Of the server.
    """
    server = Server(handler, **options)
    bind_options: dict[str, Any] = {"host": address.host, "port": address.port}
    if listening is not None:
        bind_options = {"sock": listening}
    loop = asyncio.get_running_loop()
    sockets = await loop.create_server(server, backlog=backlog, **bind_options)
    return HttpListener(server, sockets)
