"""Progress of a revision towards being in force on all members."""

from __future__ import annotations

import asyncio

import attrs

from rattanpier._internal.configuration.limits import StalenessBounds
from rattanpier._internal.membership.records import incarnation_id
from rattanpier._internal.models.member import Member


@attrs.frozen
class Progress:
    """Progress of one revision, as reported to operators.

    Attributes:
      revision: The newest accepted revision that is being propagated.
      in_force: Whether it is in force everywhere.
      acked: Incarnation ids of the members that have it.
      waiting: Incarnation ids of the members that may not have it.
    """

    revision: int = 0
    in_force: bool = False
    acked: frozenset[str] = frozenset()
    waiting: frozenset[str] = frozenset()


@attrs.define
class Propagation:
    """State of the propagation of one revision.

    Attributes:
      revision: Its number.
      packed: Its text, compressed by zlib.
      started: Monotonic seconds of the start, after it was accepted.
      staleness_bounds: Bounds for nodes without it. None until they are read.
      expected: Members that have to acknowledge it, by incarnation id.
      acked: Incarnation ids of the members that have it.
      minority_since: Monotonic seconds since which the entries without it
        are too few to be a majority. None while they may be one.
      pushing: The push in progress, or None.
      rounds: Number of pushes started.
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
        """Returns the members that may not have the revision."""
        return [
            member
            for name, member in self.expected.items()
            if name not in self.acked
        ]

    def progress(self, in_force: bool) -> Progress:
        """Returns the progress to report."""
        return Progress(
            self.revision,
            in_force,
            frozenset(self.acked),
            frozenset(incarnation_id(member) for member in self.waiting()),
        )
