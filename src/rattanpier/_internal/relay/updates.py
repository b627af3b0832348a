"""Messages by which entries exchange state.

Field names are on the wire and can't be changed.
"""

from __future__ import annotations

import attrs

from rattanpier._internal.models.deregistration import Deregistration
from rattanpier._internal.models.domain_order import DomainOrder
from rattanpier._internal.models.rate_limit import RateLimit
from rattanpier._internal.models.rollout_order import (
    RolloutOrder,
    RolloutRecord,
)
from rattanpier._internal.models.worker_crash import QuarantineUpdate
from rattanpier._internal.relay.fleet import EntryState
from rattanpier._internal.relay.held_sessions import HeldSession
from rattanpier._internal.utils.record import Record


@attrs.frozen(eq=False, repr=False)
class StateUpdate(Record):
    """State that changed, or that a peer may lack.

    Attributes:
      members: States of entries.
      records: Progress of roll-outs.
      stopped: Ids of roll-out orders whose version was found to be worse.
      held: Sessions that stay with the old version.
      quarantine: Requests under which workers crashed.
      drained: Orders that keep failure domains drained.
      limits: Rate limits that workers announced.
      brittle: Refusals within a second that workers say they stand.
      full: Incarnations of brittle workers that refused a request just now.
      leaving: Incarnations of workers that announced that they leave.
      departed: Incarnations of deregistered workers that the store's table
        still lists because the store was restored from a backup.
      orders: Roll-out orders that the store lacks because it was restored
        from a backup.
      table_version: Version of the route table in force, or -1. Sent for a
        while after the store was restored from a backup, which may hold an
        older table.
      restored: Era of the store in which the system's own rows were written
        again, or 0 if there is none.
    """

    members: list[EntryState] = attrs.Factory(list)
    records: list[RolloutRecord] = attrs.Factory(list)
    stopped: list[int] = attrs.Factory(list)
    held: list[HeldSession] = attrs.Factory(list)
    quarantine: QuarantineUpdate = attrs.Factory(QuarantineUpdate)
    drained: list[DomainOrder] = attrs.Factory(list)
    limits: list[RateLimit] = attrs.Factory(list)
    brittle: list[RateLimit] = attrs.Factory(list)
    full: list[str] = attrs.Factory(list)
    leaving: list[str] = attrs.Factory(list)
    departed: list[Deregistration] = attrs.Factory(list)
    orders: list[RolloutOrder] = attrs.Factory(list)
    table_version: int = -1
    restored: int = 0


@attrs.frozen(eq=False, repr=False)
class KnownStates(Record):
    """Versions of the entry states that an entry knows.

    Attributes:
      orders: Sort key of each entry's state, by name; the larger is the newer.
    """

    orders: dict[str, tuple[float, int, bool]]


@attrs.frozen(eq=False, repr=False)
class StateDiff(Record):
    """Result of comparing the state of two entries.

    Attributes:
      news: State that the other entry lacks.
      wanted: Names of entries whose newer state the other entry has.
    """

    news: StateUpdate
    wanted: list[str]
