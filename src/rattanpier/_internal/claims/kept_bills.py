"""Bills that this process keeps in memory for peers during a store outage.

They are a second copy of bills whose owner can't write them to the log. A new
owner of the shard reads them, so that a bill survives the death of its owner.
"""

from __future__ import annotations

import collections
from collections.abc import Awaitable, Callable

import attrs

from rattanpier._internal.claims.records import ClaimOp, PendingBill, SettleOp
from rattanpier._internal.models.outcomes import SettleOutcome
from rattanpier._internal.peers.proto import peer_pb2
from rattanpier._internal.utils.codec import decode, encode
from rattanpier._internal.utils.metrics import Metrics

MAX_KEPT_BYTES = 32 * 2**20  # Per process.
FLUSH_DELAY_S = 2.0  # A live owner first writes its bills itself.

BillId = tuple[str, str]  # Workspace and key.
SendBill = Callable[[PendingBill], Awaitable[peer_pb2.Reply | None]]


def bill_id(op: ClaimOp | SettleOp) -> BillId:
    """Returns the workspace and key of an operation's claim."""
    return op.workspace, op.key


@attrs.define
class KeptBills:
    """Keeps bills of peers until the owners of their shards have logged them.

    Attributes:
      reachable: Returns whether this process can reach the store.
      shard_of: Returns the shard of a workspace and key.
      metrics: Counts kept, refused and flushed bills.
      kept: Encoded bills by record id, oldest first.
      size_bytes: Total size of the encoded bills.
    """

    reachable: Callable[[], bool]
    shard_of: Callable[[str, str], int]
    metrics: Metrics
    kept: collections.OrderedDict[str, bytes] = attrs.Factory(
        collections.OrderedDict
    )
    size_bytes: int = 0

    async def serve(self, call: peer_pb2.Call) -> peer_pb2.Reply:
        """Serves a request of a peer to keep, release or collect bills."""
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
        """Returns the encoded bills of a shard."""
        return [
            encode(bill).encode()
            for _, bill in self.records()
            if self.shard_of(*bill_id(bill.settle)) == shard
        ]

    def add(self, request: peer_pb2.HoldRequest) -> bool:
        """Adds a bill.

        Returns:
          False if the bill does not fit into `MAX_KEPT_BYTES`.
        """
        if not request.record:
            return True  # The peer only asks whether the store is reachable.
        if self.size_bytes + len(request.record) > MAX_KEPT_BYTES:
            self.metrics.count("claims.refused.keeper_full")
            return False
        self.remove(request.record_id)
        self.kept[request.record_id] = request.record
        self.size_bytes += len(request.record)
        self.metrics.count("claims.kept")
        return True

    def remove(self, record_id: str) -> None:
        """Removes a bill, if present."""
        self.size_bytes -= len(self.kept.pop(record_id, b""))

    def records(self) -> list[tuple[str, PendingBill]]:
        """Returns the kept bills with their record ids."""
        return [
            (record_id, decode(PendingBill, record))
            for record_id, record in self.kept.items()
        ]

    async def flush(self, send: SendBill) -> None:
        """Sends the kept bills to the owners of their shards.

        A bill is removed once its owner has settled it durably.

        Args:
          send: Sends a bill to its shard's owner and returns the reply, or
            None if the owner can't be reached.
        """
        for record_id, bill in self.records():
            reply = await send(bill)
            if reply is None or not reply.settle.durable:
                continue
            if reply.settle.outcome == SettleOutcome.SETTLED:
                self.remove(record_id)
                self.metrics.count("claims.kept_flushed")
