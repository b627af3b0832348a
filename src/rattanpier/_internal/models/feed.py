"""Rows of a store that tells its changes, and writes to it."""

from __future__ import annotations

import attrs

from rattanpier._internal.models.revision import Revision


@attrs.frozen
class FeedRow:
    """A row, or that it was removed.

    Attributes:
      key: Unique in its table.
      value: Its bytes; empty if removed.
      revision: Of its last change.
      deleted: It was removed.
    """

    key: str
    value: bytes
    revision: Revision
    deleted: bool = False


@attrs.frozen
class UnreadableRow:
    """A row that names nothing: what it named before is no longer there.

    Attributes:
      key: Unique in its table.
    """

    key: str


@attrs.frozen
class Page:
    """Rows of a table.

    Attributes:
      rows: All of them, or those that changed, in order.
      revision: The store's that they are as of.
      now_ms: The store's steady clock, in ms.
      whole: True for all rows of the table.
    """

    rows: list[FeedRow]
    revision: Revision
    now_ms: float
    whole: bool


@attrs.frozen
class RowCheck:
    """A row and the revision that it must have; the first: no such row."""

    table: str
    key: str
    revision: Revision = Revision()


@attrs.frozen
class RowPut:
    """A row to write."""

    table: str
    key: str
    value: bytes


@attrs.frozen
class WrittenAt:
    """A transaction took effect.

    Attributes:
      revision: The store's after it.
      now_ms: The store's steady clock, in ms.
    """

    revision: Revision
    now_ms: float
