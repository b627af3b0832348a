"""Snapshots of a peer's state, used while the store is unreachable.

An entry that can't reach the store, because it started during an outage or
because the store refuses its VM, loads the state of a peer.
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
from rattanpier._internal.utils.record import Record

log = structlog.get_logger(part="fleet")

# Allows for tables of many routes over a slow link.
SNAPSHOT_TIMEOUT_S = 2.0
MIN_REQUEST_INTERVAL_S = 1.0
MAX_PEERS_ASKED = 2  # Asked one after the other, until one answers.


@attrs.frozen(eq=False, repr=False)
class Snapshot(Record):
    """All state that an entry needs to serve requests.

    Field names are on the wire and can't be changed.

    Attributes:
      packed_table: Route table, packed because it may be long; empty if the
        sender has none.
      table_version: Version of the route table.
      workers: Registered workers.
      orders: Roll-out orders.
      records: Progress of the roll-outs.
      domain_orders: Orders that drain failure domains or end a drain.
      from_store: Whether the sender can reach the store now.
      as_of: Revision of the store at which the workers were read.
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
        """Returns the route table, or None if the sender had none.

        Raises:
          UnreadableError: The table can't be unpacked.
        """
        if not self.packed_table:
            return None
        return unpack(RouteTable, self.packed_table)


@attrs.define(eq=False, repr=False)
class Snapshots:
    """Serves snapshots to peers and requests them when needed.

    Attributes:
      fleet: Known states of all entries.
      links: Connections to the peers.
      clock: Source of monotonic time.
      needed: Returns whether this entry lacks state from the store.
      build: Returns a snapshot of this entry's state.
      restore: Loads a snapshot of the peer with the given name.
      requested_at: Monotonic time of the last request, in seconds.
    """

    fleet: Fleet
    links: Links
    clock: Clock
    needed: Callable[[], bool]
    build: Callable[[], Snapshot]
    restore: Callable[[Snapshot, str], None]
    requested_at: float = float("-inf")

    async def serve(self, call: peer_pb2.Call) -> peer_pb2.Reply:
        """Answers with a snapshot of this entry's state."""
        packed = pack(self.build())
        return peer_pb2.Reply(snapshot=peer_pb2.SnapshotReply(packed=packed))

    async def request_if_needed(self) -> None:
        """Loads a peer's snapshot if this entry lacks state from the store."""
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
                self.restore(
                    unpack(Snapshot, reply.snapshot.packed), state.member.name
                )
            except (PeerUnavailableError, UnreadableError) as error:
                log.info(
                    "Snapshot request to peer failed.",
                    entry=state.member.name,
                    error=str(error),
                )
                continue
            return

    def candidate_peers(self) -> list[EntryState]:
        """Returns the peers to ask; those that serve callers come first.

        The order is random, so that entries that start together ask different
        peers. If the store is reachable, only peers that serve callers are
        asked: while all entries start, none knows more than the store.
        """
        candidates = [
            state for state in self.fleet.live() if state != self.fleet.me
        ]
        random.shuffle(candidates)
        candidates.sort(key=lambda state: (not state.ready, not state.store))
        if self.fleet.me.store:
            candidates = [state for state in candidates if state.ready]
        return candidates[:MAX_PEERS_ASKED]
