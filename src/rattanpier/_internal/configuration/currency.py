"""Decides whether the configuration of this node is current.

A node may start work only while it is current. Once the store has confirmed a
revision since the start of the process, one of these is sufficient, in this
order (docs/design/configuration.md has the proof):

* The store confirmed within the validity that no newer revision exists.
* A peer on the same revision was confirmed within the validity.
* A majority of the entries, including this one, is on this revision and can't
  reach the store. No change can then be reported as in force.
"""

from __future__ import annotations

import asyncio
import random

import attrs
import structlog

from rattanpier._internal.configuration.follow import NEVER, Follower
from rattanpier._internal.exceptions import PeerUnavailableError
from rattanpier._internal.kernel import Kernel
from rattanpier._internal.membership.members import Members
from rattanpier._internal.models.configuration import Fleet
from rattanpier._internal.models.member import Member, Role
from rattanpier._internal.peers.links import Links
from rattanpier._internal.peers.proto import peer_pb2
from rattanpier._internal.utils.clock import Clock
from rattanpier._internal.utils.metrics import Metrics

log = structlog.get_logger(part="config")

ROUND_INTERVAL_S = 0.25
QUERY_TIMEOUT_S = 0.5
FIRST_PEERS_QUERIED = 3  # Peers asked before all others are.
ROUNDS_PER_VOTE_VALIDITY = 4


def vote_validity_s(fleet: Fleet) -> float:
    """Returns for how many seconds a vote of a peer counts."""
    return fleet.validity_s / 2


def majority(fleet: Fleet) -> int:
    """Returns the smallest number of entries that is a majority.

    >>> [majority(Fleet(size=size)) for size in (8, 3, 1)]
    [5, 2, 1]
    """
    return fleet.size // 2 + 1


