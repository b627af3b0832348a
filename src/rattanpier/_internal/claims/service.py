"""Claim service of an entry, independent of where a shard is owned."""

from __future__ import annotations

import asyncio

import attrs
import structlog

from rattanpier._internal.claims.book import Ask
from rattanpier._internal.claims.kept_bills import FLUSH_DELAY_S, KeptBills
from rattanpier._internal.claims.messages import (
    ANY_ATTEMPT,
    encode_bill,
)
from rattanpier._internal.claims.outage import Outage
from rattanpier._internal.claims.owner_calls import CALL_TIMEOUT_S, OwnerCalls
from rattanpier._internal.claims.ownership import Ownership
from rattanpier._internal.claims.pending import OUTAGE_RETRY_AFTER_S
from rattanpier._internal.claims.records import (
    Answer,
    ClaimResult,
    PendingBill,
    SettleOp,
)
from rattanpier._internal.kernel import Kernel
from rattanpier._internal.membership.members import Members
from rattanpier._internal.models.configuration import Fleet
from rattanpier._internal.models.member import Member
from rattanpier._internal.models.outcomes import ClaimOutcome, SettleOutcome
from rattanpier._internal.peers.links import Links
from rattanpier._internal.peers.proto import peer_pb2
from rattanpier._internal.store.objects import Objects, TableObjects
from rattanpier._internal.store.table import Table
from rattanpier._internal.utils.clock import Clock
from rattanpier._internal.utils.codec import decode, encode
from rattanpier._internal.utils.hashing import stable_hash
from rattanpier._internal.utils.metrics import Metrics

log = structlog.get_logger(part="claims")

FLUSH_INTERVAL_S = 0.5  # Between flushes of the bills kept for peers.
DISOWN_RETRY_INTERVAL_S = 1.0  # Between settlements tried in the background.
DISOWN_TIMEOUT_S = 3600.0  # Afterwards the owner's compaction settles it.
MAX_DISOWNING = 10_000  # Claims settled in the background at a time.


@attrs.frozen
class ClaimReply:
    """Reply to an ask.

    Attributes:
      outcome: Outcome of the ask.
      attempt: Number of the granted or else of the latest attempt.
      holder: Holder of the latest attempt, unless granted.
      answer: Recorded answer, if answered.
      durable: False if granted provisionally while the store is down.
      not_run: True if no attempt of this claim can have run.
      retry_after_s: Seconds to wait before a retry, or 0.
    """

    outcome: ClaimOutcome
    attempt: int = 0
    holder: str = ""
    answer: Answer | None = None
    durable: bool = True
    not_run: bool = False
    retry_after_s: float = 0.0


UNAVAILABLE = ClaimReply(
    ClaimOutcome.UNAVAILABLE, retry_after_s=OUTAGE_RETRY_AFTER_S
)


