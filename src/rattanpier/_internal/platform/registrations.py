"""Decodes workers' registrations in the platform's store."""

from __future__ import annotations

import ipaddress

import attrs

from rattanpier._internal.exceptions import UnreadableError
from rattanpier._internal.models.feed import FeedRow
from rattanpier._internal.models.worker import RegisteredWorker
from rattanpier._internal.utils.codec import parse_json, structure
from rattanpier._internal.utils.record import Record
from rattanpier._internal.utils.strict import strict_converter

TABLE = "servers"
READY, DRAINING = "ready", "draining"
MAX_PORT = 65535
MAX_PORT_DIGITS = 5
MAX_SLOTS = 100_000
MAX_WARM_UP_MS = 24 * 3600 * 1000.0
MAX_BORN_MS = 2**53  # Exact as a float.
MAX_TEXT_BYTES = 200  # As long as a key of the store.
MS = 1000.0

# Workers may send fields that an entry doesn't need.
converter = strict_converter(forbid_extra_keys=False, detailed=False)


@attrs.frozen(eq=False, repr=False)
class Registration(Record):
    """A worker's registration as the worker writes it.

    Attributes:
      address: IPv4 address and port.
      version: Version of the worker's software.
      cold_remaining_ms: Remaining warm-up time with reduced capacity, in ms.
      sequence: Increases with each renewal; restarts with each incarnation.
      born: Start time in Unix ms; None for older workers, which don't send it.
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

    Doesn't check whether any route uses the service: workers of other services
    are never looked up.

    Raises:
      UnreadableError: Another program wrote the row, or it is corrupt: a field
        is missing, has a wrong type or an invalid value.
    """
    entry = structure(converter, Registration, parse_json(row.value))
    host, port = split_address(entry.address)
    if entry.state not in (READY, DRAINING):
        raise UnreadableError(f"state is {entry.state!r}")
    check_range("slots", entry.slots, 1, MAX_SLOTS)
    check_range("coldRemainingMs", entry.cold_remaining_ms, 0, MAX_WARM_UP_MS)
    check_range("born", entry.born or 0, -MAX_BORN_MS, MAX_BORN_MS)
    if not entry.service:
        raise UnreadableError("service is empty")
    for text in (entry.service, entry.zone, entry.version):
        if len(text.encode()) > MAX_TEXT_BYTES:
            raise UnreadableError(f"{text[:MAX_TEXT_BYTES]!r} is too long")
    if not is_token(row.key):
        raise UnreadableError(f"id is {row.key!r}")
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


def check_range(name: str, value: float, least: float, most: float) -> None:
    """Checks that a number is within its range.

    Raises:
      UnreadableError: It is not.
    """
    if not least <= value <= most:
        raise UnreadableError(f"{name} is {value!r}")


def is_token(text: str) -> bool:
    """Returns whether a text can be sent as the value of a header.

    >>> is_token("i-7f3a"), is_token("i 7"), is_token("")
    (True, False, False)
    """
    return (
        text.isascii()
        and text.isprintable()
        and bool(text.strip())
        and (" " not in text)
    )


def split_address(address: str) -> tuple[str, int]:
    """Splits an address into the IPv4 address and the port.

    >>> split_address("10.0.0.1:80")
    ('10.0.0.1', 80)

    Raises:
      UnreadableError: The address is invalid.
    """
    host, _, port = address.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError as error:
        raise UnreadableError(f"address is {address!r}: {error}") from error
    # str.isdecimal() also accepts non-ASCII digits, which are invalid here.
    if not (
        port.isascii() and port.isdecimal() and len(port) <= MAX_PORT_DIGITS
    ):
        raise UnreadableError(f"address is {address!r}: no port")
    number = int(port)
    if not 1 <= number <= MAX_PORT:
        raise UnreadableError(f"address is {address!r}: no port")
    return host, number
