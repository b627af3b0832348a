"""Calls the operators' interface of a control process."""

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
    """The control process did not answer; a change may have taken effect."""

    code = "unreachable"
    exit_code = ExitCode.UNREACHABLE


class NotAllowedError(CommandError):
    """The operator's key is missing or not known."""

    code = "bad_key"
    exit_code = ExitCode.NOT_ALLOWED


class ApiError(CommandError):
    """The control process refused a call."""

    code = "refused"
    exit_code = ExitCode.BAD_INPUT


@attrs.frozen
class Reply:
    """An answer of the control process."""

    status: int
    body: Any


@attrs.frozen
class Api:
    """Where the control process is, and who calls.

    Attributes:
      url: Its operators' address.
      key: The operator's key.
    """

    url: str
    key: str

    def get(self, path: str, **query: str) -> Any:
        """Returns the answer to a read.

        Raises:
          CommandError: The call was refused, or not answered.
        """
        return self.call("GET", path, query).body

    def post(
        self,
        path: str,
        data: str = "",
        headers: Mapping[str, str] | None = None,
        **query: str,
    ) -> Any:
        """Returns the answer to a change.

        Raises:
          CommandError: The call was refused, or not answered.
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
        """Makes one call and raises what it says is wrong."""
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
    """Sends one call and reads its answer."""
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
            f"see that a control process serves operators there, or give "
            f"another by --url or {URL_VARIABLE}",
        ) from error


def raise_error(reply: Reply) -> None:
    """Raises the error in an answer, if it has one."""
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
    """Returns the interface that options and environment name.

    Raises:
      CommandError: Address or key are not given.
    """
    address = url or os.environ.get(URL_VARIABLE, "")
    if not address:
        raise CommandError(
            "no control process is named",
            f"give its operators' address by --url or {URL_VARIABLE}",
        )
    key = os.environ.get(KEY_VARIABLE, "")
    if not key:
        raise NotAllowedError(
            "no operator key is given", f"give it in {KEY_VARIABLE}"
        )
    return Api(address, key)
