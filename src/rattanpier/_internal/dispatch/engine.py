"""Client of a model engine: chat completions as numbered chunks.

Engines implement the chat-completions protocol with server-sent events; the
`id` line of an event carries the chunk's number. An interrupted answer is
resumed by a GET with the request ID and the last number received. A GET never
starts a run, whether or not the engine knows the request. A DELETE cancels the
request.
"""

from __future__ import annotations

import json
import math
from collections.abc import AsyncIterator
from contextlib import suppress
from typing import Any, NamedTuple

import aiohttp
import attrs

from rattanpier._internal.dispatch.body import GuardedBody, MaySend
from rattanpier._internal.dispatch.failures import UpstreamError

CHAT_PATH = "/v1/chat/completions"
REQUEST_ID = "X-Request-Id"
TIMEOUT_MS = "X-Timeout-Ms"
LAST_EVENT_ID = "Last-Event-ID"
CONNECT_TIMEOUT_S = 1.0
CANCEL_TIMEOUT_S = 2.0
MAX_EVENT_BYTES = 2**20
DONE = b"[DONE]"
decode_json = json.JSONDecoder().raw_decode
# Client errors that another worker need not return as well.
RETRYABLE_CLIENT_ERRORS = frozenset({404, 408, 410, 429})


@attrs.frozen
class Usage:
    """Token counts reported by the engine."""

    prompt_tokens: int
    output_tokens: int


@attrs.frozen
class Chunk:
    """One chunk of a streamed answer.

    Attributes:
      number: Position in the answer, starting at 0.
      data: JSON text as received.
      text: Generated text of the chunk.
      finish: Finish reason, or None if the answer continues.
      usage: Token counts; only with the last chunk.
      confidence: Confidence that the engine reports; only with the last chunk.
      more_buffered: True if another chunk was received in the same read.
    """

    number: int
    data: bytes
    text: str
    finish: str | None = None
    usage: Usage | None = None
    confidence: float | None = None
    more_buffered: bool = False


@attrs.frozen
class EngineCall:
    """One upstream request to an engine.

    Attributes:
      url: Base address of the worker.
      body: The chat-completions request as JSON.
      request_id: Unique ID of this upstream request; the response has to
        repeat it.
      timeout_s: Timeout of the complete answer in seconds.
      may_send: Called right before the body is sent; returns whether it may be.
    """

    url: str
    body: bytes
    request_id: str
    timeout_s: float
    may_send: MaySend = lambda: True


async def stream_chat(
    session: aiohttp.ClientSession, call: EngineCall, after: int | None = None
) -> AsyncIterator[Chunk]:
    """Yields the chunks of an answer.

    Args:
      session: HTTP session to use.
      call: The upstream request.
      after: Number of the last chunk received, to resume; None to start a run.

    Raises:
      UpstreamError: The engine refused or failed, or the stream broke.
    """
    body = GuardedBody(call.body, call.may_send)
    try:
        async with open_answer(session, call, body, after) as response:
            if response.status != 200:
                raise await read_refusal(response)
            check_request_id(response, call.request_id)
            async for chunk in read_events(response, after):
                yield chunk
    except (
        aiohttp.ClientConnectorError,
        aiohttp.ConnectionTimeoutError,
    ) as error:
        # Without a connection, no byte of the request was sent.
        raise UpstreamError(f"can't connect: {error}", True) from error
    except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as error:
        if body.withheld:
            raise UpstreamError("the body was held back", True) from error
        raise UpstreamError(
            f"connection failed: {error!r}", False, resumable=True
        ) from error


def open_answer(
    session: aiohttp.ClientSession,
    call: EngineCall,
    body: GuardedBody,
    after: int | None,
) -> Any:
    """Returns the response context of a new run or of a resumed one."""
    timeout = aiohttp.ClientTimeout(
        total=call.timeout_s, sock_connect=CONNECT_TIMEOUT_S
    )
    headers = {
        REQUEST_ID: call.request_id,
        TIMEOUT_MS: str(math.ceil(call.timeout_s * 1000)),
    }
    url = call.url + CHAT_PATH
    # Redirects are not followed: that would be a second dispatch.
    if after is not None:
        headers[LAST_EVENT_ID] = str(after)
        return session.get(
            url, headers=headers, timeout=timeout, allow_redirects=False
        )
    headers["Content-Type"] = "application/json"
    return session.post(
        url,
        data=body,
        headers=headers,
        timeout=timeout,
        allow_redirects=False,
    )


