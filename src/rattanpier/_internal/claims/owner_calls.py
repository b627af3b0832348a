"""Client for the owners of claim shards, local or on another entry."""

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

RETRY_INTERVAL_S = 0.05  # Between calls to a shard's owner.
CALL_TIMEOUT_S = 1.0  # A frozen owner may be replaced meanwhile.
MAX_OUTAGE_TRIES = 2  # No new owner can be chosen without the store.
NOT_OWNER = "not_owner"


@attrs.define
class OwnerCalls:
    """Sends calls to the owners of shards.

    Attributes:
      ownership: Shards owned by this process, and known owners of the rest.
      links: Connections to peers.
      clock: Source of time.
      metrics: Counts retries and refusals.
    """

    ownership: Ownership
    links: Links
    clock: Clock
    metrics: Metrics

    async def call_owner(
        self, shard: int, call: peer_pb2.Call, timeout_s: float
    ) -> peer_pb2.Reply | None:
        """Sends a call to a shard's owner, with retries.

        Calls are idempotent, so they can be repeated, also at a new owner.

        Args:
          shard: Shard number.
          call: The call.
          timeout_s: Seconds for all tries together.

        Returns:
          The reply, or None if no owner replied in time.
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
        """Sends a call once to the known owner; returns None on failure."""
        owner = self.ownership.owners.get(shard)
        # After losing its epoch, an owner stays listed until the next read.
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
        """Serves a call of a peer on a shard of this process.

        Raises:
          PeerUnavailableError: This process does not own the shard.
        """
        owner = self.ownership.owners.get(shard)
        reply = None if owner is None else await serve_call(owner, call)
        if reply is None:
            raise PeerUnavailableError(NOT_OWNER)
        return reply
