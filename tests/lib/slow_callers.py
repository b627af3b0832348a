"""Connections of callers that read slowly, in memory and over sockets."""

import asyncio
import socket

import attrs
import h11
from multidict import CIMultiDict

from rattanpier._internal.relay.slow_readers import (
    CallerConnection,
    SlowReaders,
)
from rattanpier._internal.standin.platform_worker import PlatformWorkerServer
from rattanpier._internal.utils.metrics import Metrics
from tests.lib.platform_site import HOST, KEY


@attrs.define(eq=False)
class StillClock:
    """A clock that a test sets."""

    now: float = 0.0

    def monotonic(self):
        return self.now


@attrs.define(eq=False)
class FakeConnection:
    """A caller's connection in memory.

    `size` is the size of its write buffer, `limits` those that were set last,
    `unread` what its worker's connection holds.
    """

    size: int = 0
    unread: int = 0
    closed: bool = False
    limits: tuple = ()

    def callbacks(self):
        return CallerConnection(lambda: self.size, self.set_limits, self.close)

    def set_limits(self, high, low):
        self.limits = (high, low)

    def close(self):
        self.closed = True
        self.size = 0


def make_readers(clock, total_limit):
    return SlowReaders(clock, Metrics(), total_limit)


@attrs.define
class FloodWorker(PlatformWorkerServer):
    """A worker with answers as long as a request asks for.

    Its sockets buffer little, so that it notices an unread answer soon.
    """

    finished: list = attrs.Factory(list)

    async def serve(self, reader, writer):
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 16384)
        writer.transport.set_write_buffer_limits(high=0)
        await super().serve(reader, writer)

    def make_event(self, run, number):
        event = super().make_event(run, number)
        return pad(event, int(run.headers.get("x-event-bytes", "0")))

    def make_body(self, run):
        body = super().make_body(run)
        return body.rjust(int(run.headers.get("x-body-bytes", "0")), b".")

    async def stream(self, run, writer, fault):
        self.events = int(run.headers.get("x-events", "5"))
        done = await super().stream(run, writer, fault)
        if done:
            self.finished.append(run.id)
        return done


def pad(event, size):
    """Returns an event of at least `size` bytes, with the same number."""
    comment = b": " + b"." * max(0, size - len(event) - 3) + b"\n"
    return comment + event if size else event


@attrs.define
class SlowCaller:
    """A caller that reads only when told to.

    The kernel holds little for its connection: small segments and a small
    receive buffer keep both ends from growing their buffers. `address` is that
    of an entry, as IP:PORT.
    """

    address: str
    receive_bytes: int = 4096
    id: str = ""
    sock: object = None
    parser: object = None
    status: int = 0
    headers: CIMultiDict = attrs.Factory(CIMultiDict)
    body: bytearray = attrs.Factory(bytearray)
    complete: bool = False

    async def send(self, id, path="/chat/x", **more):
        """Sends a request, with `more` as headers (`event_bytes=1000`)."""
        self.id = id
        self.complete, self.body = False, bytearray()
        headers = {
            "host": HOST,
            "x-attempt-id": self.id,
            "x-deadline-ms": "20000",
            "authorization": f"Bearer {KEY}",
            **{
                f"x-{name.replace('_', '-')}": str(value)
                for name, value in more.items()
            },
        }
        if path.startswith("/chat"):
            headers |= {"x-model": "*", "x-token-usage": "100,50"}
        loop = asyncio.get_running_loop()
        if self.sock is None:
            self.sock = socket.socket()
            self.sock.setblocking(False)
            self.sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, self.receive_bytes
            )
            self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1400)
            host, port = self.address.split(":")
            await loop.sock_connect(self.sock, (host, int(port)))
        self.parser = h11.Connection(h11.CLIENT)
        self.parser.send(
            h11.Request(method="GET", target=path, headers=[*headers.items()])
        )
        self.parser.send(h11.EndOfMessage())
        lines = [f"GET {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        text = "\r\n".join(lines) + "\r\n\r\n"
        await loop.sock_sendall(self.sock, text.encode())

    async def read(self, size=65536):
        """Reads once; returns whether more may come."""
        loop = asyncio.get_running_loop()
        try:
            data = await loop.sock_recv(self.sock, size)
        except ConnectionError:
            return False
        if not data:
            return False
        self.parser.receive_data(data)
        while True:
            event = self.parser.next_event()
            match event:
                case h11.Response():
                    self.status = event.status_code
                    self.headers = CIMultiDict(
                        (name.decode(), value.decode())
                        for name, value in event.headers
                    )
                case h11.Data():
                    self.body += event.data
                case h11.EndOfMessage():
                    self.complete = True
                    return False
                case _:
                    return True

    async def read_all(self):
        """Reads up to the end of the answer or of the connection."""
        while await self.read():
            pass
        return self

    def leave(self):
        """Closes the connection."""
        if self.sock is not None:
            self.sock.close()
            self.sock = None


def buffered_bytes(entry):
    """Returns the bytes in the write buffers of an entry's connections."""
    return sum(
        connection.transport.get_write_buffer_size()
        for listener in entry.listeners
        for connection in listener.server.connections
        if connection.transport is not None
    )
