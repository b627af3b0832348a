"""An operator's order to move a service to another version."""

from __future__ import annotations

import enum

import attrs

from rattanpier._internal.models.revision import Revision


class RolloutPhase(enum.StrEnum):
    """How far a move went. The later in this list, the further."""

    TRYING = "trying"  # A small share, while evidence is gathered.
    EXTENDING = "extending"  # A little more, where few answers came.
    WIDENING = "widening"  # A larger share, to see it under load.
    FULL = "full"  # Everything new; the old workers end what they have.
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"

    @property
    def final(self) -> bool:
        """Whether it stays as it is."""
        return self in (RolloutPhase.COMPLETED, RolloutPhase.ROLLED_BACK)


@attrs.frozen
class RolloutOrder:
    """One order.

    Attributes:
      id: Unique to the order: the number of the revision under which it
        became known.
      service: Whose traffic is moved.
      version: Where to.
      deadline_s: Seconds after the order at which it should be done.
      revision: Of its row, as it was read last.
    """

    id: int
    service: str
    version: str
    deadline_s: float
    revision: Revision = attrs.field(
        default=attrs.Factory(
            lambda self: Revision.from_number(self.id), takes_self=True
        )
    )


@attrs.frozen
class RolloutRecord:
    """What the entries agreed on for an order, as kept in the store.

    Attributes:
      order: The order's id.
      service: Its service.
      version: Its version.
      phase: How far it went.
      begun_ms: The store's steady clock at the first phase, in ms.
      since_ms: The same at the present phase.
      seen: Number of the revision of the order's row that its writer read last;
        0: the order's own.
    """

    order: int
    service: str
    version: str
    phase: RolloutPhase
    begun_ms: float
    since_ms: float
    seen: int = 0
