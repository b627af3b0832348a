"""Talks to the other entries: rounds of news, and snapshots from peers.

A peer's snapshot stands in for the store while this entry does not reach it:
after a restart in an outage, or when the store turns this VM away.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import attrs
import structlog
from cattrs.errors import BaseValidationError

from rattanpier._internal.exceptions import (
    PeerRefusedError,
    PeerUnavailableError,
)
from rattanpier._internal.models.member import Member, Role
from rattanpier._internal.models.relay_settings import Address
from rattanpier._internal.models.rollout_order import (
    RolloutOrder,
    RolloutRecord,
)
from rattanpier._internal.models.route_table import RouteTable
from rattanpier._internal.models.worker import RegisteredWorker
from rattanpier._internal.peers.links import Links
from rattanpier._internal.peers.proto import peer_pb2
from rattanpier._internal.relay.fleet import GOSSIP_EVERY_S, Fleet, News
from rattanpier._internal.utils.clock import Clock
from rattanpier._internal.utils.codec import decode, encode

log = structlog.get_logger(part="fleet")

CALL_TIMEOUT_S = 0.6  # Peers answer within some ms; a round is half a second.


@attrs.frozen
class Snapshot:
    """All that an entry needs to serve.

    Attributes:
      table: The route table, None if the sender has none.
      workers: Registered workers.
      orders: Roll-out orders.
      records: How far they went.
      from_store: The sender reaches the store now.
    """

    table: RouteTable | None
    workers: list[RegisteredWorker]
    orders: list[RolloutOrder]
    records: list[RolloutRecord]
    from_store: bool


@attrs.define
class Gossip:
    """Sends and takes news.

    Attributes:
      fleet: What is known of the others.
      links: Connections to them.
      seeds: Addresses to ask while nobody is known.
      table_version: Version of the route table in force; -1: none.
      has_store: Whether this entry reaches the store.
      snapshot: Returns this entry's state.
      restore: Takes a peer's state.
      renew: Returns this entry's own news with its counter raised.
    """

    fleet: Fleet
    links: Links
    clock: Clock
    seeds: tuple[Address, ...]
    table_version: Callable[[], int]
    has_store: Callable[[], bool]
    snapshot: Callable[[], Snapshot]
    restore: Callable[[Snapshot], None]
    renew: Callable[[], None]
    joined: bool = False

    async def run(self) -> None:
        """Tells the others, round after round."""
        while True:
            await self.round()
            await self.clock.sleep(GOSSIP_EVERY_S)

    async def round(self) -> None:
        """Tells some of the others."""
        self.renew()
        self.fleet.forget_silent()
        targets = self.fleet.targets()
        if not targets:
            targets = self.seed_members()
        text = encode(self.fleet.news(self.table_version())).encode()
        await asyncio.gather(*(self.tell(peer, text) for peer in targets))
        if not self.has_store():
            await self.ask_snapshot()

    def seed_members(self) -> list[Member]:
        """Returns stand-ins for the peers behind the seed addresses."""
        own = (
            self.fleet.me.member.peer_host,
            self.fleet.me.member.peer_port,
        )
        return [
            seed_member(seed)
            for seed in self.seeds
            if (seed.host, seed.port) != own
        ]

    async def tell(self, peer: Member, text: bytes) -> None:
        """Tells one peer and takes in what it answers."""
        call = peer_pb2.Call(gossip=peer_pb2.Gossip(news=text))
        try:
            reply = await self.links.to(peer).call(call, CALL_TIMEOUT_S)
            self.fleet.take(decode(News, reply.gossip.news))
        except PeerRefusedError:
            self.fleet.note_refused(peer.name)
        except PeerUnavailableError as error:
            log.debug("Peer is silent.", entry=peer.name, error=str(error))
        except BaseValidationError as error:
            log.warning(
                "Peer's news can't be read.", entry=peer.name, error=str(error)
            )

    async def serve_news(self, call: peer_pb2.Call) -> peer_pb2.Reply:
        """Answers a peer's news with this entry's."""
        self.fleet.take(decode(News, call.gossip.news))
        text = encode(self.fleet.news(self.table_version())).encode()
        return peer_pb2.Reply(gossip=peer_pb2.Gossip(news=text))

    async def serve_snapshot(self, call: peer_pb2.Call) -> peer_pb2.Reply:
        """Answers with this entry's state."""
        text = encode(self.snapshot()).encode()
        return peer_pb2.Reply(snapshot=peer_pb2.SnapshotReply(text=text))

    async def ask_snapshot(self) -> None:
        """Takes the state of a peer that knows more."""
        for peer in self.better_peers():
            call = peer_pb2.Call(snapshot=peer_pb2.SnapshotRequest())
            try:
                reply = await self.links.to(peer).call(call, CALL_TIMEOUT_S)
                self.restore(decode(Snapshot, reply.snapshot.text))
            except (PeerUnavailableError, BaseValidationError) as error:
                log.info(
                    "No snapshot from a peer.",
                    entry=peer.name,
                    error=str(error),
                )
                continue
            return

    def better_peers(self) -> list[Member]:
        """Returns live peers that reach the store, or have a newer table."""
        own = self.table_version()
        live = [
            seen
            for seen in self.fleet.seen.values()
            if self.fleet.is_live(seen)
        ]
        with_store = [seen for seen in live if seen.news.store]
        newer = [seen for seen in live if seen.table_version > own]
        return [seen.news.member for seen in (*with_store, *newer)]


def seed_member(seed: Address) -> Member:
    """Returns a stand-in for a peer of which only the address is known."""
    return Member(
        name=str(seed),
        incarnation="",
        role=Role.ENTRY,
        domain="",
        region="",
        caller_url="",
        peer_host=seed.host,
        peer_port=seed.port,
    )
