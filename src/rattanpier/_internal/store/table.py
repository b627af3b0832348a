"""The platform's transactional table service.

Reads raise `StoreUnavailableError`. Writes return an outcome, because a write
whose answer was lost is neither a success nor a failure.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

import aiohttp
import attrs

from rattanpier._internal.exceptions import StoreUnavailableError
from rattanpier._internal.models.outcomes import (
    Committed,
    Conflict,
    NotRun,
    Uncertain,
    WriteOutcome,
)
from rattanpier._internal.utils.codec import decode, encode

ABSENT = 0  # The version of a row that does not exist.
SCAN_LIMIT = 500  # Rows in one page of a scan.


@attrs.frozen
class Row:
    """A row as read.

    Attributes:
      key: Its key; rows are ordered by it.
      version: Rises with each write of the row; `ABSENT` is never used.
      value: JSON text.
    """

    key: str
    version: int
    value: str


@attrs.frozen
class Check:
    """A condition: the row has this version (`ABSENT`: does not exist)."""

    key: str
    version: int


@attrs.frozen
class Put:
    """Writes a row."""

    key: str
    value: str


@attrs.frozen
class Transaction:
    """Takes effect as a whole if every check holds, else not at all."""

    checks: Sequence[Check] = ()
    puts: Sequence[Put] = ()
    deletes: Sequence[str] = ()


@attrs.frozen
class TransactionReply:
    """The table service's answer to a transaction."""

    committed: bool
    conflict: str = ""


@attrs.frozen
class RowPage:
    """The table service's answer to a read."""

    rows: list[Row]


class Table(Protocol):
    """What the program asks of the table service."""

    async def get(self, key: str) -> Row | None:
        """Returns a row, or None."""
        ...

    async def scan(
        self, prefix: str, after: str = "", limit: int = SCAN_LIMIT
    ) -> list[Row]:
        """Returns rows in key order, behind `after`."""
        ...

    async def transact(self, transaction: Transaction) -> WriteOutcome:
        """Carries out a transaction."""
        ...


class HttpTable:
    """Client of a table service over HTTP.

    Attributes:
      url: Base address, by IP number.
      timeout_s: Seconds until a call without an answer is given up.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        url: str,
        timeout_s: float = 2.0,
    ) -> None:
        self.session = session
        self.url = url.rstrip("/")
        self.timeout_s = timeout_s

    async def get(self, key: str) -> Row | None:
        """Returns a row, or None.

        Raises:
          StoreUnavailableError: No answer in time.
        """
        rows = await self.read("/v1/row", {"key": key})
        return rows[0] if rows else None

    async def scan(
        self, prefix: str, after: str = "", limit: int = SCAN_LIMIT
    ) -> list[Row]:
        """Returns up to `limit` rows of a prefix in key order.

        Raises:
          StoreUnavailableError: No answer in time.
        """
        query = {"prefix": prefix, "after": after, "limit": str(limit)}
        return await self.read("/v1/rows", query)

    async def read(self, path: str, query: dict[str, str]) -> list[Row]:
        """Carries out a read and returns its rows."""
        timeout = aiohttp.ClientTimeout(total=self.timeout_s)
        try:
            async with self.session.get(
                self.url + path, params=query, timeout=timeout
            ) as response:
                if response.status != 200:
                    raise StoreUnavailableError(
                        f"table service answered {response.status}"
                    )
                return decode(RowPage, await response.read()).rows
        except (aiohttp.ClientError, TimeoutError) as error:
            raise StoreUnavailableError(
                f"table service did not answer: {error!r}"
            ) from error

    async def transact(self, transaction: Transaction) -> WriteOutcome:
        """Carries out a transaction and tells what is known of it."""
        timeout = aiohttp.ClientTimeout(total=self.timeout_s)
        try:
            async with self.session.post(
                f"{self.url}/v1/transact",
                data=encode(transaction),
                timeout=timeout,
            ) as response:
                if response.status == 503:
                    # The service refuses before it does anything.
                    return NotRun("table service refused")
                if response.status != 200:
                    return Uncertain(f"answered {response.status}")
                reply = decode(TransactionReply, await response.read())
        except aiohttp.ClientConnectorError as error:
            return NotRun(repr(error))
        except (aiohttp.ClientError, TimeoutError) as error:
            return Uncertain(repr(error))
        if reply.committed:
            return Committed()
        return Conflict(reply.conflict)


async def scan_all(table: Table, prefix: str, after: str = "") -> list[Row]:
    """Returns every row of a prefix behind `after`, page by page."""
    rows: list[Row] = []
    while True:
        page = await table.scan(prefix, rows[-1].key if rows else after)
        rows.extend(page)
        if len(page) < SCAN_LIMIT:
            return rows
