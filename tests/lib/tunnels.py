"""Tunnels through which entries reach workers, peers and the store.

One server stands for the network: it knows which entry opens a connection to
which address, and cuts the way from one to the other, in one direction only.
"""

import asyncio

import attrs

from tests.lib.worker_cuts import Cut
from tests.soak.proxy import reset

ACCEPTED, REFUSED = b"+", b"-"
READ_BYTES = 65536


@attrs.define(eq=False)
class Tunnel:
    """An open connection of an entry."""

    entry: str
    target: tuple
    near: asyncio.StreamWriter
    far: asyncio.StreamWriter

    def reset(self):
        reset(self.near)
        reset(self.far)


@attrs.define
class Tunnels:
    """All connections of the entries.

    Attributes:
      cut_of: Returns what the way from an entry to an address does now.
      open: Open connections.
      source_of: Entry of each connection, by its address at the worker.
    """

    cut_of: object = lambda _entry, _target: Cut.NONE
    open: set = attrs.Factory(set)
    source_of: dict = attrs.Factory(dict)
    port: int = 0
    server: asyncio.Server | None = None
    changed: asyncio.Event = attrs.Factory(asyncio.Event)

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def apply_cuts(self):
        """Applies cuts that have changed to the open connections."""
        for tunnel in list(self.open):
            if self.cut_of(tunnel.entry, tunnel.target) is Cut.REFUSED:
                tunnel.reset()
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer):
        try:
            line = await reader.readline()
            entry, host, port = line.decode().split()
            target = host, int(port)
            await self.pass_silence(entry, target)
            if self.cut_of(entry, target) is not Cut.NONE:
                raise ConnectionRefusedError
            back, far = await asyncio.open_connection(*target)
        except (OSError, ValueError):
            writer.write(REFUSED)
            writer.close()
            return
        writer.write(ACCEPTED)
        await self.forward(Tunnel(entry, target, writer, far), reader, back)

    async def forward(self, tunnel, reader, back):
        """Copies bytes until one side ends, then ends the other alike."""
        source = tunnel.far.get_extra_info("sockname")
        self.source_of[source] = tunnel.entry
        self.open.add(tunnel)
        ways = [
            asyncio.ensure_future(self.pump(tunnel, reader, tunnel.far)),
            asyncio.ensure_future(self.pump(tunnel, back, tunnel.near)),
        ]
        try:
            await asyncio.wait(ways, return_when=asyncio.FIRST_COMPLETED)
            await asyncio.sleep(0)
        finally:
            for way in ways:
                way.cancel()
            await asyncio.gather(*ways, return_exceptions=True)
            self.open.discard(tunnel)
            tunnel.near.close()
            tunnel.far.close()

    async def pump(self, tunnel, reader, writer):
        try:
            while data := await reader.read(READ_BYTES):
                await self.pass_silence(tunnel.entry, tunnel.target)
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            tunnel.reset()

    async def pass_silence(self, entry, target):
        while self.cut_of(entry, target) is Cut.SILENT:
            await self.changed.wait()

    async def stop(self):
        self.server.close()
        for tunnel in list(self.open):
            tunnel.reset()
