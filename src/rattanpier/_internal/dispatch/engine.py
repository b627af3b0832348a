"""Client of a model engine: chat completions as numbered chunks.

Engines speak the usual chat-completions protocol with server-sent events; the
`id` line of an event carries the chunk's number.
"""

from __future__ import annotations

import json
from collections.abc import AsyncIterator, Mapping
from typing import Any

import aiohttp
import attrs

MAX_EVENT_BYTES = 2**20
DONE = b"[DONE]"


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
    """

    number: int
    data: bytes
    text: str
    finish: str | None = None
    usage: Usage | None = None
    confidence: float | None = None


class EngineError(Exception):
    """An engine failed.

    Attributes:
      not_run: True only if the request certainly did not run there.
      retry_after_s: When the engine said to come back, or None.
    """

    def __init__(
        self,
        message: str,
        not_run: bool,
        retry_after_s: float | None = None,
    ) -> None:
        super().__init__(message)
        self.not_run = not_run
        self.retry_after_s = retry_after_s


async def stream_chat(
    session: aiohttp.ClientSession,
    url: str,
    body: Mapping[str, Any],
    headers: Mapping[str, str],
    timeout_s: float,
) -> AsyncIterator[Chunk]:
    """Yields the chunks of an answer.

    Args:
      session: For the connections.
      url: Base address of the worker.
      body: The chat-completions request.
      headers: The request's id and further headers.
      timeout_s: Seconds for the whole answer.

    Raises:
      EngineError: The engine refused, failed or stopped half way.
    """
    timeout = aiohttp.ClientTimeout(total=timeout_s, sock_connect=1.0)
    try:
        async with session.post(
            f"{url}/v1/chat/completions",
            json=body,
            headers=headers,
            timeout=timeout,
        ) as response:
            if response.status != 200:
                raise await refusal_of(response)
            async for chunk in read_events(response):
                yield chunk
    except aiohttp.ClientConnectorError as error:
        # No connection: no byte of the request left this process.
        raise EngineError(f"can't connect: {error}", True) from error
    except (aiohttp.ClientError, TimeoutError, ValueError) as error:
        raise EngineError(f"connection failed: {error!r}", False) from error


async def refusal_of(response: aiohttp.ClientResponse) -> EngineError:
    """Returns the error for an engine's refusal."""
    try:
        body = json.loads(await response.read())
    except ValueError:
        body = {}
    not_run = isinstance(body, dict) and body.get("not_run") is True
    after = response.headers.get("Retry-After")
    return EngineError(
        f"engine answered {response.status}",
        not_run,
        float(after) if after else None,
    )


async def read_events(
    response: aiohttp.ClientResponse,
) -> AsyncIterator[Chunk]:
    """Yields chunks in order until the end mark.

    Raises:
      EngineError: The stream ended early or a chunk is missing.
    """
    number = -1
    expected: int | None = None
    async for line in response.content:
        if line.startswith(b"id:"):
            number = int(line[3:])
        elif line.startswith(b"data:"):
            data = line[5:].strip()
            if data == DONE:
                return
            if expected is not None and number != expected:
                raise EngineError(
                    f"chunk {number} came in place of {expected}", False
                )
            expected = number + 1
            yield parse_chunk(number, data)
    raise EngineError("the stream ended early", False)


def parse_chunk(number: int, data: bytes) -> Chunk:
    """Returns a chunk from its JSON text."""
    event = json.loads(data)
    choices = event.get("choices") or [{}]
    delta = choices[0].get("delta", {})
    counted = event.get("usage")
    usage = (
        Usage(counted["prompt_tokens"], counted["completion_tokens"])
        if counted
        else None
    )
    return Chunk(
        number,
        data,
        delta.get("content") or "",
        choices[0].get("finish_reason"),
        usage,
        event.get("confidence"),
    )
