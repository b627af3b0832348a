"""A stand-in for the object store, kept in memory."""

from __future__ import annotations

import attrs

from rattanpier._internal.exceptions import StoreUnavailableError


@attrs.define
class MemoryObjects:
    """Objects in memory.

    Attributes:
      texts: Objects by name.
      down: True to refuse everything.
    """

    texts: dict[str, str] = attrs.Factory(dict)
    down: bool = False

    async def put(self, name: str, text: str) -> None:
        """Writes an object."""
        self.check()
        self.texts[name] = text

    async def get(self, name: str) -> str | None:
        """Returns an object's text, or None."""
        self.check()
        return self.texts.get(name)

    async def delete(self, name: str) -> None:
        """Deletes an object."""
        self.check()
        self.texts.pop(name, None)

    def check(self) -> None:
        """Raises StoreUnavailableError while the stand-in is down."""
        if self.down:
            raise StoreUnavailableError("object store is down")
