"""Broadcasts a revision along a tree of members.

Each member relays the revision to a fixed number of children, whatever the size
of the fleet, and acknowledges for its whole subtree. Members of a broken branch
get the revision in the next round of the sender or by their own polls.
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
    """Splits names into at most `FAN_OUT` branches, round-robin.

    >>> split_into_branches(["a", "b", "c", "d", "e"])
    [['a', 'e'], ['b'], ['c'], ['d']]
    """
    dealt = [list(names[start::FAN_OUT]) for start in range(FAN_OUT)]
    return [branch for branch in dealt if branch]


def tree_depth(size: int) -> int:
    """Returns the number of levels of a branch with `size` members.

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
    """Sends revisions to members and relays those of others.

    Attributes:
      follower: The configuration in force on this node.
      members: The members of the fleet.
      links: Links to peers.
      metrics: Counts pushes and their bytes.
    """

    follower: Follower
    members: Members
    links: Links
    metrics: Metrics

    async def broadcast(
        self, revision: int, packed: bytes, targets: Sequence[Member]
    ) -> set[str]:
        """Sends a revision to members along a tree.

        Args:
          revision: Its number.
          packed: Its text, compressed by zlib.
          targets: Members to reach.

        Returns:
          Incarnation ids of the members known to have it or a newer one.
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
        """Sends a revision to the head of a branch.

        Args:
          revision: Its number.
          packed: Its text, compressed by zlib.
          head: First member of the branch.
          relay: Names of the other members of the branch.

        Returns:
          Incarnation ids of the members that acknowledged; none if the head
          did not answer in time.
        """
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
        """Applies a pushed revision, relays it and acknowledges."""
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
