"""Validates HTTP requests and turns them into `RouteRequest` objects."""

from __future__ import annotations

import json
from typing import Any

from aiohttp import web

from rattanpier._internal.edge.auth import find_workspace, unknown_key
from rattanpier._internal.models.configuration import Configuration
from rattanpier._internal.models.refusal import Refusal, RefusalCode
from rattanpier._internal.models.request import RouteRequest, estimate_tokens
from rattanpier._internal.models.settings import EdgeSettings
from rattanpier._internal.utils.clock import Clock
from rattanpier._internal.utils.hashing import short_digest
from rattanpier._internal.utils.ids import new_key

DEFAULT_MAX_TOKENS = 256
MAX_KEY_LENGTH = 255  # In characters.
FALSE_HEADER_VALUES = frozenset({"", "false", "0", "no"})


class RequestRefusedError(Exception):
    """A request is not valid.

    Attributes:
      refusal: What the caller is answered.
    """

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.message)
        self.refusal = refusal


def bad_request(message: str) -> RequestRefusedError:
    """Returns the error for a malformed request."""
    return RequestRefusedError(Refusal(RefusalCode.BAD_REQUEST, message, True))


def find_caller(
    request: web.Request, configuration: Configuration, current: bool
) -> str:
    """Returns the name of the caller's workspace.

    Args:
      request: The request, with the key in its Authorization header.
      configuration: The configuration in force on this node.
      current: Whether the node knows that there is no newer configuration.

    Raises:
      RequestRefusedError: The key is not known.
    """
    workspace = find_workspace(
        configuration, request.headers.get("Authorization", "")
    )
    if workspace is None:
        raise RequestRefusedError(unknown_key(current))
    return workspace


async def read_body(request: web.Request, limit: int) -> bytes:
    """Returns the body of a request.

    Args:
      request: The request.
      limit: Size limit in bytes, named in the refusal.

    Raises:
      RequestRefusedError: The body is over the limit.
    """
    try:
        return await request.read()
    except web.HTTPRequestEntityTooLarge as error:
        raise RequestRefusedError(
            Refusal(
                RefusalCode.BODY_TOO_LARGE,
                f"The body is larger than {limit} bytes.",
                True,
            )
        ) from error


def parse_body(data: bytes) -> dict[str, Any]:
    """Returns the parsed body of a chat completion.

    Raises:
      RequestRefusedError: The body is not a JSON object, or has no valid
        `model` or `messages`.
    """
    try:
        body = json.loads(data)
    except ValueError as error:
        raise bad_request(f"The body is not JSON: {error}.") from error
    if not isinstance(body, dict):
        raise bad_request("The body is not a JSON object.")
    if not isinstance(body.get("model"), str):
        raise bad_request("The body has no 'model' string.")
    messages = body.get("messages")
    if not isinstance(messages, list) or not messages:
        raise bad_request("The body has no 'messages' list.")
    if not all(isinstance(message, dict) for message in messages):
        raise bad_request("Each of 'messages' has to be an object.")
    return body


def timeout_s(request: web.Request, settings: EdgeSettings) -> float:
    """Returns a request's timeout in seconds, `max_timeout_s` at most.

    Raises:
      RequestRefusedError: The header is not a positive number.
    """
    text = request.headers.get("X-Timeout-Ms")
    if text is None:
        return settings.default_timeout_s
    try:
        seconds = float(text) / 1000
    except ValueError:
        seconds = 0.0
    if not 0 < seconds < float("inf"):
        raise bad_request("X-Timeout-Ms is not a positive number.")
    return min(seconds, settings.max_timeout_s)


def idempotency_key(request: web.Request) -> str:
    """Returns the caller's idempotency key, or a new random one.

    Raises:
      RequestRefusedError: The key is empty or too long.
    """
    key = request.headers.get("Idempotency-Key")
    if key is None:
        return new_key()
    if not 0 < len(key) <= MAX_KEY_LENGTH:
        raise bad_request(
            f"Idempotency-Key has to have 1 to {MAX_KEY_LENGTH} characters."
        )
    return key


def is_non_idempotent(request: web.Request) -> bool:
    """Returns whether the caller marked a request as non-idempotent.

    Any header value outside `FALSE_HEADER_VALUES` is a mark: to run an
    idempotent request at most once costs less than to run a non-idempotent one
    twice.
    """
    text = request.headers.get("X-Non-Idempotent", "")
    return text.strip().lower() not in FALSE_HEADER_VALUES


def make_route_request(
    request: web.Request,
    workspace: str,
    data: bytes,
    settings: EdgeSettings,
    clock: Clock,
    pinned: str,
) -> RouteRequest:
    """Returns what routing needs of a chat request.

    Raises:
      RequestRefusedError: The request is malformed.
    """
    body = parse_body(data)
    characters = sum(
        len(str(message.get("content", ""))) for message in body["messages"]
    )
    metadata = body.get("metadata") or {}
    if not isinstance(metadata, dict):
        raise bad_request("'metadata' has to be an object.")
    max_tokens = body.get("max_tokens") or DEFAULT_MAX_TOKENS
    if not isinstance(max_tokens, int) or max_tokens < 1:
        raise bad_request("'max_tokens' has to be a positive integer.")
    return RouteRequest(
        workspace=workspace,
        key=idempotency_key(request),
        keyed="Idempotency-Key" in request.headers,
        model=body["model"],
        session=request.headers.get("X-Session-Id", ""),
        pinned=pinned,
        idempotent=not is_non_idempotent(request),
        stream=body.get("stream") is True,
        prompt_tokens=estimate_tokens(characters),
        max_tokens=max_tokens,
        labels={str(name): str(metadata[name]) for name in metadata},
        deadline=clock.monotonic() + timeout_s(request, settings),
        body=body,
        digest=short_digest(data),
    )
