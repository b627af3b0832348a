"""A worker that answers with bytes that never end."""

import asyncio

import attrs

HEAD = b"HTTP/1.1 200 X\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
# By name: what the worker sends first, and what it repeats until it is closed.
ENDLESS = {
    "no head": (b"", b"x" * 4096),
    "blank lines": (b"", b"\r\n" * 2048),
    "header line": (HEAD + b"X-Long: ", b"x" * 4096),
    "header lines": (HEAD, b"X-More: y\r\n" * 256),
    "informational heads": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 64),
    "chunk size": (CHUNKED, b"1" * 4096),
    "chunk extension": (CHUNKED + b"1;", b"x" * 4096),
    "chunks": (CHUNKED, (b"1000\r\n" + b"x" * 4096 + b"\r\n")),
    "trailers": (CHUNKED + b"0\r\n", b"X-More: y\r\n" * 256),
    "body": (HEAD + b"Content-Length: 99999999999\r\n\r\n", b"x" * 4096),
    "body of an error": (
        b"HTTP/1.1 500 X\r\nTransfer-Encoding: chunked\r\n\r\n",
        (b"1000\r\n" + b"x" * 4096 + b"\r\n"),
    ),
}


@attrs.define(eq=False)
class EndlessWorker:
    """Answers each request with bytes that never end.

    `pause_s` is the time between two blocks. `sent` counts bytes by connection,
    `open` the connections not yet closed; `targets` has the paths that
    were asked for, those of health probes too.
    """

    first: bytes
    repeated: bytes
    pause_s: float = 0.0
    address: str = ""
    runs: list = attrs.Factory(list)
    sent: list = attrs.Factory(list)
    targets: list = attrs.Factory(list)
    open: int = 0
    server: asyncio.Server | None = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    async def stop(self):
        self.server.close()

    async def serve(self, reader, writer):
        number = len(self.sent)
        self.sent.append(0)
        self.open += 1
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            self.targets.append(head.split()[1].decode())
            writer.write(self.first)
            while True:
                writer.write(self.repeated)
                await writer.drain()
                self.sent[number] += len(self.repeated)
                await asyncio.sleep(self.pause_s)
        except (OSError, asyncio.IncompleteReadError):
            return  # The entry closed the connection.
        finally:
            self.open -= 1
            writer.transport.abort()