@attrs.define
class Currency:
    """Decides whether the node is current and answers queries of peers.

    A vote is the report of an entry that it is on this node's revision and
    can't reach the store. All times are monotonic, in seconds.

    Attributes:
      follower: The configuration in force on this node.
      members: The members of the fleet.
      links: Links to peers.
      clock: Clock for ages and rounds.
      metrics: Counts queries and changes between current and out of date.
      rng: Chooses the order in which peers are asked.
      votes: Time of the query that got each entry's vote, by name.
      votes_revision: The revision that the votes apply to.
      votes_valid_until: End of the time for which the votes of a majority
        keep this node current.
      was_current: Whether the node was current when last checked.
    """

    follower: Follower
    members: Members
    links: Links
    clock: Clock
    metrics: Metrics
    rng: random.Random
    votes: dict[str, float] = attrs.Factory(dict)
    votes_revision: int = 0
    votes_valid_until: float = NEVER
    was_current: bool = False

    def is_current(self) -> bool:
        """Returns whether the node may start work now.

        The monotonic clock is read at each call, so that a process that was
        frozen is out of date when it resumes.
        """
        now = self.clock.monotonic()
        configuration = self.follower.configuration
        if not self.follower.store_confirmed:
            # Before a restart, this node may have been on a newer revision
            # than the one that a peer confirms.
            return False
        if now - self.follower.confirmed_at < configuration.fleet.validity_s:
            return True
        return (
            now < self.votes_valid_until
            and self.votes_revision == configuration.revision
        )

    async def run(self, kernel: Kernel) -> None:
        """Asks peers while the store does not confirm, until the stop."""
        while not kernel.stopping.is_set():
            await self.query_peers()
            self.record_transition()
            await self.clock.sleep(self.round_interval_s())

    def round_interval_s(self) -> float:
        """Returns the seconds until the next round."""
        if not self.is_current():
            return ROUND_INTERVAL_S
        fleet = self.follower.configuration.fleet
        return max(
            ROUND_INTERVAL_S, vote_validity_s(fleet) / ROUNDS_PER_VOTE_VALIDITY
        )

    def record_transition(self) -> None:
        """Logs and counts when the node becomes current or out of date."""
        current = self.is_current()
        if current != self.was_current:
            self.was_current = current
            self.metrics.count("config.current" if current else "config.stale")
            log.info(
                "Configuration is current."
                if current
                else "Configuration is out of date.",
                revision=self.follower.revision,
                store_reachable=self.follower.store_reachable,
            )

    async def query_peers(self) -> None:
        """Asks peers once, unless a confirmation is recent."""
        now = self.clock.monotonic()
        fleet = self.follower.configuration.fleet
        if now - self.follower.confirmed_at < fleet.validity_s / 2:
            return
        peers = [
            member
            for member in self.members.live.value.values()
            if member.name != self.members.me.name
        ]
        self.rng.shuffle(peers)
        first, others = peers[:FIRST_PEERS_QUERIED], peers[FIRST_PEERS_QUERIED:]
        await asyncio.gather(*(self.query_peer(member) for member in first))
        if (
            self.clock.monotonic() - self.follower.confirmed_at
            >= vote_validity_s(fleet)
        ):
            await asyncio.gather(
                *(self.query_peer(member) for member in others)
            )
        self.count_votes()

    async def query_peer(self, member: Member) -> None:
        """Asks one peer for its revision and the age of its confirmation."""
        asked_at = self.clock.monotonic()
        me = self.members.me
        request = peer_pb2.CurrencyRequest(
            revision=self.follower.revision,
            member=me.name,
            incarnation=me.incarnation,
        )
        self.metrics.count("config.peers_asked")
        try:
            reply = await self.links.to(member).call(
                peer_pb2.Call(currency=request), QUERY_TIMEOUT_S
            )
        except PeerUnavailableError:
            return
        self.apply_reply(member, reply.currency, asked_at)

    def apply_reply(
        self, member: Member, reply: peer_pb2.CurrencyReply, asked_at: float
    ) -> None:
        """Applies the reply of a peer to a query.

        Args:
          member: The peer.
          reply: Its reply.
          asked_at: Monotonic seconds at which the query was sent.
        """
        if reply.revision > self.follower.revision and reply.text:
            self.follower.apply_revision(reply.revision, reply.text.decode())
        if reply.revision != self.follower.revision:
            self.votes.pop(member.name, None)
            return
        if reply.lends:
            # The peer took the age after `asked_at`, so the time computed
            # here is never too recent.
            confirmed = asked_at - reply.confirmed_age_s
            self.follower.confirmed_at = max(
                self.follower.confirmed_at, confirmed
            )
        if reply.votes and member.role is Role.ENTRY:
            self.add_vote(member.name, asked_at)
        else:
            self.votes.pop(member.name, None)

    def add_vote(self, name: str, asked_at: float) -> None:
        """Records the vote of an entry at the current revision."""
        if self.votes_revision != self.follower.revision:
            self.votes.clear()
            self.votes_valid_until = NEVER
            self.votes_revision = self.follower.revision
        self.votes[name] = asked_at

    def count_votes(self) -> None:
        """Updates the own vote and the time until which the votes count."""
        me = self.members.me
        if me.role is Role.ENTRY and self.may_vote():
            self.add_vote(me.name, self.clock.monotonic())
        else:
            self.votes.pop(me.name, None)
        fleet = self.follower.configuration.fleet
        newest_first = sorted(self.votes.values(), reverse=True)
        needed = majority(fleet)
        if me.name not in self.votes or len(newest_first) < needed:
            self.votes_valid_until = NEVER
            return
        self.votes_valid_until = newest_first[needed - 1] + vote_validity_s(
            fleet
        )

    def may_vote(self) -> bool:
        """Returns whether this node votes that the store is unreachable.

        A process that the store has not confirmed since its start may have
        been on a newer revision before, so that it has no vote.
        """
        return (
            self.follower.store_confirmed and not self.follower.store_reachable
        )

    async def serve(self, call: peer_pb2.Call) -> peer_pb2.Reply:
        """Answers the query of a peer."""
        request = call.currency
        follower = self.follower
        age = self.clock.monotonic() - follower.confirmed_at
        known = self.members.live.value.get(request.member)
        lends = (
            known is not None
            and known.incarnation == request.incarnation
            and age < follower.configuration.fleet.validity_s
        )
        newer = follower.revision > request.revision
        reply = peer_pb2.CurrencyReply(
            revision=follower.revision,
            store_reachable=follower.store_reachable,
            confirmed_age_s=age,
            member=self.members.me.name,
            lends=lends,
            votes=self.may_vote(),
            text=follower.text.encode() if newer else b"",
        )
        return peer_pb2.Reply(currency=reply)
