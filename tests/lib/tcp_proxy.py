"""TCP proxy that can interrupt connections, to simulate partitions."""

import asyncio
import contextlib
import enum

READ_BYTES = 65536


class ProxyMode(enum.StrEnum):
    """What a proxy does with bytes and connections."""

    OPEN = "open"
    CUT = "cut"  # Resets all connections, including new ones.
    SILENT = "silent"  # Accepts connections and bytes, but forwards nothing.


class TcpProxy:
    """Listens on one address and forwards connections to another."""

    def __init__(self, target_host, target_port):
        self.target = (target_host, target_port)
        self.mode = ProxyMode.OPEN
        self.forwarding_allowed = asyncio.Event()
        self.forwarding_allowed.set()
        self.writers = set()
        self.server = None

    async def start(self, host="127.0.0.1", port=0):
        """Starts to listen and returns the port."""
        self.server = await asyncio.start_server(self.serve, host, port)
        return self.server.sockets[0].getsockname()[1]

    def set_mode(self, mode):
        """Sets the mode for new and existing connections."""
        self.mode = mode
        if mode is ProxyMode.SILENT:
            self.forwarding_allowed.clear()
        else:
            self.forwarding_allowed.set()
        if mode is ProxyMode.CUT:
            for writer in list(self.writers):
                writer.transport.abort()

    async def serve(self, reader, writer):
        """Forwards one connection in both directions."""
        if self.mode is ProxyMode.CUT:
            writer.transport.abort()
            return
        try:
            upstream_connection = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        connection_writers = {writer, upstream_connection[1]}
        self.writers |= connection_writers
        await asyncio.gather(
            self.copy(reader, upstream_connection[1]),
            self.copy(upstream_connection[0], writer),
        )
        self.writers -= connection_writers

    async def copy(self, reader, writer):
        """Copies bytes in one direction until either side closes."""
        with contextlib.suppress(OSError):
            while data := await reader.read(READ_BYTES):
                await self.forwarding_allowed.wait()
                writer.write(data)
                await writer.drain()
        writer.close()

    async def stop(self):
        """Stops listening and aborts all connections."""
        self.server.close()
        self.set_mode(ProxyMode.CUT)
