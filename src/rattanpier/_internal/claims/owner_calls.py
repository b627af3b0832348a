"""Calls on claims, carried to whichever entry owns their shard."""

from __future__ import annotations

import asyncio

import attrs

from rattanpier._internal.claims.messages import serve as serve_call
from rattanpier._internal.claims.ownership import Ownership
from rattanpier._internal.exceptions import PeerUnavailableError
from rattanpier._internal.peers.links import Links
from rattanpier._internal.peers.proto import peer_pb2
from rattanpier._internal.utils.clock import Clock
from rattanpier._internal.utils.metrics import Metrics

RETRY_INTERVAL_S = 0.05  # Between tries to reach a shard's owner.
CALL_TIMEOUT_S = (
    1.0  # For one try; the owner may be frozen and replaced meanwhile.
)
MAX_OUTAGE_TRIES = 2  # With the store down, no new owner will come.
NOT_OWNER = "not_owner"


@attrs.define
class OwnerCalls:
    """Finds the owners of shards and asks them.

    Attributes:
      ownership: Which shards this process owns, and who the others.
      links: Connections to peers.
    """

    ownership: Ownership
    links: Links
    clock: Clock
    metrics: Metrics

    async def call_owner(
        self, shard: int, call: peer_pb2.Call, timeout_s: float
    ) -> peer_pb2.Reply | None:
        """Carries a call to a shard's owner, following changes of owner.

        Every call is idempotent at the owner, so it is repeated freely.
        """
        end = self.clock.monotonic() + timeout_s
        tries = 0
        while (remaining_s := end - self.clock.monotonic()) > 0:
            reply = await self.try_owner(
                shard, call, min(remaining_s, CALL_TIMEOUT_S)
            )
            if reply is not None:
                return reply
            tries += 1
            if not self.ownership.reachable and tries >= MAX_OUTAGE_TRIES:
                self.metrics.count("claims.refused.no_owner")
                return None
            self.metrics.count("claims.retry.owner")
            await self.clock.sleep(RETRY_INTERVAL_S)
            await self.ownership.refresh(shard)
        return None

    async def try_owner(
        self, shard: int, call: peer_pb2.Call, timeout_s: float
    ) -> peer_pb2.Reply | None:
        """Carries a call to the present owner; None if that failed."""
        owner = self.ownership.owners.get(shard)
        # One whose epoch is lost stays listed until the next look at the rows.
        if owner is not None and not owner.not_serving:
            try:
                return await asyncio.wait_for(
                    serve_call(owner, call), timeout_s
                )
            except TimeoutError:
                return None
        member = self.ownership.owner_member(shard)
        if member is None or member.name == self.ownership.me.name:
            return None
        try:
            return await self.links.to(member).call(call, timeout_s)
        except PeerUnavailableError:
            return None

    async def serve(self, shard: int, call: peer_pb2.Call) -> peer_pb2.Reply:
        """Serves a call on an own shard.

        Raises:
          PeerUnavailableError: The shard has another owner.
        """
        owner = self.ownership.owners.get(shard)
        reply = None if owner is None else await serve_call(owner, call)
        if reply is None:
            raise PeerUnavailableError(NOT_OWNER)
        return reply
