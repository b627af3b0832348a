"""Who is alive: the directory in the store, notices and probes together.

The store holds who belongs to the system. Who died is found by probes and
spread by notices, so that it goes on without the store.
"""

from __future__ import annotations

import asyncio
import collections
import uuid
from collections.abc import Callable

import attrs
import structlog
from reactivex.subject import BehaviorSubject, Subject

from rattanpier._internal.exceptions import StoreUnavailableError
from rattanpier._internal.kernel import Kernel
from rattanpier._internal.membership.directory import (
    DirectoryReader,
    DirectoryWriter,
    read_requests,
    write_requests,
)
from rattanpier._internal.membership.probing import PROBE_S, Probe, Prober
from rattanpier._internal.membership.records import (
    Presence,
    incarnation_id,
    request_key,
)
from rattanpier._internal.membership.ring import neighbours
from rattanpier._internal.membership.roster import Roster
from rattanpier._internal.models.member import (
    Member,
    MemberState,
    Role,
    member_key,
)
from rattanpier._internal.models.outcomes import Committed
from rattanpier._internal.peers.links import Links
from rattanpier._internal.peers.proto import peer_pb2
from rattanpier._internal.peers.server import PeerServer
from rattanpier._internal.platform.table import (
    ABSENT,
    Check,
    Put,
    Row,
    Table,
    Transaction,
)
from rattanpier._internal.utils.clock import Clock
from rattanpier._internal.utils.codec import decode, encode
from rattanpier._internal.utils.hashing import rendezvous
from rattanpier._internal.utils.metrics import Metrics

log = structlog.get_logger(part="members")

ROW_WRITES_PER_S = 20.0  # Of all processes together.
MIN_REFRESH_S = 2.0
ROW_LAPSE_PERIODS = 3
DUTY_S = 1.0  # Between looks at the directory's lease, and of its holder.
FOLLOW_S = 2.0  # Between reads of the directory.
CANDIDATES = 3  # Processes that watch the directory's lease.
UNRECORDED_S = 3.0  # Not in the directory for so long: watch its lease too.
ANSWER_FRESH_S = 3.0  # A peer answered so lately: not cut off.
MIN_REJOIN_S = 1.0
MAX_REJOIN_S = 30.0
REMOVE_TRIES = 3
VERIFY_TIMEOUT_S = 1.0
DOUBT_S = 10.0  # The same said again within this time is not news.
MAX_DOUBTED = 1_000


