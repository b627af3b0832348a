"""HTTP/1.1 front end of the relay: receives requests and writes answers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from contextlib import aclosing

import attrs
import structlog
from aiohttp.web_request import BaseRequest
from aiohttp.web_response import Response, StreamResponse, json_response

from rattanpier._internal.models.refusal import Refusal, RefusalCode
from rattanpier._internal.models.relay_answer import (
    AnswerChunk,
    AnswerCompleted,
    AnswerRefused,
    AnswerStarted,
    AnswerTruncated,
    CompleteAnswer,
)
from rattanpier._internal.models.relay_request import (
    CallerHeaders,
    Header,
    RelayRequest,
)
from rattanpier._internal.models.route_table import Route, RouteTable
from rattanpier._internal.relay.answering import answer
from rattanpier._internal.relay.caller_writes import (
    caller_connection,
    write_part,
    write_whole,
)
from rattanpier._internal.relay.dispatch import Dispatcher
from rattanpier._internal.relay.drain import DrainState, leaving_refusal
from rattanpier._internal.relay.request_progress import round_for_log
from rattanpier._internal.relay.running_time import RunningTime
from rattanpier._internal.relay.slow_readers import HeldBytes, SlowReaders
from rattanpier._internal.utils.clock import Clock
from rattanpier._internal.utils.headers import forwarded_headers
from rattanpier._internal.utils.http_listener import HttpConnection
from rattanpier._internal.utils.metrics import Metrics
from rattanpier._internal.utils.record import Record

log = structlog.get_logger(part="edge")

NOT_READY_RETRY_S = 0.5  # An entry takes about a second to start.


@attrs.frozen(eq=False, repr=False)
class CallerDialect(Record):
    """Header conventions of the platform's callers.

    Attributes:
      decode: Decodes the headers of a request.
      stripped_headers: Lower-case names of the headers that are not forwarded
        to workers.
      refusal_headers: Returns the headers of a refusal, given the id of the
        request and the seconds after which to retry, or None.
    """

    decode: Callable[[Mapping[str, str]], CallerHeaders]
    stripped_headers: frozenset[str]
    refusal_headers: Callable[[str, float | None], list[Header]]


class RequestRefusedError(Exception):
    """A request is refused before it is dispatched.

    Attributes:
      refusal: The refusal that the caller receives.
      status: HTTP status.
    """

    def __init__(self, refusal: Refusal, status: int) -> None:
        super().__init__(refusal.message)
        self.refusal = refusal
        self.status = status


@attrs.define(eq=False, repr=False)
class RelayEdge:
    """Serves the requests of callers.

    Attributes:
      dispatcher: Sends requests to workers.
      dialect: Header conventions of the callers.
      table: Returns the route table in force, or None if there is none yet.
      drain: State of a planned stop; decides whether new requests are accepted.
      clock: Monotonic clock.
      metrics: Receives counters and timings.
      readers: Accounting of the bytes held for callers.
      others_serve: Returns whether another entry is offered to callers.
      running: Running time of this process.
      admitting: Set while requests are dispatched. Those that arrive before it
        is set at the start could only be refused, and those that are read after
        a long pause would be sent by what was known before it; both wait.
    """

    dispatcher: Dispatcher
    dialect: CallerDialect
    table: Callable[[], RouteTable | None]
    drain: DrainState
    clock: Clock
    metrics: Metrics
    readers: SlowReaders
    others_serve: Callable[[], bool] = lambda: True
    running: RunningTime = attrs.field(
        default=attrs.Factory(
            lambda self: RunningTime(self.clock), takes_self=True
        )
    )
    admitting: asyncio.Event = attrs.Factory(asyncio.Event)

    async def handle(self, request: BaseRequest) -> StreamResponse:
        """Answers one request.

        Raises:
          asyncio.CancelledError: The caller disconnected.
          ConnectionError: The caller disconnected.
        """
        held = self.begin_request(request)
        try:
            response = await self.respond(request, held)
            if isinstance(response, Response):
                await write_whole(request, response, held)
            return response
        finally:
            self.readers.end_request(held)

    def begin_request(self, request: BaseRequest) -> HeldBytes:
        """Returns the account of the bytes held for a request's connection."""
        transport = request.transport
        if transport is None:  # The caller has disconnected.
            return HeldBytes()
        return self.readers.begin_request(
            transport, lambda: caller_connection(transport)
        )

    async def respond(
        self, request: BaseRequest, held: HeldBytes
    ) -> StreamResponse:
        """Returns the response to a request; a stream is written already.

        Args:
          request: Request as received.
          held: Bytes held for its connection.

        Raises:
          asyncio.CancelledError: The caller disconnected.
          ConnectionError: The caller disconnected.
        """
        self.drain.begin_request()
        self.running.seconds()  # Before anything is sent after a pause.
        arrived = self.clock.monotonic()
        headers = self.dialect.decode(request.headers)
        held.request = headers.attempt_id
        self.metrics.count("relay.request")
        try:
            try:
                relay_request = await self.accept_request(
                    request, headers, arrived, held
                )
            except RequestRefusedError as error:
                table = self.table()
                return self.refuse(
                    request,
                    headers.attempt_id,
                    error.refusal,
                    error.status,
                    arrived,
                    -1 if table is None else table.version,
                )
            held.deadline = relay_request.deadline
            return await self.answer(request, relay_request, held)
        except (asyncio.CancelledError, ConnectionError):
            if held.closed is not None:
                raise
            self.metrics.count("relay.caller_left")
            log.info(
                "Caller left.",
                request=headers.attempt_id,
                total_s=round(self.clock.monotonic() - arrived, 3),
            )
            raise
        finally:
            self.drain.end_request()

    async def accept_request(
        self,
        request: BaseRequest,
        headers: CallerHeaders,
        arrived: float,
        held: HeldBytes,
    ) -> RelayRequest:
        """Checks a request against the route table and reads its body.

        Args:
          request: Request as received.
          headers: Its decoded headers.
          arrived: Time of arrival, in monotonic seconds.
          held: Bytes held for its connection.

        Raises:
          RequestRefusedError: The request is refused.
        """
        await self.admitting.wait()
        table = self.table()
        if table is None:
            raise not_ready_error()
        if not headers.attempt_id:
            raise refusal_error(
                RefusalCode.BAD_REQUEST, "The request has no id.", 400
            )
        path = request.raw_path.partition("?")[0]
        route = table.match(request.headers.get("Host", ""), path)
        if route is None:
            raise refusal_error(
                RefusalCode.UNKNOWN_PATH,
                f"No route of version {table.version} has this host and path.",
                404,
            )
        workspace = table.workspaces.get(headers.key)
        if table.keyed and workspace is None and not route.public:
            raise refusal_error(
                RefusalCode.BAD_KEY,
                f"Version {table.version} does not know the key.",
                401,
            )
        self.check_accepted(route)
        body = await self.read_body(request, table.limits.body_bytes, held)
        # Reading may have taken long.
        self.check_accepted(route)
        held.limit_buffer()
        timeout_s = route.timeout_s
        if headers.deadline_s is not None:
            timeout_s = min(timeout_s, headers.deadline_s)
        return RelayRequest(
            id=headers.attempt_id,
            method=request.method,
            target=request.raw_path,
            headers=forwarded_headers(
                request.headers.items(), self.dialect.stripped_headers
            ),
            body=body,
            route=route,
            workspace=workspace,
            arrived=arrived,
            deadline=arrived + timeout_s,
            session=headers.session,
            any_model=headers.any_model,
            prompt=headers.prompt,
            after_event=headers.after_event,
            table_version=table.version,
        )

    def check_accepted(self, route: Route) -> None:
        """Checks that a request will end before the entry exits.

        Raises:
          RequestRefusedError: It may not.
        """
        if not self.drain.accepts(route.streaming):
            raise RequestRefusedError(leaving_refusal(self.others_serve()), 503)

    async def read_body(
        self, request: BaseRequest, max_bytes: int, held: HeldBytes
    ) -> bytes:
        """Returns the complete body of a request.

        Args:
          request: Request as received.
          max_bytes: Maximum length of the body.
          held: Counts the bytes as held.

        Raises:
          RequestRefusedError: The body is longer than `max_bytes`.
        """
        if not request.body_exists:
            return b""
        if request.headers.get("Expect", "").lower() == "100-continue":
            request.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        data = bytearray()
        async for piece in request.content.iter_any():
            data += piece
            held.add_body(len(piece))
            if len(data) > max_bytes:
                raise refusal_error(
                    RefusalCode.BODY_TOO_LARGE,
                    f"The body is longer than {max_bytes} bytes.",
                    413,
                )
        return bytes(data)

    async def answer(
        self,
        request: BaseRequest,
        relay_request: RelayRequest,
        held: HeldBytes,
    ) -> StreamResponse:
        """Writes the parts of a stream as they become available.

        Args:
          request: Request as received.
          relay_request: The accepted request.
          held: Bytes held for its connection.

        Returns:
          The response; a complete answer is not written yet.
        """
        response: StreamResponse | None = None
        times = PieceTimes(relay_request.arrived)
        async with aclosing(
            answer(self.dispatcher, relay_request, held)
        ) as parts:
            async for part in parts:
                match part:
                    case CompleteAnswer():
                        self.record_end(relay_request, str(part.status), times)
                        return self.make_response(request, part)
                    case AnswerRefused(refusal, status):
                        return self.refuse(
                            request,
                            relay_request.id,
                            refusal,
                            status,
                            relay_request.arrived,
                            relay_request.table_version,
                        )
                    case AnswerStarted(status, headers):
                        response = self.make_stream_response(
                            request, status, headers
                        )
                        await response.prepare(request)
                    case AnswerChunk(data):
                        times.record_piece(self.clock.monotonic())
                        await write_part(request, held, data)
                    case AnswerCompleted():
                        self.record_end(relay_request, "ended", times)
                        await response.write_eof()  # type: ignore[union-attr]
                    case AnswerTruncated(reason):
                        self.record_end(relay_request, f"cut: {reason}", times)
                        # Without the final chunk, the caller can tell that the
                        # answer is incomplete.
                        request.protocol.force_close()
        assert response is not None
        return response

    def make_response(
        self, request: BaseRequest, answer: CompleteAnswer
    ) -> Response:
        """Returns the response for a worker's complete answer."""
        response = Response(status=answer.status, body=answer.body)
        self.copy_headers(response, answer.headers)
        return self.close_if_leaving(request, response)

    def make_stream_response(
        self, request: BaseRequest, status: int, headers: tuple[Header, ...]
    ) -> StreamResponse:
        """Returns the response for a streamed answer."""
        response = StreamResponse(status=status)
        self.copy_headers(response, headers)
        return self.close_if_leaving(request, response)

    def copy_headers(
        self, response: StreamResponse, headers: tuple[Header, ...]
    ) -> None:
        """Copies the headers of a worker's answer; replaces any defaults."""
        for name in {name for name, _ in headers}:
            response.headers.popall(name, None)
        for name, value in headers:
            response.headers.add(name, value)

    def refuse(
        self,
        request: BaseRequest,
        request_id: str,
        refusal: Refusal,
        status: int,
        arrived: float,
        table_version: int,
    ) -> Response:
        """Logs a refusal and returns the response for it.

        Args:
          request: Request as received.
          request_id: Its id.
          refusal: The refusal.
          status: HTTP status.
          arrived: Arrival of the request, in monotonic seconds.
          table_version: Version of the route table that decided, -1 for none.
        """
        self.metrics.count(f"relay.answered.{status}")
        log.info(
            "Refused.",
            request=request_id,
            code=refusal.code.value,
            status=status,
            reason=refusal.message,
            not_run=refusal.not_run,
            retry_after_s=refusal.retry_after_s,
            total_s=round(self.clock.monotonic() - arrived, 3),
            table=table_version,
        )
        response = json_response(
            {"error": refusal.code.value, "message": refusal.message},
            status=status,
        )
        for name, value in self.dialect.refusal_headers(
            request_id, refusal.retry_after_s
        ):
            response.headers[name] = value
        return self.close_if_leaving(request, response)

    def close_if_leaving(
        self, request: BaseRequest, response: StreamResponse
    ) -> StreamResponse:
        """Closes the connection after a response if the entry is leaving.

        Requests that were received behind this one are answered before.
        """
        if self.drain.leaving and not has_queued_requests(request):
            response.force_close()
        return response

    def record_end(
        self, relay_request: RelayRequest, outcome: str, times: PieceTimes
    ) -> None:
        """Logs the outcome of a request and records its duration."""
        seconds = self.clock.monotonic() - relay_request.arrived
        self.metrics.count("relay.answered")
        self.metrics.timing("relay.request_s", seconds)
        log.info(
            "Answered.",
            request=relay_request.id,
            route=relay_request.route.name,
            outcome=outcome,
            pieces=times.pieces,
            first_s=round_for_log(times.first_s),
            objective_s=relay_request.route.objective_s,
            longest_gap_s=round(times.longest_gap_s, 3),
            allowed_gap_s=relay_request.route.event_gap_s,
            total_s=round(seconds, 3),
        )


