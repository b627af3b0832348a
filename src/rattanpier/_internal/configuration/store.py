"""Stores configuration revisions in the table service by compare-and-set."""

from __future__ import annotations

import attrs

from rattanpier._internal.exceptions import StoreUnavailableError
from rattanpier._internal.models.outcomes import (
    Committed,
    Conflict,
    NotRun,
    Uncertain,
)
from rattanpier._internal.store.table import (
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
    """The head row, which names the newest accepted revision."""

    revision: int = 0


@attrs.frozen
class Revision:
    """The row of one accepted revision.

    Attributes:
      revision: Revision number.
      text: TOML text.
      author: Who made the change.
      change: Id of the change. It identifies a write whose answer was lost.
      time: Seconds since the epoch.
    """

    revision: int
    text: str
    author: str
    change: str
    time: float


@attrs.frozen
class Accepted:
    """The change was accepted by the store."""

    revision: int


@attrs.frozen
class Raced:
    """Another change took the revision number; this one had no effect."""

    other: Revision


@attrs.frozen
class NotAccepted:
    """The write was refused. A copy that was sent before may take effect."""

    reason: str


@attrs.frozen
class Fenced:
    """The head row was rewritten, so no copy of the change can take effect."""


@attrs.frozen
class Undecided:
    """It is unknown whether the change was accepted; ask the store again."""

    change: str


ChangeOutcome = Accepted | Raced | NotAccepted | Fenced | Undecided


def revision_key(revision: int) -> str:
    """Returns the key of a revision's row."""
    return f"config/revision/{revision:09d}"


async def read_head(table: Table) -> int:
    """Returns the number of the newest accepted revision, 0 if there is none.

    Raises:
      StoreUnavailableError: The store did not answer.
    """
    row = await table.get(HEAD_KEY)
    return decode(Head, row.value).revision if row else 0


async def read_revision(table: Table, revision: int) -> Revision | None:
    """Returns the revision with a number, or None if it is not stored.

    Raises:
      StoreUnavailableError: The store did not answer.
    """
    row = await table.get(revision_key(revision))
    return decode(Revision, row.value) if row else None


@attrs.frozen
class Attempt:
    """A change and the version of the head row that it replaces.

    Every repeat checks the same row version. At most one copy of a write with
    a lost answer can therefore take effect, and none can after another writer
    has changed the head row.

    Attributes:
      revision: The change.
      head_version: Version of the head row; `ABSENT` if there is none.
      checks: Further conditions, such as the writer's lease.
    """

    revision: Revision
    head_version: int
    checks: tuple[Check, ...] = ()


async def propose(table: Table, revision: Revision) -> ChangeOutcome:
    """Proposes a change as the successor of its base, in one write.

    Raises:
      StoreUnavailableError: The store did not answer the read before the
        write. Nothing was written.
    """
    prepared = await prepare(table, revision)
    if not isinstance(prepared, Attempt):
        return prepared
    return await submit(table, prepared)


async def prepare(table: Table, revision: Revision) -> Attempt | ChangeOutcome:
    """Reads the head row that a change will replace.

    Returns:
      An attempt to submit, or the outcome if the base is not the head.

    Raises:
      StoreUnavailableError: The store did not answer. Nothing was written.
    """
    row = await table.get(HEAD_KEY)
    present = decode(Head, row.value).revision if row else 0
    if present >= revision.revision:
        return await resolve_outcome(table, revision)
    if present < revision.revision - 1:
        return NotAccepted(f"the store is at revision {present}")
    return Attempt(revision, row.version if row else ABSENT)


async def submit(table: Table, attempt: Attempt) -> ChangeOutcome:
    """Writes a change. May be repeated safely with the same attempt."""
    revision = attempt.revision
    key = revision_key(revision.revision)
    outcome = await table.transact(
        Transaction(
            [
                Check(HEAD_KEY, attempt.head_version),
                Check(key, ABSENT),
                *attempt.checks,
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
            return await resolve_conflict(table, revision)
        case Uncertain():
            return Undecided(revision.change)


async def resolve_conflict(table: Table, revision: Revision) -> ChangeOutcome:
    """Returns the outcome after a conflict, possibly with its own lost copy."""
    try:
        return await resolve_outcome(table, revision)
    except StoreUnavailableError:
        return Undecided(revision.change)


async def fence(table: Table, revision: int, change: str) -> ChangeOutcome:
    """Determines whether a change was accepted and blocks it if not.

    If the revision is not stored yet, the head row is rewritten with the same
    value. This raises its row version, so that a write still in flight fails.

    Args:
      table: The store.
      revision: Revision number that the change was proposed with.
      change: Id of the change.

    Returns:
      `Accepted`, `Raced` or `Fenced`, which are final, or `Undecided`.

    Raises:
      StoreUnavailableError: The store did not answer a read.
    """
    row = await table.get(HEAD_KEY)
    head = decode(Head, row.value) if row else Head()
    if head.revision >= revision:
        return await resolve_outcome(
            table, Revision(revision, "", "", change, 0.0)
        )
    outcome = await table.transact(
        Transaction(
            [Check(HEAD_KEY, row.version if row else ABSENT)],
            [Put(HEAD_KEY, encode(head))],
        )
    )
    if isinstance(outcome, Committed):
        return Fenced()
    return Undecided(change)


async def resolve_outcome(table: Table, revision: Revision) -> ChangeOutcome:
    """Returns the outcome of a change by the change id stored at its revision.

    Raises:
      StoreUnavailableError: The store did not answer.
    """
    present = await read_revision(table, revision.revision)
    if present is None:
        return Fenced()
    if present.change == revision.change:
        return Accepted(revision.revision)
    return Raced(present)