@attrs.define
class Members:
    """Membership as one process sees it.

    Attributes:
      me: This process; its incarnation changes when it was declared gone.
      links: To peers; None in a process without peers.
      rejoined: Emits this process's member after such a change.
      waiting: Presences that the store does not have yet, by request key.
      recorded: Whether the directory has this incarnation.
      spawn: Runs a task; None until this process runs.
      doubted: When others last said of an incarnation that it is gone.
      yielded: Whether another process has this one's name.
    """

    me: Member
    table: Table
    clock: Clock
    links: Links | None = None
    metrics: Metrics = attrs.Factory(Metrics)
    roster: Roster = attrs.Factory(Roster)
    rejoined: Subject[Member] = attrs.field(factory=Subject)
    waiting: dict[str, Presence] = attrs.Factory(dict)
    announced: Member | None = None
    announced_at: float = 0.0
    recorded: bool = False
    yielded: bool = False
    must_rejoin: bool = False
    rejoin_pause_s: float = MIN_REJOIN_S
    rejoin_at: float = float("-inf")
    next_refresh: float = float("-inf")
    spawn: Callable[..., asyncio.Task] | None = None
    doubted: collections.OrderedDict[str, float] = attrs.Factory(
        collections.OrderedDict
    )
    reader: DirectoryReader = attrs.field(init=False)
    writer: DirectoryWriter = attrs.field(init=False)
    prober: Prober | None = attrs.field(init=False, default=None)

    def __attrs_post_init__(self) -> None:
        """Puts the parts together."""
        self.reader = DirectoryReader(self.table)
        self.writer = DirectoryWriter(self.table, self.clock)
        if self.links is not None:
            self.prober = Prober(
                me=lambda: self.me,
                roster=self.roster,
                links=self.links,
                table=self.table,
                clock=self.clock,
                metrics=self.metrics,
                on_gone=self.declare_gone,
                on_self_gone=self.note_self_gone,
                row_lapse_s=lambda: ROW_LAPSE_PERIODS * self.refresh_s,
                directory_revision=lambda: self.reader.revision or 0,
            )
        self.roster.learn(Presence(self.me))

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
        return [
            member
            for member in self.live.value.values()
            if member.role is Role.ENTRY
            and member.state is MemberState.LIVE
            and member.caller_url
        ]

    def others(self) -> list[Member]:
        """Returns the other live members."""
        live = self.live.value.values()
        return [member for member in live if member.name != self.me.name]

    # Work over time.

    async def run(self, kernel: Kernel) -> None:
        """Keeps membership going until the end."""
        if self.prober is not None:
            self.spawn = kernel.spawn
        work = [(self.duty, DUTY_S), (self.follow, FOLLOW_S)]
        if self.prober is not None:
            work.append((self.prober.round, PROBE_S))
        loops = [
            kernel.spawn(self.repeat(kernel, step, period_s))
            for step, period_s in work
        ]
        await asyncio.gather(*loops)

    async def repeat(
        self, kernel: Kernel, step: Callable, period_s: float
    ) -> None:
        """Runs a step again and again; the store may fail meanwhile."""
        while not kernel.stopping.is_set():
            try:
                await step()
            except StoreUnavailableError:
                self.metrics.count("members.retry.store_down")
            await self.clock.sleep(period_s)

    async def step(self) -> None:
        """Does at once what is done over time, apart from probes."""
        try:
            await self.follow()
            await self.duty()
            await self.follow()
        except StoreUnavailableError:
            log.warning("The directory can't be read.")

    async def duty(self) -> None:
        """Announces and refreshes this process; writes the directory."""
        self.roster.learn(Presence(self.me))
        self.close_links()
        self.announce()
        await self.record()
        if self.must_rejoin:
            self.rejoin()
        if self.clock.monotonic() >= self.next_refresh:
            self.next_refresh = self.clock.monotonic() + self.refresh_s
            await self.refresh()
        rank = self.rank()
        if self.announced and rank is not None:
            for presence in await self.writer.step(self.me, rank, self.roster):
                self.take(presence)

    @property
    def refresh_s(self) -> float:
        """Seconds between refreshes of a row, from the write budget."""
        return max(MIN_REFRESH_S, len(self.roster.known) / ROW_WRITES_PER_S)

    def rank(self) -> int | None:
        """Returns the place among the directory's candidates, or None."""
        if self.writer.holding:
            return 0
        names = rendezvous("directory", self.roster.known)
        rank = names.index(self.me.name)
        if rank < CANDIDATES:
            return rank
        # All candidates known may be dead when all processes started anew.
        unrecorded_s = self.clock.monotonic() - self.announced_at
        if not self.recorded and unrecorded_s > UNRECORDED_S:
            return CANDIDATES
        return None

    async def follow(self) -> None:
        """Takes in what is new in the directory."""
        presences = await self.reader.news()
        if not self.recorded:
            presences += await read_requests(self.table)
        for presence in presences:
            self.take(presence)

    def take(self, presence: Presence) -> bool:
        """Takes in a presence; says whether it was news."""
        if presence.member.name == self.me.name:
            return self.take_own(presence)
        if presence.gone:
            return self.doubt(incarnation_id(presence.member))
        return self.roster.learn(presence)

    def doubt(self, identity: str) -> bool:
        """Takes in that others say of a member that it is gone.

        A member that still answers here is kept: when the network between two
        groups is cut, each declares the other gone, and only the other.

        Returns:
          True if it was news.
        """
        now = self.clock.monotonic()
        heard = self.doubted.get(identity, float("-inf"))
        if identity in self.roster.departed or now - heard < DOUBT_S:
            return False
        self.doubted[identity] = now
        self.doubted.move_to_end(identity)
        while len(self.doubted) > MAX_DOUBTED:
            self.doubted.popitem(last=False)
        known = self.roster.known.get(identity.split("/")[0])
        if (
            self.spawn is None
            or known is None
            or incarnation_id(known) != identity
            or known.state is MemberState.LEAVING
        ):
            self.roster.depart(identity)
        else:
            self.spawn(self.verify(known))
        return True

    async def verify(self, member: Member) -> None:
        """Takes a member out unless it answers this process."""
        assert self.prober is not None
        found = await self.prober.ping(member, VERIFY_TIMEOUT_S)
        if found is Probe.ALIVE:
            self.metrics.count("members.kept")
        else:
            self.roster.depart(incarnation_id(member))

    def take_own(self, presence: Presence) -> bool:
        """Takes in what others say of this process."""
        if presence.member.incarnation != self.me.incarnation:
            return False
        if presence.gone:
            self.note_self_gone()
        else:
            self.recorded = True
        return False

    # This process.

    def announce(self) -> None:
        """Tells the others of this process once it can be reached."""
        me = self.me
        if me == self.announced or not (
            me.caller_url or me.role is not Role.ENTRY
        ):
            return
        rejoined = self.announced is not None and incarnation_id(
            me
        ) != incarnation_id(self.announced)
        if self.announced is None or rejoined:
            self.recorded = False
            self.announced_at = self.clock.monotonic()
        self.announced = me
        self.next_refresh = float("-inf")
        self.ask_for(Presence(me))
        notice = peer_pb2.Notice(
            joined=peer_pb2.Joined(member=encode(me).encode())
        )
        if rejoined:
            # Told to all: whoever finds the old incarnation gone by a probe
            # has to know the new one already.
            self.send(notice, self.others())
        else:
            self.spread(notice)

    def ask_for(self, presence: Presence) -> None:
        """Sees to it that the directory gets a presence."""
        self.waiting[request_key(presence)] = presence

    async def record(self) -> None:
        """Asks the directory's writer for what it does not have yet."""
        waiting = dict(self.waiting)
        if not waiting:
            return
        outcome = await write_requests(self.table, list(waiting.values()))
        if isinstance(outcome, Committed):
            for key, presence in waiting.items():
                if self.waiting.get(key) == presence:
                    del self.waiting[key]

    async def refresh(self) -> None:
        """Writes the own row, unless it says that this process is gone."""
        if self.yielded:
            return
        key = member_key(self.me.name)
        row = await self.table.get(key)
        if self.recorded and row is None:
            self.note_self_gone()
            return
        owner = decode(Member, row.value) if row else self.me
        if self.recorded and owner.incarnation != self.me.incarnation:
            # A newer process has the name; this one was thawed late.
            self.give_way(owner)
            return
        await self.put_row(key, row)

    async def put_row(self, key: str, row: Row | None) -> None:
        """Writes the own row over the version that was read."""
        version = row.version if row else ABSENT
        await self.table.transact(
            Transaction([Check(key, version)], [Put(key, encode(self.me))])
        )

    def give_way(self, owner: Member) -> None:
        """Leaves the name to the process that has it now."""
        self.yielded = True
        self.metrics.count("members.name_taken")
        log.error("Another process has this name.", other=owner.incarnation)

    def note_self_gone(self) -> None:
        """Takes in that this process was declared gone."""
        self.must_rejoin = True

    def rejoin(self) -> None:
        """Comes back under a new incarnation; old claims stay without one.

        A process that no peer answers does not: it would be declared gone
        again. One that is declared gone again and again waits longer.
        """
        now = self.clock.monotonic()
        cut_off = (
            self.prober is not None
            and self.others()
            and now - self.prober.last_answer > ANSWER_FRESH_S
        )
        if self.yielded or cut_off or now < self.rejoin_at:
            return
        self.must_rejoin = False
        self.rejoin_at = now + self.rejoin_pause_s
        self.rejoin_pause_s = min(MAX_REJOIN_S, 2 * self.rejoin_pause_s)
        old = incarnation_id(self.me)
        self.me = attrs.evolve(self.me, incarnation=new_incarnation())
        self.roster.learn(Presence(self.me))
        self.metrics.count("members.rejoined")
        log.warning("Declared gone; rejoined.", old=old)
        self.rejoined.on_next(self.me)
        self.announce()

    async def leave(self) -> None:
        """Tells the others that this process is leaving."""
        self.me = attrs.evolve(self.me, state=MemberState.LEAVING)
        self.roster.learn(Presence(self.me))
        self.announced = self.me
        self.ask_for(Presence(self.me))
        leaving = peer_pb2.Leaving(
            member=self.me.name, incarnation=self.me.incarnation
        )
        # Told to all, not only to neighbours: callers ask any of them.
        self.send(peer_pb2.Notice(leaving=leaving), self.others())
        self.next_refresh = float("-inf")
        await self.step()

    async def remove(self) -> None:
        """Tells the others that this process is gone, and the store."""
        gone = Presence(self.me, gone=True)
        self.spread(departed_notice(self.me))
        self.ask_for(gone)
        for _ in range(REMOVE_TRIES):
            try:
                await self.record()
                await self.remove_row()
            except StoreUnavailableError:
                log.warning("The store is down; probes will find this end.")
            if not self.waiting:
                return
            await self.clock.sleep(DUTY_S)

    async def remove_row(self) -> None:
        """Deletes the own row if it still is the own one."""
        key = member_key(self.me.name)
        row = await self.table.get(key)
        if row is None:
            return
        if decode(Member, row.value).incarnation == self.me.incarnation:
            await self.table.transact(
                Transaction([Check(key, row.version)], deletes=[key])
            )

    # Peers.

    def declare_gone(self, member: Member) -> None:
        """Takes a member out after a confirmed failure, and spreads it."""
        if not self.roster.depart(incarnation_id(member)):
            return
        self.metrics.count("members.declared_gone")
        log.warning("Declared gone.", member=incarnation_id(member))
        self.ask_for(Presence(member, gone=True))
        self.spread(departed_notice(member))
        # The one that is declared gone hears of it if it is not.
        self.send(departed_notice(member), [member])

    def close_links(self) -> None:
        """Ends links to processes that are gone."""
        if self.links is not None:
            known = self.roster.known.values()
            self.links.keep(
                {(item.peer_host, item.peer_port) for item in known}
            )

    def spread(self, notice: peer_pb2.Notice) -> None:
        """Sends a notice to the neighbours on the ring."""
        known = self.roster.known
        names = neighbours(known, self.me.name)
        self.send(notice, [known[name] for name in names])

    def send(self, notice: peer_pb2.Notice, targets: list[Member]) -> None:
        """Sends a notice to members."""
        if self.links is None:
            return
        for member in targets:
            self.links.to(member).notify(notice)

    def take_joined(self, notice: peer_pb2.Notice) -> None:
        """Takes in that a member joined; passes news on."""
        if self.take(Presence(decode(Member, notice.joined.member))):
            self.spread(notice)

    def take_leaving(self, notice: peer_pb2.Notice) -> None:
        """Takes in that a member leaves, before the directory says so."""
        known = self.roster.known.get(notice.leaving.member)
        if known is None or known.incarnation != notice.leaving.incarnation:
            return
        if known.name == self.me.name:
            return
        leaving = attrs.evolve(known, state=MemberState.LEAVING)
        if self.roster.learn(Presence(leaving)):
            self.spread(notice)

    def take_departed(self, notice: peer_pb2.Notice) -> None:
        """Takes in that a member is gone; passes news on."""
        identity = f"{notice.departed.member}/{notice.departed.incarnation}"
        if identity == incarnation_id(self.me):
            self.note_self_gone()
        elif self.doubt(identity):
            # Passed on at once: others ask for themselves.
            self.spread(notice)


def departed_notice(member: Member) -> peer_pb2.Notice:
    """Returns the notice that a member is gone."""
    return peer_pb2.Notice(
        departed=peer_pb2.Departed(
            member=member.name, incarnation=member.incarnation
        )
    )


def new_incarnation() -> str:
    """Returns a name for a start of a process that no other has."""
    return uuid.uuid4().hex[:12]


def serve_peers(members: Members, server: PeerServer) -> None:
    """Adds the handlers for peers' calls and notices."""
    assert members.prober is not None
    server.on_call("ping", members.prober.serve_ping)
    server.on_call("probe", members.prober.serve_probe)
    server.on_notice("joined", members.take_joined)
    server.on_notice("leaving", members.take_leaving)
    server.on_notice("departed", members.take_departed)
