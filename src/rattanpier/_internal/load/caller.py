"""Sends one request as a caller does, and checks what comes back."""

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

MAX_ATTEMPTS = 4  # A caller goes to another entry when its connection breaks.
DATA = b"data: "
DONE = b"[DONE]"


class TruncatedStreamError(Exception):
    """A stream ended without its end mark."""


@attrs.define
class CallResult:
    """What a caller heard.

    Attributes:
      status: HTTP status.
      code: Code of the refusal, or empty.
      version: Version that answered.
      text: The whole text.
      token: Session token.
      pinned: Version that the token sent along was for, or empty.
      version_lost: Version that the session could not keep, or empty.
      first_s: Seconds until the first token.
      whole_s: Seconds until the whole answer.
      tries: Connections it took.
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
    """A session token, and the version it is for."""

    token: str
    version: str


@attrs.frozen
class Caller:
    """Sends requests through entries.

    Attributes:
      pins: Newest session tokens by session id.
    """

    session: aiohttp.ClientSession
    directory: Directory
    max_tokens: int
    prefix: str
    pins: dict[str, Pin] = attrs.Factory(dict)

    async def ask(self, arrival: Arrival) -> CallResult:
        """Sends a request until it is answered or refused.

        A broken connection leads to another entry with the same key, so that
        the request can't run twice.
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
        """Sends a request to one entry."""
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
    """Takes an answer in one JSON body, or a refusal."""
    if "error" in body:
        result.code = body["error"]["code"]
        return
    result.code = ""
    result.text = body["choices"][0]["message"]["content"]


async def read_stream(
    response: aiohttp.ClientResponse, result: CallResult, start: float
) -> None:
    """Takes an answer from a stream.

    Raises:
      BrokenAnswerError: The stream ended without its end mark.
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
    """Yields the data of server-sent events."""
    async for line in response.content:
        if line.startswith(DATA):
            yield line.removeprefix(DATA).strip()


def is_expected_text(result: CallResult, prompt: str, max_tokens: int) -> bool:
    """Says whether a text is the whole answer to a prompt.

    The engine stand-in's text depends only on version, prompt, and whether
    the version is skilled enough for it.
    """
    return any(
        result.text
        == "".join(answer_words(result.version, prompt, max_tokens, good))
        for good in (True, False)
    )
