"""Determines when an accepted revision is in force everywhere.

A revision is in force when every member has acknowledged it, or when no member
without it can still be current. The latter holds after their validity has run
out, if too few entries are left to be a majority that votes for an outage of
the store.
"""

from __future__ import annotations

import asyncio
import zlib

import attrs
import structlog
from reactivex.subject import BehaviorSubject

from rattanpier._internal.configuration.broadcast import RevisionBroadcaster
from rattanpier._internal.configuration.follow import Follower
from rattanpier._internal.configuration.limits import (
    read_in_force,
    read_staleness_bounds,
    write_in_force,
)
from rattanpier._internal.configuration.progress import Progress, Propagation
from rattanpier._internal.configuration.recent_members import (
    CLOCK_MARGIN_S,
    RecentMembers,
)
from rattanpier._internal.configuration.store import (
    Revision,
    read_revision,
)
from rattanpier._internal.exceptions import StoreUnavailableError
from rattanpier._internal.kernel import Kernel
from rattanpier._internal.membership.members import Members
from rattanpier._internal.membership.records import incarnation_id
from rattanpier._internal.models.member import MEMBER_PREFIX, Member, Role
from rattanpier._internal.store.table import Table, scan_all
from rattanpier._internal.utils.clock import Clock
from rattanpier._internal.utils.codec import decode
from rattanpier._internal.utils.metrics import Metrics

log = structlog.get_logger(part="config")

ROUND_INTERVAL_S = 0.25  # Between pushes and member checks.
PROGRESS_POLL_S = ROUND_INTERVAL_S / 5  # Between checks of the progress.


