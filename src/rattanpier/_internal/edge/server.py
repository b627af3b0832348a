"""Listens for callers, in the clear or by TLS."""

from __future__ import annotations

from aiohttp import web

from rattanpier._internal.edge.gate import Gate, gate_middleware
from rattanpier._internal.models.settings import ListenSettings
from rattanpier._internal.peers.tls import caller_server_context

SHUTDOWN_S = 5.0  # aiohttp's own patience; the drain comes before it.


class HttpServer:
    """One listening address for an aiohttp application.

    Attributes:
      port: The port taken.
    """

    def __init__(
        self,
        app: web.Application,
        listen: ListenSettings,
        gate: Gate | None = None,
    ) -> None:
        if gate is not None:
            app.middlewares.append(gate_middleware(gate))
        self.runner = web.AppRunner(
            app,
            access_log=None,
            handler_cancellation=True,
            shutdown_timeout=SHUTDOWN_S,
        )
        self.listen = listen
        self.port = listen.port

    async def start(self) -> None:
        """Starts to listen."""
        await self.runner.setup()
        site = web.TCPSite(
            self.runner,
            self.listen.host,
            self.listen.port,
            ssl_context=caller_server_context(self.listen),
        )
        await site.start()
        self.port = self.runner.addresses[0][1]

    async def stop(self) -> None:
        """Stops listening and ends the connections."""
        await self.runner.cleanup()

    @property
    def url(self) -> str:
        """The address told to callers."""
        scheme = "https" if self.listen.certificate else "http"
        host = self.listen.advertise or self.listen.host
        return f"{scheme}://{host}:{self.port}"
