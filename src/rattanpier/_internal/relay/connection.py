"""One HTTP/1.1 connection to a worker.

The framing is h11's. aiohttp's client does not fit here: it takes a reset for
the end of an answer that has no length, and hands bytes that a worker sent
behind one answer to the next request on the connection.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncIterator, Callable

import attrs
import h11

MAX_HEAD_BYTES = 65536  # Of an answer; more is no proper answer.
MAX_UNREAD_BYTES = 262144  # Unread bytes at which the worker has to wait.
MAX_STRAY_ANSWERS = 1  # Late answers to an earlier request that are skipped.
# A path that is cut shows no reset: the kernel gives up after these.
USER_TIMEOUT_MS = 3000  # As long as the platform calls a VM in touch.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_COUNT = 2

Header = tuple[str, str]


class ConnectionBrokenError(Exception):
    """The connection ended, or what came is no proper answer.

    Attributes:
      sent: False if no byte of the request left this process.
    """

    def __init__(self, message: str, sent: bool = True) -> None:
        super().__init__(message)
        self.sent = sent


@attrs.frozen
class WireRequest:
    """A request as it goes to a worker."""

    method: str
    target: str
    headers: tuple[Header, ...]
    body: bytes


@attrs.frozen
class WireHead:
    """The head of a worker's answer.

    Attributes:
      status: HTTP status.
      headers: Names in lower case, in order.
      framed: It says where its body ends.
    """

    status: int
    headers: tuple[Header, ...]
    framed: bool

    def get(self, name: str) -> str | None:
        """Returns the first value of a header, by its lower-case name."""
        return next((value for key, value in self.headers if key == name), None)

    def get_all(self, name: str) -> list[str]:
        """Returns all values of a header, by its lower-case name."""
        return [value for key, value in self.headers if key == name]


class WorkerConnection(asyncio.Protocol):
    """Sends one request after another and reads their answers.

    Attributes:
      transport: Set once connected.
      idle_since: Loop time of the last answer's end.
      idle_limit_s: How long the worker keeps it open without a request.
      closed: Nothing more can be sent.
      answered_requests: Requests that were answered on it.
    """

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.transport: asyncio.Transport | None = None
        self.parser: h11.Connection | None = None
        self.request: h11.Request | None = None
        self.waiter: asyncio.Future[None] | None = None
        self.unread_bytes = 0
        self.idle_since = self.loop.time()
        self.idle_limit_s = 0.0
        self.closed = False
        self.eof_fed = False
        self.reset_error: Exception | None = None
        self.answered_requests = 0

    # What asyncio calls.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Sets how soon a dead path is noticed."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        set_socket_options(transport.get_extra_info("socket"))

    def data_received(self, data: bytes) -> None:
        """Takes bytes in; between requests there must not be any."""
        if self.parser is None:
            self.abort()
            return
        self.parser.receive_data(data)
        self.unread_bytes += len(data)
        if self.unread_bytes > MAX_UNREAD_BYTES and self.transport is not None:
            self.transport.pause_reading()
        self.wake_reader()

    def eof_received(self) -> bool:
        """Notes an orderly end."""
        self.closed = True
        self.feed_eof()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Notes the end; with an error it is a reset, not an end."""
        self.closed = True
        self.reset_error = exc
        if exc is None:
            self.feed_eof()
        self.wake_reader()

    def feed_eof(self) -> None:
        """Tells the parser of the orderly end, once."""
        if self.parser is not None and not self.eof_fed:
            self.eof_fed = True
            self.parser.receive_data(b"")
        self.wake_reader()

    def wake_reader(self) -> None:
        """Wakes the reader."""
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(None)

    # What the relay calls.

    def send(self, request: WireRequest) -> None:
        """Sends a whole request.

        Raises:
          ConnectionBrokenError: Nothing was sent.
        """
        if self.closed or self.transport is None:
            raise ConnectionBrokenError("closed before the request", sent=False)
        headers = [*request.headers]
        if request.body or request.method not in ("GET", "HEAD", "DELETE"):
            headers.append(("Content-Length", str(len(request.body))))
        self.request = h11.Request(
            method=request.method, target=request.target, headers=headers
        )
        self.parser = new_parser()
        head = self.parser.send(self.request)
        body = self.parser.send(h11.Data(data=request.body))
        tail = self.parser.send(h11.EndOfMessage())
        self.transport.write((head or b"") + (body or b"") + (tail or b""))

    async def read_head(
        self, answers_request: Callable[[WireHead], bool]
    ) -> WireHead:
        """Returns the head of the answer to the request sent last.

        Args:
          answers_request: Says whether a head belongs to that request; a late
            answer
            to an earlier one is skipped.

        Raises:
          ConnectionBrokenError: There is no proper answer.
        """
        for _ in range(MAX_STRAY_ANSWERS + 1):
            event = await self.next_event()
            if not isinstance(event, h11.Response):
                raise ConnectionBrokenError(f"no head but {type(event)}")
            head = make_head(event)
            if answers_request(head):
                return head
            if self.answered_requests == 0 or not head.framed:
                break
            await self.skip_answer()
        raise ConnectionBrokenError("the answer belongs to another request")

    async def read_body(self) -> AsyncIterator[bytes]:
        """Yields the body as it comes; returns only at its proper end.

        Raises:
          ConnectionBrokenError: The body is not whole.
        """
        while True:
            event = await self.next_event()
            if isinstance(event, h11.EndOfMessage):
                return
            if not isinstance(event, h11.Data):
                raise ConnectionBrokenError(f"no body but {type(event)}")
            yield bytes(event.data)

    async def skip_answer(self) -> None:
        """Reads an answer that nobody waits for and begins anew behind it."""
        async for _ in self.read_body():
            pass
        assert self.parser is not None and self.request is not None
        trailing_data, _ = self.parser.trailing_data
        self.parser = new_parser()
        # The parser has to know what was asked; the bytes went out before.
        self.parser.send(self.request)
        self.parser.send(h11.EndOfMessage())
        if trailing_data:
            self.parser.receive_data(trailing_data)

    async def next_event(self) -> h11.Event:
        """Returns the next event of the answer.

        Raises:
          ConnectionBrokenError: The connection broke or h11 refused the bytes.
        """
        while True:
            try:
                event = self.parser.next_event()  # type: ignore[union-attr]
            except h11.RemoteProtocolError as error:
                raise ConnectionBrokenError(str(error)) from error
            if isinstance(event, h11.InformationalResponse):
                continue
            if isinstance(event, h11.ConnectionClosed) or event is h11.PAUSED:
                raise ConnectionBrokenError("closed without an answer")
            if event is not h11.NEED_DATA:
                return event
            if self.closed and (self.eof_fed or self.reset_error is not None):
                raise ConnectionBrokenError(f"reset: {self.reset_error!r}")
            await self.wait_for_data()

    async def wait_for_data(self) -> None:
        """Waits for bytes or the end."""
        self.unread_bytes = 0
        if self.transport is not None and not self.closed:
            self.transport.resume_reading()
        self.waiter = self.loop.create_future()
        try:
            await self.waiter
        finally:
            self.waiter = None

    def finish_exchange(self, idle_limit_s: float) -> bool:
        """Ends an exchange; says whether another may follow."""
        parser, self.parser = self.parser, None
        self.answered_requests += 1
        self.idle_since = self.loop.time()
        self.idle_limit_s = idle_limit_s
        reusable = (
            parser is not None
            and not self.closed
            and parser.our_state is h11.DONE
            and parser.their_state is h11.DONE
            and not parser.trailing_data[0]
            and self.transport is not None
            and self.transport.get_write_buffer_size() == 0
        )
        if not reusable:
            self.abort()
        return reusable

    def abort(self) -> None:
        """Closes at once: the worker stops what it does for it."""
        self.closed = True
        if self.transport is not None:
            self.transport.abort()


def new_parser() -> h11.Connection:
    """Returns a parser for one exchange."""
    return h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)


def make_head(response: h11.Response) -> WireHead:
    """Returns an answer's head as text."""
    headers = tuple(
        (name.decode("ascii"), value.decode("latin-1"))
        for name, value in response.headers
    )
    names = {name for name, _ in headers}
    framed = "content-length" in names or "transfer-encoding" in names
    return WireHead(response.status_code, headers, framed)


def set_socket_options(sock: socket.socket | None) -> None:
    """Makes the kernel notice a path that is cut."""
    if sock is None:
        return
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S
    )
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_COUNT)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS
    )
