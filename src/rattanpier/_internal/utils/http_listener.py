"""Listening address of aiohttp's low-level HTTP server.

Only the low-level server is imported. The application layer with its routes is
not needed here, and its import takes a twentieth of the start-up time.
"""

from __future__ import annotations

import asyncio
import enum
import socket
from collections.abc import Awaitable, Callable, Iterator
from typing import Any

import attrs
from aiohttp.web_protocol import RequestHandler
from aiohttp.web_request import BaseRequest
from aiohttp.web_response import StreamResponse
from aiohttp.web_server import Server

from rattanpier._internal.models.relay_settings import Address

Handler = Callable[[BaseRequest], Awaitable[StreamResponse]]


class ConnectionUse(enum.Enum):
    """What a connection is used for."""

    IDLE = enum.auto()
    READING = enum.auto()  # The head of a request is incomplete.
    BUSY = enum.auto()  # A request is complete, or its answer not all written.


class HttpConnection(RequestHandler):
    """A connection that knows what it is used for.

    The server of the library can close its connections only without a look at
    what they do: the rest of a body is then discarded.

    Attributes:
      head_begun: Whether bytes of an incomplete head were received while no
        request was in progress.
    """

    __slots__ = ("head_begun",)

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self.head_begun = False

    def data_received(self, data: bytes) -> None:
        """Parses bytes; notes whether they begin a head."""
        waits = self.waits_for_request()
        super().data_received(data)
        self.head_begun = waits and self.waits_for_request()

    def waits_for_request(self) -> bool:
        """Returns whether no request is complete or in progress."""
        waiter = self._waiter
        return waiter is not None and not waiter.done()

    def use(self) -> ConnectionUse:
        """Returns what the connection is used for now."""
        if not self.waits_for_request():
            return ConnectionUse.BUSY
        return ConnectionUse.READING if self.head_begun else ConnectionUse.IDLE

    def has_queued_requests(self) -> bool:
        """Returns whether requests wait behind the one in progress."""
        return bool(self._messages)


class HttpServer(Server):
    """Server whose connections know what they are used for."""

    def __call__(self) -> RequestHandler:
        """Returns the protocol of a new connection."""
        return HttpConnection(self, loop=self._loop, **self._kwargs)


@attrs.define(eq=False, repr=False)
class HttpListener:
    """One listening address.

    Attributes:
      server: Serves the connections.
      sockets: Accepts the connections.
    """

    server: HttpServer
    sockets: asyncio.Server

    def stop_accepting(self) -> None:
        """Accepts no more connections; open ones continue."""
        self.sockets.close()

    def connections(self) -> Iterator[HttpConnection]:
        """Yields the connections that are not closed yet."""
        for connection in self.server.connections:
            if isinstance(connection, HttpConnection):
                yield connection

    def count(self, use: ConnectionUse) -> int:
        """Returns the number of connections with a use."""
        return sum(each.use() is use for each in self.connections())

    def close_idle(self) -> None:
        """Closes the connections that are idle; the others continue."""
        for connection in self.connections():
            if connection.use() is ConnectionUse.IDLE:
                connection.force_close()

    async def close(self) -> None:
        """Closes all connections; waits for the handlers of requests."""
        await asyncio.sleep(0)  # Connections just accepted begin to wait.
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
    server = HttpServer(handler, **options)
    bind_options: dict[str, Any] = {"host": address.host, "port": address.port}
    if listening is not None:
        bind_options = {"sock": listening}
    loop = asyncio.get_running_loop()
    sockets = await loop.create_server(server, backlog=backlog, **bind_options)
    return HttpListener(server, sockets)