@attrs.define
class Claims:
    """Makes, settles and looks up claims.

    Attributes:
      me: This process as a member.
      fleet: Sizes and limits of the fleet.
      table: Table service with the logs and lease rows.
      clock: Source of time.
      metrics: Counts claims, settlements and retries.
      members: Members of the fleet.
      links: Connections to peers.
      kernel: Starts background tasks and announces the stop.
      objects: Object store for snapshots and bills of compacted logs.
      outage: Replicates bills to peers while the store is down.
      ownership: Shards owned by this process, and known owners of the rest.
      owner_calls: Sends calls to the owners of shards.
      kept_bills: Bills that this process keeps for peers during an outage.
      disowning: Tasks that settle claims in the background.
      flush_after_s: Seconds that owners have to write bills themselves.
    """

    me: Member
    fleet: Fleet
    table: Table
    clock: Clock
    metrics: Metrics
    members: Members
    links: Links
    kernel: Kernel
    objects: Objects = attrs.field(
        default=attrs.Factory(
            lambda self: TableObjects(self.table), takes_self=True
        )
    )
    outage: Outage = attrs.field(
        default=attrs.Factory(
            lambda self: Outage(
                self.members,
                self.links,
                self.kernel.spawn,
                lambda call: self.kept_bills.serve(call),
            ),
            takes_self=True,
        )
    )
    ownership: Ownership = attrs.field(
        default=attrs.Factory(
            lambda self: Ownership(
                self.fleet,
                self.table,
                self.clock,
                self.metrics,
                self.members,
                self.links,
                self.kernel,
                self.outage,
                self.objects,
            ),
            takes_self=True,
        )
    )
    owner_calls: OwnerCalls = attrs.field(
        default=attrs.Factory(
            lambda self: OwnerCalls(
                self.ownership, self.links, self.clock, self.metrics
            ),
            takes_self=True,
        )
    )
    kept_bills: KeptBills = attrs.field(
        default=attrs.Factory(
            lambda self: KeptBills(
                lambda: self.ownership.reachable, self.shard_of, self.metrics
            ),
            takes_self=True,
        )
    )
    disowning: set[asyncio.Task] = attrs.Factory(set)
    flush_after_s: float = FLUSH_DELAY_S

    def shard_of(self, workspace: str, key: str) -> int:
        """Returns the shard number of a workspace and key."""
        text = f"{workspace}\x1f{key}"
        return stable_hash(text) % self.fleet.claim_shards

    async def run(self) -> None:
        """Maintains shards and flushes kept bills until the process stops."""
        self.kernel.spawn(self.run_flush())
        await self.ownership.run()

    async def hand_over(self) -> None:
        """Hands over all shards, for a planned stop."""
        await self.ownership.hand_over_all()

    # For the rest of the entry.

    async def claim(self, ask: Ask, timeout_s: float) -> ClaimReply:
        """Asks for permission to run a request; idempotent for a holder.

        Args:
          ask: The ask.
          timeout_s: Seconds to wait for the owner.
        """
        body = peer_pb2.ClaimRequest(
            workspace=ask.workspace,
            key=ask.key,
            holder=ask.holder,
            idempotent=ask.idempotent,
            digest=ask.digest,
        )
        shard = self.shard_of(ask.workspace, ask.key)
        reply = await self.owner_calls.call_owner(
            shard, peer_pb2.Call(claim=body), timeout_s
        )
        if reply is None:
            return UNAVAILABLE
        claim = reply.claim
        return ClaimReply(
            ClaimOutcome(claim.outcome),
            claim.attempt,
            claim.holder,
            decode(Answer, claim.answer) if claim.answer else None,
            claim.durable,
            claim.not_run,
            claim.retry_after_s,
        )

    async def settle(
        self, op: SettleOp, holder: str, timeout_s: float
    ) -> SettleOutcome:
        """Settles a claim; idempotent.

        Args:
          op: The settlement.
          holder: Holder that settles.
          timeout_s: Seconds to wait for the owner.
        """
        reply = await self.send_settle(op, holder, timeout_s)
        if reply is None:
            return SettleOutcome.UNAVAILABLE
        return SettleOutcome(reply.outcome)

    async def send_settle(
        self, op: SettleOp, holder: str, timeout_s: float
    ) -> peer_pb2.SettleReply | None:
        """Sends a settlement; returns None if the owner can't be reached."""
        body = peer_pb2.SettleRequest(
            workspace=op.workspace,
            key=op.key,
            attempt=op.attempt,
            holder=holder,
            result=op.result.value,
            bill=encode_bill(op.bill),
            answer=encode(op.answer).encode() if op.answer else b"",
        )
        shard = self.shard_of(op.workspace, op.key)
        reply = await self.owner_calls.call_owner(
            shard, peer_pb2.Call(settle=body), timeout_s
        )
        return None if reply is None else reply.settle

    def disown(self, ask: Ask, result: ClaimResult) -> None:
        """Settles in the background any claim that an ask was granted.

        It is for a holder that gives up without a settlement: its ask may
        have been granted although no reply arrived. It has no effect if the
        ask was not granted or the claim is already settled.

        Args:
          ask: The ask as it was sent.
          result: Released if nothing can have run or the request may run
            again, else unknown.
        """
        if len(self.disowning) >= MAX_DISOWNING:
            self.metrics.count("claims.disown_dropped")
            return
        task = self.kernel.spawn(self.disown_until_known(ask, result))
        self.disowning.add(task)
        task.add_done_callback(self.disowning.discard)

    async def disown_until_known(self, ask: Ask, result: ClaimResult) -> None:
        """Settles a holder's claim; retries until the result is durable."""
        op = SettleOp(ask.workspace, ask.key, ANY_ATTEMPT, result)
        end = self.clock.monotonic() + DISOWN_TIMEOUT_S
        while self.clock.monotonic() < end:
            reply = await self.send_settle(op, ask.holder, CALL_TIMEOUT_S)
            known = reply is not None and reply.durable
            if known and reply.outcome != SettleOutcome.UNAVAILABLE:
                self.metrics.count("claims.disowned")
                return
            await self.clock.sleep(DISOWN_RETRY_INTERVAL_S)

    async def lookup(
        self, workspace: str, key: str, timeout_s: float
    ) -> peer_pb2.LookupReply | None:
        """Looks up a claim; returns None if its owner can't be reached."""
        body = peer_pb2.LookupRequest(workspace=workspace, key=key)
        shard = self.shard_of(workspace, key)
        reply = await self.owner_calls.call_owner(
            shard, peer_pb2.Call(lookup=body), timeout_s
        )
        return None if reply is None else reply.lookup

    # For peers.

    async def serve_call(self, call: peer_pb2.Call) -> peer_pb2.Reply:
        """Serves a claim, settlement or lookup of a peer.

        Raises:
          PeerUnavailableError: This process does not own the shard.
        """
        body = getattr(call, call.WhichOneof("body") or "")
        shard = self.shard_of(body.workspace, body.key)
        return await self.owner_calls.serve(shard, call)

    async def serve_hold(self, call: peer_pb2.Call) -> peer_pb2.Reply:
        """Keeps a bill for a peer, or restores one as the shard's owner.

        Raises:
          PeerUnavailableError: This process does not own the shard.
        """
        if not call.hold.flush:
            return await self.kept_bills.serve(call)
        bill = decode(PendingBill, call.hold.record)
        shard = self.shard_of(bill.claim.workspace, bill.claim.key)
        return await self.owner_calls.serve(shard, call)

    # Bills kept for peers.

    async def run_flush(self) -> None:
        """Flushes kept bills at an interval until the process stops."""
        while not self.kernel.stopping.is_set():
            await self.flush_kept()
            await self.clock.sleep(FLUSH_INTERVAL_S)

    async def flush_kept(self) -> None:
        """Sends the remaining kept bills to the owners of their shards.

        A live owner writes its bills itself and has them released here. Bills
        that remain after `flush_after_s` belong to an owner that died. If both
        happen, the bill is still charged once, as its claim identifies it.
        """
        since = self.clock.monotonic() - self.ownership.reachable_since
        if not self.ownership.reachable or since < self.flush_after_s:
            return
        await self.kept_bills.flush(self.send_kept)

    async def send_kept(self, bill: PendingBill) -> peer_pb2.Reply | None:
        """Sends a kept bill to its shard's owner; returns None without one."""
        body = peer_pb2.HoldRequest(flush=True, record=encode(bill).encode())
        shard = self.shard_of(bill.claim.workspace, bill.claim.key)
        return await self.owner_calls.call_owner(
            shard, peer_pb2.Call(hold=body), CALL_TIMEOUT_S
        )
