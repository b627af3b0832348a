"""Client of a plain service: one call, one whole answer."""

from __future__ import annotations

import math
from collections.abc import Awaitable, Callable

import aiohttp
import attrs
from yarl import URL

from rattanpier._internal.dispatch.engine import (
    CONNECT_TIMEOUT_S,
    REQUEST_ID,
    TIMEOUT_MS,
    read_refusal,
)
from rattanpier._internal.dispatch.failures import UpstreamError
from rattanpier._internal.utils.headers import Header, pass_on

MAX_ANSWER_BYTES = 16 * 2**20
READ_BYTES = 2**16
MIN_FAILURE_STATUS = 500
BODILESS_STATUSES = frozenset({204, 304})
# The service ran nothing to keep: a repeat of the key may ask again.
BUSY_STATUSES = frozenset({408, 429})

SendRequest = Callable[
    [aiohttp.ClientRequest], Awaitable[aiohttp.ClientResponse]
]


@attrs.frozen
class ServiceCall:
    """A call to a plain service, as the caller made it.

    Attributes:
      method: HTTP method.
      target: Path and query, as received, after the service's name.
      headers: Headers to be passed on.
      body: The whole body.
    """

    method: str
    target: str
    headers: tuple[Header, ...]
    body: bytes


@attrs.frozen
class ServiceAnswer:
    """The whole answer of a plain service.

    Attributes:
      status: HTTP status, below 500.
      headers: Headers to be passed back.
      body: The whole body.
    """

    status: int
    headers: tuple[Header, ...]
    body: bytes


class SendOnce:
    """Client middleware that lets one send through, never a second.

    aiohttp sends requests with some methods again, unasked, when their
    connection breaks.
    """

    def __init__(self) -> None:
        self.sent = False

    async def __call__(
        self, request: aiohttp.ClientRequest, send: SendRequest
    ) -> aiohttp.ClientResponse:
        """Sends a request; a broken connection is raised so that it stays."""
        assert not self.sent
        self.sent = True
        try:
            return await send(request)
        except aiohttp.ClientConnectorError:
            raise
        except (
            aiohttp.ClientOSError,
            aiohttp.ServerDisconnectedError,
        ) as error:
            if isinstance(error, aiohttp.ConnectionTimeoutError):
                raise
            raise aiohttp.ClientPayloadError(repr(error)) from error


async def send_call(
    session: aiohttp.ClientSession,
    url: str,
    call: ServiceCall,
    request_id: str,
    timeout_s: float,
) -> ServiceAnswer:
    """Sends a call and returns its whole answer.

    Args:
      session: For the connections.
      url: Base address of the worker.
      call: What the caller asked.
      request_id: Unique to this try.
      timeout_s: Seconds for the whole answer.

    Raises:
      UpstreamError: The service refused, failed, or its answer is not whole.
    """
    headers = [
        *call.headers,
        (REQUEST_ID, request_id),
        (TIMEOUT_MS, str(math.ceil(timeout_s * 1000))),
        ("Accept-Encoding", "identity"),
    ]
    timeout = aiohttp.ClientTimeout(
        total=timeout_s, sock_connect=CONNECT_TIMEOUT_S
    )
    try:
        # A redirect would be a second dispatch: it is passed back instead.
        async with session.request(
            call.method,
            URL(url.rstrip("/") + call.target, encoded=True),
            headers=headers,
            data=call.body or None,
            timeout=timeout,
            allow_redirects=False,
            middlewares=(SendOnce(),),
            skip_auto_headers=("Content-Type", "User-Agent"),
        ) as response:
            return await read_answer(response, call.method, request_id)
    except (
        aiohttp.ClientConnectorError,
        aiohttp.ConnectionTimeoutError,
    ) as error:
        # No connection: no byte of the request left this process.
        raise UpstreamError(f"can't connect: {error}", True) from error
    except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as error:
        raise UpstreamError(f"connection failed: {error!r}", False) from error


async def read_answer(
    response: aiohttp.ClientResponse, method: str, request_id: str
) -> ServiceAnswer:
    """Returns a whole answer.

    Raises:
      UpstreamError: It is a failure, another request's, or not whole.
    """
    if (
        response.status >= MIN_FAILURE_STATUS
        or response.status in BUSY_STATUSES
    ):
        raise await read_refusal(response)
    given = response.headers.get(REQUEST_ID)
    if given is not None and given != request_id:
        raise UpstreamError(f"the answer is for request {given!r}", False)
    check_delimited(response, method)
    body = await read_limited(response)
    return ServiceAnswer(
        response.status, pass_on(response.headers.items()), body
    )


def check_delimited(response: aiohttp.ClientResponse, method: str) -> None:
    """Raises UpstreamError if an answer's end looks the same as a cut."""
    if method == "HEAD" or response.status in BODILESS_STATUSES:
        return
    if response.content_length is not None:
        return
    if response.headers.get("Transfer-Encoding", "").lower() == "chunked":
        return
    raise UpstreamError("the answer does not say where it ends", False)


async def read_limited(response: aiohttp.ClientResponse) -> bytes:
    """Returns the body; aiohttp checks its announced length.

    Raises:
      UpstreamError: It is too large to be held.
    """
    parts: list[bytes] = []
    size = 0
    async for part in response.content.iter_chunked(READ_BYTES):
        size += len(part)
        if size > MAX_ANSWER_BYTES:
            raise UpstreamError("the answer is too large", False, final=True)
        parts.append(part)
    return b"".join(parts)
