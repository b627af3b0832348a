"""Stand-in for the store of the users' platform: rows, feeds and faults.

It implements those published calls of the platform that the relay uses.
"""

from __future__ import annotations

import asyncio
import base64
import copy
import enum
import json
import time
from typing import Any

import attrs
from aiohttp import web

ROOT = "/rattanpier"
ERA = "Store-Era"


class StoreFault(enum.StrEnum):
    """Fault of the store."""

    NONE = "none"
    BUSY = "busy"  # 503; the call has no effect.
    SILENT = "silent"  # Never answers.
    LOST = "lost"  # Writes take effect but are never answered.


@attrs.define
class StoreListener:
    """A listener of the store.

    Attributes:
      closed: Whether calls are refused.
      slow_s: Seconds that a full read takes, by table; simulates a slow link.
    """

    closed: bool = False
    slow_s: dict[str, float] = attrs.Factory(dict)


LISTENER = web.AppKey("door", StoreListener)


@attrs.define
class StoredRow:
    """Row with the version of its last change."""

    value: str
    version: int
    deleted: bool = False


@attrs.frozen
class StoreCopy:
    """Backup of all rows as of a version."""

    rows: dict[tuple[str, str], StoredRow]
    version: int


@attrs.define
class PlatformStoreServer:
    """Server of tables with a history that can be compacted or lost.

    Attributes:
      rows: Rows by table and key; removed rows stay as tombstones.
      version: Version of the newest change.
      kept_from: Oldest version whose changes feeds still deliver.
      fault: Fault that is active.
      calls: Names of received calls, in order.
      era: Incremented each time the store is restored from a backup.
    """

    rows: dict[tuple[str, str], StoredRow] = attrs.Factory(dict)
    version: int = 0
    kept_from: int = 0
    fault: StoreFault = StoreFault.NONE
    calls: list[str] = attrs.Factory(list)
    era: int = 1
    changed: asyncio.Event = attrs.Factory(asyncio.Event)

    def app(self, door: StoreListener | None = None) -> web.Application:
        """Returns the aiohttp application of one listener."""
        app = web.Application()
        app[LISTENER] = door or StoreListener()
        app.on_response_prepare.append(self.add_era)
        app.router.add_post(f"{ROOT}/rows-tx", self.transact)
        app.router.add_get(f"{ROOT}/rows-get", self.scan)
        app.router.add_get(f"{ROOT}/rows-feed", self.feed)
        return app

    async def add_era(
        self, _request: web.Request, response: web.StreamResponse
    ) -> None:
        """Adds the era to every answer, also to refusals."""
        response.headers[ERA] = str(self.era)

    def put(self, table: str, key: str, value: Any) -> None:
        """Writes a row as operators or a worker would."""
        self.put_bytes(table, key, json.dumps(value).encode())

    def put_bytes(self, table: str, key: str, value: bytes) -> None:
        """Writes a row whose value need not be valid."""
        text = base64.b64encode(value).decode()
        self.version += 1
        self.rows[table, key] = StoredRow(text, self.version)
        self.wake_feeds()

    def remove(self, table: str, key: str) -> None:
        """Removes a row and leaves a tombstone."""
        self.version += 1
        self.rows[table, key] = StoredRow("", self.version, deleted=True)
        self.wake_feeds()

    def value(self, table: str, key: str) -> Any:
        """Returns the decoded value of a row, or None if there is no row."""
        row = self.rows.get((table, key))
        if row is None or row.deleted:
            return None
        return json.loads(base64.b64decode(row.value))

    def take_backup(self) -> StoreCopy:
        """Returns a backup that the store can be restored from."""
        return StoreCopy(copy.deepcopy(self.rows), self.version)

    def restore_backup(self, kept: StoreCopy) -> None:
        """Restores the store from a backup; later writes are lost.

        Versions are assigned again, and waiting feeds whose version is newer
        than the backup get an error.
        """
        self.rows = copy.deepcopy(kept.rows)
        self.version = kept.version
        self.era += 1
        self.wake_feeds()

    def write_again(self, table: str, key: str, row: StoredRow) -> None:
        """Rewrites a lost row as its author would, with a new version."""
        self.version += 1
        self.rows[table, key] = StoredRow(row.value, self.version, row.deleted)
        self.wake_feeds()

    def compact(self) -> None:
        """Drops the history of changes."""
        self.kept_from = self.version + 1

    def set_fault(self, fault: StoreFault) -> None:
        """Sets the fault, also for feeds that are waiting."""
        self.fault = fault
        self.wake_feeds()

    def wake_feeds(self) -> None:
        """Wakes the waiting feeds."""
        self.changed.set()
        self.changed = asyncio.Event()

    async def check(
        self, request: web.Request, call: str
    ) -> web.Response | None:
        """Records a call; returns a refusal if the store is unavailable."""
        self.calls.append(call)
        if self.fault is StoreFault.BUSY or request.app[LISTENER].closed:
            return web.Response(status=503)
        if self.fault is StoreFault.SILENT:
            await asyncio.Event().wait()
        return None

    async def transact(self, request: web.Request) -> web.Response:
        """Handles a transaction, applied atomically."""
        if (refused := await self.check(request, "rows-tx")) is not None:
            return refused
        body = await request.json()
        for check in body["expectedRevision"]:
            row = self.rows.get((check["table"], check["key"]))
            version = 0 if row is None or row.deleted else row.version
            if version != check["ver"]:
                found = [self.encode(check["table"], check["key"])]
                return self.answer({"rows": found}, status=412)
        self.version += 1
        for put in body["puts"]:
            row = StoredRow(put["value"], self.version)
            self.rows[put["table"], put["key"]] = row
        for gone in body["remove"]:
            row = StoredRow("", self.version, deleted=True)
            self.rows[gone["table"], gone["key"]] = row
        self.wake_feeds()
        if self.fault is StoreFault.LOST:
            await asyncio.Event().wait()
        return self.answer({})

    async def scan(self, request: web.Request) -> web.Response:
        """Handles a read of the rows of a table."""
        if (refused := await self.check(request, "rows-get")) is not None:
            return refused
        table = request.query["table"]
        await asyncio.sleep(request.app[LISTENER].slow_s.get(table, 0.0))
        limit = int(request.query.get("limit", "500"))
        keys = sorted(
            key
            for (name, key), row in self.rows.items()
            if name == table
            and not row.deleted
            and key >= request.query.get("from", "")
        )
        rows = [self.encode(table, key) for key in keys[:limit]]
        return self.answer({"rows": rows, "truncated": len(keys) > limit})

    async def feed(self, request: web.Request) -> web.Response:
        """Handles a long poll for changes of a table."""
        if (refused := await self.check(request, "rows-feed")) is not None:
            return refused
        table = request.query["table"]
        since = int(request.query["sinceRevision"])
        end = time.monotonic() + int(request.query["waitMs"]) / 1000
        while True:
            # A version above the current one dates from before a restore.
            if since + 1 < self.kept_from or since > self.version:
                return web.Response(status=410)
            changed = sorted(
                (row.version, key)
                for (name, key), row in self.rows.items()
                if name == table and row.version > since
            )
            left = end - time.monotonic()
            if changed or left <= 0:
                rows = [self.encode(table, key) for _, key in changed]
                return self.answer({"rows": rows})
            try:
                async with asyncio.timeout(left):
                    await self.changed.wait()
            except TimeoutError:
                continue
            if (
                self.fault is not StoreFault.NONE
                or request.app[LISTENER].closed
            ):
                return web.Response(status=503)

    def encode(self, table: str, key: str) -> dict[str, Any]:
        """Returns a row in its wire format."""
        row = self.rows.get((table, key), StoredRow("", 0, deleted=True))
        told: dict[str, Any] = {"table": table, "part": "", "key": key}
        told["ver"] = row.version
        if row.deleted:
            told["deleted"] = True
        else:
            told["value"] = row.value
        return told

    def answer(self, body: dict[str, Any], status: int = 200) -> web.Response:
        """Returns an answer with the store's version and clock."""
        body["ver"] = self.version
        body["nowMs"] = time.monotonic() * 1000
        return web.json_response(body, status=status)
