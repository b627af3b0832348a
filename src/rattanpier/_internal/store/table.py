"""Client of the platform's transactional table service.

Failed reads raise `StoreUnavailableError`. Writes return an outcome instead,
since a write whose reply was lost may or may not have taken effect.
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

ABSENT = 0  # Version of a row that does not exist.
SCAN_LIMIT = 500  # Maximum number of rows in one page of a scan.


@attrs.frozen
class Row:
    """A row as read.

    Attributes:
      key: Key; rows are ordered by it.
      version: Increases with each write of the row; never `ABSENT`.
      value: JSON text.
    """

    key: str
    version: int
    value: str


@attrs.frozen
class Check:
    """Condition that a row has a version (`ABSENT`: does not exist)."""

    key: str
    version: int


@attrs.frozen
class Put:
    """Writes a row."""

    key: str
    value: str


@attrs.frozen
class Transaction:
    """Writes and deletions applied atomically if every check holds."""

    checks: Sequence[Check] = ()
    puts: Sequence[Put] = ()
    deletes: Sequence[str] = ()


@attrs.frozen
class TransactionReply:
    """Response of the table service to a transaction."""

    committed: bool
    conflict: str = ""


@attrs.frozen
class RowPage:
    """Response of the table service to a read."""

    rows: list[Row]


class Table(Protocol):
    """Interface to the table service."""

    async def get(self, key: str) -> Row | None:
        """Returns a row, or None if it does not exist."""
        ...

    async def scan(
        self, prefix: str, after: str = "", limit: int = SCAN_LIMIT
    ) -> list[Row]:
        """Returns up to `limit` rows of a prefix with keys after `after`."""
        ...

    async def transact(self, transaction: Transaction) -> WriteOutcome:
        """Executes a transaction and returns its outcome."""
        ...


class HttpTable:
    """HTTP client of a table service.

    Attributes:
      url: Base URL, with an IP address as host.
      timeout_s: Request timeout in seconds.
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
        """Returns a row, or None if it does not exist.

        Raises:
          StoreUnavailableError: The read failed or timed out.
        """
        rows = await self.read("/v1/row", {"key": key})
        return rows[0] if rows else None

    async def scan(
        self, prefix: str, after: str = "", limit: int = SCAN_LIMIT
    ) -> list[Row]:
        """Returns up to `limit` rows of a prefix with keys after `after`.

        Raises:
          StoreUnavailableError: The read failed or timed out.
        """
        query = {"prefix": prefix, "after": after, "limit": str(limit)}
        return await self.read("/v1/rows", query)

    async def read(self, path: str, query: dict[str, str]) -> list[Row]:
        """Sends a read request and returns its rows.

        Raises:
          StoreUnavailableError: The read failed or timed out.
        """
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
        """Executes a transaction and returns what is known of its outcome."""
        timeout = aiohttp.ClientTimeout(total=self.timeout_s)
        try:
            async with self.session.post(
                f"{self.url}/v1/transact",
                data=encode(transaction),
                timeout=timeout,
            ) as response:
                if response.status == 503:
                    # The service sends 503 before it executes anything.
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
    """Returns all rows of a prefix with keys after `after`.

    Raises:
      StoreUnavailableError: A page could not be read.
    """
    rows: list[Row] = []
    while True:
        page = await table.scan(prefix, rows[-1].key if rows else after)
        rows.extend(page)
        if len(page) < SCAN_LIMIT:
            return rows
