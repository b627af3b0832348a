"""Roll-out orders of the operators, and what they read of their course."""

from __future__ import annotations

import json

from rattanpier._internal.exceptions import ConfigurationError
from rattanpier._internal.models.feed import FeedRow, RowPut
from rattanpier._internal.models.rollout_order import (
    RolloutOrder,
    RolloutPhase,
)

ORDERS = "op"
ORDER_PREFIX = "rollout/"
STATUS = "status"
# The operators know three states; the steps in between are the entries' own.
STATES = {
    RolloutPhase.COMPLETED: "completed",
    RolloutPhase.ROLLED_BACK: "rolled_back",
}
IN_PROGRESS = "in_progress"


def is_order(row: FeedRow) -> bool:
    """Says whether a row of the operators' table is a roll-out order."""
    return row.key.startswith(ORDER_PREFIX)


def decode_order(row: FeedRow) -> RolloutOrder:
    """Returns the order that a row holds.

    Raises:
      ConfigurationError: The row can't be read.
    """
    try:
        order = json.loads(row.value)
        return RolloutOrder(
            id=row.version,
            service=order["service"],
            version=order["to"],
            deadline_s=float(order["deadlineS"]),
        )
    except (ValueError, KeyError, TypeError) as error:
        raise ConfigurationError(
            f"order {row.key} can't be read: {error!r}"
        ) from error


def status_row(service: str, version: str, phase: RolloutPhase) -> RowPut:
    """Returns the row that tells the operators how far an order went."""
    state = STATES.get(phase, IN_PROGRESS)
    value = json.dumps({"service": service, "to": version, "state": state})
    return RowPut(STATUS, f"{ORDER_PREFIX}{service}", value.encode())
