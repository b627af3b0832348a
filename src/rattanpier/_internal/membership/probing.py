"""Detects dead and frozen peers by direct and indirect probes.

A process probes its two successors on the ring. One that does not answer is
probed again, directly and through other members at the same time. It is
declared gone only if another member confirms that, or its VM refuses the
connection, or no other member can be asked and its row in the table service is
stale.
"""

from __future__ import annotations

import asyncio
import enum
from collections.abc import Callable

import attrs
import structlog

from rattanpier._internal.exceptions import (
    PeerRefusedError,
    PeerUnavailableError,
    StoreUnavailableError,
)
from rattanpier._internal.membership.records import incarnation_id
from rattanpier._internal.membership.ring import neighbours, successors
from rattanpier._internal.membership.roster import Roster
from rattanpier._internal.models.member import Member, member_key
from rattanpier._internal.peers.links import Links
from rattanpier._internal.peers.proto import peer_pb2
from rattanpier._internal.store.row_watch import RowWatch
from rattanpier._internal.store.table import Table
from rattanpier._internal.utils.clock import Clock
from rattanpier._internal.utils.metrics import Metrics

log = structlog.get_logger(part="probes")

PROBE_INTERVAL_S = 1.0  # Between two probes of one successor.
PING_TIMEOUT_S = 1.5
INDIRECT_TIMEOUT_S = 2.0
MAX_HELPERS = 3  # Members asked for an indirect probe.


class Probe(enum.Enum):
    """The result of a probe."""

    ALIVE = "alive"
    REPLACED = "replaced"  # Another incarnation answers at its address.
    REFUSED = "refused"  # Its VM refuses the connection.
    SILENT = "silent"  # No answer in time.
    SELF_GONE = "self_gone"  # Alive, and says that this process is gone.


