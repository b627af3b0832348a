"""Builds notices about membership and sends them to peers."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from rattanpier._internal.membership.ring import neighbours
from rattanpier._internal.membership.roster import Roster
from rattanpier._internal.models.member import Member
from rattanpier._internal.peers.links import Links
from rattanpier._internal.peers.proto import peer_pb2
from rattanpier._internal.utils.codec import encode


def joined_notice(member: Member) -> peer_pb2.Notice:
    """Returns the notice that a member joined or changed."""
    return peer_pb2.Notice(
        joined=peer_pb2.Joined(member=encode(member).encode())
    )


def leaving_notice(member: Member) -> peer_pb2.Notice:
    """Returns the notice that a member leaves."""
    return peer_pb2.Notice(
        leaving=peer_pb2.Leaving(
            member=member.name, incarnation=member.incarnation
        )
    )


def departed_notice(member: Member) -> peer_pb2.Notice:
    """Returns the notice that a member is gone."""
    return peer_pb2.Notice(
        departed=peer_pb2.Departed(
            member=member.name, incarnation=member.incarnation
        )
    )


@attrs.define
class Notifier:
    """Sends notices over the links to peers.

    Attributes:
      me: Returns this process.
      roster: The members that this process knows.
      links: Links to peers; None in a process without peers, which sends
        nothing.
    """

    me: Callable[[], Member]
    roster: Roster
    links: Links | None

    def notify_neighbours(self, notice: peer_pb2.Notice) -> None:
        """Sends a notice to the neighbours on the ring."""
        known = self.roster.known
        names = neighbours(known, self.me().name)
        self.send(notice, [known[name] for name in names])

    def send(self, notice: peer_pb2.Notice, targets: list[Member]) -> None:
        """Sends a notice to members."""
        if self.links is None:
            return
        for member in targets:
            self.links.to(member).notify(notice)

    def close_stale_links(self) -> None:
        """Closes links to processes that are no longer known."""
        if self.links is None:
            return
        known = self.roster.known.values()
        self.links.retain({(item.peer_host, item.peer_port) for item in known})
