"""Client of a model engine: chat completions as numbered chunks.

Engines speak the usual chat-completions protocol with server-sent events; the
`id` line of an event carries the chunk's number. A cut answer is resumed by a
GET with the request's id and the last number seen: a GET never runs anything,
whatever the engine knows of the request. A DELETE cancels it.
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
# Client errors that another worker may not repeat.
RETRYABLE_CLIENT_ERRORS = frozenset({404, 408, 410, 429})


@attrs.frozen
class Usage:
    """Tokens that the engine counted."""

    prompt_tokens: int
    output_tokens: int


@attrs.frozen
class Chunk:
    """One event of an answer.

    Attributes:
      number: Position in the answer, from 0.
      data: The JSON text as received.
      text: The generated text in it.
      finish: Why the answer ended, or None.
      usage: Given with the last chunk.
      confidence: The engine's own measure of the answer, with the last chunk.
      more_buffered: True if another chunk came with it and follows at once.
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
    """One request to one engine.

    Attributes:
      url: Base address of the worker.
      body: The chat-completions request, as JSON text.
      request_id: Unique to this try; the answer has to carry it.
      timeout_s: Seconds for the whole answer.
      may_send: Asked right before the body is sent.
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
      session: For the connections.
      call: The request.
      after: Number of the last chunk seen, to resume; None to run.

    Raises:
      UpstreamError: The engine refused, failed or stopped half way.
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
        # No connection: no byte of the request left this process.
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
    """Returns the context of a response: a run, or a resumed one."""
    timeout = aiohttp.ClientTimeout(
        total=call.timeout_s, sock_connect=CONNECT_TIMEOUT_S
    )
    headers = {
        REQUEST_ID: call.request_id,
        TIMEOUT_MS: str(math.ceil(call.timeout_s * 1000)),
    }
    url = call.url + CHAT_PATH
    # A redirect would be a second dispatch.
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
    """Tells an engine to stop a request; a lost order does no harm."""
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
    """Raises UpstreamError if an answer belongs to another request."""
    given = response.headers.get(REQUEST_ID)
    if given != request_id:
        raise UpstreamError(
            f"the answer is for request {given!r}", False, resumable=False
        )


async def read_refusal(response: aiohttp.ClientResponse) -> UpstreamError:
    """Returns the error for an upstream's refusal."""
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
    """Returns the seconds in Retry-After; None for a date or for nothing."""
    try:
        seconds = float(response.headers.get("Retry-After", ""))
    except ValueError:
        return None
    return seconds if 0 <= seconds < float("inf") else None


async def read_events(
    response: aiohttp.ClientResponse, after: int | None = None
) -> AsyncIterator[Chunk]:
    """Yields chunks in order until the end mark.

    Args:
      response: A response with server-sent events.
      after: Number of the last chunk seen before; None if there is none.

    Raises:
      UpstreamError: The stream ended early or a chunk is missing.
    """
    expected = 0 if after is None else after + 1
    async for events in read_blocks(response):
        for index, event in enumerate(events, 1):
            if event.data == DONE:
                return
            if event.number < expected:
                continue  # A chunk that came twice.
            if event.number > expected:
                raise chunk_gap(event.number, expected)
            expected += 1
            yield parse_chunk(event, index < len(events))
    raise UpstreamError("the stream ended early", False, resumable=True)


class Event(NamedTuple):
    """A server-sent event.

    Attributes:
      number: From its id line.
      data: From its data line.
    """

    number: int
    data: bytes


async def read_blocks(
    response: aiohttp.ClientResponse,
) -> AsyncIterator[list[Event]]:
    """Yields the events of a stream, those together that came together.

    Raises:
      ValueError: An event is too large.
    """
    number = -1
    partial_line = b""
    # A read for each line would cost more than all else that is done here.
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
    """Returns the error for a gap in the numbers of chunks."""
    return UpstreamError(
        f"chunk {number} came in place of {expected}", False, resumable=True
    )


def parse_chunk(event: Event, more_buffered: bool) -> Chunk:
    """Returns a chunk from its event.

    Raises:
      ValueError: The text is not a chunk.
    """
    source = event.data.decode()
    # json.loads guesses the encoding and looks for spaces around the value.
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
