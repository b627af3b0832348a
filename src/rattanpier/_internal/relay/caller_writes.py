"""Writes answers to callers and accounts for what they have not read."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections.abc import Callable

from aiohttp.helpers import must_be_empty_body
from aiohttp.web_request import BaseRequest
from aiohttp.web_response import Response

from rattanpier._internal.relay.slow_readers import (
    CHECK_INTERVAL_S,
    CallerConnection,
    HeldBytes,
    SlowReaders,
)


async def write_part(
    request: BaseRequest, held: HeldBytes, data: bytes
) -> None:
    """Writes a part of an answer; waits while the caller is at its limit.

    Args:
      request: Request as received.
      held: Bytes held for its connection.
      data: What to write.
    """
    await request.writer.write(data, drain=False)  # type: ignore[call-arg]
    count = len(data)
    del data  # What the caller has not read is in the write buffer only.
    if not held.record_write(count):
        return
    if held.closed is not None:
        # Lets the loop report the end of the connection, which cancels the
        # task and so ends the upstream request.
        await asyncio.sleep(0)
    if request.protocol.writing_paused:
        held.record_pause()
        await request.writer.drain()
        held.refresh()


async def write_whole(
    request: BaseRequest, response: Response, held: HeldBytes
) -> None:
    """Writes a complete answer; waits while the caller is at its limit.

    aiohttp keeps the response until the next request on the connection, so
    that the body is taken out of it.

    Args:
      request: Request as received.
      response: The answer.
      held: Bytes held for the connection.
    """
    with contextlib.suppress(ConnectionError):
        await response.prepare(request)
        empty = must_be_empty_body(request.method, response.status)
        held.release_answers()
        if response.body and not empty:
            await write_part(request, held, take_body(response))
        await response.write_eof()


def take_body(response: Response) -> bytes:
    """Removes the body of a response and returns it."""
    body, response.body = response.body, None
    assert isinstance(body, bytes)
    return body


def caller_connection(transport: asyncio.Transport) -> CallerConnection:
    """Returns what the accounting needs of a caller's connection."""
    return CallerConnection(
        transport.get_write_buffer_size,
        transport.set_write_buffer_limits,
        lambda: reset(transport),
    )


def reset(transport: asyncio.Transport) -> None:
    """Closes a connection by a TCP reset.

    After an orderly end, the kernel would go on to deliver what it holds, and a
    caller of HTTP/1.0 would take the answer to be complete.
    """
    sock = transport.get_extra_info("socket")
    if sock is not None and sock.fileno() != -1:
        linger = struct.pack("ii", 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    transport.abort()


def check_readers(readers: SlowReaders) -> Callable[[], None]:
    """Returns a function that starts the periodic checks of slow readers."""
    loop = asyncio.get_running_loop()

    def start() -> None:
        loop.call_later(CHECK_INTERVAL_S, check)

    def check() -> None:
        if readers.check():
            start()

    return start
