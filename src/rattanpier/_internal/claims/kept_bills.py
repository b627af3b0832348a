"""Bills that this process keeps for peers while the store is down."""

from __future__ import annotations

import collections
from collections.abc import Awaitable, Callable

import attrs

from rattanpier._internal.claims.records import ClaimOp, PendingBill, SettleOp
from rattanpier._internal.models.outcomes import SettleOutcome
from rattanpier._internal.peers.proto import peer_pb2
from rattanpier._internal.utils.codec import decode, encode
from rattanpier._internal.utils.metrics import Metrics

MAX_KEPT_BYTES = 32 * 2**20  # Bills that one process keeps for others.
FLUSH_DELAY_S = 2.0  # The owner, if alive, writes its bills itself first.

BillId = tuple[str, str]  # Workspace and key.
SendBill = Callable[[PendingBill], Awaitable[peer_pb2.Reply | None]]


def bill_id(op: ClaimOp | SettleOp) -> BillId:
    """Returns the claim that an operation belongs to."""
    return op.workspace, op.key


@attrs.define
class KeptBills:
    """Keeps others' bills in memory until their shards' owners have them.

    Attributes:
      reachable: Says whether this process can reach the store.
      shard_of: Returns the shard of a workspace and key.
      kept: Records by their id, oldest first.
      size_bytes: Bytes of them.
    """

    reachable: Callable[[], bool]
    shard_of: Callable[[str, str], int]
    metrics: Metrics
    kept: collections.OrderedDict[str, bytes] = attrs.Factory(
        collections.OrderedDict
    )
    size_bytes: int = 0

    async def serve(self, call: peer_pb2.Call) -> peer_pb2.Reply:
        """Keeps or releases records for a peer."""
        request = call.hold
        records: list[bytes] = []
        if request.collect:
            records = self.records_of_shard(request.shard)
            held = True
        elif request.release:
            for record_id in request.record_id.split("\n"):
                self.remove(record_id)
            held = True
        else:
            held = not self.reachable() and self.add(request)
        return peer_pb2.Reply(
            hold=peer_pb2.HoldReply(
                held=held, queued=len(self.kept), records=records
            )
        )

    def records_of_shard(self, shard: int) -> list[bytes]:
        """Returns the records that belong to a shard."""
        return [
            encode(bill).encode()
            for _, bill in self.records()
            if self.shard_of(*bill_id(bill.settle)) == shard
        ]

    def add(self, request: peer_pb2.HoldRequest) -> bool:
        """Keeps a record; False if there is no room."""
        if not request.record:
            return True  # A question about the store only.
        if self.size_bytes + len(request.record) > MAX_KEPT_BYTES:
            self.metrics.count("claims.refused.keeper_full")
            return False
        self.remove(request.record_id)
        self.kept[request.record_id] = request.record
        self.size_bytes += len(request.record)
        self.metrics.count("claims.kept")
        return True

    def remove(self, record_id: str) -> None:
        """Forgets a record."""
        self.size_bytes -= len(self.kept.pop(record_id, b""))

    def records(self) -> list[tuple[str, PendingBill]]:
        """Returns what is kept, with its ids."""
        return [
            (record_id, decode(PendingBill, record))
            for record_id, record in self.kept.items()
        ]

    async def flush(self, send: SendBill) -> None:
        """Hands what is kept to the owners of its shards.

        Args:
          send: Sends a bill to its shard's owner and returns the reply, or
            None if there is no owner now.
        """
        for record_id, bill in self.records():
            reply = await send(bill)
            if reply is None or not reply.settle.durable:
                continue
            if reply.settle.outcome == SettleOutcome.SETTLED:
                self.remove(record_id)
                self.metrics.count("claims.kept_flushed")
