"""One HTTP/1.1 connection to a worker.

h11 parses the HTTP framing. aiohttp's client is unsuitable: it treats a reset
as the end of an answer without a length, and it attributes bytes that a worker
sent after one answer to the next request on the connection.
"""

from __future__ import annotations

import asyncio
import math
import socket
from collections.abc import AsyncIterator, Callable

import attrs
import h11

from rattanpier._internal.relay.slow_readers import MAX_UNREAD_BYTES
from rattanpier._internal.utils.record import Record

MAX_HEAD_BYTES = 65536  # An answer with a longer head is invalid.
# Receiving resumes at this many unread bytes, not only at none: for a caller
# that reads slowly, a worker would else be unread for seconds.
RESUME_BYTES = MAX_UNREAD_BYTES // 2
# A timer that fires later than this shows that the process did not run.
MAX_TIMER_DELAY_S = 0.1
SOCKET_READ_S = 0.02  # Within this time, what lies in the sockets is read.
MAX_STRAY_ANSWERS = 1  # Late answers to earlier requests that are skipped.
# A partition causes no reset, so the kernel detects it by these time-outs.
USER_TIMEOUT_MS = 3000  # As long as the platform considers a VM reachable.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_COUNT = 2

Header = tuple[str, str]


class ConnectionBrokenError(Exception):
    """The connection was closed, or the bytes received are no valid answer.

    Attributes:
      sent: False if no byte of the request was sent.
      interrupted: Whether this process did not run meanwhile, so that the
        failure shows nothing of the worker.
    """

    def __init__(
        self, message: str, sent: bool = True, interrupted: bool = False
    ) -> None:
        super().__init__(message)
        self.sent = sent
        self.interrupted = interrupted


@attrs.frozen(eq=False, repr=False)
class WireRequest(Record):
    """A request as it is sent to a worker.

    Attributes:
      method: HTTP method.
      target: Request target, with its query.
      headers: Names and values, in order; without Content-Length. Bytes that
        are no UTF-8 are escaped as surrogates, as aiohttp does.
      body: Complete body.
    """

    method: str
    target: str
    headers: tuple[Header, ...]
    body: bytes


