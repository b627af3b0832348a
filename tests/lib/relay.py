"""A TCP relay that can be cut, to part two processes from each other."""

import asyncio
import contextlib
import enum

READ_BYTES = 65536


class RelayMode(enum.StrEnum):
    """What a relay does with bytes and connections."""

    OPEN = "open"
    CUT = "cut"  # Closes connections and accepts none.
    SILENT = "silent"  # Takes connections and bytes, passes nothing on.


class Relay:
    """Listens on an address and passes connections on to another."""

    def __init__(self, target_host, target_port):
        self.target = (target_host, target_port)
        self.mode = RelayMode.OPEN
        self.opened = asyncio.Event()
        self.opened.set()
        self.writers = set()
        self.server = None

    async def start(self, host="127.0.0.1", port=0):
        """Listens; returns the port."""
        self.server = await asyncio.start_server(self.serve, host, port)
        return self.server.sockets[0].getsockname()[1]

    def set_mode(self, mode):
        """Changes what happens to connections, the present ones too."""
        self.mode = mode
        if mode is RelayMode.SILENT:
            self.opened.clear()
        else:
            self.opened.set()
        if mode is RelayMode.CUT:
            for writer in list(self.writers):
                writer.transport.abort()

    async def serve(self, reader, writer):
        """Passes one connection on, both ways."""
        if self.mode is RelayMode.CUT:
            writer.transport.abort()
            return
        try:
            onward = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        pair = {writer, onward[1]}
        self.writers |= pair
        await asyncio.gather(
            self.copy(reader, onward[1]), self.copy(onward[0], writer)
        )
        self.writers -= pair

    async def copy(self, reader, writer):
        """Copies bytes one way until either side ends."""
        with contextlib.suppress(OSError):
            while data := await reader.read(READ_BYTES):
                await self.opened.wait()
                writer.write(data)
                await writer.drain()
        writer.close()

    async def stop(self):
        """Stops listening and ends all connections."""
        self.server.close()
        self.set_mode(RelayMode.CUT)
