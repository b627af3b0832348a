"""Decodes operators' orders to drain failure domains."""

from __future__ import annotations

from rattanpier._internal.exceptions import UnreadableError
from rattanpier._internal.models.domain_order import DomainOrder
from rattanpier._internal.models.feed import FeedRow

ORDER_PREFIX = "evacuate/"


def is_order(row: FeedRow) -> bool:
    """Returns whether a row of the operators' table drains a domain."""
    return row.key.startswith(ORDER_PREFIX)


def decode_order(row: FeedRow) -> DomainOrder:
    """Returns the order in a row; a deleted row ends the order.

    Only the key matters. The value is ignored, so that an order whose value is
    corrupt still takes effect.

    Raises:
      UnreadableError: The key doesn't name a domain.
    """
    domain = row.key.removeprefix(ORDER_PREFIX)
    if not domain:
        raise UnreadableError("the key names no failure domain")
    return DomainOrder(domain, not row.deleted, row.revision)
