"""Workers' registrations in the platform's store."""

from __future__ import annotations

import ipaddress
import math

import attrs

from rattanpier._internal.exceptions import UnreadableError
from rattanpier._internal.models.feed import FeedRow
from rattanpier._internal.models.worker import RegisteredWorker
from rattanpier._internal.utils.codec import parse_json, structure
from rattanpier._internal.utils.strict import strict_converter

TABLE = "servers"
READY, DRAINING = "ready", "draining"
MAX_PORT = 65535
MS = 1000.0

# Workers may tell more than an entry needs.
converter = strict_converter(forbid_extra_keys=False)


@attrs.frozen
class Registration:
    """What a worker writes about itself.

    Attributes:
      address: IP number and port.
      version: Of its software.
      cold_remaining_ms: How much longer it bears less than usual.
      sequence: Raised with each renewal; anew from each start.
      born: When it started, in Unix ms; older workers do not tell it.
    """

    service: str
    address: str
    zone: str
    version: str
    slots: int
    state: str
    sequence: int
    cold_remaining_ms: float = attrs.field(alias="coldRemainingMs")
    born: int | None = None


def decode_worker(row: FeedRow) -> RegisteredWorker:
    """Returns the worker that a row registers.

    Whether its service is one that is routed to is not looked at here: a
    worker of another service is never asked for.

    Raises:
      UnreadableError: Another writer's row, or one that got spoiled: a field
        is missing, has another type, or a value that means nothing.
    """
    entry = structure(converter, Registration, parse_json(row.value))
    host, port = split_address(entry.address)
    if entry.state not in (READY, DRAINING):
        raise UnreadableError(f"state is {entry.state!r}")
    if entry.slots < 1:
        raise UnreadableError(f"slots is {entry.slots!r}")
    if not entry.service:
        raise UnreadableError("service is empty")
    if not (
        math.isfinite(entry.cold_remaining_ms) and entry.cold_remaining_ms >= 0
    ):
        raise UnreadableError(f"coldRemainingMs is {entry.cold_remaining_ms!r}")
    return RegisteredWorker(
        id=row.key,
        service=entry.service,
        host=host,
        port=port,
        domain=entry.zone,
        version=entry.version,
        slots=entry.slots,
        draining=entry.state == DRAINING,
        born=entry.born,
        warm_in_s=entry.cold_remaining_ms / MS,
        revision=row.revision,
        sequence=entry.sequence,
    )


def split_address(address: str) -> tuple[str, int]:
    """Returns the IP number and the port of an address.

    >>> split_address("10.0.0.1:80")
    ('10.0.0.1', 80)

    Raises:
      UnreadableError: It is none.
    """
    host, _, port = address.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError as error:
        raise UnreadableError(f"address is {address!r}: {error}") from error
    # Other alphabets' digits are decimal as well, but no port.
    if not (port.isascii() and port.isdecimal()):
        raise UnreadableError(f"address is {address!r}: no port")
    number = int(port)
    if not 1 <= number <= MAX_PORT:
        raise UnreadableError(f"address is {address!r}: no port")
    return host, number
