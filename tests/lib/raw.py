"""Upstream on plain sockets, for faults that an HTTP server cannot produce."""

import asyncio
import json

CHUNKS = 4


class RawUpstream:
    """Minimal HTTP server that counts the requests it received completely.

    Modes: ok, cut_on_accept, cut_in_headers, cut_in_body, cut_after (closes the
    connection at that point), refuse, refuse_busy, tired (refuses with a
    Retry-After of 60 s), fail, stall, half (streams half of the events),
    cut_reused (closes on the second request of a connection), short_body,
    no_length, hold (answers once `answer_allowed` is set), redirect (to
    `redirect_target`), crash (stops listening at the first request).
    """

    redirect_target = ""

    def __init__(self, mode="ok"):
        self.mode = mode
        self.runs = []
        self.request_count = 0
        self.server = None
        self.answer_allowed = asyncio.Event()

    async def __aenter__(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        return self

    async def __aexit__(self, *_):
        self.server.close()

    @property
    def url(self):
        host, port = self.server.sockets[0].getsockname()
        return f"http://{host}:{port}"

    def runs_of(self, request_id):
        return [run for run in self.runs if request_id in run]

    async def serve(self, reader, writer):
        try:
            await self.serve_connection(reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.transport.abort()

    async def serve_connection(self, reader, writer):
        if self.mode == "cut_on_accept":
            return
        served_requests = 0
        while True:
            method, headers = await read_head(reader)
            length = int(headers.get("content-length", "0"))
            if method == "POST" and self.mode == "cut_in_headers":
                return
            if method == "POST" and self.mode == "cut_in_body":
                await reader.readexactly(length // 2)
                return
            await reader.readexactly(length)
            if headers[":path"] == "/health":
                # Health probes of the entries are not counted.
                await respond(writer, "200 OK", "{}")
                continue
            if method in ("GET", "DELETE") and "chat" in headers[":path"]:
                await respond(writer, "410 Gone", "{}")
                continue
            self.request_count += 1
            self.runs.append(headers.get("x-request-id", ""))
            served_requests += 1
            if not await self.answer(headers, writer, served_requests):
                return

    async def answer(self, headers, writer, served_requests):
        """Answers one request; returns False to close the connection."""
        if self.mode == "hold":
            await self.answer_allowed.wait()
        if self.mode == "refuse":
            self.runs.pop()
            await respond(writer, "503 Full", '{"not_run": true}')
        elif self.mode == "tired":
            self.runs.pop()
            await respond(
                writer, "503 Full", '{"not_run": true}', "Retry-After: 60\r\n"
            )
        elif self.mode == "refuse_busy":
            self.runs.pop()
            await respond(writer, "503 Full", '{"error": "full"}')
        elif self.mode == "fail":
            await respond(writer, "500 Failed", '{"error": "failed"}')
        elif self.mode == "stall":
            await asyncio.sleep(3600)
        elif self.mode == "redirect":
            path = headers[":path"]
            status = f"307 Moved\r\nLocation: {self.redirect_target}{path}"
            await respond(writer, status, "{}")
        elif self.mode == "cut_after":
            return False
        elif self.mode == "crash":
            self.server.close()
            return False
        elif self.mode == "cut_reused":
            if served_requests > 1:
                return False
            await stream(headers["x-request-id"], writer, CHUNKS)
        elif self.mode == "short_body":
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf")
            await writer.drain()
            return False
        elif self.mode == "no_length":
            writer.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf")
            await writer.drain()
            writer.close()
            await writer.wait_closed()
            return False
        elif "chat" not in headers[":path"]:
            await respond(writer, "200 OK", '{"done": true}')
        else:
            count = CHUNKS if self.mode != "half" else CHUNKS // 2
            await stream(headers["x-request-id"], writer, count)
            return self.mode != "half"
        return True


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode().split("\r\n")
    method, path, _ = first.split(" ")
    headers = {":path": path}
    for line in filter(None, lines):
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    return method, headers


async def respond(writer, status, body, headers_text=""):
    writer.write(
        f"HTTP/1.1 {status}\r\nContent-Type: application/json\r\n{headers_text}"
        f"Content-Length: {len(body)}\r\n\r\n{body}".encode()
    )
    await writer.drain()


def event(number, is_last):
    delta = {"role": "assistant", "content": "" if is_last else f" w{number}"}
    body = {
        "id": "chatcmpl-1",
        "object": "chat.completion.chunk",
        "created": 0,
        "model": "small@1",
        "choices": [
            {
                "index": 0,
                "delta": delta,
                "finish_reason": "stop" if is_last else None,
            }
        ],
    }
    if is_last:
        body["usage"] = {"prompt_tokens": 1, "completion_tokens": number}
    return f"id: {number}\ndata: {json.dumps(body)}\n\n"


async def stream(request_id, writer, count):
    """Streams the first `count` events, and the end after all `CHUNKS`."""
    writer.write(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        f"X-Request-Id: {request_id}\r\n"
        "Transfer-Encoding: chunked\r\n\r\n".encode()
    )
    for number in range(count):
        write_chunk(writer, event(number, number == CHUNKS - 1))
    if count == CHUNKS:
        write_chunk(writer, "data: [DONE]\n\n")
        writer.write(b"0\r\n\r\n")
    await writer.drain()


def write_chunk(writer, text):
    data = text.encode()
    writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")
