"""Decodes operators' roll-out orders and encodes their status."""

from __future__ import annotations

import json
import math

import attrs

from rattanpier._internal.exceptions import UnreadableError
from rattanpier._internal.models.feed import FeedRow, RowPut
from rattanpier._internal.models.rollout_order import (
    RolloutOrder,
    RolloutPhase,
)
from rattanpier._internal.utils.codec import parse_json, structure
from rattanpier._internal.utils.record import Record
from rattanpier._internal.utils.strict import strict_converter

ORDERS = "op"
ORDER_PREFIX = "rollout/"
STATUS = "status"
# Operators see three states; all intermediate phases are internal to entries.
STATES = {
    RolloutPhase.COMPLETED: "completed",
    RolloutPhase.ROLLED_BACK: "rolled_back",
}
IN_PROGRESS = "in_progress"

# Operators may set fields that an entry doesn't need.
converter = strict_converter(forbid_extra_keys=False, detailed=False)


@attrs.frozen(eq=False, repr=False)
class OrderRow(Record):
    """An operator's order to roll out a version of a service.

    Attributes:
      version: Target version.
      deadline_s: Seconds from the order to its deadline.
    """

    service: str
    version: str = attrs.field(alias="to")
    deadline_s: float = attrs.field(alias="deadlineS")


def is_order(row: FeedRow) -> bool:
    """Returns whether a row of the operators' table is a roll-out order."""
    return row.key.startswith(ORDER_PREFIX)


def decode_order(row: FeedRow) -> RolloutOrder:
    """Returns the order that a row holds.

    Raises:
      UnreadableError: The row can't be decoded.
    """
    order = structure(converter, OrderRow, parse_json(row.value))
    if not math.isfinite(order.deadline_s):
        raise UnreadableError(f"deadlineS is {order.deadline_s}")
    return RolloutOrder(
        id=row.revision.number,
        service=order.service,
        version=order.version,
        deadline_s=order.deadline_s,
        revision=row.revision,
    )


def status_row(service: str, version: str, phase: RolloutPhase) -> RowPut:
    """Returns the row that shows operators the state of an order."""
    state = STATES.get(phase, IN_PROGRESS)
    value = json.dumps({"service": service, "to": version, "state": state})
    return RowPut(STATUS, f"{ORDER_PREFIX}{service}", value.encode())