@attrs.define
class InForceTracker:
    """Propagates accepted revisions and reports when they are in force.

    Attributes:
      table: The store.
      clock: Clock for rounds and validities.
      follower: The configuration in force on this node.
      members: The members of the fleet.
      broadcaster: Pushes revisions to members.
      metrics: Counts the revisions in force.
      started_at: Monotonic seconds at the start of this process.
      progress: Emits the progress of the newest revision.
      recent_members: Members that were live recently.
      propagation: State of the newest revision, or None.
      wake: Set when there is a revision to propagate.
    """

    table: Table
    clock: Clock
    follower: Follower
    members: Members
    broadcaster: RevisionBroadcaster
    metrics: Metrics
    started_at: float
    progress: BehaviorSubject[Progress] = attrs.field(
        factory=lambda: BehaviorSubject(Progress())
    )
    recent_members: RecentMembers = attrs.Factory(RecentMembers)
    propagation: Propagation | None = None
    wake: asyncio.Event = attrs.Factory(asyncio.Event)

    def begin(self, revision: Revision) -> None:
        """Starts to propagate an accepted revision."""
        if (
            self.propagation is not None
            and self.propagation.revision >= revision.revision
        ):
            return
        self.follower.apply_revision(revision.revision, revision.text)
        packed = zlib.compress(revision.text.encode())
        self.propagation = Propagation(
            revision.revision, packed, self.clock.monotonic()
        )
        self.progress.on_next(Progress(revision.revision))
        self.wake.set()

    async def run(self, kernel: Kernel) -> None:
        """Propagates the newest revision until the process stops."""
        while not kernel.stopping.is_set():
            await self.wake.wait()
            self.wake.clear()
            while (
                self.propagation is not None
                and not self.progress.value.in_force
            ):
                await self.step(self.propagation)
                if not self.progress.value.in_force:
                    await self.clock.sleep(ROUND_INTERVAL_S)

    async def watch_members(self, kernel: Kernel) -> None:
        """Records the live members until the process stops."""
        while not kernel.stopping.is_set():
            self.record_live_members()
            await self.clock.sleep(ROUND_INTERVAL_S)

    def record_live_members(self) -> None:
        """Records the live members and drops those not live for too long."""
        fleet = self.follower.configuration.fleet
        self.recent_members.record_validity(fleet.validity_s)
        live = list(self.members.live.value.values())
        self.recent_members.record_live(live, self.clock.monotonic())

    async def step(self, propagation: Propagation) -> None:
        """Pushes a revision once and updates its progress."""
        try:
            await self.prepare(propagation)
        except StoreUnavailableError:
            log.info(
                "Members can't be read from the store.",
                revision=propagation.revision,
            )
        await self.push(propagation)
        reason = self.in_force_reason(propagation)
        if self.propagation is not propagation:
            return
        if reason:
            self.metrics.count(f"config.in_force.{reason}")
            log.info(
                "Revision in force everywhere.", revision=propagation.revision
            )
            await write_in_force(self.table, propagation.revision)
        self.progress.on_next(propagation.progress(bool(reason)))

    async def prepare(self, propagation: Propagation) -> None:
        """Reads the members that need the revision, once for each revision.

        Raises:
          StoreUnavailableError: The store did not answer.
        """
        if propagation.staleness_bounds is not None:
            return
        rows = await scan_all(self.table, MEMBER_PREFIX)
        found = [decode(Member, row.value) for row in rows]
        recent = self.recent_members.members()
        bounds = await read_staleness_bounds(self.table, propagation.revision)
        propagation.expected = {
            incarnation_id(member): member for member in [*found, *recent]
        }
        propagation.staleness_bounds = bounds

    async def push(self, propagation: Propagation) -> None:
        """Pushes the revision and waits for at most one round.

        Frozen or dead members must not delay the decision whether the revision
        is in force.
        """
        if self.follower.revision >= propagation.revision:
            propagation.acked.add(incarnation_id(self.members.me))
        if propagation.pushing is None or propagation.pushing.done():
            propagation.pushing = asyncio.get_running_loop().create_task(
                self.push_all(propagation)
            )
        await asyncio.wait({propagation.pushing}, timeout=ROUND_INTERVAL_S)

    async def push_all(self, propagation: Propagation) -> None:
        """Pushes the revision once to members that may not have it."""
        live = self.members.live.value
        wanted = (
            propagation.waiting()
            if propagation.expected
            else list(live.values())
        )
        # A new incarnation of a member has another address.
        targets = [live.get(member.name, member) for member in wanted]
        # Live members come first, since they are most likely to relay. The
        # order is rotated, so that each round starts with another member.
        targets.sort(key=lambda member: member.name not in live)
        turn = propagation.rounds % max(1, len(targets))
        propagation.rounds += 1
        propagation.acked |= await self.broadcaster.broadcast(
            propagation.revision,
            propagation.packed,
            targets[turn:] + targets[:turn],
        )

    def in_force_reason(self, propagation: Propagation) -> str:
        """Returns why the revision is in force, "" if it is not known to be.

        Returns:
          "acked" if all members have acknowledged it, "expired" if those
          without it can't be current any more.
        """
        if propagation.staleness_bounds is None:
            return ""
        validity = propagation.staleness_bounds.validity_s
        self.recent_members.record_validity(validity)
        waiting = propagation.waiting()
        if not waiting and self.knows_all_members(propagation):
            return "acked"
        now = self.clock.monotonic()
        entries = [member for member in waiting if member.role is Role.ENTRY]
        if len(entries) > propagation.staleness_bounds.max_minority:
            propagation.minority_since = None
            return ""
        if propagation.minority_since is None:
            propagation.minority_since = now
        votes_gone = (
            now - propagation.minority_since >= validity / 2 + CLOCK_MARGIN_S
        )
        expired = now - propagation.started >= validity + CLOCK_MARGIN_S
        return "expired" if votes_gone and expired else ""

    def knows_all_members(self, propagation: Propagation) -> bool:
        """Returns whether this process knows every node that may be current.

        A node may stay current for the retention time after its member row was
        removed. This process knows it if it started at least that long before
        the propagation.
        """
        return (
            propagation.started - self.started_at
            >= self.recent_members.retention_s()
        )

    async def status(self) -> Progress:
        """Returns the progress of the newest accepted revision.

        Any control process can answer. One that did not accept the revision
        itself starts to propagate it too.

        Raises:
          StoreUnavailableError: The store did not answer.
        """
        await self.follower.poll()
        head = self.follower.revision
        if head == 0 or self.progress.value.revision >= head:
            return self.progress.value
        if await read_in_force(self.table) >= head:
            return Progress(head, True)
        found = await read_revision(self.table, head)
        if found is not None:
            self.begin(found)
        return self.progress.value

    async def wait(self, revision: int, timeout_s: float) -> Progress:
        """Waits until a revision, or a newer one, is in force.

        Args:
          revision: Its number.
          timeout_s: Seconds to wait at most.

        Returns:
          The progress of the newest revision at the end.
        """
        deadline = self.clock.monotonic() + timeout_s
        while self.clock.monotonic() < deadline:
            progress = self.progress.value
            if progress.in_force and progress.revision >= revision:
                break
            await self.clock.sleep(PROGRESS_POLL_S)
        return self.progress.value
