"""Snapshots and bill files, which replace deleted log rows of a shard."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable, Mapping

import attrs

from rattanpier._internal.claims.book import Claim, ClaimBook, ClaimId
from rattanpier._internal.claims.records import Bill
from rattanpier._internal.exceptions import StoreUnavailableError
from rattanpier._internal.store.objects import Objects
from rattanpier._internal.utils.codec import decode, encode

ITEMS_PER_YIELD = 500  # Items handled between two yields to the event loop.


@attrs.frozen
class ClaimLine:
    """Line of a snapshot: a claim with its workspace and key."""

    workspace: str
    key: str
    claim: Claim


@attrs.frozen
class BilledClaim:
    """Bill with its position in the log, which identifies it permanently.

    Attributes:
      shard: Claim shard.
      sequence: Log position at which the claim was settled.
      bill: The bill.
    """

    shard: int
    sequence: int
    bill: Bill

    @property
    def id(self) -> str:
        """Unique id; the key alone may be reused after the retention period."""
        return f"{self.shard}/{self.sequence}/{self.bill.key}"


@attrs.frozen
class BillFile:
    """Row that names an object with bills.

    Attributes:
      first: First log position covered.
      last: Last log position covered.
      name: Name of the object; empty if there was no bill.
      count: Number of bills.
      time: Wall-clock time of the last position, in seconds; for retention
        only.
    """

    first: int
    last: int
    name: str
    count: int
    time: float = 0.0


def bill_file_prefix(shard: int) -> str:
    """Returns the key prefix of a shard's bill file rows."""
    return f"bills/{shard:04d}/"


def bill_file_key(shard: int, last: int) -> str:
    """Returns the key of the bill file row that ends at a position."""
    return f"{bill_file_prefix(shard)}{last:012d}"


async def encode_lines(items: Iterable[object]) -> str:
    """Encodes one item per line; yields to the event loop in between."""
    lines = []
    for number, item in enumerate(items, 1):
        lines.append(encode(item))
        if number % ITEMS_PER_YIELD == 0:
            await asyncio.sleep(0)
    return "\n".join(lines)


async def write_claims(
    objects: Objects, name: str, claims: Mapping[ClaimId, Claim]
) -> None:
    """Writes a snapshot.

    Raises:
      StoreUnavailableError: It is not certain that it was written.
    """
    lines = (
        ClaimLine(workspace, key, claim)
        for (workspace, key), claim in claims.items()
    )
    await objects.put(name, await encode_lines(lines))


async def read_claims(objects: Objects, name: str) -> ClaimBook:
    """Reads a snapshot.

    Raises:
      StoreUnavailableError: It can't be read.
    """
    book = ClaimBook()
    for number, text in enumerate(await read_lines(objects, name), 1):
        line = decode(ClaimLine, text)
        book.claims[line.workspace, line.key] = line.claim
        if number % ITEMS_PER_YIELD == 0:
            await asyncio.sleep(0)
    return book


async def read_bills(objects: Objects, name: str) -> list[BilledClaim]:
    """Reads an object with bills.

    Raises:
      StoreUnavailableError: It can't be read.
    """
    return [
        decode(BilledClaim, text) for text in await read_lines(objects, name)
    ]


async def read_lines(objects: Objects, name: str) -> list[str]:
    """Returns the lines of an object."""
    text = await objects.get(name)
    if text is None:
        raise StoreUnavailableError(f"object {name} is missing")
    return text.split("\n") if text else []
