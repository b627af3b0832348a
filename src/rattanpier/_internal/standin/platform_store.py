"""A stand-in for the users' platform store: rows, feeds and their faults.

It speaks the published calls of that platform as far as the relay uses them.
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
    """What is wrong with the store."""

    NONE = "none"
    BUSY = "busy"  # 503, nothing was done.
    SILENT = "silent"  # No answer at all.
    LOST = "lost"  # Writes are done and not answered.


@attrs.define
class Door:
    """A listener of the store.

    Attributes:
      closed: It turns its callers away.
      slow_s: Seconds that a whole table takes, by its name, as over a slow
        link.
    """

    closed: bool = False
    slow_s: dict[str, float] = attrs.Factory(dict)


DOOR = web.AppKey("door", Door)


@attrs.define
class StoredRow:
    """A row and the version of its last change."""

    value: str
    version: int
    deleted: bool = False


@attrs.frozen
class StoreCopy:
    """All rows as of a version."""

    rows: dict[tuple[str, str], StoredRow]
    version: int


@attrs.define
class PlatformStoreServer:
    """Rows in tables, with a history that can be dropped or lost.

    Attributes:
      rows: By table and key; removed ones stay, marked.
      version: Of the newest change.
      kept_from: Changes before this version are no longer told.
      fault: What is wrong now.
      calls: Calls that came, by name.
      era: Raised each time that the store comes back from a copy.
    """

    rows: dict[tuple[str, str], StoredRow] = attrs.Factory(dict)
    version: int = 0
    kept_from: int = 0
    fault: StoreFault = StoreFault.NONE
    calls: list[str] = attrs.Factory(list)
    era: int = 1
    changed: asyncio.Event = attrs.Factory(asyncio.Event)

    def app(self, door: Door | None = None) -> web.Application:
        """Returns the application behind one listener."""
        app = web.Application()
        app[DOOR] = door or Door()
        app.on_response_prepare.append(self.add_era)
        app.router.add_post(f"{ROOT}/rows-tx", self.transact)
        app.router.add_get(f"{ROOT}/rows-get", self.scan)
        app.router.add_get(f"{ROOT}/rows-feed", self.feed)
        return app

    async def add_era(
        self, _request: web.Request, response: web.StreamResponse
    ) -> None:
        """Tells the era in all answers, refusals too."""
        response.headers[ERA] = str(self.era)

    def put(self, table: str, key: str, value: Any) -> None:
        """Writes a row as the operators or a worker do."""
        text = base64.b64encode(json.dumps(value).encode()).decode()
        self.version += 1
        self.rows[table, key] = StoredRow(text, self.version)
        self.tell()

    def remove(self, table: str, key: str) -> None:
        """Removes a row."""
        self.version += 1
        self.rows[table, key] = StoredRow("", self.version, deleted=True)
        self.tell()

    def value(self, table: str, key: str) -> Any:
        """Returns what a row holds, None if there is none."""
        row = self.rows.get((table, key))
        if row is None or row.deleted:
            return None
        return json.loads(base64.b64decode(row.value))

    def keep_copy(self) -> StoreCopy:
        """Returns what the store can come back from."""
        return StoreCopy(copy.deepcopy(self.rows), self.version)

    def come_back(self, kept: StoreCopy) -> None:
        """Comes back from a copy: what was written since is gone.

        Versions are given out again, and calls that wait are told an error.
        """
        self.rows = copy.deepcopy(kept.rows)
        self.version = kept.version
        self.era += 1
        self.tell()

    def write_again(self, table: str, key: str, row: StoredRow) -> None:
        """Writes a row that was lost as its author does: it gets a version."""
        self.version += 1
        self.rows[table, key] = StoredRow(row.value, self.version, row.deleted)
        self.tell()

    def compact(self) -> None:
        """Drops the history."""
        self.kept_from = self.version + 1

    def set_fault(self, fault: StoreFault) -> None:
        """Sets what is wrong, also for calls that wait."""
        self.fault = fault
        self.tell()

    def tell(self) -> None:
        """Wakes the feeds."""
        self.changed.set()
        self.changed = asyncio.Event()

    async def check(
        self, request: web.Request, call: str
    ) -> web.Response | None:
        """Notes a call; returns the answer of a store that is away."""
        self.calls.append(call)
        if self.fault is StoreFault.BUSY or request.app[DOOR].closed:
            return web.Response(status=503)
        if self.fault is StoreFault.SILENT:
            await asyncio.Event().wait()
        return None

    async def transact(self, request: web.Request) -> web.Response:
        """Carries out a transaction."""
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
        self.tell()
        if self.fault is StoreFault.LOST:
            await asyncio.Event().wait()
        return self.answer({})

    async def scan(self, request: web.Request) -> web.Response:
        """Returns the rows of a table."""
        if (refused := await self.check(request, "rows-get")) is not None:
            return refused
        table = request.query["table"]
        await asyncio.sleep(request.app[DOOR].slow_s.get(table, 0.0))
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
        """Waits for changes of a table."""
        if (refused := await self.check(request, "rows-feed")) is not None:
            return refused
        table = request.query["table"]
        since = int(request.query["sinceRevision"])
        end = time.monotonic() + int(request.query["waitMs"]) / 1000
        while True:
            # What it does not have yet, it had before it came back.
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
            if self.fault is not StoreFault.NONE or request.app[DOOR].closed:
                return web.Response(status=503)

    def encode(self, table: str, key: str) -> dict[str, Any]:
        """Returns a row as it is told."""
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
