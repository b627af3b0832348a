"""Rows, pages of rows and writes of a store that publishes its changes."""

from __future__ import annotations

import enum

import attrs

from rattanpier._internal.models.revision import Revision
from rattanpier._internal.utils.record import Record


class DataSource(enum.StrEnum):
    """How data of the store reached an entry."""

    FEED = "feed"
    FULL_READ = "full read"
    CHECKPOINT = "checkpoint"
    UPDATE = "update"  # Published by a watcher.
    SNAPSHOT = "snapshot"


@attrs.frozen(eq=False, repr=False)
class Provenance(Record):
    """Where data of the store came from.

    Attributes:
      source: How it reached this entry.
      told_by: Name of the peer that sent it, empty if the store did.
      store_ms: The store's clock when it answered, in ms; None if unknown.
    """

    source: DataSource
    told_by: str = ""
    store_ms: float | None = None


@attrs.frozen(eq=False, repr=False)
class FeedRow(Record):
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


@attrs.frozen(eq=False, repr=False)
class UnreadableRow(Record):
    """A row whose value can't be read.

    It names nothing, so that what it named before no longer exists.

    Attributes:
      key: Unique in its table.
    """

    key: str


@attrs.frozen(eq=False, repr=False)
class Page(Record):
    """Result of reading a table.

    Attributes:
      rows: All rows, or those that changed, in order.
      revision: Store revision as of which the rows are valid.
      now_ms: The store's monotonic clock, in ms.
      whole: True for a full read, False for changes only.
      source: How the page reached this entry.
      told_by: Name of the watcher that published it, empty if the store
        answered this entry.
    """

    rows: list[FeedRow]
    revision: Revision
    now_ms: float
    whole: bool
    source: DataSource = DataSource.FEED
    told_by: str = ""

    @property
    def provenance(self) -> Provenance:
        """Where the page came from."""
        return Provenance(self.source, self.told_by, self.now_ms)


@attrs.frozen(eq=False, repr=False)
class RowCheck(Record):
    """A condition of a transaction: the revision that a row must have.

    Attributes:
      table: Name of the table.
      key: Key of the row.
      revision: Required revision; the default: the row must not exist.
    """

    table: str
    key: str
    revision: Revision = Revision()


@attrs.frozen(eq=False, repr=False)
class RowPut(Record):
    """A row to write.

    Attributes:
      table: Name of the table.
      key: Key of the row.
      value: New content.
    """

    table: str
    key: str
    value: bytes


@attrs.frozen(eq=False, repr=False)
class WrittenAt(Record):
    """A transaction took effect.

    Attributes:
      revision: Store revision after it.
      now_ms: The store's monotonic clock, in ms.
    """

    revision: Revision
    now_ms: float
