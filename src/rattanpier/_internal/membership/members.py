"""Membership of one process: the directory in the store, notices and probes.

The store records which processes belong to the system. Failed processes are
detected by probes and announced by notices, so detection works while the store
is down.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import attrs
import structlog
from reactivex.subject import BehaviorSubject, Subject

from rattanpier._internal.exceptions import StoreUnavailableError
from rattanpier._internal.kernel import Kernel
from rattanpier._internal.membership.directory import (
    MAX_CANDIDATES,
    DirectoryReader,
    DirectoryWriter,
    candidate_rank,
)
from rattanpier._internal.membership.gone_reports import GoneReports
from rattanpier._internal.membership.notices import (
    Notifier,
    departed_notice,
    joined_notice,
    leaving_notice,
)
from rattanpier._internal.membership.own_row import (
    NameTaken,
    RowMissing,
    RowOwned,
    classify_row,
    read_row,
    remove_row,
    write_row,
)
from rattanpier._internal.membership.probing import PROBE_INTERVAL_S, Prober
from rattanpier._internal.membership.records import (
    Presence,
    incarnation_id,
    new_incarnation,
)
from rattanpier._internal.membership.rejoining import RejoinBackoff
from rattanpier._internal.membership.requests import (
    DirectoryRequests,
    read_requests,
)
from rattanpier._internal.membership.roster import Roster
from rattanpier._internal.models.member import (
    Member,
    MemberState,
)
from rattanpier._internal.peers.links import Links
from rattanpier._internal.peers.proto import peer_pb2
from rattanpier._internal.store.table import Table
from rattanpier._internal.utils.clock import Clock
from rattanpier._internal.utils.metrics import Metrics

log = structlog.get_logger(part="members")

ROW_WRITES_PER_S = 20.0  # Budget of all processes together.
MIN_REFRESH_S = 2.0
ROW_STALE_PERIODS = 3  # Refresh periods after which a row is stale.
MAINTAIN_INTERVAL_S = 1.0  # Between checks or renewals of the lease.
READ_INTERVAL_S = 2.0  # Between reads of the directory.
# A process that is not in the directory after this time watches the lease too.
UNRECORDED_TIMEOUT_S = 3.0
# A process that a peer answered within this time is not partitioned.
MAX_ANSWER_AGE_S = 3.0
MAX_REMOVE_ATTEMPTS = 3


@attrs.define
class Members:
    """Membership as one process sees it.

    Attributes:
      me: This process; its incarnation changes when it rejoins.
      links: Links to peers; None in a process without peers.
      rejoined: Emits this process's member after each change of incarnation.
      announced: This process as last announced to peers, or None.
      announced_at: Monotonic seconds at which its incarnation was announced.
      recorded: Whether the directory has this incarnation.
      yielded: Whether this process gave up its name to another one.
      must_rejoin: Whether this process was declared gone.
      rejoin_backoff: Limits how often this process rejoins.
      next_refresh: Monotonic seconds at which the own row is refreshed next.
    """

    me: Member
    table: Table
    clock: Clock
    links: Links | None = None
    metrics: Metrics = attrs.Factory(Metrics)
    roster: Roster = attrs.Factory(Roster)
    rejoined: Subject[Member] = attrs.field(factory=Subject)
    announced: Member | None = None
    announced_at: float = 0.0
    recorded: bool = False
    yielded: bool = False
    must_rejoin: bool = False
    rejoin_backoff: RejoinBackoff = attrs.Factory(RejoinBackoff)
    next_refresh: float = float("-inf")
    reader: DirectoryReader = attrs.field(init=False)
    writer: DirectoryWriter = attrs.field(init=False)
    requests: DirectoryRequests = attrs.field(init=False)
    notifier: Notifier = attrs.field(init=False)
    gone_reports: GoneReports = attrs.field(init=False)
    prober: Prober | None = attrs.field(init=False, default=None)

    def __attrs_post_init__(self) -> None:
        """Creates the components and connects them."""
        self.reader = DirectoryReader(self.table)
        self.writer = DirectoryWriter(self.table, self.clock)
        self.requests = DirectoryRequests(self.table)
        self.notifier = Notifier(lambda: self.me, self.roster, self.links)
        if self.links is not None:
            self.prober = self.build_prober(self.links)
        self.gone_reports = GoneReports(
            self.roster, self.clock, self.metrics, self.prober
        )
        self.roster.apply_presence(Presence(self.me))

    def build_prober(self, links: Links) -> Prober:
        """Returns the prober of peers, connected to this membership."""
        return Prober(
            me=lambda: self.me,
            roster=self.roster,
            links=links,
            table=self.table,
            clock=self.clock,
            metrics=self.metrics,
            on_gone=self.declare_gone,
            on_self_gone=self.record_self_gone,
            on_unknown=self.announce_to,
            row_stale_s=lambda: ROW_STALE_PERIODS * self.refresh_s,
            directory_revision=lambda: self.reader.revision or 0,
        )

    # For other services.

    @property
    def live(self) -> BehaviorSubject[dict[str, Member]]:
        """Emits the live members by name, this process among them."""
        return self.roster.live

    def alive(self, holder: str) -> bool:
        """Says whether a holder's process may still be running.

        Args:
          holder: "name/incarnation/request", as in a claim.
        """
        return self.roster.alive("/".join(holder.split("/")[:2]))

    def entries(self) -> list[Member]:
        """Returns the entries that callers may be sent to."""
        return self.roster.entries()

    def others(self) -> list[Member]:
        """Returns the other live members."""
        return self.roster.others(self.me.name)

    # Periodic work.

    async def run(self, kernel: Kernel) -> None:
        """Runs the periodic work of membership until shutdown."""
        if self.prober is not None:
            self.gone_reports.spawn = kernel.spawn
        work = [
            (self.maintain, MAINTAIN_INTERVAL_S),
            (self.read_directory, READ_INTERVAL_S),
        ]
        if self.prober is not None:
            work.append((self.prober.probe_successors, PROBE_INTERVAL_S))
        loops = [
            kernel.spawn(self.repeat(kernel, step, period_s))
            for step, period_s in work
        ]
        await asyncio.gather(*loops)

    async def repeat(
        self, kernel: Kernel, step: Callable, period_s: float
    ) -> None:
        """Runs a step periodically, also while the store is down."""
        while not kernel.stopping.is_set():
            try:
                await step()
            except StoreUnavailableError:
                self.metrics.count("members.retry.store_down")
            await self.clock.sleep(period_s)

    async def step(self) -> None:
        """Does the periodic work once, without probes."""
        try:
            await self.read_directory()
            await self.maintain()
            await self.read_directory()
        except StoreUnavailableError:
            log.warning("The directory can't be read.")

    async def maintain(self) -> None:
        """Announces and refreshes this process; steps the directory writer."""
        self.roster.apply_presence(Presence(self.me))
        self.notifier.close_stale_links()
        self.announce()
        await self.requests.write()
        if self.must_rejoin:
            self.rejoin()
        if self.clock.monotonic() >= self.next_refresh:
            self.next_refresh = self.clock.monotonic() + self.refresh_s
            await self.refresh()
        rank = self.rank()
        if self.announced and rank is not None:
            for presence in await self.writer.step(self.me, rank, self.roster):
                self.apply_presence(presence)

    @property
    def refresh_s(self) -> float:
        """Seconds between refreshes of a row, from the write budget."""
        return max(MIN_REFRESH_S, len(self.roster.known) / ROW_WRITES_PER_S)

    def rank(self) -> int | None:
        """Returns the rank among the candidates for the lease, or None."""
        if self.writer.holding:
            return 0
        rank = candidate_rank(self.roster.known, self.me.name)
        if rank is not None or self.recorded:
            return rank
        # After a restart of all processes every known candidate may be dead.
        unrecorded_s = self.clock.monotonic() - self.announced_at
        return MAX_CANDIDATES if unrecorded_s > UNRECORDED_TIMEOUT_S else None

    async def read_directory(self) -> None:
        """Applies new presences from the directory."""
        presences = await self.reader.read_new()
        if not self.recorded:
            presences += await read_requests(self.table)
        for presence in presences:
            self.apply_presence(presence)

    def apply_presence(self, presence: Presence) -> bool:
        """Applies a presence; returns whether it was new."""
        if presence.member.name == self.me.name:
            return self.apply_own_presence(presence)
        if presence.gone:
            return self.gone_reports.apply_report(
                incarnation_id(presence.member)
            )
        return self.roster.apply_presence(presence)

    def apply_own_presence(self, presence: Presence) -> bool:
        """Applies what peers report about this process."""
        if presence.member.incarnation != self.me.incarnation:
            return False
        if presence.gone:
            self.record_self_gone()
        else:
            self.recorded = True
        return False

    # This process.

    def announce(self) -> None:
        """Announces this process to peers once it is reachable."""
        me = self.me
        if me == self.announced or not me.is_reachable:
            return
        before = self.announced
        rejoined = before is not None and (
            incarnation_id(before) != incarnation_id(me)
        )
        if before is None or rejoined:
            self.recorded = False
            self.announced_at = self.clock.monotonic()
        self.announced = me
        self.next_refresh = float("-inf")
        self.requests.add(Presence(me))
        notice = joined_notice(me)
        if rejoined:
            # Sent to all peers: one that finds the old incarnation gone by a
            # probe has to know the new incarnation already.
            self.notifier.send(notice, self.others())
        else:
            self.notify_neighbours(notice)

    def announce_to(self, peer: Member) -> None:
        """Announces this process again to a peer that lost the notice.

        While the store is down the peer has no other source.
        """
        if self.announced != self.me or self.yielded:
            return
        if self.me.state is MemberState.LIVE:
            self.metrics.count("members.announced_again")
            self.notifier.send(joined_notice(self.me), [peer])

    async def refresh(self) -> None:
        """Refreshes the own row, unless it shows that this process is gone."""
        if self.yielded:
            return
        row = await read_row(self.table, self.me)
        match classify_row(row, self.me, self.recorded):
            case RowOwned():
                await write_row(self.table, self.me, row)
            case RowMissing():
                self.record_self_gone()
            case NameTaken(owner):
                self.yield_name(owner)

    def yield_name(self, owner: Member) -> None:
        """Gives up the name to the process that has it now."""
        self.yielded = True
        self.metrics.count("members.name_taken")
        log.error("Name is in use by another process.", other=owner.incarnation)

    def record_self_gone(self) -> None:
        """Records that this process was declared gone."""
        self.must_rejoin = True

    def rejoin(self) -> None:
        """Rejoins as a new incarnation; old claims have no live holder then.

        A process that no peer answers does not rejoin, since it would be
        declared gone again. One that is declared gone repeatedly waits longer
        each time.
        """
        now = self.clock.monotonic()
        partitioned = (
            self.prober is not None
            and self.others()
            and now - self.prober.last_answer > MAX_ANSWER_AGE_S
        )
        if self.yielded or partitioned or not self.rejoin_backoff.is_over(now):
            return
        self.must_rejoin = False
        self.rejoin_backoff.record_rejoin(now)
        old = incarnation_id(self.me)
        self.me = attrs.evolve(self.me, incarnation=new_incarnation())
        self.roster.apply_presence(Presence(self.me))
        self.metrics.count("members.rejoined")
        log.warning("Declared gone; rejoined as a new incarnation.", old=old)
        self.rejoined.on_next(self.me)
        self.announce()

    async def leave(self) -> None:
        """Notifies peers that this process is leaving."""
        self.me = attrs.evolve(self.me, state=MemberState.LEAVING)
        self.roster.apply_presence(Presence(self.me))
        self.announced = self.me
        self.requests.add(Presence(self.me))
        # Sent to all peers, not only to neighbours: callers may ask any of
        # them for the list of entries.
        self.notifier.send(leaving_notice(self.me), self.others())
        self.next_refresh = float("-inf")
        await self.step()

    async def remove(self) -> None:
        """Notifies peers and the store that this process is gone."""
        gone = Presence(self.me, gone=True)
        self.notify_neighbours(departed_notice(self.me))
        self.requests.add(gone)
        for _ in range(MAX_REMOVE_ATTEMPTS):
            try:
                await self.requests.write()
                row = await read_row(self.table, self.me)
                await remove_row(self.table, self.me, row)
            except StoreUnavailableError:
                log.warning(
                    "Store unavailable; peers will detect the exit by probes."
                )
            if not self.requests.pending:
                return
            await self.clock.sleep(MAINTAIN_INTERVAL_S)

    # Peers.

    def declare_gone(self, member: Member) -> None:
        """Removes a member after a confirmed failure and notifies peers."""
        if not self.roster.apply_departure(incarnation_id(member)):
            return
        self.metrics.count("members.declared_gone")
        log.warning("Member declared gone.", member=incarnation_id(member))
        self.requests.add(Presence(member, gone=True))
        self.notify_neighbours(departed_notice(member))
        # The member is notified too: if it is alive after all, it rejoins.
        self.notifier.send(departed_notice(member), [member])

    def notify_neighbours(self, notice: peer_pb2.Notice) -> None:
        """Sends a notice to the neighbours on the ring."""
        self.notifier.notify_neighbours(notice)
