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

TRIES = 4  # A caller goes to another entry when its connection breaks.
DATA = b"data: "
DONE = b"[DONE]"


class BrokenAnswerError(Exception):
    """A stream ended without its end mark."""


@attrs.define
class Heard:
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
    tries: int = 0


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

    async def ask(self, arrival: Arrival) -> Heard:
        """Sends a request until it is answered or refused.

        A broken connection leads to another entry with the same key, so that
        the request can't run twice.
        """
        heard = Heard()
        start = time.monotonic()
        for number in range(TRIES):
            heard = Heard(code="connection", tries=number + 1)
            url = await self.directory.pick()
            try:
                await self.send(url, arrival, heard, start)
            except (aiohttp.ClientError, TimeoutError, BrokenAnswerError):
                self.directory.avoid(url)
                continue
            break
        heard.whole_s = time.monotonic() - start
        if arrival.session and heard.token:
            self.pins[arrival.session] = Pin(heard.token, heard.version)
        return heard

    async def send(
        self, url: str, arrival: Arrival, heard: Heard, start: float
    ) -> None:
        """Sends a request to one entry."""
        pin = self.pins.get(arrival.session)
        heard.pinned = pin.version if pin else ""
        async with self.session.post(
            f"{url}/v1/chat/completions",
            json=self.body(arrival),
            headers=self.headers(arrival, pin),
        ) as response:
            heard.status = response.status
            heard.version = response.headers.get("X-Model-Version", "")
            heard.token = response.headers.get("X-Session-Token", "")
            lost = response.headers.get("X-Session-Version-Lost", "")
            heard.version_lost = lost
            if response.content_type == "text/event-stream":
                await read_stream(response, heard, start)
            else:
                read_whole(await response.json(), heard)
                heard.first_s = time.monotonic() - start

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


def read_whole(body: dict[str, Any], heard: Heard) -> None:
    """Takes an answer in one JSON body, or a refusal."""
    if "error" in body:
        heard.code = body["error"]["code"]
        return
    heard.code = ""
    heard.text = body["choices"][0]["message"]["content"]


async def read_stream(
    response: aiohttp.ClientResponse, heard: Heard, start: float
) -> None:
    """Takes an answer from a stream.

    Raises:
      BrokenAnswerError: The stream ended without its end mark.
    """
    pieces = []
    async for data in events(response):
        if data == DONE:
            heard.code, heard.text = "", "".join(pieces)
            return
        event = json.loads(data)
        if "error" in event:
            heard.code = event["error"]["code"]
            return
        if not pieces:
            heard.first_s = time.monotonic() - start
        pieces.append(event["choices"][0]["delta"].get("content", ""))
    raise BrokenAnswerError


async def events(response: aiohttp.ClientResponse) -> AsyncIterator[bytes]:
    """Yields the data of server-sent events."""
    async for line in response.content:
        if line.startswith(DATA):
            yield line.removeprefix(DATA).strip()


def is_right(heard: Heard, prompt: str, max_tokens: int) -> bool:
    """Says whether a text is the whole answer to a prompt.

    The engine stand-in's text depends only on version, prompt, and whether
    the version is skilled enough for it.
    """
    return any(
        heard.text
        == "".join(answer_words(heard.version, prompt, max_tokens, good))
        for good in (True, False)
    )
