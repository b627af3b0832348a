"""Callers that keep their connections, on plain sockets."""

import asyncio

import attrs

from tests.lib.platform_site import HOST, KEY


@attrs.define
class KeptCaller:
    """A caller's connection to one entry, used until the entry closes it."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    @classmethod
    async def connect(cls, address):
        return cls(*await asyncio.open_connection(address.host, address.port))

    def send(self, data):
        self.writer.write(data)

    async def answer(self):
        """Returns the status and headers of the next answer, or None if the
        connection ends before the answer is complete."""
        try:
            head = await self.reader.readuntil(b"\r\n\r\n")
            first, *lines = head.decode().rstrip().split("\r\n")
            headers = dict(
                line.lower().split(": ", 1) for line in lines if line
            )
            if headers.get("transfer-encoding") == "chunked":
                await self.read_chunks()
            else:
                length = int(headers.get("content-length", "0"))
                await self.reader.readexactly(length)
            return int(first.split(" ")[1]), headers
        except (OSError, ValueError, asyncio.IncompleteReadError):
            return None

    async def read_chunks(self):
        size = -1
        while size:
            size = int(await self.reader.readline(), 16)
            await self.reader.readexactly(size + 2)

    async def ask(self, data):
        self.send(data)
        return await self.answer()

    def close(self):
        self.writer.close()


def request_bytes(
    request_id,
    path="/unsafe/x",
    body=b"",
    method="POST",
    deadline_ms=3000,
    headers=None,
):
    """Returns the bytes of a request to the route of a test site."""
    more = (headers or {}).items()
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Attempt-Id: {request_id}",
        f"X-Deadline-Ms: {deadline_ms}",
        f"Authorization: Bearer {KEY}",
        "X-Model: *" if path.startswith("/chat/") else "Accept: */*",
        "X-Token-Usage: 9,9",
        "X-Prefix-Hash: a:9",
        f"Content-Length: {len(body)}",
        *(f"{name}: {value}" for name, value in more),
    ]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body
