"""What entries tell each other of themselves and of what they saw."""

from __future__ import annotations

import attrs

from rattanpier._internal.models.departure import Departure
from rattanpier._internal.models.domain_order import DomainOrder
from rattanpier._internal.models.rate_limit import RateLimit
from rattanpier._internal.models.rollout_order import (
    RolloutOrder,
    RolloutRecord,
)
from rattanpier._internal.models.worker_end import QuarantineNews
from rattanpier._internal.relay.fleet import EntryState
from rattanpier._internal.relay.held_sessions import HeldSession


@attrs.frozen
class StateUpdate:
    """What changed.

    Attributes:
      members: States of entries.
      records: How far roll-outs went.
      stopped: Orders whose version was found to be worse.
      held: Sessions that stay with the old version.
      quarantine: Requests under which workers ended.
      drained: Orders that keep failure domains empty.
      limits: How much workers say that they take.
      leaving: Incarnations of workers that said that they leave.
      departed: Starts of workers that are gone, though the store's table
        shows them since it came back from an older copy.
      orders: Roll-out orders that the store lacks since it came back from an
        older copy.
      table_version: Of the route table in force, told for a while after the
        store came back from an older copy, which may hold an older one.
      restored: Era in which the system's own rows stand again, 0: none.
    """

    members: list[EntryState] = attrs.Factory(list)
    records: list[RolloutRecord] = attrs.Factory(list)
    stopped: list[int] = attrs.Factory(list)
    held: list[HeldSession] = attrs.Factory(list)
    quarantine: QuarantineNews = attrs.Factory(QuarantineNews)
    drained: list[DomainOrder] = attrs.Factory(list)
    limits: list[RateLimit] = attrs.Factory(list)
    leaving: list[str] = attrs.Factory(list)
    departed: list[Departure] = attrs.Factory(list)
    orders: list[RolloutOrder] = attrs.Factory(list)
    table_version: int = -1
    restored: int = 0


@attrs.frozen
class KnownStates:
    """Which state of each entry is known.

    Attributes:
      orders: What tells an entry's newer state from an older one, by name.
    """

    orders: dict[str, tuple[float, int, bool]]


@attrs.frozen
class StateDiff:
    """One entry's knowledge against another's.

    Attributes:
      news: What the other lacks.
      wanted: Names of entries of which the other knows more.
    """

    news: StateUpdate
    wanted: list[str]
