"""The configuration in the table service: compare-and-set by revision."""

from __future__ import annotations

import attrs

from rattanpier._internal.models.outcomes import (
    Committed,
    Conflict,
    NotRun,
    Uncertain,
)
from rattanpier._internal.platform.table import (
    ABSENT,
    Check,
    Put,
    Table,
    Transaction,
)
from rattanpier._internal.utils.codec import decode, encode

HEAD_KEY = "config/head"


@attrs.frozen
class Head:
    """The row that names the accepted revision."""

    revision: int = 0


@attrs.frozen
class Revision:
    """The row of one accepted revision.

    Attributes:
      revision: Its number.
      text: TOML text.
      author: Who changed it.
      change: Unique to the change, to recognise a write with a lost answer.
      time: Seconds since the epoch.
    """

    revision: int
    text: str
    author: str
    change: str
    time: float


@attrs.frozen
class Accepted:
    """The change is in the store."""

    revision: int


@attrs.frozen
class Raced:
    """Another change came first; nothing was changed."""

    other: Revision


@attrs.frozen
class NotAccepted:
    """The change is certainly not in the store."""

    reason: str


@attrs.frozen
class Undecided:
    """The store must be asked again whether the change was accepted."""

    change: str


ChangeOutcome = Accepted | Raced | NotAccepted | Undecided


def revision_key(revision: int) -> str:
    """Returns the key of a revision's row."""
    return f"config/revision/{revision:09d}"


async def read_head(table: Table) -> int:
    """Returns the accepted revision; 0 if there is none.

    Raises:
      StoreUnavailableError: The store did not answer.
    """
    row = await table.get(HEAD_KEY)
    return decode(Head, row.value).revision if row else 0


async def read_revision(table: Table, revision: int) -> Revision | None:
    """Returns one revision.

    Raises:
      StoreUnavailableError: The store did not answer.
    """
    row = await table.get(revision_key(revision))
    return decode(Revision, row.value) if row else None


async def propose(table: Table, revision: Revision) -> ChangeOutcome:
    """Makes a change follow the revision before it.

    Raises:
      StoreUnavailableError: The store did not answer a read before the
        write; nothing was written.
    """
    row = await table.get(HEAD_KEY)
    present = decode(Head, row.value).revision if row else 0
    if present >= revision.revision:
        return await compare(table, revision)
    key = revision_key(revision.revision)
    outcome = await table.transact(
        Transaction(
            [
                Check(HEAD_KEY, row.version if row else ABSENT),
                Check(key, ABSENT),
            ],
            [
                Put(HEAD_KEY, encode(Head(revision.revision))),
                Put(key, encode(revision)),
            ],
        )
    )
    match outcome:
        case Committed():
            return Accepted(revision.revision)
        case NotRun(reason):
            return NotAccepted(reason)
        case Conflict():
            return await compare(table, revision)
        case Uncertain():
            return Undecided(revision.change)


async def compare(table: Table, revision: Revision) -> ChangeOutcome:
    """Tells an own change from another's at the same revision."""
    present = await read_revision(table, revision.revision)
    if present is None:
        return NotAccepted("the store holds no such revision")
    if present.change == revision.change:
        return Accepted(revision.revision)
    return Raced(present)
