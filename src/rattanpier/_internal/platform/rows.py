"""Client of the platform's store: rows, transactions and feeds of changes."""

from __future__ import annotations

import base64
import json
from collections.abc import Callable, Sequence
from contextlib import AbstractAsyncContextManager
from typing import Any

import aiohttp
import attrs
import structlog

from rattanpier._internal.exceptions import (
    HistoryGoneError,
    StoreUnavailableError,
)
from rattanpier._internal.models.feed import (
    DataSource,
    FeedRow,
    Page,
    RowCheck,
    RowPut,
    WrittenAt,
)
from rattanpier._internal.models.outcomes import (
    Conflict,
    NotRun,
    Uncertain,
)
from rattanpier._internal.models.revision import Revision

log = structlog.get_logger(part="store")

PATH = "/rattanpier"
ERA = "Store-Era"  # Identifies the history of the store.
PAGE_ROWS = 500  # The store's maximum per response.
# The store answers within milliseconds; after this time the call was lost or
# the store is down.
CALL_TIMEOUT_S = 1.0
SLOW_CALL_TIMEOUT_S = 5.0  # A late answer is better than none.
MAX_CONNECTIONS = 8  # One feed per table, and other calls.
# An idle connection may break silently; a call on it would have to time out.
IDLE_CONNECTION_S = 1.0
STATUS_GONE = 410
MAX_ERA_DIGITS = 18  # Fits into 64 bits.
REFUSED = frozenset({429, 503})  # The store did nothing.


@attrs.define(eq=False, repr=False)
class PlatformStore:
    """Client of the platform's store.

    Attributes:
      session: HTTP session for the calls.
      base: Address, as `http://IP:PORT`.
      record_era: Called with the era of a response, 0 if it names none;
        returns the newest known era.
    """

    session: aiohttp.ClientSession
    base: str
    record_era: Callable[[int], int] = lambda era: era

    async def scan(self, table: str) -> Page:
        """Returns all rows of a table and the revision that they reflect.

        Raises:
          StoreUnavailableError: No response in time, or the store was restored
            from a backup between two pages of the table.
        """
        rows: list[FeedRow] = []
        query = {"table": table, "part": "", "limit": str(PAGE_ROWS)}
        first: dict[str, Any] | None = None
        while True:
            page = await self.read("rows-get", query, SLOW_CALL_TIMEOUT_S)
            # Later pages may be newer; the feed from the first page's
            # revision then repeats their changes.
            first = first or page
            if page["era"] != first["era"]:
                raise StoreUnavailableError(f"history of {table} was lost")
            rows.extend(decode_row(row, page["era"]) for row in page["rows"])
            if not page.get("truncated") or not page["rows"]:
                return Page(
                    rows,
                    revision_of(first),
                    first["nowMs"],
                    whole=True,
                    source=DataSource.FULL_READ,
                )
            query["from"] = page["rows"][-1]["key"] + "\0"

    async def changes(self, table: str, since: Revision, wait_s: float) -> Page:
        """Waits for changes of a table after a revision.

        They continue that revision only if the response has the same era.

        Args:
          table: Name of the table.
          since: Revision that is already known.
          wait_s: Seconds for which the store may wait for a change.

        Raises:
          HistoryGoneError: The store no longer has the changes; scan the table.
          StoreUnavailableError: No response in time.
        """
        query = {
            "table": table,
            "sinceRevision": str(since.version),
            "waitMs": str(int(wait_s * 1000)),
        }
        page = await self.read("rows-feed", query, wait_s + CALL_TIMEOUT_S)
        rows = [decode_row(row, page["era"]) for row in page["rows"]]
        return Page(rows, revision_of(page), page["nowMs"], whole=False)

    def call(
        self, method: str, name: str, timeout_s: float, **content: Any
    ) -> AbstractAsyncContextManager[aiohttp.ClientResponse]:
        """Starts a call that has to complete within `timeout_s` seconds."""
        return self.session.request(
            method,
            f"{self.base}{PATH}/{name}",
            timeout=aiohttp.ClientTimeout(
                total=timeout_s, sock_connect=CALL_TIMEOUT_S
            ),
            **content,
        )

    def era_of(self, response: aiohttp.ClientResponse) -> int:
        """Records and returns the era of a response.

        A response without an era is assumed to have the newest known era.
        """
        stated = read_era(response.headers.get(ERA))
        newest = self.record_era(stated)
        return stated or newest

    async def read(
        self, call: str, query: dict[str, str], timeout_s: float
    ) -> dict[str, Any]:
        """Executes a read and adds the era to the decoded response.

        Raises:
          HistoryGoneError: The store no longer has the requested history.
          StoreUnavailableError: No valid response, or a refusal.
        """
        try:
            async with self.call(
                "GET", call, timeout_s, params=query
            ) as response:
                era = self.era_of(response)
                if response.status == STATUS_GONE:
                    raise HistoryGoneError(f"history of {query} is gone")
                if response.status != 200:
                    raise StoreUnavailableError(
                        f"store answered {response.status} to {call}"
                    )
                return {**json.loads(await response.read()), "era": era}
        except (
            aiohttp.ClientError,
            TimeoutError,
            ValueError,
            RecursionError,
        ) as error:
            raise StoreUnavailableError(
                f"store did not answer {call}: {error!r}"
            ) from error

    async def transact(
        self,
        checks: Sequence[RowCheck],
        puts: Sequence[RowPut],
        removed: Sequence[RowCheck] = (),
    ) -> WrittenAt | Conflict | NotRun | Uncertain:
        """Writes and removes rows if all checks hold, else changes nothing.

        A new era assigns the same versions again, so a check that was read in
        an earlier era is not sent. If the era changes during the call, a check
        may have matched a different row, so a success is returned as uncertain.
        """
        read_in = max((check.revision.era for check in checks), default=0)
        if read_in and read_in < self.record_era(0):
            return Conflict(",".join(check.key for check in checks))
        body = {
            # Despite its name, a list of rows with their required versions.
            "expectedRevision": [encode_check(check) for check in checks],
            "puts": [encode_put(put) for put in puts],
            "remove": [
                {"table": row.table, "part": "", "key": row.key}
                for row in removed
            ],
        }
        try:
            async with self.call(
                "POST", "rows-tx", SLOW_CALL_TIMEOUT_S, json=body
            ) as response:
                era = self.era_of(response)
                outcome = await decode_outcome(response, era)
                if read_in and read_in < era and isinstance(outcome, WrittenAt):
                    return Uncertain("the condition was of an earlier era")
                return outcome
        except aiohttp.ClientConnectorError as error:
            return NotRun(repr(error))
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            return Uncertain(repr(error))


