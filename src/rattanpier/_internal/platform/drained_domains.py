"""Orders of the operators to drain failure domains."""

from __future__ import annotations

from rattanpier._internal.exceptions import UnreadableError
from rattanpier._internal.models.domain_order import DomainOrder
from rattanpier._internal.models.feed import FeedRow

ORDER_PREFIX = "evacuate/"


def is_order(row: FeedRow) -> bool:
    """Says whether a row of the operators' table drains a failure domain."""
    return row.key.startswith(ORDER_PREFIX)


def decode_order(row: FeedRow) -> DomainOrder:
    """Returns the order that a row is, or the end of one that it was.

    The key says all. The value is not looked at: an order whose value got
    spoiled is obeyed like any other.

    Raises:
      UnreadableError: The key names no domain.
    """
    domain = row.key.removeprefix(ORDER_PREFIX)
    if not domain:
        raise UnreadableError("the key names no failure domain")
    return DomainOrder(domain, not row.deleted, row.revision)
