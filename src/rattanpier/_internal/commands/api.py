"""Client for the operator API of a control process."""

from __future__ import annotations

import asyncio
import json
import os
from collections.abc import Mapping
from typing import Any

import aiohttp
import attrs
from yarl import URL

from rattanpier._internal.commands.result import ExitCode
from rattanpier._internal.exceptions import CommandError

URL_VARIABLE = "RATTANPIER_URL"
KEY_VARIABLE = "RATTANPIER_OPERATOR_KEY"
CALL_TIMEOUT_S = 90.0
UNAUTHORIZED = 401
STORE_UNAVAILABLE = "store_unavailable"


class UnreachableError(CommandError):
    """The control process did not answer.

    A change that was sent may have taken effect nevertheless.
    """

    code = "unreachable"
    exit_code = ExitCode.UNREACHABLE


class NotAllowedError(CommandError):
    """The operator key is missing or unknown."""

    code = "bad_key"
    exit_code = ExitCode.NOT_ALLOWED


class ApiError(CommandError):
    """The control process rejected a call."""

    code = "refused"
    exit_code = ExitCode.BAD_INPUT


@attrs.frozen
class Reply:
    """A response of the control process.

    Attributes:
      status: HTTP status code.
      body: Decoded JSON body.
    """

    status: int
    body: Any


@attrs.frozen
class Api:
    """Connection parameters of the operator API.

    Attributes:
      url: Base URL of the control process for operators.
      key: Operator key, sent as a bearer token.
    """

    url: str
    key: str

    def get(self, path: str, **query: str) -> Any:
        """Sends a GET request and returns the decoded body.

        Raises:
          CommandError: The call was rejected or not answered.
        """
        return self.call("GET", path, query).body

    def post(
        self,
        path: str,
        data: str = "",
        headers: Mapping[str, str] | None = None,
        **query: str,
    ) -> Any:
        """Sends a POST request and returns the decoded body.

        Raises:
          CommandError: The call was rejected or not answered.
        """
        return self.call("POST", path, query, data, headers).body

    def call(
        self,
        method: str,
        path: str,
        query: Mapping[str, str],
        data: str = "",
        headers: Mapping[str, str] | None = None,
    ) -> Reply:
        """Sends one request and raises the error that its response reports.

        Raises:
          CommandError: The call was rejected or not answered.
        """
        reply = asyncio.run(
            send(self, method, path, query, data, headers or {})
        )
        raise_error(reply)
        return reply


async def send(
    api: Api,
    method: str,
    path: str,
    query: Mapping[str, str],
    data: str,
    headers: Mapping[str, str],
) -> Reply:
    """Sends one request and reads its response.

    Raises:
      UnreachableError: No valid response arrived within the timeout.
    """
    url = f"{api.url.rstrip('/')}/operator/{path}"
    sent = {"Authorization": f"Bearer {api.key}", **headers}
    timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.request(
                method,
                URL(url, encoded=True),
                params=query,
                data=data.encode(),
                headers=sent,
            ) as response,
        ):
            return Reply(response.status, json.loads(await response.read()))
    except (aiohttp.ClientError, TimeoutError, ValueError) as error:
        raise UnreachableError(
            f"no answer from {url}: {error or type(error).__name__}",
            f"check that a control process serves operators there, or set "
            f"another URL with --url or {URL_VARIABLE}",
        ) from error


def raise_error(reply: Reply) -> None:
    """Raises the error that a response reports, if any.

    Raises:
      NotAllowedError: The operator key was rejected.
      UnreachableError: The control process cannot reach the store.
      ApiError: Any other error.
    """
    error = reply.body.get("error") if isinstance(reply.body, dict) else None
    if error is None:
        return
    message, hint = error["message"], error.get("hint", "")
    if reply.status == UNAUTHORIZED:
        raise NotAllowedError(message, f"give your key in {KEY_VARIABLE}")
    if error["code"] == STORE_UNAVAILABLE:
        raise UnreachableError(message, hint)
    raise ApiError(f"{error['code']}: {message}", hint)


def connect(url: str = "") -> Api:
    """Returns a client configured from an option and the environment.

    Args:
      url: Operator URL of a control process; if empty, the environment
        variable is used.

    Raises:
      CommandError: The URL or the key is missing.
    """
    address = url or os.environ.get(URL_VARIABLE, "")
    if not address:
        raise CommandError(
            "no URL of a control process is given",
            f"set its operator URL with --url or {URL_VARIABLE}",
        )
    key = os.environ.get(KEY_VARIABLE, "")
    if not key:
        raise NotAllowedError(
            "no operator key is given", f"give it in {KEY_VARIABLE}"
        )
    return Api(address, key)
