"""Upstream requests: one request to one worker, and validation of the answer.

An answer is accepted only if it carries the id of the request. A success also
needs the worker's receipt and a body that is complete by its HTTP framing.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import attrs

from rattanpier._internal.models.relay_request import Header, RelayRequest
from rattanpier._internal.models.upstream_request import (
    AnswerHead,
    UpstreamRequest,
)
from rattanpier._internal.models.worker import RegisteredWorker
from rattanpier._internal.relay.connection import (
    ConnectionBrokenError,
    WireHead,
    WireRequest,
    WorkerConnection,
)
from rattanpier._internal.relay.load import Loads
from rattanpier._internal.relay.pool import ConnectionPool
from rattanpier._internal.relay.slow_readers import HeldBytes
from rattanpier._internal.utils.headers import HOP_BY_HOP
from rattanpier._internal.utils.record import Record

MIN_FAILURE_STATUS = 500
DROPPED_HEADERS = HOP_BY_HOP | {"content-length"}


class SendError(Exception):
    """An upstream request brought no answer that can be delivered.

    Attributes:
      not_run: Whether it is certain that the worker did not run the request.
      connected: Whether a connection was open, so that the worker and not the
        network path failed.
      misdirected: Whether another worker answered, or one that does not serve
        what was requested.
      retry_after_s: Seconds after which the worker asked for a retry, or None.
      interrupted: Whether this process did not run meanwhile, so that the
        failure shows nothing of the worker.
    """

    def __init__(
        self,
        message: str,
        not_run: bool = False,
        connected: bool = True,
        retry_after_s: float | None = None,
        misdirected: bool = False,
        interrupted: bool = False,
    ) -> None:
        super().__init__(message)
        self.not_run = not_run
        self.connected = connected
        self.retry_after_s = retry_after_s
        self.misdirected = misdirected
        self.interrupted = interrupted


@attrs.frozen(eq=False, repr=False)
class WorkerDialect(Record):
    """Header conventions of the platform's workers.

    Attributes:
      encode: Encodes a request for a worker.
      decode: Decodes the head of an answer.
    """

    encode: Callable[[RelayRequest, UpstreamRequest], WireRequest]
    decode: Callable[[WireHead], AnswerHead]


@attrs.define(eq=False, repr=False)
class OpenAnswer:
    """An answer whose head was received and whose body can be read.

    Attributes:
      head: Decoded head.
      connection: Connection that the body is read from.
      deadline: Latest time to wait for data, in seconds of the event loop's
        clock.
      on_data: Called whenever data of the answer arrives.
      complete: Whether the body was received up to its end.
    """

    head: AnswerHead
    connection: WorkerConnection
    deadline: float
    on_data: Callable[[], None]
    complete: bool = False

    def unread_size(self) -> int:
        """Returns the number of bytes received that were not read yet."""
        return max(0, self.connection.unread_bytes)

    async def pieces(self) -> AsyncIterator[bytes]:
        """Yields the body in pieces; returns only if it is complete.

        Raises:
          SendError: The body is incomplete.
          TimeoutError: The deadline passed.
        """
        connection = self.connection
        connection.deadline = self.deadline
        try:
            async for piece in connection.read_body():
                self.on_data()
                yield piece
                connection.deadline = self.deadline
            self.complete = True
        except ConnectionBrokenError as error:
            raise SendError(f"answer is not whole: {error}") from error

    async def read_all(self, max_bytes: int, held: HeldBytes) -> bytes:
        """Returns the complete body.

        Args:
          max_bytes: Maximum length.
          held: Counts the bytes as held, also once they were returned.

        Raises:
          SendError: The body is incomplete, or longer than `max_bytes`.
          TimeoutError: The deadline passed.
        """
        data = bytearray()
        try:
            async for piece in self.pieces():
                data += piece
                held.add_answer(len(piece))
                if len(data) > max_bytes:
                    raise SendError("answer is too long")
            if self.connection.may_be_mixed():
                raise SendError("bytes of two answers are mixed")
        except BaseException:
            held.add_answer(-len(data))
            raise
        return bytes(data)


@attrs.define(eq=False, repr=False)
class Sender:
    """Sends requests to workers.

    Attributes:
      pool: Pool of connections to workers.
      dialect: Header conventions of the workers.
      loads: Receives the load that workers report.
      on_answer: Called with the worker, the head of its answer, and the time at
        which the request was sent, in monotonic seconds.
      on_aborted: Called with the worker of a connection that was closed before
        the end of its answer.
    """

    pool: ConnectionPool
    dialect: WorkerDialect
    loads: Loads
    on_answer: Callable[[RegisteredWorker, AnswerHead, float], None] = (
        attrs.field(default=lambda _worker, _head, _asked_at: None)
    )
    on_aborted: Callable[[RegisteredWorker], None] = attrs.field(
        default=lambda _worker: None
    )

    @asynccontextmanager
    async def send(
        self, request: RelayRequest, sending: UpstreamRequest, deadline: float
    ) -> AsyncIterator[OpenAnswer]:
        """Sends a request and yields its answer once the head was received.

        Leaving the context before the answer is complete closes the connection,
        which signals the worker to stop.

        Args:
          request: Request to send.
          sending: The worker, and what it is sent in addition to the request.
          deadline: Latest time to wait, in seconds of the event loop's clock.

        Raises:
          SendError: There was no valid answer, or the worker refused.
          TimeoutError: The deadline passed.
        """
        worker = sending.worker
        # The worker may close an idle connection just as a request is written
        # to it; it would be unknown whether the request ran. Late bytes of an
        # earlier answer may have spoiled the attempt that a repeat follows.
        new_connection = not request.route.repeatable or sending.repeat
        began_at = asyncio.get_running_loop().time()
        try:
            connection = await self.pool.acquire(
                worker, new_connection, sending.left_s
            )
        except ConnectionBrokenError as error:
            raise SendError(
                str(error),
                not_run=True,
                connected=False,
                interrupted=error.interrupted,
            ) from None
        connecting_s = asyncio.get_running_loop().time() - began_at
        sending = attrs.evolve(sending, left_s=sending.left_s - connecting_s)
        answer: OpenAnswer | None = None
        try:
            answer = await self.open(request, sending, connection, deadline)
            yield answer
        finally:
            if answer is not None and answer.complete:
                self.pool.release(
                    worker.id, connection, answer.head.keep_alive_s
                )
            else:
                connection.abort()
                self.on_aborted(worker)

    async def open(
        self,
        request: RelayRequest,
        sending: UpstreamRequest,
        connection: WorkerConnection,
        deadline: float,
    ) -> OpenAnswer:
        """Sends a request on a connection and reads the head of its answer.

        Args:
          request: Request to send.
          sending: The worker, and what it is sent in addition to the request.
          connection: Connection to the worker.
          deadline: Latest time to wait, in seconds of the event loop's clock.

        Raises:
          SendError: There was no valid answer, or the worker refused.
          TimeoutError: The deadline passed.
        """
        worker = sending.worker.id
        head: AnswerHead | None = None

        def on_data() -> None:
            self.loads.record_received(worker)

        def answers_request(wire_head: WireHead) -> bool:
            nonlocal head
            head = self.dialect.decode(wire_head)
            # A worker may refuse a request before it has read its id.
            if head.request_id is None:
                return head.not_run
            return head.request_id == request.id

        sent_at = self.loads.clock.monotonic()
        try:
            connection.send(self.dialect.encode(request, sending))
            # Unlike a timeout of the task, its timer keeps an answer that
            # arrived in time while this process did not run.
            connection.deadline = deadline
            await connection.read_head(answers_request)
        except ConnectionBrokenError as error:
            raise SendError(str(error), not_run=not error.sent) from error
        assert head is not None, "a head was accepted undecoded"
        on_data()
        self.loads.record_unreadable(worker, head.unreadable_load)
        self.loads.record_report(worker, head.load)
        if not head.misdirected:
            self.on_answer(sending.worker, head, sent_at)
        if head.not_run:
            raise SendError(
                f"worker refused with {head.status}",
                not_run=True,
                retry_after_s=head.retry_after_s,
                misdirected=head.misdirected,
            )
        check_success(head)
        return OpenAnswer(head, connection, deadline, on_data)


def check_success(head: AnswerHead) -> None:
    """Checks that a success comes from the worker and is unmodified.

    Raises:
      SendError: A success has no receipt, or its body is encoded.
    """
    if head.status >= 300:
        return
    if head.receipt is None:
        raise SendError("success without a receipt")
    if head.encoded:
        raise SendError("the body is encoded")


def copied_headers(head: AnswerHead) -> tuple[Header, ...]:
    """Returns the headers of an answer that are forwarded to the caller."""
    return tuple(
        header for header in head.headers if header[0] not in DROPPED_HEADERS
    )