async def cancel_chat(session: aiohttp.ClientSession, call: EngineCall) -> None:
    """Cancels a request on an engine, ignoring failures.

    A lost cancellation does no harm.
    """
    timeout = aiohttp.ClientTimeout(total=CANCEL_TIMEOUT_S)
    with suppress(aiohttp.ClientError, OSError, TimeoutError):
        async with session.delete(
            call.url + CHAT_PATH,
            headers={REQUEST_ID: call.request_id},
            timeout=timeout,
            allow_redirects=False,
        ):
            pass


def check_request_id(response: aiohttp.ClientResponse, request_id: str) -> None:
    """Raises UpstreamError if a response belongs to another request."""
    given = response.headers.get(REQUEST_ID)
    if given != request_id:
        raise UpstreamError(
            f"the answer is for request {given!r}",
            False,
            resumable=False,
        )


async def read_refusal(response: aiohttp.ClientResponse) -> UpstreamError:
    """Reads an error response and returns the error for it."""
    try:
        body = json.loads(await response.read())
    except (ValueError, aiohttp.ClientError):
        body = {}
    not_run = isinstance(body, dict) and body.get("not_run") is True
    status = response.status
    return UpstreamError(
        f"it answered {status}",
        not_run,
        retry_after(response),
        final=400 <= status < 500 and status not in RETRYABLE_CLIENT_ERRORS,
    )


def retry_after(response: aiohttp.ClientResponse) -> float | None:
    """Returns Retry-After in seconds, or None if it is absent or a date."""
    try:
        seconds = float(response.headers.get("Retry-After", ""))
    except ValueError:
        return None
    return seconds if 0 <= seconds < float("inf") else None


async def read_events(
    response: aiohttp.ClientResponse, after: int | None = None
) -> AsyncIterator[Chunk]:
    """Yields chunks in order until the `[DONE]` event.

    Args:
      response: A response with server-sent events.
      after: Number of the last chunk received before, or None.

    Raises:
      UpstreamError: The stream ended early or a chunk is missing.
      ValueError: An event is malformed or too large.
    """
    expected = 0 if after is None else after + 1
    async for events in read_blocks(response):
        for index, event in enumerate(events, 1):
            if event.data == DONE:
                return
            if event.number < expected:
                continue  # Duplicate.
            if event.number > expected:
                raise chunk_gap(event.number, expected)
            expected += 1
            yield parse_chunk(event, index < len(events))
    raise UpstreamError("the stream ended early", False, resumable=True)


class Event(NamedTuple):
    """A server-sent event.

    Attributes:
      number: Value of the `id` line.
      data: Value of the `data` line.
    """

    number: int
    data: bytes


async def read_blocks(
    response: aiohttp.ClientResponse,
) -> AsyncIterator[list[Event]]:
    """Yields the events of a stream, grouped by the read they arrived in.

    Raises:
      ValueError: An event is too large or has a malformed number.
    """
    number = -1
    partial_line = b""
    # Reading line by line would cost more than all other work in this module.
    async for block in response.content.iter_any():
        *lines, partial_line = (partial_line + block).split(b"\n")
        if len(partial_line) > MAX_EVENT_BYTES:
            raise ValueError("an event is too large")
        events = []
        for line in lines:
            if line.startswith(b"id:"):
                number = int(line[3:])
            elif line.startswith(b"data:"):
                events.append(Event(number, line[5:].strip()))
        yield events


def chunk_gap(number: int, expected: int) -> UpstreamError:
    """Returns the error for a gap in the chunk numbers."""
    return UpstreamError(
        f"chunk {number} came in place of {expected}",
        False,
        resumable=True,
    )


def parse_chunk(event: Event, more_buffered: bool) -> Chunk:
    """Parses the chunk in an event.

    Raises:
      ValueError: The data is not a valid chunk.
    """
    source = event.data.decode()
    # Avoids json.loads, which detects the encoding and skips whitespace
    # around the value.
    body, end = decode_json(source)
    if end != len(source):
        raise ValueError("more than one value in an event")
    try:
        choices = body.get("choices") or [{}]
        text = choices[0].get("delta", {}).get("content") or ""
        token_counts = body.get("usage")
        usage = (
            Usage(
                token_counts["prompt_tokens"], token_counts["completion_tokens"]
            )
            if token_counts
            else None
        )
        return Chunk(
            event.number,
            event.data,
            text,
            choices[0].get("finish_reason"),
            usage,
            body.get("confidence"),
            more_buffered,
        )
    except (AttributeError, KeyError, TypeError, IndexError) as error:
        raise ValueError(f"not a chunk: {error!r}") from error