@attrs.frozen(eq=False, repr=False)
class WireHead(Record):
    """The head of a worker's answer.

    Attributes:
      status: HTTP status.
      headers: Names and values, in order; names in lower case.
      framed: Whether it states a length or a transfer encoding. Without either,
        the body ends with the connection.
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
    """Connection that sends requests in turn and reads their answers.

    Attributes:
      loop: The running event loop.
      transport: Transport; None before the connection is established.
      parser: Parser of the current exchange; None between exchanges.
      request: The request sent last.
      body: Its body.
      waiter: Resolved when data or the end of the connection arrives.
      deadline: Latest time to wait for data of an answer, in seconds of the
        loop's clock.
      timer: Runs until the deadline; None if no timer was needed yet.
      extended: Whether the exchange got time beyond its deadline, since this
        process did not run when it passed.
      expired: Whether the time of the exchange is over.
      reading_head: Whether the head is read. Then nothing more is waited for
        once the time is over, while a body is delivered as far as it is there.
      unread_bytes: Bytes received since the reader last waited, without those
        of the body that it has read.
      reading_paused: Whether receiving is paused.
      idle_since: End of the last exchange, in seconds of the loop's clock.
      idle_limit_s: Seconds for which the connection may be idle and be reused.
      closed: Whether nothing more can be sent.
      eof_fed: Whether the parser received the orderly end.
      reset_error: Error by which the connection was lost, or None.
      answered_requests: Number of exchanges finished on the connection.
      on_stray: Called when bytes arrived that belong to no request in progress,
        as those of a late second answer.
    """

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.transport: asyncio.Transport | None = None
        self.parser: h11.Connection | None = None
        self.request: h11.Request | None = None
        self.body = b""
        self.waiter: asyncio.Future[None] | None = None
        self.deadline = math.inf
        self.timer: asyncio.TimerHandle | None = None
        self.extended = False
        self.expired = False
        self.reading_head = False
        self.unread_bytes = 0
        self.reading_paused = False
        self.idle_since = self.loop.time()
        self.idle_limit_s = 0.0
        self.closed = False
        self.eof_fed = False
        self.reset_error: Exception | None = None
        self.answered_requests = 0
        self.on_stray: Callable[[], None] = lambda: None

    # Called by asyncio.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport and sets the socket options."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        set_socket_options(transport.get_extra_info("socket"))

    def data_received(self, data: bytes) -> None:
        """Feeds bytes to the parser; aborts if no request is in progress."""
        if self.parser is None:
            self.on_stray()
            self.abort()
            return
        self.parser.receive_data(data)
        self.unread_bytes += len(data)
        if self.unread_bytes > MAX_UNREAD_BYTES and self.transport is not None:
            self.reading_paused = True
            self.transport.pause_reading()
        self.wake_reader()

    def eof_received(self) -> bool:
        """Records an orderly end; returns False to close the transport."""
        self.closed = True
        self.feed_eof()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Records the end, which is a reset if there is an error."""
        self.closed = True
        self.reset_error = exc
        if exc is None:
            self.feed_eof()
        self.wake_reader()

    def feed_eof(self) -> None:
        """Signals an orderly end of the connection to the parser, once."""
        if self.parser is not None and not self.eof_fed:
            self.eof_fed = True
            self.parser.receive_data(b"")
        self.wake_reader()

    def wake_reader(self) -> None:
        """Resumes the reader that waits for data, if there is one."""
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(None)

    # Called by the relay.

    def send(self, request: WireRequest) -> None:
        """Sends a complete request.

        Raises:
          ConnectionBrokenError: The connection is closed; nothing was sent.
        """
        if self.closed or self.transport is None:
            raise ConnectionBrokenError("closed before the request", sent=False)
        headers = [
            (name, value.encode("utf-8", "surrogateescape"))
            for name, value in request.headers
        ]
        if request.body or request.method not in ("GET", "HEAD", "DELETE"):
            length = str(len(request.body)).encode()
            headers.append(("Content-Length", length))
        self.request = h11.Request(
            method=request.method, target=request.target, headers=headers
        )
        self.body = request.body
        self.transport.write(self.start_exchange())

    def start_exchange(self) -> bytes:
        """Starts to parse the answer to the request; returns its bytes."""
        assert self.request is not None
        self.parser = new_parser()
        head = self.parser.send(self.request)
        body = self.parser.send(h11.Data(data=self.body))
        tail = self.parser.send(h11.EndOfMessage())
        return (head or b"") + (body or b"") + (tail or b"")

    async def read_head(
        self, answers_request: Callable[[WireHead], bool]
    ) -> WireHead:
        """Returns the head of the answer to the request sent last.

        Args:
          answers_request: Returns whether a head belongs to that request. One
            late answer to an earlier request is skipped.

        Raises:
          ConnectionBrokenError: There is no valid answer to the request.
          TimeoutError: The deadline passed.
        """
        self.reading_head = True
        try:
            return await self.find_head(answers_request)
        finally:
            self.reading_head = False

    async def find_head(
        self, answers_request: Callable[[WireHead], bool]
    ) -> WireHead:
        """Returns the first head that belongs to the request sent last.

        Raises:
          ConnectionBrokenError: There is no valid answer to the request.
          TimeoutError: The deadline passed.
        """
        for _ in range(MAX_STRAY_ANSWERS + 1):
            event = await self.next_event()
            if not isinstance(event, h11.Response):
                raise ConnectionBrokenError(f"no head but {type(event)}")
            head = make_head(event)
            if answers_request(head):
                return head
            self.on_stray()
            if self.answered_requests == 0 or not head.framed:
                break
            await self.skip_answer()
        raise ConnectionBrokenError("the answer belongs to another request")

    async def read_body(self) -> AsyncIterator[bytes]:
        """Yields the body as it arrives; returns only if it is complete.

        Raises:
          ConnectionBrokenError: The body is incomplete.
          TimeoutError: The deadline passed.
        """
        while True:
            event = await self.next_event()
            if isinstance(event, h11.EndOfMessage):
                return
            if not isinstance(event, h11.Data):
                raise ConnectionBrokenError(f"no body but {type(event)}")
            self.unread_bytes -= len(event.data)
            if self.reading_paused and self.unread_bytes <= RESUME_BYTES:
                self.resume_reading()
            yield bytes(event.data)

    def may_be_mixed(self) -> bool:
        """Returns whether a complete body may hold bytes of an earlier answer.

        Such bytes take the place of its own, which are left over then.
        """
        return (
            self.answered_requests > 0
            and self.parser is not None
            and bool(self.parser.trailing_data[0])
        )

    async def skip_answer(self) -> None:
        """Discards a late answer and starts to parse the next one.

        Raises:
          ConnectionBrokenError: The body is incomplete.
        """
        async for _ in self.read_body():
            pass
        assert self.parser is not None
        trailing_data, _ = self.parser.trailing_data
        # The parser needs the request to frame its answer. The bytes it returns
        # are not sent, since they were sent before.
        self.start_exchange()
        if trailing_data:
            self.parser.receive_data(trailing_data)

    async def next_event(self) -> h11.Event:
        """Returns the next event of the answer.

        Raises:
          ConnectionBrokenError: The connection ended, or h11 rejected the
            bytes.
        """
        while True:
            try:
                event = self.parser.next_event()  # type: ignore[union-attr]
            except h11.RemoteProtocolError as error:
                if self.answered_requests and not self.closed:
                    self.on_stray()
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
        """Resumes reading and waits for data or the end of the connection.

        Raises:
          TimeoutError: The deadline passed.
        """
        if self.expired and self.reading_head:
            raise TimeoutError
        self.unread_bytes = 0
        self.resume_reading()
        self.waiter = self.loop.create_future()
        self.start_timer()
        try:
            await self.waiter
        finally:
            self.waiter = None

    def resume_reading(self) -> None:
        """Receives again after a pause."""
        self.reading_paused = False
        if self.transport is not None and not self.closed:
            self.transport.resume_reading()

    def start_timer(self) -> None:
        """Starts the timer of the deadline, unless it already runs.

        A timer for each piece of a stream took 7% of the CPU time of a piece.
        """
        if self.timer is not None and (
            self.extended or self.timer.when() == self.deadline
        ):
            return
        self.stop_timer()
        if self.deadline < math.inf:
            self.timer = self.loop.call_at(self.deadline, self.expire)

    def stop_timer(self) -> None:
        """Stops the timer of the deadline."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def expire(self) -> None:
        """Fails the wait in progress, if there is one.

        After a time in which this process did not run, timers fire before the
        sockets are read: the answer may have arrived in time.
        """
        self.timer = None
        late_s = self.loop.time() - self.deadline
        if late_s > MAX_TIMER_DELAY_S and not self.extended:
            self.extended = True
            self.timer = self.loop.call_later(SOCKET_READ_S, self.expire)
            return
        self.expired = True
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_exception(TimeoutError())

    def finish_exchange(self, idle_limit_s: float) -> bool:
        """Ends an exchange; aborts the connection if it cannot be reused.

        Args:
          idle_limit_s: Seconds for which the connection may be idle.

        Returns:
          Whether the connection can be used for another request.
        """
        parser, self.parser = self.parser, None
        self.deadline = math.inf
        self.extended = self.expired = False
        self.stop_timer()
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
            if parser is not None and parser.trailing_data[0]:
                self.on_stray()
            self.abort()
        return reusable

    def abort(self) -> None:
        """Closes the connection at once, so that the worker stops its work."""
        self.closed = True
        self.stop_timer()
        if self.transport is not None:
            self.transport.abort()


def new_parser() -> h11.Connection:
    """Returns a parser for one exchange."""
    return h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)


def make_head(response: h11.Response) -> WireHead:
    """Decodes the head of an answer."""
    headers = tuple(
        (name.decode("ascii"), value.decode("latin-1"))
        for name, value in response.headers
    )
    names = {name for name, _ in headers}
    framed = "content-length" in names or "transfer-encoding" in names
    return WireHead(response.status_code, headers, framed)


def set_socket_options(sock: socket.socket | None) -> None:
    """Makes the kernel detect a partitioned path within a few seconds."""
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
