"""Client of plain services: each call returns one complete answer."""

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
from rattanpier._internal.utils.headers import Header, forwarded_headers

MAX_ANSWER_BYTES = 16 * 2**20
READ_BYTES = 2**16
MIN_FAILURE_STATUS = 500
BODILESS_STATUSES = frozenset({204, 304})
# The service ran nothing to record, so a repeat of the key may be sent again.
BUSY_STATUSES = frozenset({408, 429})

SendRequest = Callable[
    [aiohttp.ClientRequest], Awaitable[aiohttp.ClientResponse]
]


@attrs.frozen
class ServiceCall:
    """A call to a plain service, as the caller made it.

    Attributes:
      method: HTTP method.
      target: Path and query as received, without the service's name.
      headers: Headers to forward.
      body: The complete body.
    """

    method: str
    target: str
    headers: tuple[Header, ...]
    body: bytes


@attrs.frozen
class ServiceAnswer:
    """The complete answer of a plain service.

    Attributes:
      status: HTTP status, below 500.
      headers: Headers to return to the caller.
      body: The complete body.
    """

    status: int
    headers: tuple[Header, ...]
    body: bytes


class SendOnce:
    """Client middleware that prevents aiohttp from resending a request.

    aiohttp automatically retries some methods when the connection breaks.
    """

    def __init__(self) -> None:
        self.sent = False

    async def __call__(
        self, request: aiohttp.ClientRequest, send: SendRequest
    ) -> aiohttp.ClientResponse:
        """Sends a request once.

        A broken connection is raised as an error that aiohttp does not retry.

        Raises:
          aiohttp.ClientError: The request failed.
        """
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
    """Sends a call and returns its complete answer.

    Args:
      session: HTTP session to use.
      url: Base URL of the worker.
      call: The call.
      request_id: Unique ID of this upstream request.
      timeout_s: Timeout of the complete answer in seconds.

    Raises:
      UpstreamError: The service refused or failed, or its answer is
        incomplete.
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
        # Following a redirect would be a second dispatch; the caller gets it
        # instead.
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
        # Without a connection, no byte of the request was sent.
        raise UpstreamError(f"can't connect: {error}", True) from error
    except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as error:
        raise UpstreamError(f"connection failed: {error!r}", False) from error


async def read_answer(
    response: aiohttp.ClientResponse, method: str, request_id: str
) -> ServiceAnswer:
    """Reads and returns a complete answer.

    Raises:
      UpstreamError: The answer is an error, belongs to another request or is
        incomplete.
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
        response.status, forwarded_headers(response.headers.items()), body
    )


def check_delimited(response: aiohttp.ClientResponse, method: str) -> None:
    """Raises UpstreamError if a truncated answer could not be detected."""
    if method == "HEAD" or response.status in BODILESS_STATUSES:
        return
    if response.content_length is not None:
        return
    if response.headers.get("Transfer-Encoding", "").lower() == "chunked":
        return
    raise UpstreamError("the answer does not say where it ends", False)


async def read_limited(response: aiohttp.ClientResponse) -> bytes:
    """Returns the body; aiohttp checks it against Content-Length.

    Raises:
      UpstreamError: The body exceeds MAX_ANSWER_BYTES.
    """
    parts: list[bytes] = []
    size = 0
    async for part in response.content.iter_chunked(READ_BYTES):
        size += len(part)
        if size > MAX_ANSWER_BYTES:
            raise UpstreamError("the answer is too large", False, final=True)
        parts.append(part)
    return b"".join(parts)
