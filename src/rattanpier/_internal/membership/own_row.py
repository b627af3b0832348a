"""The row that reserves a process's name in the table service."""

from __future__ import annotations

import attrs

from rattanpier._internal.models.member import Member, member_key
from rattanpier._internal.store.table import (
    ABSENT,
    Check,
    Put,
    Row,
    Table,
    Transaction,
)
from rattanpier._internal.utils.codec import decode, encode


@attrs.frozen
class RowOwned:
    """The row belongs to this process, or may be written by it."""


@attrs.frozen
class RowMissing:
    """The row was removed: this process was declared gone."""


@attrs.frozen
class NameTaken:
    """A newer process has the name, as after a long freeze of this one.

    Attributes:
      owner: The process that has the name.
    """

    owner: Member


RowState = RowOwned | RowMissing | NameTaken


async def read_row(table: Table, me: Member) -> Row | None:
    """Returns the row under this process's name.

    Raises:
      StoreUnavailableError: The table service does not answer.
    """
    return await table.get(member_key(me.name))


def classify_row(row: Row | None, me: Member, recorded: bool) -> RowState:
    """Classifies the row under this process's name.

    Args:
      row: The row as read.
      me: This process.
      recorded: Whether the directory has this incarnation; before that, the
        row may still be that of an earlier one.
    """
    if not recorded:
        return RowOwned()
    if row is None:
        return RowMissing()
    owner = decode(Member, row.value)
    if owner.incarnation != me.incarnation:
        return NameTaken(owner)
    return RowOwned()


async def write_row(table: Table, me: Member, row: Row | None) -> None:
    """Writes the own row if its version is still the one read."""
    key = member_key(me.name)
    version = row.version if row else ABSENT
    await table.transact(
        Transaction([Check(key, version)], [Put(key, encode(me))])
    )


async def remove_row(table: Table, me: Member, row: Row | None) -> None:
    """Deletes the row that was read if it belongs to this incarnation."""
    if row is None or decode(Member, row.value).incarnation != me.incarnation:
        return
    key = member_key(me.name)
    await table.transact(Transaction([Check(key, row.version)], deletes=[key]))
