"""What peers know stands in for the store.

An entry that does not reach the store, after a start in an outage or since the
store turns its VM away, takes the beliefs of a peer.
"""

from __future__ import annotations

import random
from collections.abc import Callable

import attrs
import structlog

from rattanpier._internal.exceptions import (
    PeerUnavailableError,
    UnreadableError,
)
from rattanpier._internal.models.domain_order import DomainOrder
from rattanpier._internal.models.revision import Revision
from rattanpier._internal.models.rollout_order import (
    RolloutOrder,
    RolloutRecord,
)
from rattanpier._internal.models.route_table import RouteTable
from rattanpier._internal.models.worker import RegisteredWorker
from rattanpier._internal.peers.links import Links
from rattanpier._internal.peers.proto import peer_pb2
from rattanpier._internal.relay.fleet import EntryState, Fleet
from rattanpier._internal.utils.clock import Clock
from rattanpier._internal.utils.codec import pack, unpack

log = structlog.get_logger(part="fleet")

SNAPSHOT_TIMEOUT_S = 2.0  # Tables of many routes over a slow link.
MIN_REQUEST_INTERVAL_S = 1.0
MAX_PEERS_ASKED = 2  # Peers, one after the other, until one answers.


@attrs.frozen
class Snapshot:
    """All that an entry needs to serve.

    Attributes:
      packed_table: The route table, packed, since it may be long; empty if the
        sender has none.
      table_version: Its version.
      workers: Registered workers.
      orders: Roll-out orders.
      records: How far they went.
      domain_orders: Failure domains that get nothing new, and those that do
        again.
      from_store: The sender reaches the store now.
      as_of: Revision of the store as of which the workers are.
    """

    packed_table: bytes
    table_version: int
    workers: list[RegisteredWorker]
    orders: list[RolloutOrder]
    records: list[RolloutRecord]
    domain_orders: list[DomainOrder]
    from_store: bool
    as_of: Revision = Revision()

    def table(self) -> RouteTable | None:
        """Returns the route table.

        Raises:
          UnreadableError: The bytes do not fit.
        """
        if not self.packed_table:
            return None
        return unpack(RouteTable, self.packed_table)


@attrs.define(eq=False, repr=False)
class Snapshots:
    """Gives this entry's beliefs to peers, and takes theirs.

    Attributes:
      needed: Whether this entry lacks what the store would tell.
      build: Returns this entry's beliefs.
      restore: Takes a peer's beliefs.
      requested_at: When peers were asked last, in monotonic seconds.
    """

    fleet: Fleet
    links: Links
    clock: Clock
    needed: Callable[[], bool]
    build: Callable[[], Snapshot]
    restore: Callable[[Snapshot], None]
    requested_at: float = float("-inf")

    async def serve(self, call: peer_pb2.Call) -> peer_pb2.Reply:
        """Answers with this entry's state."""
        packed = pack(self.build())
        return peer_pb2.Reply(snapshot=peer_pb2.SnapshotReply(packed=packed))

    async def request_if_needed(self) -> None:
        """Takes the beliefs of a peer that has what this entry lacks."""
        since_s = self.clock.monotonic() - self.requested_at
        if not self.needed() or since_s < MIN_REQUEST_INTERVAL_S:
            return
        candidates = self.candidate_peers()
        if not candidates:
            return
        self.requested_at = self.clock.monotonic()
        for state in candidates:
            call = peer_pb2.Call(snapshot=peer_pb2.SnapshotRequest())
            try:
                reply = await self.links.to(state.member).call(
                    call, SNAPSHOT_TIMEOUT_S
                )
                self.restore(unpack(Snapshot, reply.snapshot.packed))
            except (PeerUnavailableError, UnreadableError) as error:
                log.info(
                    "No snapshot from a peer.",
                    entry=state.member.name,
                    error=str(error),
                )
                continue
            return

    def candidate_peers(self) -> list[EntryState]:
        """Returns the peers to ask, those that serve callers first.

        Entries that start together ask different ones. While all start, and
        the store answers, none can tell more than the store.
        """
        candidates = [
            state for state in self.fleet.live() if state != self.fleet.me
        ]
        random.shuffle(candidates)
        candidates.sort(key=lambda state: (not state.ready, not state.store))
        if self.fleet.me.store:
            candidates = [state for state in candidates if state.ready]
        return candidates[:MAX_PEERS_ASKED]
