"""What nodes on older revisions may go by, and which revision is in force."""

from __future__ import annotations

import attrs

from rattanpier._internal.configuration.currency import majority
from rattanpier._internal.configuration.parse import parse_configuration
from rattanpier._internal.configuration.store import read_revision
from rattanpier._internal.exceptions import ConfigurationError
from rattanpier._internal.models.configuration import Fleet
from rattanpier._internal.store.table import Put, Table, Transaction
from rattanpier._internal.utils.codec import decode, encode

IN_FORCE_KEY = "config/in_force"
MAX_LOOKBACK_REVISIONS = 100  # Older ones are no longer run by any node.


@attrs.frozen
class InForceRow:
    """The newest revision known to be in force everywhere."""

    revision: int = 0


@attrs.frozen
class StalenessBounds:
    """What a node on an older revision may go by.

    Attributes:
      validity_s: The longest validity of the older revisions.
      max_minority: So many entries are never a majority under any of them.
    """

    validity_s: float
    max_minority: int


async def read_in_force(table: Table) -> int:
    """Returns the newest revision known to be in force; 0 if none is.

    Raises:
      StoreUnavailableError: The store did not answer.
    """
    row = await table.get(IN_FORCE_KEY)
    return decode(InForceRow, row.value).revision if row else 0


async def write_in_force(table: Table, revision: int) -> None:
    """Writes down that a revision is in force; may fail harmlessly."""
    put = Put(IN_FORCE_KEY, encode(InForceRow(revision)))
    await table.transact(Transaction(puts=[put]))


async def read_staleness_bounds(table: Table, revision: int) -> StalenessBounds:
    """Returns what nodes on revisions before may go by.

    Raises:
      StoreUnavailableError: The store did not answer.
    """
    first = max(
        await read_in_force(table), revision - MAX_LOOKBACK_REVISIONS, 1
    )
    fleets = []
    for number in range(first, revision):
        found = await read_revision(table, number)
        if found is not None:
            fleets.append(parse_fleet(found.text))
    fleets = fleets or [Fleet()]
    return StalenessBounds(
        max(fleet.validity_s for fleet in fleets),
        min(majority(fleet) for fleet in fleets) - 1,
    )


def parse_fleet(text: str) -> Fleet:
    """Returns the fleet section of a revision; no node runs a broken one."""
    try:
        return parse_configuration(text).fleet
    except ConfigurationError:
        return Fleet()
