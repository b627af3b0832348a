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

from rattanpier._internal.configuration.currency import majority
from rattanpier._internal.configuration.follow import Follower
from rattanpier._internal.configuration.parse import parse_configuration
from rattanpier._internal.configuration.spread import Spreader, member_id
from rattanpier._internal.configuration.store import (
    Revision,
    read_revision,
)
from rattanpier._internal.exceptions import (
    ConfigurationError,
    StoreUnavailableError,
)
from rattanpier._internal.kernel import Kernel
from rattanpier._internal.membership.members import Members
from rattanpier._internal.models.configuration import Fleet
from rattanpier._internal.models.member import MEMBER_PREFIX, Member, Role
from rattanpier._internal.platform.table import (
    Put,
    Table,
    Transaction,
    scan_all,
)
from rattanpier._internal.utils.clock import Clock
from rattanpier._internal.utils.codec import decode, encode
from rattanpier._internal.utils.metrics import Metrics

log = structlog.get_logger(part="config")

ROUND_S = 0.25
MARGIN_S = 0.3  # For clocks that run at slightly unlike rates.
IN_FORCE_KEY = "config/in_force"
MAX_LOOKBACK = 100


@attrs.frozen
class InForceRow:
    """The newest revision known to be in force everywhere."""

    revision: int = 0


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


@attrs.frozen
class Limits:
    """What a node on an older revision may go by.

    Attributes:
      validity_s: The longest validity of the older revisions.
      minority: So many entries are never a majority under any of them.
    """

    validity_s: float
    minority: int


@attrs.define
class Watch:
    """One revision on its way.

    Attributes:
      revision: Its number.
      packed: Its compressed text.
      started: Monotonic time, after it was accepted.
      limits: What nodes without it may go by; None until it was read.
      expected: The members counted on, by id.
      acked: Ids of the members that have it.
      minority_since: Since when too few entries are without it.
      pushing: The push under way, or None.
      rounds: Pushes begun.
    """

    revision: int
    packed: bytes
    started: float
    limits: Limits | None = None
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


@attrs.define
class InForce:
    """Spreads accepted revisions and tells when they are in force.

    Attributes:
      progress: Emits how far the newest revision has come.
      sightings: When each member was last seen live, by id.
      born: Monotonic time of the start of this process.
      longest_validity_s: The longest validity that this process has seen.
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
    sightings: dict[str, tuple[float, Member]] = attrs.Factory(dict)
    watch: Watch | None = None
    wake: asyncio.Event = attrs.Factory(asyncio.Event)
    longest_validity_s: float = 0.0

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
        now = self.clock.monotonic()
        validity = self.follower.configuration.fleet.validity_s
        self.longest_validity_s = max(self.longest_validity_s, validity)
        for member in self.members.live.value.values():
            self.sightings[member_id(member)] = (now, member)
        kept = self.memory_s()
        self.sightings = {
            name: (seen, member)
            for name, (seen, member) in self.sightings.items()
            if now - seen < kept
        }

    def memory_s(self) -> float:
        """Returns how long a node without a row may take itself for current.

        It looks for its row once per half validity, and a confirmation lasts
        for one more; see `Follower.check_registration`.
        """
        return 2 * self.longest_validity_s + MARGIN_S

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
            await self.note_in_force(watch.revision)
        self.progress.on_next(
            Progress(
                watch.revision,
                bool(how),
                frozenset(watch.acked),
                frozenset(member_id(member) for member in watch.waiting()),
            )
        )

    async def prepare(self, watch: Watch) -> None:
        """Reads, once the revision is accepted, who has to have it.

        Raises:
          StoreUnavailableError: The store did not answer.
        """
        if watch.limits is not None:
            return
        rows = await scan_all(self.table, MEMBER_PREFIX)
        found = [decode(Member, row.value) for row in rows]
        lately = [member for _, member in self.sightings.values()]
        limits = await self.read_limits(watch.revision)
        watch.expected = {
            member_id(member): member for member in [*found, *lately]
        }
        watch.limits = limits

    async def read_limits(self, revision: int) -> Limits:
        """Returns what nodes on revisions before may go by.

        Raises:
          StoreUnavailableError: The store did not answer.
        """
        row = await self.table.get(IN_FORCE_KEY)
        first = decode(InForceRow, row.value).revision if row else 0
        first = max(first, revision - MAX_LOOKBACK, 1)
        fleets = []
        for number in range(first, revision):
            found = await read_revision(self.table, number)
            if found is not None:
                fleets.append(fleet_of(found.text))
        fleets = fleets or [Fleet()]
        return Limits(
            max(fleet.validity_s for fleet in fleets),
            min(majority(fleet) for fleet in fleets) - 1,
        )

    async def push(self, watch: Watch) -> None:
        """Pushes the revision, and waits for answers no longer than a round.

        Members that are frozen or dead must not hold up the judgement.
        """
        if self.follower.revision >= watch.revision:
            watch.acked.add(member_id(self.members.me))
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
        self.longest_validity_s = max(self.longest_validity_s, validity)
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
        votes_gone = now - watch.minority_since >= validity / 2 + MARGIN_S
        expired = now - watch.started >= validity + MARGIN_S
        return "expired" if votes_gone and expired else ""

    def knows_all(self, watch: Watch) -> bool:
        """Says whether no node's row was removed unseen by this process."""
        return watch.started - self.born >= self.memory_s()

    async def note_in_force(self, revision: int) -> None:
        """Writes down that a revision is in force; may fail harmlessly."""
        put = Put(IN_FORCE_KEY, encode(InForceRow(revision)))
        await self.table.transact(Transaction(puts=[put]))

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
        row = await self.table.get(IN_FORCE_KEY)
        if row is not None and decode(InForceRow, row.value).revision >= head:
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
            await self.clock.sleep(ROUND_S / 5)
        return self.progress.value


def fleet_of(text: str) -> Fleet:
    """Returns the fleet section of a revision; no node runs a broken one."""
    try:
        return parse_configuration(text).fleet
    except ConfigurationError:
        return Fleet()
