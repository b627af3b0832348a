"""Authentication and parsing of operators' requests."""

from __future__ import annotations

import json
import uuid
from collections.abc import Awaitable, Callable
from typing import Any

from aiohttp import web

from rattanpier._internal.edge.auth import bearer_key, matches_any
from rattanpier._internal.exceptions import (
    ConfigurationError,
    RattanpierError,
    StoreUnavailableError,
)
from rattanpier._internal.operators.changes import ChangeContext
from rattanpier._internal.operators.messages import error_body
from rattanpier._internal.utils.hashing import sha256_hex

DEFAULT_WAIT_S = 8.0
MAX_WAIT_S = 60.0
KEY_NAME_LENGTH = 8  # Digest characters used as the default author name.
ROLLOUT_FIELDS = ("stable", "candidate", "share", "max_share")

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]
Middleware = Callable[[web.Request, Handler], Awaitable[web.StreamResponse]]


class RequestError(RattanpierError):
    """An operator's request is malformed."""

    code = "bad_request"


def require_key(digests: list[str]) -> Middleware:
    """Returns a middleware that rejects requests without an operator key.

    Args:
      digests: SHA-256 digests of the operators' keys, in hexadecimal.
    """

    @web.middleware
    async def check(
        request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        key = bearer_key(request.headers.get("Authorization", ""))
        if not key or not matches_any(key, digests):
            return web.json_response(
                error_body("bad_key", "The operator key is not known."),
                status=401,
            )
        return await handler(request)

    return check


@web.middleware
async def report_errors(
    request: web.Request, handler: Handler
) -> web.StreamResponse:
    """Converts exceptions with an error code to JSON responses."""
    try:
        return await handler(request)
    except (ConfigurationError, RequestError) as error:
        status = 400
        body = error_body(error.code, error.message, error.hint)
    except StoreUnavailableError as error:
        status = 503
        body = error_body(error.code, error.message, "ask again later")
    return web.json_response(body, status=status)


def change_context(request: web.Request) -> ChangeContext:
    """Returns the author, id and waiting time of a change.

    Raises:
      RequestError: `wait_s` is not a non-negative number.
    """
    key = bearer_key(request.headers.get("Authorization", ""))
    author = request.headers.get(
        "X-Operator", f"key-{sha256_hex(key)[:KEY_NAME_LENGTH]}"
    )
    wait_s = parse_number(
        request.query.get("wait_s", str(DEFAULT_WAIT_S)), "wait_s", float
    )
    change = request.headers.get("X-Change-Id") or uuid.uuid4().hex
    return ChangeContext(author, change, min(wait_s, MAX_WAIT_S))


def parse_number(
    text: str | None, name: str, kind: Callable[[str], Any]
) -> Any:
    """Parses a non-negative number of the query.

    Raises:
      RequestError: The number is missing, malformed or negative.
    """
    try:
        number = kind(text or "")
    except ValueError:
        number = -1
    if not number >= 0:
        raise RequestError(f"{name!r} has to be a number from 0")
    return number


async def rollout_fields(request: web.Request) -> dict[str, Any]:
    """Returns the roll-out fields of the request body.

    Raises:
      RequestError: The body is not a JSON object with only these fields.
    """
    try:
        body = json.loads(await request.read() or b"{}")
    except ValueError as error:
        raise RequestError(f"the body is not JSON: {error}") from error
    if not isinstance(body, dict) or not set(body) <= set(ROLLOUT_FIELDS):
        raise RequestError(
            "the body has to be an object", f"fields: {ROLLOUT_FIELDS}"
        )
    return body
