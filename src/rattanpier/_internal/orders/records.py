"""What orders say, and what is kept of who may give them."""

from __future__ import annotations

import attrs

PREFIX = "orders/"


@attrs.frozen
class Order:
    """The wanted end, so that repeating an order is harmless.

    Attributes:
      versions: Versions that the worker is to serve, sorted.
      epoch: Fencing number of the sender.
    """

    versions: list[str]
    epoch: int


@attrs.frozen
class WorkerState:
    """What a worker says of itself.

    Attributes:
      versions: Versions that it serves, sorted.
      epoch: Highest fencing number it has seen; 0 if it does not check any.
    """

    versions: list[str]
    epoch: int = 0


@attrs.frozen
class OrdersLease:
    """Who may give orders to an upstream's workers.

    Attributes:
      owner: Member name.
      incarnation: Start of that process.
      epoch: Rises with each owner: the fencing number.
      renewal: Rises with each renewal.
    """

    owner: str
    incarnation: str
    epoch: int
    renewal: int = 0


def lease_key(upstream: str) -> str:
    """Returns the key of an upstream's lease."""
    return f"{PREFIX}{upstream}/lease"