@attrs.define(eq=False, repr=False)
class PieceTimes:
    """Arrival times of the pieces of an answer.

    Attributes:
      arrived: Arrival of the request, in monotonic seconds.
      pieces: Number of pieces so far.
      first_s: Seconds from the request to the first piece; None before it.
      last_at: Arrival of the latest piece, in monotonic seconds.
      longest_gap_s: Longest time between two pieces, in seconds.
    """

    arrived: float
    pieces: int = 0
    first_s: float | None = None
    last_at: float = 0.0
    longest_gap_s: float = 0.0

    def record_piece(self, now: float) -> None:
        """Records a piece that arrived at `now`, in monotonic seconds."""
        if self.first_s is None:
            self.first_s = now - self.arrived
        else:
            self.longest_gap_s = max(self.longest_gap_s, now - self.last_at)
        self.pieces += 1
        self.last_at = now


def has_queued_requests(request: BaseRequest) -> bool:
    """Returns whether a request's connection received further ones."""
    connection = request.protocol
    return (
        isinstance(connection, HttpConnection)
        and connection.has_queued_requests()
    )


def refusal_error(
    code: RefusalCode, message: str, status: int
) -> RequestRefusedError:
    """Returns the error for a request that was not sent to any worker."""
    return RequestRefusedError(Refusal(code, message, True), status)


def not_ready_error() -> RequestRefusedError:
    """Returns the error for an entry that has no route table yet."""
    return RequestRefusedError(
        Refusal(
            RefusalCode.NOT_CURRENT,
            "This entry has no routes yet.",
            True,
            NOT_READY_RETRY_S,
        ),
        503,
    )
