"""Pushes a revision along a tree of members.

Each member passes the revision on to a fixed number of others, whatever the
size of the fleet, and acknowledges for all below it. What a broken branch
misses, the next round of the origin or the members' own polls bring.
"""

from __future__ import annotations

import asyncio
import zlib
from collections.abc import Sequence

import attrs

from rattanpier._internal.configuration.follow import Follower
from rattanpier._internal.exceptions import PeerUnavailableError
from rattanpier._internal.membership.members import Members
from rattanpier._internal.membership.records import incarnation_id
from rattanpier._internal.models.member import Member
from rattanpier._internal.peers.links import Links
from rattanpier._internal.peers.proto import peer_pb2
from rattanpier._internal.utils.metrics import Metrics

FAN_OUT = 4
LEVEL_TIMEOUT_S = 0.5


def split_into_branches(names: Sequence[str]) -> list[list[str]]:
    """Deals names out to at most `FAN_OUT` branches.

    >>> split_into_branches(["a", "b", "c", "d", "e"])
    [['a', 'e'], ['b'], ['c'], ['d']]
    """
    dealt = [list(names[start::FAN_OUT]) for start in range(FAN_OUT)]
    return [branch for branch in dealt if branch]


def tree_depth(size: int) -> int:
    """Returns the depth of the tree under a branch's head member.

    >>> [tree_depth(size) for size in (1, 2, 5, 6, 105)]
    [1, 2, 2, 3, 5]
    """
    depth = 1
    while size > 1:
        size = -(-(size - 1) // FAN_OUT)
        depth += 1
    return depth


@attrs.define
class RevisionBroadcaster:
    """Sends and relays pushes."""

    follower: Follower
    members: Members
    links: Links
    metrics: Metrics

    async def broadcast(
        self, revision: int, packed: bytes, targets: Sequence[Member]
    ) -> set[str]:
        """Pushes a revision to members.

        Args:
          revision: Its number.
          packed: Its text, compressed.
          targets: Members to reach.

        Returns:
          Ids of the members that are known to have it, or a newer one.
        """
        by_name = {member.name: member for member in targets}
        replies = await asyncio.gather(
            *(
                self.send(revision, packed, by_name[branch[0]], branch[1:])
                for branch in split_into_branches(list(by_name))
            )
        )
        return {name for reply in replies for name in reply}

    async def send(
        self, revision: int, packed: bytes, head: Member, relay: list[str]
    ) -> list[str]:
        """Pushes to the head of a branch; returns who acknowledged."""
        push = peer_pb2.ConfigPush(revision=revision, text=packed, relay=relay)
        self.metrics.count("config.pushes")
        self.metrics.count("config.push_bytes", push.ByteSize())
        timeout_s = LEVEL_TIMEOUT_S * tree_depth(len(relay) + 1)
        try:
            reply = await self.links.to(head).call(
                peer_pb2.Call(config_push=push), timeout_s
            )
        except PeerUnavailableError:
            return []
        return list(reply.config_ack.members)

    async def serve(self, call: peer_pb2.Call) -> peer_pb2.Reply:
        """Takes a push in, passes it on and acknowledges."""
        push = call.config_push
        text = zlib.decompress(push.text).decode()
        self.follower.apply_revision(push.revision, text)
        live = self.members.live.value
        targets = [live[name] for name in push.relay if name in live]
        acked = await self.broadcast(push.revision, push.text, targets)
        if self.follower.revision >= push.revision:
            acked.add(incarnation_id(self.members.me))
        ack = peer_pb2.ConfigAck(
            revision=self.follower.revision, members=sorted(acked)
        )
        return peer_pb2.Reply(config_ack=ack)
