"""Verifies reports of peers that a member is gone."""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Callable

import attrs

from rattanpier._internal.membership.probing import Probe, Prober
from rattanpier._internal.membership.records import incarnation_id
from rattanpier._internal.membership.roster import Roster
from rattanpier._internal.models.member import Member, MemberState
from rattanpier._internal.utils.clock import Clock
from rattanpier._internal.utils.metrics import Metrics

VERIFY_TIMEOUT_S = 1.0
REPEAT_WINDOW_S = 10.0  # Repeated reports within this time are ignored.
MAX_REPORTS = 1_000  # Reports remembered to detect repetitions.


@attrs.define
class GoneReports:
    """Applies reports that a member is gone.

    A member that still answers this process is kept: in a network partition
    each side declares the other side gone, and must keep its own members.

    Attributes:
      prober: Probes a reported member; None in a process without peers.
      spawn: Runs a task; None until this process runs. Until then every
        report is accepted without a probe.
      reported_at: Monotonic seconds of the last report, by
        "name/incarnation", the oldest first.
    """

    roster: Roster
    clock: Clock
    metrics: Metrics
    prober: Prober | None
    spawn: Callable[..., asyncio.Task] | None = None
    reported_at: collections.OrderedDict[str, float] = attrs.Factory(
        collections.OrderedDict
    )

    def apply_report(self, identity: str) -> bool:
        """Applies a report that a "name/incarnation" is gone.

        Returns:
          True if the report was new.
        """
        if identity in self.roster.departed or self.is_repeat(identity):
            return False
        self.record_report(identity)
        known = self.roster.known.get(identity.split("/")[0])
        if (
            self.spawn is None
            or known is None
            or incarnation_id(known) != identity
            or known.state is MemberState.LEAVING
        ):
            self.roster.apply_departure(identity)
        else:
            self.spawn(self.verify(known))
        return True

    def is_repeat(self, identity: str) -> bool:
        """Returns whether the same was reported a short time ago."""
        reported_at = self.reported_at.get(identity, float("-inf"))
        return self.clock.monotonic() - reported_at < REPEAT_WINDOW_S

    def record_report(self, identity: str) -> None:
        """Records the time of a report and drops the oldest reports."""
        self.reported_at[identity] = self.clock.monotonic()
        self.reported_at.move_to_end(identity)
        while len(self.reported_at) > MAX_REPORTS:
            self.reported_at.popitem(last=False)

    async def verify(self, member: Member) -> None:
        """Removes a member unless it answers this process."""
        assert self.prober is not None
        found = await self.prober.ping(member, VERIFY_TIMEOUT_S)
        if found is Probe.ALIVE:
            self.metrics.count("members.kept")
        else:
            self.roster.apply_departure(incarnation_id(member))
