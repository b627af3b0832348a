"""The caller edge of the relay: one HTTP/1.1 request in, its answer out."""

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
    AnswerBegun,
    AnswerCut,
    AnswerEnded,
    AnswerPiece,
    AnswerRefused,
    WholeAnswer,
)
from rattanpier._internal.models.relay_request import (
    CallerHeaders,
    Header,
    RelayRequest,
)
from rattanpier._internal.models.route_table import RouteTable
from rattanpier._internal.relay.answering import answer
from rattanpier._internal.relay.dispatch import Dispatcher
from rattanpier._internal.relay.drain import DrainState
from rattanpier._internal.relay.request_progress import round_for_log
from rattanpier._internal.utils.clock import Clock
from rattanpier._internal.utils.headers import pass_on
from rattanpier._internal.utils.metrics import Metrics

log = structlog.get_logger(part="edge")

NOT_READY_RETRY_S = 0.5  # A start takes about a second.
LEAVING_RETRY_S = 0.05  # Another entry takes the request at once.


@attrs.frozen
class CallerDialect:
    """How callers speak.

    Attributes:
      decode: Returns what a request's headers say.
      not_passed_on: Lower-case names of headers that no worker gets.
      refusal_headers: Returns the headers of a refusal.
    """

    decode: Callable[[Mapping[str, str]], CallerHeaders]
    not_passed_on: frozenset[str]
    refusal_headers: Callable[[str, float | None], list[Header]]


class IntakeRefusedError(Exception):
    """A request is refused before it is dispatched."""

    def __init__(self, refusal: Refusal, status: int) -> None:
        super().__init__(refusal.message)
        self.refusal = refusal
        self.status = status