@attrs.define
class Prober:
    """Probes the successors of one process.

    Attributes:
      me: Returns this process.
      on_gone: Called with a member that is declared gone.
      on_self_gone: Called when a peer reports that this process is gone.
      on_unknown: Called with a peer that does not know this process.
      row_stale_s: Returns the seconds after which an unchanged row is stale.
      directory_revision: Returns the revision that this process has read.
      probing: Names of members with a probe in progress.
      last_answer: Monotonic seconds of the last answer by a peer.
      row_watches: Watched rows, by name, while no other member can be asked.
    """

    me: Callable[[], Member]
    roster: Roster
    links: Links
    table: Table
    clock: Clock
    metrics: Metrics
    on_gone: Callable[[Member], None]
    on_self_gone: Callable[[], None]
    on_unknown: Callable[[Member], None]
    row_stale_s: Callable[[], float]
    directory_revision: Callable[[], int]
    probing: set[str] = attrs.Factory(set)
    last_answer: float = float("-inf")
    row_watches: dict[str, RowWatch] = attrs.Factory(dict)

    async def probe_successors(self) -> None:
        """Probes each successor that has no probe in progress."""
        names = successors(self.roster.known, self.me().name)
        targets = [name for name in names if name not in self.probing]
        await asyncio.gather(*(self.probe(name) for name in targets))

    async def probe(self, name: str) -> None:
        """Probes one member, and declares it gone if that is confirmed."""
        member = self.roster.known[name]
        self.probing.add(name)
        try:
            found = await self.ping(member, PING_TIMEOUT_S)
            if found in (Probe.REFUSED, Probe.SILENT):
                self.metrics.count(f"members.suspect.{found.value}")
                found = await self.confirm(member)
            if found is Probe.REPLACED or found is Probe.REFUSED:
                self.on_gone(member)
            elif found is Probe.ALIVE:
                self.row_watches.pop(name, None)
        finally:
            self.probing.discard(name)

    async def ping(self, member: Member, timeout_s: float) -> Probe:
        """Probes a member directly."""
        me = self.me()
        call = peer_pb2.Call(
            ping=peer_pb2.PingRequest(
                sender=me.name,
                incarnation=me.incarnation,
                state=me.state.value,
                directory_revision=self.directory_revision(),
            )
        )
        try:
            reply = await self.links.to(member).call(call, timeout_s)
        except PeerRefusedError:
            return Probe.REFUSED
        except PeerUnavailableError:
            return Probe.SILENT
        if reply.ping.incarnation != member.incarnation:
            return Probe.REPLACED
        self.last_answer = self.clock.monotonic()
        if reply.ping.sender_departed:
            self.on_self_gone()
        elif reply.ping.sender_unknown:
            self.on_unknown(member)
        return Probe.ALIVE

    async def confirm(self, member: Member) -> Probe:
        """Probes a member again, directly and through other members.

        Returns:
          ALIVE if any probe reached it, REPLACED if another incarnation
          answered, REFUSED if it is confirmed to be gone, else SILENT: the
          state is unknown, and the next round probes again.
        """
        direct, *indirect = await asyncio.gather(
            self.ping(member, INDIRECT_TIMEOUT_S),
            *(
                self.probe_through(helper, member)
                for helper in self.helpers(member)
            ),
        )
        if direct is Probe.ALIVE or True in indirect:
            return Probe.ALIVE
        if direct is Probe.REPLACED:
            return direct
        if direct is Probe.REFUSED or False in indirect:
            return Probe.REFUSED
        if await self.is_row_stale(member):
            return Probe.REFUSED
        self.metrics.count("members.suspect.unconfirmed")
        return Probe.SILENT

    def helpers(self, member: Member) -> list[Member]:
        """Returns the members asked to probe another one indirectly."""
        known = self.roster.known
        names = neighbours(
            (name for name in known if name != member.name), self.me().name
        )
        return [known[name] for name in names[:MAX_HELPERS]]

    async def probe_through(
        self, helper: Member, member: Member
    ) -> bool | None:
        """Returns whether a helper reached a member; None without an answer."""
        request = peer_pb2.ProbeRequest(
            address=f"{member.peer_host}:{member.peer_port}",
            member=member.name,
            incarnation=member.incarnation,
        )
        try:
            reply = await self.links.to(helper).call(
                peer_pb2.Call(probe=request), INDIRECT_TIMEOUT_S
            )
        except PeerUnavailableError:
            return None
        self.last_answer = self.clock.monotonic()
        return reply.probe.alive

    async def is_row_stale(self, member: Member) -> bool:
        """Returns whether a member has stopped refreshing its row."""
        try:
            row = await self.table.get(member_key(member.name))
        except StoreUnavailableError:
            # Partitioned from all peers and the store: no member is judged.
            self.row_watches.pop(member.name, None)
            return False
        version = row.version if row else 0
        watch = self.row_watches.setdefault(member.name, RowWatch())
        unchanged_s = watch.unchanged_s(version, self.clock.monotonic())
        return unchanged_s >= self.row_stale_s()

    # Calls by peers.

    async def serve_ping(self, call: peer_pb2.Call) -> peer_pb2.Reply:
        """Answers a direct probe."""
        me = self.me()
        sender = f"{call.ping.sender}/{call.ping.incarnation}"
        return peer_pb2.Reply(
            ping=peer_pb2.PingReply(
                state=me.state.value,
                incarnation=me.incarnation,
                directory_revision=self.directory_revision(),
                sender_departed=sender in self.roster.departed,
                sender_unknown=call.ping.sender not in self.roster.known,
            )
        )

    async def serve_probe(self, call: peer_pb2.Call) -> peer_pb2.Reply:
        """Probes a member on behalf of a peer."""
        request = call.probe
        identity = f"{request.member}/{request.incarnation}"
        member = self.roster.known.get(request.member)
        alive = False
        if member is not None and incarnation_id(member) == identity:
            found = await self.ping(member, PING_TIMEOUT_S)
            alive = found is Probe.ALIVE
        return peer_pb2.Reply(probe=peer_pb2.ProbeReply(alive=alive))
