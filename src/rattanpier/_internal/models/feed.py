"""Rows, pages of rows and writes of a store that publishes its changes."""

from __future__ import annotations

import attrs

from rattanpier._internal.models.revision import Revision


@attrs.frozen
class FeedRow:
    """A row, or the removal of one.

    Attributes:
      key: Unique in its table.
      value: Its content; empty if it was removed.
      revision: Store revision of its last change.
      deleted: Whether it was removed.
    """

    key: str
    value: bytes
    revision: Revision
    deleted: bool = False


@attrs.frozen
class UnreadableRow:
    """A row whose value can't be read.

    It names nothing, so that what it named before no longer exists.

    Attributes:
      key: Unique in its table.
    """

    key: str


@attrs.frozen
class Page:
    """Result of reading a table.

    Attributes:
      rows: All rows, or those that changed, in order.
      revision: Store revision as of which the rows are valid.
      now_ms: The store's monotonic clock, in ms.
      whole: True for a full read, False for changes only.
    """

    rows: list[FeedRow]
    revision: Revision
    now_ms: float
    whole: bool


@attrs.frozen
class RowCheck:
    """A condition of a transaction: the revision that a row must have.

    Attributes:
      table: Name of the table.
      key: Key of the row.
      revision: Required revision; the default: the row must not exist.
    """

    table: str
    key: str
    revision: Revision = Revision()


@attrs.frozen
class RowPut:
    """A row to write.

    Attributes:
      table: Name of the table.
      key: Key of the row.
      value: New content.
    """

    table: str
    key: str
    value: bytes


@attrs.frozen
class WrittenAt:
    """A transaction took effect.

    Attributes:
      revision: Store revision after it.
      now_ms: The store's monotonic clock, in ms.
    """

    revision: Revision
    now_ms: float