@attrs.define(eq=False, repr=False)
class RelayEdge:
    """Serves callers.

    Attributes:
      table: Returns the route table in force, None before the first.
      drain: Whether new requests are still taken.
      begun: Set once requests can be served, or the start took too long.
        Those that come before wait: they would only be refused.
    """

    dispatcher: Dispatcher
    dialect: CallerDialect
    table: Callable[[], RouteTable | None]
    drain: DrainState
    clock: Clock
    metrics: Metrics
    begun: asyncio.Event = attrs.Factory(asyncio.Event)

    async def handle(self, request: BaseRequest) -> StreamResponse:
        """Answers one request."""
        self.drain.begin_request()
        arrived = self.clock.monotonic()
        headers = self.dialect.decode(request.headers)
        self.metrics.count("relay.request")
        try:
            try:
                taken = await self.take_in(request, headers, arrived)
            except IntakeRefusedError as error:
                return self.refuse(
                    headers.attempt_id, error.refusal, error.status, arrived
                )
            return await self.answer(request, taken)
        except (asyncio.CancelledError, ConnectionError):
            self.metrics.count("relay.caller_left")
            log.info(
                "Caller left.",
                request=headers.attempt_id,
                total_s=round(self.clock.monotonic() - arrived, 3),
            )
            raise
        finally:
            self.drain.end_request()

    async def take_in(
        self,
        request: BaseRequest,
        headers: CallerHeaders,
        arrived: float,
    ) -> RelayRequest:
        """Checks a request against the table in force, and reads its body.

        Raises:
          IntakeRefusedError: It is refused.
        """
        await self.begun.wait()
        table = self.table()
        if table is None:
            raise not_ready()
        if not headers.attempt_id:
            raise refused(
                RefusalCode.BAD_REQUEST, "The request has no id.", 400
            )
        path = request.raw_path.partition("?")[0]
        route = table.match(request.headers.get("Host", ""), path)
        if route is None:
            raise refused(
                RefusalCode.UNKNOWN_PATH,
                f"No route of version {table.version} has this host and path.",
                404,
            )
        workspace = table.workspaces.get(headers.key)
        if table.keyed and workspace is None and not route.public:
            raise refused(
                RefusalCode.BAD_KEY,
                f"Version {table.version} does not know the key.",
                401,
            )
        if not self.drain.accepts(route.streaming):
            raise leaving()
        body = await self.read_body(request, table.limits.body_bytes)
        wait_s = route.timeout_s
        if headers.deadline_s is not None:
            wait_s = min(wait_s, headers.deadline_s)
        return RelayRequest(
            id=headers.attempt_id,
            method=request.method,
            target=request.raw_path,
            headers=pass_on(
                request.headers.items(), self.dialect.not_passed_on
            ),
            body=body,
            route=route,
            workspace=workspace,
            arrived=arrived,
            deadline=arrived + wait_s,
            session=headers.session,
            any_model=headers.any_model,
            prompt=headers.prompt,
            after_event=headers.after_event,
        )

    async def read_body(self, request: BaseRequest, most: int) -> bytes:
        """Returns the whole body.

        Raises:
          IntakeRefusedError: It is too long.
        """
        if not request.body_exists:
            return b""
        if request.headers.get("Expect", "").lower() == "100-continue":
            request.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        data = bytearray()
        async for piece in request.content.iter_any():
            data += piece
            if len(data) > most:
                raise refused(
                    RefusalCode.BODY_TOO_LARGE,
                    f"The body is longer than {most} bytes.",
                    413,
                )
        return bytes(data)

    async def answer(
        self, request: BaseRequest, taken: RelayRequest
    ) -> StreamResponse:
        """Writes the parts of an answer as they come."""
        response: StreamResponse | None = None
        times = PieceTimes(taken.arrived)
        async with aclosing(answer(self.dispatcher, taken)) as parts:
            async for part in parts:
                match part:
                    case WholeAnswer():
                        self.note_end(taken, str(part.status), times)
                        return self.make_whole(part)
                    case AnswerRefused(refusal, status):
                        return self.refuse(
                            taken.id, refusal, status, taken.arrived
                        )
                    case AnswerBegun(status, headers):
                        response = self.make_stream(status, headers)
                        await response.prepare(request)
                    case AnswerPiece(data):
                        times.note(self.clock.monotonic())
                        await response.write(data)  # type: ignore[union-attr]
                    case AnswerEnded():
                        self.note_end(taken, "ended", times)
                        await response.write_eof()  # type: ignore[union-attr]
                    case AnswerCut(reason):
                        self.note_end(taken, f"cut: {reason}", times)
                        # Without its end the answer does not look whole.
                        request.protocol.force_close()
        assert response is not None
        return response

    def make_whole(self, answer: WholeAnswer) -> Response:
        """Returns the response for a worker's whole answer."""
        response = Response(status=answer.status, body=answer.body)
        self.copy_headers(response, answer.headers)
        return self.let_go(response)

    def make_stream(
        self, status: int, headers: tuple[Header, ...]
    ) -> StreamResponse:
        """Returns the response for an answer that comes piece by piece."""
        response = StreamResponse(status=status)
        self.copy_headers(response, headers)
        return self.let_go(response)

    def copy_headers(
        self, response: StreamResponse, headers: tuple[Header, ...]
    ) -> None:
        """Sets a worker's headers."""
        for name in {name for name, _ in headers}:
            response.headers.popall(name, None)
        for name, value in headers:
            response.headers.add(name, value)

    def refuse(
        self, request_id: str, refusal: Refusal, status: int, arrived: float
    ) -> Response:
        """Returns a refusal and logs why."""
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
        )
        response = json_response(
            {"error": refusal.code.value, "message": refusal.message},
            status=status,
        )
        for name, value in self.dialect.refusal_headers(
            request_id, refusal.retry_after_s
        ):
            response.headers[name] = value
        return self.let_go(response)

    def let_go(self, response: StreamResponse) -> StreamResponse:
        """Ends the connection behind a response once the entry leaves."""
        if self.drain.leaving:
            response.force_close()
        return response

    def note_end(
        self, taken: RelayRequest, outcome: str, times: PieceTimes
    ) -> None:
        """Logs and measures how a request ended."""
        seconds = self.clock.monotonic() - taken.arrived
        self.metrics.count("relay.answered")
        self.metrics.timing("relay.request_s", seconds)
        log.info(
            "Answered.",
            request=taken.id,
            route=taken.route.name,
            outcome=outcome,
            pieces=times.pieces,
            first_s=round_for_log(times.first_s),
            objective_s=taken.route.objective_s,
            longest_gap_s=round(times.longest_gap_s, 3),
            allowed_gap_s=taken.route.event_gap_s,
            total_s=round(seconds, 3),
        )


@attrs.define(eq=False, repr=False)
class PieceTimes:
    """When the pieces of an answer came.

    Attributes:
      arrived: The request, in monotonic seconds.
      pieces: So far.
      first_s: From the request to the first piece, None before it.
      last_at: The newest piece, in monotonic seconds.
      longest_gap_s: Between two pieces.
    """

    arrived: float
    pieces: int = 0
    first_s: float | None = None
    last_at: float = 0.0
    longest_gap_s: float = 0.0

    def note(self, now: float) -> None:
        """Takes in that a piece came."""
        if self.first_s is None:
            self.first_s = now - self.arrived
        else:
            self.longest_gap_s = max(self.longest_gap_s, now - self.last_at)
        self.pieces += 1
        self.last_at = now


def refused(code: RefusalCode, message: str, status: int) -> IntakeRefusedError:
    """Returns the error for a request that was not sent anywhere."""
    return IntakeRefusedError(Refusal(code, message, True), status)


def not_ready() -> IntakeRefusedError:
    """Returns the error for an entry that has no route table yet."""
    return IntakeRefusedError(
        Refusal(
            RefusalCode.NOT_CURRENT,
            "This entry has no routes yet.",
            True,
            NOT_READY_RETRY_S,
        ),
        503,
    )


def leaving() -> IntakeRefusedError:
    """Returns the error for a request that comes too late in a planned stop."""
    return IntakeRefusedError(
        Refusal(
            RefusalCode.DRAINING,
            "This entry is leaving; ask another.",
            True,
            LEAVING_RETRY_S,
        ),
        503,
    )
