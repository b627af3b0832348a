"""In-memory stand-in for the platform's table service, with faults.

It counts the writes that took effect, so that tests need not rely on what the
product reports.
"""

from __future__ import annotations

import asyncio
import enum

import attrs
from aiohttp import web
from sortedcontainers import SortedDict

from rattanpier._internal.models.outcomes import (
    Committed,
    Conflict,
    WriteOutcome,
)
from rattanpier._internal.store.table import (
    ABSENT,
    SCAN_LIMIT,
    Row,
    RowPage,
    Transaction,
    TransactionReply,
)
from rattanpier._internal.utils.codec import decode, encode


class TableFault(enum.StrEnum):
    """Fault of the table service."""

    NONE = "none"
    DOWN = "down"  # Refuses everything.
    SILENT = "silent"  # Never answers; nothing takes effect.
    LOSE_ANSWERS = "lose_answers"  # Writes take effect, answers are lost.


@attrs.define
class TableFaults:
    """Fault settings.

    Attributes:
      fault: Fault that is active.
      count: Number of further writes that lose their answer; -1 for all.
      delay_s: Seconds added to every call.
    """

    fault: TableFault = TableFault.NONE
    count: int = -1
    delay_s: float = 0.0


@attrs.define
class TableStats:
    """Counts of calls that reached the rows."""

    reads: int = 0
    writes: int = 0
    conflicts: int = 0


class MemoryTable:
    """Rows in memory; implements `rattanpier._internal.store.table.Table`.

    Attributes:
      rows: Rows by key, in key order.
      stats: Counts of calls that reached the rows.
    """

    def __init__(self) -> None:
        self.rows: SortedDict[str, Row] = SortedDict()
        self.stats = TableStats()

    async def get(self, key: str) -> Row | None:
        """Returns a row, or None."""
        self.stats.reads += 1
        return self.rows.get(key)

    async def scan(
        self, prefix: str, after: str = "", limit: int = SCAN_LIMIT
    ) -> list[Row]:
        """Returns rows of a prefix in key order, after key `after`."""
        self.stats.reads += 1
        start = max(prefix, after)
        found: list[Row] = []
        for key in self.rows.irange(start, inclusive=(start != after, True)):
            if not key.startswith(prefix) or len(found) == limit:
                break
            found.append(self.rows[key])
        return found

    async def transact(self, transaction: Transaction) -> WriteOutcome:
        """Applies a transaction atomically."""
        for check in transaction.checks:
            row = self.rows.get(check.key)
            version = row.version if row else ABSENT
            if version != check.version:
                self.stats.conflicts += 1
                return Conflict(check.key)
        for put in transaction.puts:
            row = self.rows.get(put.key)
            version = row.version + 1 if row else 1
            self.rows[put.key] = Row(put.key, version, put.value)
            self.stats.writes += 1
        for key in transaction.deletes:
            self.rows.pop(key, None)
            self.stats.writes += 1
        return Committed()


@attrs.define
class TableServer:
    """HTTP server of the stand-in."""

    table: MemoryTable = attrs.Factory(MemoryTable)
    faults: TableFaults = attrs.Factory(TableFaults)

    async def apply_faults(self) -> bool:
        """Applies the faults; returns whether the call is refused."""
        if self.faults.delay_s:
            await asyncio.sleep(self.faults.delay_s)
        if self.faults.fault is TableFault.SILENT:
            await asyncio.Event().wait()
        return self.faults.fault is TableFault.DOWN

    async def get_row(self, request: web.Request) -> web.Response:
        """Handles a read of one row."""
        if await self.apply_faults():
            return web.Response(status=503)
        row = await self.table.get(request.query["key"])
        return web.Response(text=encode(RowPage([row] if row else [])))

    async def get_rows(self, request: web.Request) -> web.Response:
        """Handles a scan."""
        if await self.apply_faults():
            return web.Response(status=503)
        rows = await self.table.scan(
            request.query["prefix"],
            request.query.get("after", ""),
            int(request.query.get("limit", SCAN_LIMIT)),
        )
        return web.Response(text=encode(RowPage(rows)))

    async def transact(self, request: web.Request) -> web.Response:
        """Handles a transaction; aborts if its answer is to be lost."""
        if await self.apply_faults():
            return web.Response(status=503)
        transaction = decode(Transaction, await request.read())
        outcome = await self.table.transact(transaction)
        if self.lose_answer():
            assert request.transport is not None
            request.transport.abort()
            return web.Response(status=500)
        if isinstance(outcome, Conflict):
            reply = TransactionReply(False, outcome.key)
        else:
            reply = TransactionReply(True)
        return web.Response(text=encode(reply))

    def lose_answer(self) -> bool:
        """Returns whether the answer to this write is lost."""
        if self.faults.fault is not TableFault.LOSE_ANSWERS:
            return False
        if self.faults.count == 0:
            return False
        if self.faults.count > 0:
            self.faults.count -= 1
        return True

    async def set_faults(self, request: web.Request) -> web.Response:
        """Replaces the fault settings."""
        self.faults = decode(TableFaults, await request.read())
        return web.Response(text=encode(self.faults))

    async def get_stats(self, _request: web.Request) -> web.Response:
        """Answers with the counts."""
        return web.Response(text=encode(self.table.stats))

    def app(self) -> web.Application:
        """Returns the aiohttp application of this stand-in."""
        app = web.Application(client_max_size=64 * 2**20)
        app.router.add_get("/v1/row", self.get_row)
        app.router.add_get("/v1/rows", self.get_rows)
        app.router.add_post("/v1/transact", self.transact)
        app.router.add_post("/standin/faults", self.set_faults)
        app.router.add_get("/standin/stats", self.get_stats)
        return app
