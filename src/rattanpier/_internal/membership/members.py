"""Who is alive: a row with a lease for each process, watched by all.

A lease has lapsed when its row has not changed for a time on the watcher's own
monotonic clock, so clocks that differ do no harm.
"""

from __future__ import annotations

import attrs
import structlog
from reactivex.subject import BehaviorSubject

from rattanpier._internal.exceptions import StoreUnavailableError
from rattanpier._internal.kernel import Kernel
from rattanpier._internal.models.member import (
    MEMBER_PREFIX,
    Member,
    MemberState,
    Role,
    member_key,
)
from rattanpier._internal.peers.links import Links
from rattanpier._internal.peers.proto import peer_pb2
from rattanpier._internal.platform.table import (
    Put,
    Row,
    Table,
    Transaction,
    scan_all,
)
from rattanpier._internal.utils.clock import Clock
from rattanpier._internal.utils.codec import decode, encode

log = structlog.get_logger(part="members")

REFRESH_S = 1.0
LAPSE_S = 4.0


@attrs.define
class Sighting:
    """A member's row and when it last changed."""

    member: Member
    version: int
    changed: float


@attrs.define
class Members:
    """The watcher in one process.

    Attributes:
      me: This process's own row.
      seen: Sightings by member name.
      live: Emits the live members by name whenever they change.
    """

    me: Member
    table: Table
    clock: Clock
    links: Links | None = None
    seen: dict[str, Sighting] = attrs.Factory(dict)
    live: BehaviorSubject[dict[str, Member]] = attrs.field(
        factory=lambda: BehaviorSubject({})
    )

    async def run(self, kernel: Kernel) -> None:
        """Refreshes the own row and reads the others until the end."""
        while not kernel.stopping.is_set():
            await self.step()
            await self.clock.sleep(REFRESH_S)

    async def step(self) -> None:
        """Refreshes and reads once."""
        await self.refresh()
        try:
            self.observe(await scan_all(self.table, MEMBER_PREFIX))
        except StoreUnavailableError:
            # Without the store nobody can be found dead by their rows.
            log.warning("Member rows can't be read.")

    async def refresh(self) -> None:
        """Writes the own row; its version rises."""
        put = Put(member_key(self.me.name), encode(self.me))
        await self.table.transact(Transaction(puts=[put]))

    def observe(self, rows: list[Row]) -> None:
        """Takes in the rows as read now."""
        now = self.clock.monotonic()
        found = {}
        for row in rows:
            member = decode(Member, row.value)
            before = self.seen.get(member.name)
            unchanged = before is not None and before.version == row.version
            changed = before.changed if unchanged and before else now
            found[member.name] = Sighting(member, row.version, changed)
        self.seen = found
        self.publish()

    def publish(self) -> None:
        """Emits the live members if they changed."""
        now = self.clock.monotonic()
        live = {
            name: sighting.member
            for name, sighting in self.seen.items()
            if now - sighting.changed < LAPSE_S
        }
        live[self.me.name] = self.me
        if live != self.live.value:
            self.live.on_next(live)

    def alive(self, holder: str) -> bool:
        """Says whether a holder's process may still be running.

        Args:
          holder: "name/incarnation/request", as in a claim.
        """
        name, incarnation, *_ = holder.split("/")
        member = self.live.value.get(name)
        return member is not None and member.incarnation == incarnation

    def entries(self) -> list[Member]:
        """Returns the entries that callers may be sent to."""
        return [
            member
            for member in self.live.value.values()
            if member.role is Role.ENTRY and member.state is MemberState.LIVE
        ]

    async def leave(self) -> None:
        """Tells the others that this process is leaving."""
        self.me = attrs.evolve(self.me, state=MemberState.LEAVING)
        self.publish()
        notice = peer_pb2.Notice(
            leaving=peer_pb2.Leaving(
                member=self.me.name, incarnation=self.me.incarnation
            )
        )
        for member in self.others():
            assert self.links is not None
            self.links.to(member).notify(notice)
        await self.refresh()

    def others(self) -> list[Member]:
        """Returns the other live members."""
        live = self.live.value.values()
        return [member for member in live if member.name != self.me.name]

    def take_leaving(self, notice: peer_pb2.Notice) -> None:
        """Takes in that a peer leaves, before its row says so."""
        sighting = self.seen.get(notice.leaving.member)
        if sighting is None:
            return
        if sighting.member.incarnation != notice.leaving.incarnation:
            return
        sighting.member = attrs.evolve(
            sighting.member, state=MemberState.LEAVING
        )
        self.publish()

    async def remove(self) -> None:
        """Deletes the own row."""
        await self.table.transact(
            Transaction(deletes=[member_key(self.me.name)])
        )
