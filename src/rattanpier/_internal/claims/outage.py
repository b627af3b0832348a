"""Replication of bills to peers while the store is down.

An answer may be released only once its bill is safe. During an outage of the
table service, that means: in the memory of the shard's owner and of a peer in
another failure domain. A peer agrees only if it can't reach the store either,
so an entry that alone is partitioned from the store releases no answers.
"""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable, Iterable

import attrs
import structlog

from rattanpier._internal.claims.kept_bills import BillId, bill_id
from rattanpier._internal.claims.records import (
    ClaimOp,
    PendingBill,
    SettleOp,
)
from rattanpier._internal.exceptions import PeerUnavailableError
from rattanpier._internal.membership.members import Members
from rattanpier._internal.models.member import Member
from rattanpier._internal.peers.links import Links
from rattanpier._internal.peers.proto import peer_pb2
from rattanpier._internal.peers.server import CallHandler
from rattanpier._internal.utils.codec import decode, encode
from rattanpier._internal.utils.hashing import rendezvous

log = structlog.get_logger(part="claims")

PEER_TIMEOUT_S = 1.0
MAX_PEERS = 3  # Peers asked about the store, or asked to keep one bill.
MAX_PEERS_COLLECTED = 12  # Peers asked for the bills of a dead owner.


@attrs.define
class Outage:
    """Replicates pending bills to peers during a store outage.

    Attributes:
      members: Members of the fleet; None if there are no peers.
      links: Connections to peers.
      spawn: Starts a background task.
      serve_locally: Serves a call to this process's own `KeptBills`.
      confirmed: True while peers can't reach the store either.
      bill_locations: Peer and record id of each kept bill, by claim.
      record_numbers: Numbers for new record ids.
    """

    members: Members | None = None
    links: Links | None = None
    spawn: Callable[..., asyncio.Task] | None = None
    serve_locally: CallHandler | None = None
    confirmed: bool = False
    bill_locations: dict[BillId, tuple[Member, str]] = attrs.Factory(dict)
    record_numbers: itertools.count = attrs.Factory(itertools.count)

    def peers(self) -> list[Member]:
        """Returns up to `MAX_PEERS` entries in other failure domains.

        The order is stable while the members stay the same.
        """
        assert self.members is not None
        me = self.members.me
        others = {
            member.name: member
            for member in self.members.entries()
            if (member.region, member.domain) != (me.region, me.domain)
        }
        order = rendezvous(f"keep-{me.name}", list(others))
        return [others[name] for name in itertools.islice(order, MAX_PEERS)]

    async def check(self) -> None:
        """Asks peers whether they can reach the store; updates `confirmed`."""
        request = peer_pb2.HoldRequest()
        replies = await asyncio.gather(
            *(self.send(peer, request) for peer in self.peers())
        )
        answers = [reply.held for reply in replies if reply is not None]
        confirmed = bool(answers) and all(answers)
        if confirmed != self.confirmed:
            log.warning("Store outage.", confirmed=confirmed)
        self.confirmed = confirmed

    async def send(
        self, peer: Member, request: peer_pb2.HoldRequest
    ) -> peer_pb2.HoldReply | None:
        """Sends a request to a peer; returns None if it did not answer."""
        assert self.links is not None and self.members is not None
        call = peer_pb2.Call(hold=request)
        if peer.name == self.members.me.name:
            assert self.serve_locally is not None
            return (await self.serve_locally(call)).hold
        try:
            reply = await self.links.to(peer).call(call, PEER_TIMEOUT_S)
        except PeerUnavailableError:
            return None
        return reply.hold

    async def collect(self, dead: str, shard: int) -> list[PendingBill]:
        """Collects the bills of a shard that peers keep for its dead owner.

        A new owner needs them before it grants anything, because their
        answers have already been released to callers.

        Args:
          dead: Member name of the previous owner.
          shard: Shard number.
        """
        if self.members is None:
            return []
        entries = {member.name: member for member in self.members.entries()}
        order = rendezvous(f"keep-{dead}", list(entries))
        request = peer_pb2.HoldRequest(collect=True, shard=shard)
        replies = await asyncio.gather(
            *(
                self.send(entries[name], request)
                for name in order[:MAX_PEERS_COLLECTED]
            )
        )
        return [
            decode(PendingBill, record)
            for reply in replies
            if reply is not None
            for record in reply.records
        ]

    async def keep(self, bill: PendingBill) -> bool:
        """Sends a bill to a peer in another failure domain.

        Returns:
          Whether a peer keeps the bill.
        """
        if not self.confirmed:
            return False
        assert self.members is not None
        me = self.members.me
        record_id = f"{me.name}/{me.incarnation}/{next(self.record_numbers)}"
        request = peer_pb2.HoldRequest(
            owner=f"{me.name}/{me.incarnation}",
            record=encode(bill).encode(),
            record_id=record_id,
        )
        for peer in self.peers():
            reply = await self.send(peer, request)
            if reply is not None and reply.held:
                self.bill_locations[bill_id(bill.settle)] = (peer, record_id)
                return True
        return False

    def release(self, ops: Iterable[ClaimOp | SettleOp]) -> None:
        """Notifies peers of durable bills, without waiting for replies."""
        released: dict[str, tuple[Member, list[str]]] = {}
        for op in ops:
            if isinstance(op, SettleOp) and bill_id(op) in self.bill_locations:
                peer, record_id = self.bill_locations.pop(bill_id(op))
                released.setdefault(peer.name, (peer, []))[1].append(record_id)
        for peer, ids in released.values():
            request = peer_pb2.HoldRequest(
                release=True, record_id="\n".join(ids)
            )
            assert self.spawn is not None
            self.spawn(self.send(peer, request))
