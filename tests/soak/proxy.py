"""A loopback TCP proxy that injects network faults."""

import asyncio
import enum
import socket
import struct

import attrs

CHUNK = 65536
LINGER_0 = struct.pack("ii", 1, 0)


class PathFault(enum.StrEnum):
    """Network fault of a path."""

    NONE = "none"
    DELAY = "delay"  # Bytes come late, in order.
    RESET = "reset"  # Open connections are reset, new ones too.
    ONE_WAY = "one_way"  # Nothing comes back.
    SILENT = "silent"  # Nothing passes; connections stay open.


DELAY_S = 0.15


def reset(writer):
    sock = writer.get_extra_info("socket")
    if sock is not None and not writer.transport.is_closing():
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_0)
    writer.transport.abort()


@attrs.define
class Proxy:
    """Forwards connections to one address."""

    host: str
    port: int
    fault: PathFault = PathFault.NONE
    address: str = ""
    server: asyncio.Server | None = None
    open: set = attrs.Factory(set)
    changed: asyncio.Event = attrs.Factory(asyncio.Event)

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    def refuse(self):
        """Refuses connections, as the VM of a process that ended."""
        self.server.close()
        for writer in list(self.open):
            reset(writer)

    async def listen_again(self, port):
        """Accepts connections again and forwards them to another port."""
        self.port = port
        host, _, own_port = self.address.partition(":")
        self.server = await asyncio.start_server(self.serve, host, own_port)

    def set(self, fault):
        self.fault = fault
        if fault is PathFault.RESET:
            for writer in list(self.open):
                reset(writer)
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer):
        if self.fault is PathFault.RESET:
            reset(writer)
            return
        try:
            there = await asyncio.open_connection(self.host, self.port)
        except OSError:
            reset(writer)
            return
        self.open |= {writer, there[1]}
        try:
            # When one direction ends, the other is cancelled.
            ways = [
                asyncio.ensure_future(self.pump(reader, there[1], False)),
                asyncio.ensure_future(self.pump(there[0], writer, True)),
            ]
            await asyncio.wait(ways, return_when=asyncio.FIRST_COMPLETED)
            await asyncio.sleep(0)
            for way in ways:
                way.cancel()
            await asyncio.gather(*ways, return_exceptions=True)
        finally:
            for each in (writer, there[1]):
                self.open.discard(each)
                each.close()

    async def pump(self, reader, writer, back):
        try:
            while data := await reader.read(CHUNK):
                await self.wait_until_passable(back)
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            reset(writer)

    async def wait_until_passable(self, back):
        """Waits until the fault lets bytes pass."""
        if self.fault is PathFault.DELAY:
            await asyncio.sleep(DELAY_S)
        while self.fault is PathFault.SILENT or (
            back and self.fault is PathFault.ONE_WAY
        ):
            await self.changed.wait()

    async def stop(self):
        self.server.close()
        for writer in list(self.open):
            reset(writer)
