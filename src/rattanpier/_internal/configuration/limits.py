"""Bounds for nodes on older revisions, and the record of what is in force.

A node that lacks the newest revision goes by the validity and the fleet size of
the older revision that it has.
"""

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
MAX_LOOKBACK_REVISIONS = 100  # No node runs older revisions.


@attrs.frozen
class InForceRow:
    """The row with the newest revision known to be in force everywhere."""

    revision: int = 0


@attrs.frozen
class StalenessBounds:
    """Bounds on how long nodes on older revisions stay current.

    Attributes:
      validity_s: The longest validity of the older revisions, in seconds.
      max_minority: The largest number of entries that is not a majority under
        any of the older revisions.
    """

    validity_s: float
    max_minority: int


async def read_in_force(table: Table) -> int:
    """Returns the newest revision known to be in force, 0 if none is.

    Raises:
      StoreUnavailableError: The store did not answer.
    """
    row = await table.get(IN_FORCE_KEY)
    return decode(InForceRow, row.value).revision if row else 0


async def write_in_force(table: Table, revision: int) -> None:
    """Records that a revision is in force.

    A lost write does no harm, since the record only spares work.
    """
    put = Put(IN_FORCE_KEY, encode(InForceRow(revision)))
    await table.transact(Transaction(puts=[put]))


async def read_staleness_bounds(table: Table, revision: int) -> StalenessBounds:
    """Returns the bounds for nodes on revisions before a given one.

    Reads the revisions since the newest one in force, but no more than
    `MAX_LOOKBACK_REVISIONS`.

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
    """Returns the fleet section of a revision.

    An invalid revision gives the defaults, since no node puts it in force.
    """
    try:
        return parse_configuration(text).fleet
    except ConfigurationError:
        return Fleet()
