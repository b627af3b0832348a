"""Client of the load generator: sends requests and checks the answers."""

from __future__ import annotations

import json
import time
from collections.abc import AsyncIterator
from typing import Any

import aiohttp
import attrs

from rattanpier._internal.load.arrivals import Arrival
from rattanpier._internal.load.directory import Directory
from rattanpier._internal.standin.texts import answer_words

MAX_ATTEMPTS = 4  # A broken connection is retried at another entry.
DATA = b"data: "
DONE = b"[DONE]"


class TruncatedStreamError(Exception):
    """A stream ended without the [DONE] event."""


@attrs.define
class CallResult:
    """Result of one request.

    Attributes:
      status: HTTP status.
      code: Error code of a refusal, or an empty string.
      version: Model version that answered.
      text: Complete text of the answer.
      token: Session token of the answer.
      pinned: Version of the session token sent with the request, or an empty
        string.
      version_lost: Version that the session could not keep, or an empty
        string.
      first_s: Seconds until the first token.
      whole_s: Seconds until the complete answer.
      attempts: Number of connections used.
    """

    status: int = 0
    code: str = ""
    version: str = ""
    text: str = ""
    token: str = ""
    pinned: str = ""
    version_lost: str = ""
    first_s: float = 0.0
    whole_s: float = 0.0
    attempts: int = 0


@attrs.frozen
class Pin:
    """A session token and the model version it pins."""

    token: str
    version: str


@attrs.frozen
class Caller:
    """Sends requests to entries.

    Attributes:
      session: HTTP client session.
      directory: Chooses the entry for each attempt.
      max_tokens: Maximum number of tokens per answer.
      prefix: Prefix of the idempotency keys, unique to the run.
      pins: Latest session token by session id.
    """

    session: aiohttp.ClientSession
    directory: Directory
    max_tokens: int
    prefix: str
    pins: dict[str, Pin] = attrs.Factory(dict)

    async def ask(self, arrival: Arrival) -> CallResult:
        """Sends a request until it is answered, refused or out of attempts.

        After a connection failure it is sent again, if possible to another
        entry, with the same idempotency key, so that it does not run twice.
        """
        result = CallResult()
        start = time.monotonic()
        for number in range(MAX_ATTEMPTS):
            result = CallResult(code="connection", attempts=number + 1)
            url = await self.directory.pick()
            try:
                await self.send(url, arrival, result, start)
            except (aiohttp.ClientError, TimeoutError, TruncatedStreamError):
                self.directory.exclude(url)
                continue
            break
        result.whole_s = time.monotonic() - start
        if arrival.session and result.token:
            self.pins[arrival.session] = Pin(result.token, result.version)
        return result

    async def send(
        self, url: str, arrival: Arrival, result: CallResult, start: float
    ) -> None:
        """Sends a request to one entry and fills in the result."""
        pin = self.pins.get(arrival.session)
        result.pinned = pin.version if pin else ""
        async with self.session.post(
            f"{url}/v1/chat/completions",
            json=self.body(arrival),
            headers=self.headers(arrival, pin),
        ) as response:
            result.status = response.status
            result.version = response.headers.get("X-Model-Version", "")
            result.token = response.headers.get("X-Session-Token", "")
            lost = response.headers.get("X-Session-Version-Lost", "")
            result.version_lost = lost
            if response.content_type == "text/event-stream":
                await read_stream(response, result, start)
            else:
                read_json_answer(await response.json(), result)
                result.first_s = time.monotonic() - start

    def body(self, arrival: Arrival) -> dict[str, Any]:
        """Returns the JSON body of a request."""
        return {
            "model": "auto",
            "messages": [{"role": "user", "content": arrival.prompt}],
            "max_tokens": self.max_tokens,
            "stream": arrival.stream,
        }

    def headers(self, arrival: Arrival, pin: Pin | None) -> dict[str, str]:
        """Returns the headers of a request."""
        headers = {
            "Authorization": f"Bearer {arrival.workspace_key}",
            "Idempotency-Key": f"{self.prefix}-{arrival.number}",
        }
        if arrival.session:
            headers["X-Session-Id"] = arrival.session
        if pin is not None:
            headers["X-Session-Token"] = pin.token
        return headers


def read_json_answer(body: dict[str, Any], result: CallResult) -> None:
    """Reads a non-streaming answer or a refusal into the result."""
    if "error" in body:
        result.code = body["error"]["code"]
        return
    result.code = ""
    result.text = body["choices"][0]["message"]["content"]


async def read_stream(
    response: aiohttp.ClientResponse, result: CallResult, start: float
) -> None:
    """Reads a streamed answer or a refusal into the result.

    Raises:
      TruncatedStreamError: The stream ended without the [DONE] event.
    """
    pieces = []
    async for data in iter_event_data(response):
        if data == DONE:
            result.code, result.text = "", "".join(pieces)
            return
        event = json.loads(data)
        if "error" in event:
            result.code = event["error"]["code"]
            return
        if not pieces:
            result.first_s = time.monotonic() - start
        pieces.append(event["choices"][0]["delta"].get("content", ""))
    raise TruncatedStreamError


async def iter_event_data(
    response: aiohttp.ClientResponse,
) -> AsyncIterator[bytes]:
    """Yields the data field of each server-sent event."""
    async for line in response.content:
        if line.startswith(DATA):
            yield line.removeprefix(DATA).strip()


def is_expected_text(result: CallResult, prompt: str, max_tokens: int) -> bool:
    """Returns whether the text is the complete answer to a prompt.

    The text of the engine stand-in depends only on the version, the prompt,
    the token limit and whether the version is skilled enough for the prompt.
    """
    return any(
        result.text
        == "".join(answer_words(result.version, prompt, max_tokens, good))
        for good in (True, False)
    )
