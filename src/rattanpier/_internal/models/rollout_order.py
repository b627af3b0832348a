"""An operator's order to move a service to another version."""

from __future__ import annotations

import enum

import attrs

from rattanpier._internal.models.revision import Revision
from rattanpier._internal.utils.record import Record


class RolloutPhase(enum.StrEnum):
    """Phase of a roll-out, in the order of progress."""

    TRYING = "trying"  # A small share, to collect evidence.
    EXTENDING = "extending"  # A slightly larger share, after few answers.
    WIDENING = "widening"  # A larger share, to test it under load.
    FULL = "full"  # All new requests; old workers finish theirs.
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"

    @property
    def final(self) -> bool:
        """Whether no other phase can follow."""
        return self in (RolloutPhase.COMPLETED, RolloutPhase.ROLLED_BACK)


@attrs.frozen(eq=False, repr=False)
class RolloutOrder(Record):
    """An order to roll out a version of a service.

    Attributes:
      id: Unique id: the number of the revision at which the order was first
        read.
      service: Service whose traffic is moved.
      version: Version that the traffic is moved to.
      deadline_s: Seconds from the order within which it should be completed.
      revision: Store revision of its row when last read.
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


@attrs.frozen(eq=False, repr=False)
class RolloutRecord(Record):
    """Progress of an order that all entries share through the store.

    Attributes:
      order: Id of the order.
      service: Service of the order.
      version: Version of the order.
      phase: Current phase.
      begun_ms: The store's monotonic clock at the start of the first phase, in
        ms.
      since_ms: The store's monotonic clock at the start of the current phase,
        in ms.
      seen: Number of the revision of the order's row that the writer of this
        record read last; 0: the order's id.
      unproven: Versions of earlier orders of the service that were rolled back
        or not finished.
      extending_share: Share of sessions for the new version in the extending
        phase, 0 to 1; 0: the least share of that phase.
    """

    order: int
    service: str
    version: str
    phase: RolloutPhase
    begun_ms: float
    since_ms: float
    seen: int = 0
    unproven: list[str] = attrs.Factory(list)
    extending_share: float = 0.0