async def decode_outcome(
    response: aiohttp.ClientResponse, era: int
) -> WrittenAt | Conflict | NotRun | Uncertain:
    """Returns the outcome in the response to a transaction."""
    if response.status in REFUSED:
        return NotRun(f"store answered {response.status}")
    if response.status not in (200, 412):
        return Uncertain(f"store answered {response.status}")
    answer = json.loads(await response.read())
    if response.status == 200:
        return WrittenAt(Revision(era, answer["ver"]), answer["nowMs"])
    keys = [row.get("key", "") for row in answer.get("rows") or []]
    return Conflict(",".join(keys))


def read_era(text: str | None) -> int:
    """Returns the era in a header, 0 if it is missing or invalid.

    >>> read_era("3"), read_era(None)
    (3, 0)
    """
    if text is None:
        return 0
    stripped = text.strip()
    if not (
        stripped.isascii()
        and stripped.isdecimal()
        and len(stripped) <= MAX_ERA_DIGITS
    ):
        log.warning("Store's era can't be read.", era=text[:80])
        return 0
    return int(stripped)


def revision_of(answer: dict[str, Any]) -> Revision:
    """Returns the revision that the response to a read reflects."""
    return Revision(answer["era"], answer["ver"])


def decode_row(row: dict[str, Any], era: int) -> FeedRow:
    """Returns a decoded row; a deleted row has an empty value."""
    deleted = bool(row.get("deleted"))
    value = b"" if deleted else decode_value(row.get("value"))
    revision = Revision(era, row.get("ver", 0))
    return FeedRow(row["key"], value, revision, deleted)


def decode_value(value: Any) -> bytes:
    """Returns the bytes of a row; none, which is no value, if invalid."""
    try:
        return base64.b64decode(value or "")
    except (ValueError, TypeError) as error:
        log.warning("Value of a row can't be decoded.", error=repr(error))
        return b""


def encode_check(check: RowCheck) -> dict[str, Any]:
    """Encodes a check; version 0 requires that the row doesn't exist."""
    return {
        "table": check.table,
        "part": "",
        "key": check.key,
        "ver": check.revision.version,
    }


def encode_put(put: RowPut) -> dict[str, Any]:
    """Encodes a row to write."""
    value = base64.b64encode(put.value).decode()
    return {"table": put.table, "part": "", "key": put.key, "value": value}
