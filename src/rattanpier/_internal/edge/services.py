"""Serves `/services/NAME/...`: calls to plain services."""

from __future__ import annotations

import base64

import attrs
from aiohttp import web

from rattanpier._internal.claims.records import Answer
from rattanpier._internal.dispatch.parts import Recorded, Refused
from rattanpier._internal.dispatch.plain import (
    ServiceAnswer,
    ServiceCall,
)
from rattanpier._internal.dispatch.repeatable import has_dot_segments
from rattanpier._internal.dispatch.service_runner import ServiceRunner
from rattanpier._internal.edge.errors import refuse
from rattanpier._internal.edge.intake import (
    RequestRefusedError,
    bad_request,
    find_caller,
    idempotency_key,
    is_non_idempotent,
    read_body,
    timeout_s,
)
from rattanpier._internal.models.configuration import UpstreamKind
from rattanpier._internal.models.refusal import Refusal, RefusalCode
from rattanpier._internal.models.request import RouteRequest
from rattanpier._internal.models.settings import EdgeSettings
from rattanpier._internal.utils.clock import Clock
from rattanpier._internal.utils.hashing import short_digest
from rattanpier._internal.utils.headers import forwarded_headers
from rattanpier._internal.utils.ids import new_request_id
from rattanpier._internal.utils.metrics import Metrics

PATH = "/services/{service}{rest:(/.*)?}"
# Headers for the router alone. A workspace's key is never sent to an upstream.
ROUTER_REQUEST_HEADERS = frozenset(
    {
        "host",
        "authorization",
        "expect",
        "accept-encoding",
        "x-request-id",
        "x-timeout-ms",
        "x-non-idempotent",
    }
)
# Headers of a service's answer that the router replaces by its own.
ROUTER_RESPONSE_HEADERS = frozenset({"x-request-id", "content-type", "date"})


@attrs.frozen
class CheckedCall:
    """A call that passed validation.

    Attributes:
      route: What routing needs of the call.
      call: What is forwarded to the service.
    """

    route: RouteRequest
    call: ServiceCall


@attrs.define
class ServiceHandler:
    """Serves calls to plain services.

    Attributes:
      runner: Answers the calls.
      settings: Limits on bodies and timeouts.
      clock: Source of the deadlines.
      metrics: Counts refusals.
    """

    runner: ServiceRunner
    settings: EdgeSettings
    clock: Clock
    metrics: Metrics

    async def handle(self, request: web.Request) -> web.Response:
        """Serves one call."""
        request_id = new_request_id()
        try:
            checked = await self.parse_request(request)
        except RequestRefusedError as error:
            return self.refuse(error.refusal, request_id)
        result = await self.runner.answer(
            checked.route, checked.call, request_id
        )
        match result:
            case ServiceAnswer():
                return service_response(result, request_id)
            case Recorded(answer):
                return self.recorded_response(answer, request_id)
            case Refused(refusal):
                return self.refuse(refusal, request_id)

    async def parse_request(self, request: web.Request) -> CheckedCall:
        """Authenticates the caller and validates the call.

        Raises:
          RequestRefusedError: The key, the service, the body or a header is
            not valid.
        """
        configuration = self.runner.configuration()
        workspace = find_caller(
            request, configuration, self.runner.dispatcher.current()
        )
        service = request.match_info["service"]
        upstream = configuration.upstreams.get(service)
        if upstream is None or upstream.kind is not UpstreamKind.PLAIN:
            raise RequestRefusedError(
                Refusal(
                    RefusalCode.UNKNOWN_SERVICE,
                    f"There is no service {service!r}.",
                    True,
                )
            )
        body = await read_body(request, self.settings.max_body_bytes)
        call = make_call(request, body)
        return CheckedCall(self.route(request, workspace, service, call), call)

    def route(
        self,
        request: web.Request,
        workspace: str,
        service: str,
        call: ServiceCall,
    ) -> RouteRequest:
        """Returns what routing needs of a call."""
        return RouteRequest(
            workspace=workspace,
            key=idempotency_key(request),
            keyed="Idempotency-Key" in request.headers,
            service=service,
            session=request.headers.get("X-Session-Id", ""),
            idempotent=not is_non_idempotent(request),
            deadline=self.clock.monotonic() + timeout_s(request, self.settings),
            digest=call_digest(service, call),
        )

    def refuse(self, refusal: Refusal, request_id: str) -> web.Response:
        """Returns the response for a refusal and counts its reason."""
        return refuse(self.metrics, refusal, request_id)

    def recorded_response(
        self, answer: Answer, request_id: str
    ) -> web.Response:
        """Returns the response for a recorded answer, or for one not kept."""
        if not answer.kept:
            refusal = Refusal(
                RefusalCode.OUTCOME_UNKNOWN,
                "The request was answered; its answer was too large to keep.",
                False,
            )
            return self.refuse(refusal, request_id)
        return web.Response(
            status=answer.status,
            body=base64.b64decode(answer.body),
            headers={
                "Content-Type": answer.content_type,
                "X-Request-Id": request_id,
            },
        )


def make_call(request: web.Request, body: bytes) -> ServiceCall:
    """Returns the call that is forwarded to the service.

    Raises:
      RequestRefusedError: The path has `.` or `..` segments, which could lead
        out of the service.
    """
    _, _, rest = request.raw_path.lstrip("/").partition("/")
    _, slash, target = rest.partition("/")
    if not slash:
        _, mark, query = rest.partition("?")
        target = mark + query
    if has_dot_segments(target):
        raise bad_request("The path has '.' or '..' in it.")
    return ServiceCall(
        request.method,
        f"/{target}",
        forwarded_headers(request.headers.items(), ROUTER_REQUEST_HEADERS),
        body,
    )


def call_digest(service: str, call: ServiceCall) -> str:
    """Returns a digest of a call's method, service, target and body."""
    head = f"{call.method} {service} {call.target}\n"
    return short_digest(head.encode() + call.body)


def service_response(answer: ServiceAnswer, request_id: str) -> web.Response:
    """Returns the response for a service's answer."""
    response = web.Response(status=answer.status, body=answer.body)
    types = []
    for name, value in answer.headers:
        if name.lower() == "content-type":
            types.append(value)
        elif name.lower() not in ROUTER_RESPONSE_HEADERS:
            response.headers.add(name, value)
    if types:
        response.headers["Content-Type"] = types[0]
    response.headers["X-Request-Id"] = request_id
    return response
