"""HTTP server of one listening address, with or without TLS."""

from __future__ import annotations

from aiohttp import web

from rattanpier._internal.edge.gate import Gate, gate_middleware
from rattanpier._internal.models.settings import ListenSettings
from rattanpier._internal.peers.tls import caller_server_context

# Seconds that aiohttp waits for open requests; the drain has ended by then.
SHUTDOWN_S = 5.0


class HttpServer:
    """One listening address for an aiohttp application.

    Attributes:
      runner: Runs the application.
      listen: Address and certificate.
      port: The bound port, once started.
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
        """Binds the address and starts to accept connections."""
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
        """Stops listening and closes the connections."""
        await self.runner.cleanup()

    @property
    def url(self) -> str:
        """The URL that is advertised to callers."""
        scheme = "https" if self.listen.certificate else "http"
        host = self.listen.advertise or self.listen.host
        return f"{scheme}://{host}:{self.port}"
