"""Messages of the order protocol and the stored lease of its sender."""

from __future__ import annotations

import attrs

PREFIX = "orders/"


@attrs.frozen
class Order:
    """Versions a worker is to serve.

    It states the desired result, so that orders are idempotent.

    Attributes:
      versions: Versions that the worker is to serve, sorted.
      epoch: Fencing number of the sender.
    """

    versions: list[str]
    epoch: int


@attrs.frozen
class WorkerState:
    """State that a worker reports.

    Attributes:
      versions: Versions that it serves, sorted.
      epoch: Highest fencing number received; 0 if it checks none.
    """

    versions: list[str]
    epoch: int = 0


@attrs.frozen
class OrdersLease:
    """Lease that allows a member to send orders to an upstream's workers.

    Attributes:
      owner: Member name of the holder.
      incarnation: Incarnation of the holder's process.
      epoch: Fencing number; increases with each change of owner.
      renewal: Increases with each renewal.
    """

    owner: str
    incarnation: str
    epoch: int
    renewal: int = 0


def lease_key(upstream: str) -> str:
    """Returns the row key of an upstream's lease."""
    return f"{PREFIX}{upstream}/lease"
