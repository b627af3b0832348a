"""One send to one worker, and its answer checked for being whole and its own.

An answer counts only if it carries the request's id, and a success only with
the worker's receipt and its whole body as the worker framed it.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import attrs

from rattanpier._internal.models.relay_request import Header, RelayRequest
from rattanpier._internal.models.sending import AnswerHead, Sending
from rattanpier._internal.models.worker import RegisteredWorker
from rattanpier._internal.relay.connection import (
    ConnectionBrokenError,
    WireHead,
    WireRequest,
    WorkerConnection,
)
from rattanpier._internal.relay.load import Loads
from rattanpier._internal.relay.pool import ConnectionPool
from rattanpier._internal.utils.headers import HOP_BY_HOP

MIN_FAILURE_STATUS = 500
DROPPED_HEADERS = HOP_BY_HOP | {"content-length"}


class SendError(Exception):
    """A send brought no answer that can be delivered.

    Attributes:
      not_run: It is certain that the worker did not run the request.
      connected: A connection was open: the worker, not the path, failed.
      misdirected: Another worker answered, or one without what was asked for.
      retry_after_s: When the worker said to come back, or None.
    """

    def __init__(
        self,
        message: str,
        not_run: bool = False,
        connected: bool = True,
        retry_after_s: float | None = None,
        misdirected: bool = False,
    ) -> None:
        super().__init__(message)
        self.not_run = not_run
        self.connected = connected
        self.retry_after_s = retry_after_s
        self.misdirected = misdirected


@attrs.frozen
class WorkerDialect:
    """How workers are spoken to.

    Attributes:
      encode: Returns a request as it goes to a worker.
      decode: Returns what the head of an answer says.
    """

    encode: Callable[[RelayRequest, Sending], WireRequest]
    decode: Callable[[WireHead], AnswerHead]


@attrs.define(eq=False, repr=False)
class OpenAnswer:
    """An answer whose head came.

    Attributes:
      head: What it says.
      connection: Where its body comes from.
      deadline: Loop time past which nothing is waited for.
      complete: The body's proper end came.
    """

    head: AnswerHead
    connection: WorkerConnection
    deadline: float
    on_data: Callable[[], None]
    complete: bool = False

    async def pieces(self) -> AsyncIterator[bytes]:
        """Yields the body; returns only at its proper end.

        Raises:
          SendError: The body is not whole.
          TimeoutError: The deadline came first.
        """
        body = self.connection.read_body()
        try:
            while True:
                try:
                    async with asyncio.timeout_at(self.deadline):
                        piece = await anext(body)
                except StopAsyncIteration:
                    self.complete = True
                    return
                self.on_data()
                yield piece
        except ConnectionBrokenError as error:
            raise SendError(f"answer is not whole: {error}") from error

    async def read_all(self, max_bytes: int) -> bytes:
        """Returns the whole body.

        Raises:
          SendError: The body is not whole, or too long.
        """
        data = bytearray()
        async for piece in self.pieces():
            data += piece
            if len(data) > max_bytes:
                raise SendError("answer is too long")
        return bytes(data)


@attrs.define(eq=False, repr=False)
class Sender:
    """Sends requests to workers.

    Attributes:
      pool: For the connections.
      dialect: Of the workers.
      loads: Is told what the answers say of load.
      on_answer: Told what a worker's answer says, and when its request was
        sent, in
        monotonic seconds.
    """

    pool: ConnectionPool
    dialect: WorkerDialect
    loads: Loads
    on_answer: Callable[[RegisteredWorker, AnswerHead, float], None] = (
        attrs.field(default=lambda _worker, _head, _asked_at: None)
    )

    @asynccontextmanager
    async def send(
        self, request: RelayRequest, sending: Sending, deadline: float
    ) -> AsyncIterator[OpenAnswer]:
        """Sends a request and yields its answer once the head came.

        Leaving the context before the answer's end closes the connection, by
        which the worker learns to stop.

        Args:
          request: What to send.
          sending: To whom, and what else it is told.
          deadline: Loop time past which nothing is waited for.

        Raises:
          SendError: No proper answer came, or the worker refused.
          TimeoutError: The deadline came first.
        """
        worker = sending.worker
        # A kept connection may be closed just as a request is written to it;
        # nobody would know whether it ran.
        new_connection = not request.route.repeatable
        try:
            connection = await self.pool.acquire(
                worker, new_connection, sending.left_s
            )
        except ConnectionBrokenError as error:
            raise SendError(str(error), not_run=True, connected=False) from None
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

    async def open(
        self,
        request: RelayRequest,
        sending: Sending,
        connection: WorkerConnection,
        deadline: float,
    ) -> OpenAnswer:
        """Sends a request on a connection and returns its answer's head."""
        worker = sending.worker.id

        def on_data() -> None:
            self.loads.record_received(worker)

        def answers_request(head: WireHead) -> bool:
            decoded = self.dialect.decode(head)
            # A refusal may be made before the worker knows the id.
            if decoded.request_id is None:
                return decoded.not_run
            return decoded.request_id == request.id

        sent_at = self.loads.clock.monotonic()
        try:
            connection.send(self.dialect.encode(request, sending))
            async with asyncio.timeout_at(deadline):
                wire_head = await connection.read_head(answers_request)
        except ConnectionBrokenError as error:
            raise SendError(str(error), not_run=not error.sent) from error
        on_data()
        head = self.dialect.decode(wire_head)
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
    """Raises SendError for a success that is not the worker's own."""
    if head.status >= 300:
        return
    if head.receipt is None:
        raise SendError("success without a receipt")
    if head.encoded:
        raise SendError("the body is encoded")


def copied_headers(head: AnswerHead) -> tuple[Header, ...]:
    """Returns the headers of an answer that go to the caller."""
    return tuple(
        header for header in head.headers if header[0] not in DROPPED_HEADERS
    )
