"""Storage of immutable text objects, written once and read as a whole."""

from __future__ import annotations

from typing import Protocol

import attrs

from rattanpier._internal.exceptions import StoreUnavailableError
from rattanpier._internal.models.outcomes import Committed
from rattanpier._internal.store.table import (
    Put,
    Table,
    Transaction,
    scan_all,
)

PART_CHARACTERS = 64 * 1024
OBJECT_PREFIX = "object/"
LAST_PART = "end"


class Objects(Protocol):
    """Interface to an object store.

    Each name is written once; writing the same text again is idempotent.
    """

    async def put(self, name: str, text: str) -> None:
        """Writes an object.

        Raises:
          StoreUnavailableError: The write failed or its result is unknown.
        """
        ...

    async def get(self, name: str) -> str | None:
        """Returns an object's text, or None if it does not exist.

        Raises:
          StoreUnavailableError: The store did not answer.
        """
        ...

    async def delete(self, name: str) -> None:
        """Deletes an object, if the store can be reached."""
        ...


@attrs.define
class TableObjects:
    """Objects stored in the table service, one row for each part.

    For sites without an object store; each part costs a write.
    """

    table: Table

    async def put(self, name: str, text: str) -> None:
        """Writes an object.

        Raises:
          StoreUnavailableError: The write failed or its result is unknown.
        """
        parts = range(0, len(text), PART_CHARACTERS)
        for number, start in enumerate(parts):
            part = text[start : start + PART_CHARACTERS]
            await self.write(f"{OBJECT_PREFIX}{name}/{number:06d}", part)
        # Written last: readers ignore the object until this row exists.
        await self.write(f"{OBJECT_PREFIX}{name}/{LAST_PART}", str(len(parts)))

    async def write(self, key: str, text: str) -> None:
        """Writes a row.

        Raises:
          StoreUnavailableError: The write was not confirmed.
        """
        outcome = await self.table.transact(Transaction(puts=[Put(key, text)]))
        if not isinstance(outcome, Committed):
            raise StoreUnavailableError(f"{key} was not written")

    async def get(self, name: str) -> str | None:
        """Returns an object's text, or None if it does not exist.

        Raises:
          StoreUnavailableError: The store did not answer.
        """
        rows = await scan_all(self.table, f"{OBJECT_PREFIX}{name}/")
        if not rows or not rows[-1].key.endswith(f"/{LAST_PART}"):
            return None
        count = int(rows[-1].value)
        return "".join(row.value for row in rows[:count])

    async def delete(self, name: str) -> None:
        """Deletes the rows of an object, the last row first."""
        rows = await scan_all(self.table, f"{OBJECT_PREFIX}{name}/")
        if rows:
            keys = [row.key for row in reversed(rows)]
            await self.table.transact(Transaction(deletes=keys))
