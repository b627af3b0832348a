"""Finds out when an accepted revision is in force everywhere.

It is when every member acknowledged it, or when no member without it may
still take itself for current: their validity has run out, and too few of them
are left to take the silence of the store for an outage.
"""

from __future__ import annotations

import asyncio
import zlib

import attrs
import structlog
from reactivex.subject import BehaviorSubject

from rattanpier._internal.configuration.follow import Follower
from rattanpier._internal.configuration.limits import (
    read_in_force,
    read_limits,
    write_in_force,
)
from rattanpier._internal.configuration.progress import Progress, Watch
from rattanpier._internal.configuration.sightings import (
    CLOCK_MARGIN_S,
    Sightings,
)
from rattanpier._internal.configuration.spread import Spreader
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

ROUND_S = 0.25  # Between two pushes, and between looks at the members.
WAIT_POLL_S = ROUND_S / 5  # Between looks at the progress.


@attrs.define
class InForce:
    """Spreads accepted revisions and tells when they are in force.

    Attributes:
      progress: Emits how far the newest revision has come.
      born: Monotonic seconds at the start of this process.
      sightings: Members seen live lately.
      watch: The revision on its way, or None.
      wake: Set when there is a revision to spread.
    """

    table: Table
    clock: Clock
    follower: Follower
    members: Members
    spreader: Spreader
    metrics: Metrics
    born: float
    progress: BehaviorSubject[Progress] = attrs.field(
        factory=lambda: BehaviorSubject(Progress())
    )
    sightings: Sightings = attrs.Factory(Sightings)
    watch: Watch | None = None
    wake: asyncio.Event = attrs.Factory(asyncio.Event)

    def begin(self, revision: Revision) -> None:
        """Starts to spread an accepted revision."""
        if self.watch is not None and self.watch.revision >= revision.revision:
            return
        self.follower.enforce(revision.revision, revision.text)
        packed = zlib.compress(revision.text.encode())
        self.watch = Watch(revision.revision, packed, self.clock.monotonic())
        self.progress.on_next(Progress(revision.revision))
        self.wake.set()

    async def run(self, kernel: Kernel) -> None:
        """Carries the newest revision through until the end."""
        while not kernel.stopping.is_set():
            await self.wake.wait()
            self.wake.clear()
            while self.watch is not None and not self.progress.value.in_force:
                await self.step(self.watch)
                if not self.progress.value.in_force:
                    await self.clock.sleep(ROUND_S)

    async def watch_members(self, kernel: Kernel) -> None:
        """Remembers who was live lately, until the end."""
        while not kernel.stopping.is_set():
            self.note_sightings()
            await self.clock.sleep(ROUND_S)

    def note_sightings(self) -> None:
        """Notes who is live, and forgets who was not for long enough."""
        fleet = self.follower.configuration.fleet
        self.sightings.note_validity(fleet.validity_s)
        live = list(self.members.live.value.values())
        self.sightings.note(live, self.clock.monotonic())

    async def step(self, watch: Watch) -> None:
        """Spreads a revision once and judges how far it has come."""
        try:
            await self.prepare(watch)
        except StoreUnavailableError:
            log.info("Nodes can't be counted now.", revision=watch.revision)
        await self.push(watch)
        how = self.judge(watch)
        if self.watch is not watch:
            return
        if how:
            self.metrics.count(f"config.in_force.{how}")
            log.info("Revision in force everywhere.", revision=watch.revision)
            await write_in_force(self.table, watch.revision)
        self.progress.on_next(watch.progress(bool(how)))

    async def prepare(self, watch: Watch) -> None:
        """Reads, once the revision is accepted, who has to have it.

        Raises:
          StoreUnavailableError: The store did not answer.
        """
        if watch.limits is not None:
            return
        rows = await scan_all(self.table, MEMBER_PREFIX)
        found = [decode(Member, row.value) for row in rows]
        lately = self.sightings.members()
        limits = await read_limits(self.table, watch.revision)
        watch.expected = {
            incarnation_id(member): member for member in [*found, *lately]
        }
        watch.limits = limits

    async def push(self, watch: Watch) -> None:
        """Pushes the revision, and waits for answers no longer than a round.

        Members that are frozen or dead must not hold up the judgement.
        """
        if self.follower.revision >= watch.revision:
            watch.acked.add(incarnation_id(self.members.me))
        if watch.pushing is None or watch.pushing.done():
            watch.pushing = asyncio.get_running_loop().create_task(
                self.push_all(watch)
            )
        await asyncio.wait({watch.pushing}, timeout=ROUND_S)

    async def push_all(self, watch: Watch) -> None:
        """Pushes the revision once to those that may not have it."""
        live = self.members.live.value
        wanted = watch.waiting() if watch.expected else list(live.values())
        # A new process under an old name has another address.
        targets = [live.get(member.name, member) for member in wanted]
        # Those most likely to relay come first, and another one each round.
        targets.sort(key=lambda member: member.name not in live)
        turn = watch.rounds % max(1, len(targets))
        watch.rounds += 1
        watch.acked |= await self.spreader.spread(
            watch.revision, watch.packed, targets[turn:] + targets[:turn]
        )

    def judge(self, watch: Watch) -> str:
        """Says by what the revision is in force, or an empty string."""
        if watch.limits is None:
            return ""
        validity = watch.limits.validity_s
        self.sightings.note_validity(validity)
        waiting = watch.waiting()
        if not waiting and self.knows_all(watch):
            return "acked"
        now = self.clock.monotonic()
        entries = [member for member in waiting if member.role is Role.ENTRY]
        if len(entries) > watch.limits.minority:
            watch.minority_since = None
            return ""
        if watch.minority_since is None:
            watch.minority_since = now
        votes_gone = now - watch.minority_since >= validity / 2 + CLOCK_MARGIN_S
        expired = now - watch.started >= validity + CLOCK_MARGIN_S
        return "expired" if votes_gone and expired else ""

    def knows_all(self, watch: Watch) -> bool:
        """Says whether no node's row was removed unseen by this process."""
        return watch.started - self.born >= self.sightings.memory_s()

    async def status(self) -> Progress:
        """Returns how far the accepted revision has come.

        Any control process can tell: one that did not accept the revision
        itself starts to spread it too.

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
        """Waits until a revision, or a newer one, is in force."""
        give_up = self.clock.monotonic() + timeout_s
        while self.clock.monotonic() < give_up:
            progress = self.progress.value
            if progress.in_force and progress.revision >= revision:
                break
            await self.clock.sleep(WAIT_POLL_S)
        return self.progress.value
