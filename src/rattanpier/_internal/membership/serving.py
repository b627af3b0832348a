"""Handlers for calls and notices of peers about membership."""

from __future__ import annotations

import attrs

from rattanpier._internal.membership.members import Members
from rattanpier._internal.membership.records import Presence, incarnation_id
from rattanpier._internal.models.member import Member, MemberState
from rattanpier._internal.peers.proto import peer_pb2
from rattanpier._internal.peers.server import PeerServer
from rattanpier._internal.utils.codec import decode


def serve_peers(members: Members, server: PeerServer) -> None:
    """Registers the handlers for peers' calls and notices."""
    assert members.prober is not None
    server.on_call("ping", members.prober.serve_ping)
    server.on_call("probe", members.prober.serve_probe)
    server.on_notice("joined", lambda notice: apply_joined(members, notice))
    server.on_notice("leaving", lambda notice: apply_leaving(members, notice))
    server.on_notice("departed", lambda notice: apply_departed(members, notice))


def apply_joined(members: Members, notice: peer_pb2.Notice) -> None:
    """Applies that a member joined; forwards the notice if it is new."""
    if members.apply_presence(Presence(decode(Member, notice.joined.member))):
        members.notify_neighbours(notice)


def apply_leaving(members: Members, notice: peer_pb2.Notice) -> None:
    """Applies that a member is leaving, before the directory has it."""
    known = members.roster.known.get(notice.leaving.member)
    if known is None or known.incarnation != notice.leaving.incarnation:
        return
    if known.name == members.me.name:
        return
    leaving = attrs.evolve(known, state=MemberState.LEAVING)
    if members.roster.apply_presence(Presence(leaving)):
        members.notify_neighbours(notice)


def apply_departed(members: Members, notice: peer_pb2.Notice) -> None:
    """Applies that a member is gone; forwards the notice if it is new."""
    identity = f"{notice.departed.member}/{notice.departed.incarnation}"
    if identity == incarnation_id(members.me):
        members.record_self_gone()
    elif members.gone_reports.apply_report(identity):
        # Forwarded at once: each peer verifies the report itself.
        members.notify_neighbours(notice)
