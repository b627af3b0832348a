"""How far a revision has come on its way to all members."""

from __future__ import annotations

import asyncio

import attrs

from rattanpier._internal.configuration.limits import StalenessBounds
from rattanpier._internal.membership.records import incarnation_id
from rattanpier._internal.models.member import Member


@attrs.frozen
class Progress:
    """How far a revision has come.

    Attributes:
      revision: The newest accepted revision that is being spread.
      in_force: Whether it is in force everywhere.
      acked: Ids of the members that have it.
      waiting: Ids of the members that may not have it.
    """

    revision: int = 0
    in_force: bool = False
    acked: frozenset[str] = frozenset()
    waiting: frozenset[str] = frozenset()


@attrs.define
class Propagation:
    """One revision on its way.

    Attributes:
      revision: Its number.
      packed: Its compressed text.
      started: Monotonic seconds, after it was accepted.
      staleness_bounds: What nodes without it may go by; None until it was read.
      expected: The members counted on, by id.
      acked: Ids of the members that have it.
      minority_since: Monotonic seconds since which too few entries
        are without it.
      pushing: The push under way, or None.
      rounds: Pushes begun.
    """

    revision: int
    packed: bytes
    started: float
    staleness_bounds: StalenessBounds | None = None
    expected: dict[str, Member] = attrs.Factory(dict)
    acked: set[str] = attrs.Factory(set)
    minority_since: float | None = None
    pushing: asyncio.Task[None] | None = None
    rounds: int = 0

    def waiting(self) -> list[Member]:
        """Returns the members that may not have it."""
        return [
            member
            for name, member in self.expected.items()
            if name not in self.acked
        ]

    def progress(self, in_force: bool) -> Progress:
        """Returns how far it has come."""
        return Progress(
            self.revision,
            in_force,
            frozenset(self.acked),
            frozenset(incarnation_id(member) for member in self.waiting()),
        )
