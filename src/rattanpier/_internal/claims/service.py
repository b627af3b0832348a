"""Claims as the rest of an entry uses them, wherever their shard lives."""

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

FLUSH_INTERVAL_S = 0.5  # Between looks at the bills kept for peers.
DISOWN_RETRY_INTERVAL_S = 1.0  # Between tries to end a claim in the background.
DISOWN_TIMEOUT_S = 3600.0  # Then the claim is left to the owner's sweep.
MAX_DISOWNING = 10_000  # Claims ended in the background at once.


@attrs.frozen
class ClaimReply:
    """What an entry learns of its claim.

    Attributes:
      outcome: What it may do.
      attempt: The attempt granted, or the latest.
      holder: Who runs the latest attempt.
      answer: The recorded answer, if answered.
      durable: False if granted while the store is down.
      not_run: True if no attempt of this claim can have run.
      retry_after_s: When to come back, or 0.
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
    """Makes, ends and looks up claims.

    Attributes:
      objects: Where snapshots and bills of compacted logs are kept.
      ownership: Which shards this process owns, and who the others.
      owner_calls: Carries calls to the owners of shards.
      outage: What this process does while the store is down.
      kept_bills: Bills that this process keeps for others meanwhile.
      disowning: Tasks that end claims in the background.
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
        """Returns the shard of a request."""
        text = f"{workspace}\x1f{key}"
        return stable_hash(text) % self.fleet.claim_shards

    async def run(self) -> None:
        """Looks after shards and kept bills until the end."""
        self.kernel.spawn(self.run_flush())
        await self.ownership.run()

    async def hand_over(self) -> None:
        """Gives up every shard, for a planned stop."""
        await self.ownership.hand_over_all()

    # For the rest of the entry.

    async def claim(self, ask: Ask, timeout_s: float) -> ClaimReply:
        """Claims a request; safe to repeat with the same holder."""
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
        """Ends a claim; safe to repeat."""
        reply = await self.send_settle(op, holder, timeout_s)
        if reply is None:
            return SettleOutcome.UNAVAILABLE
        return SettleOutcome(reply.outcome)

    async def send_settle(
        self, op: SettleOp, holder: str, timeout_s: float
    ) -> peer_pb2.SettleReply | None:
        """Sends a settlement; None if the owner can't be reached."""
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
        """Ends, in the background, whatever claim an ask has obtained.

        For an asker that goes away without a settlement: its ask may have
        been granted though no reply came. Harmless if it was not, or if the
        claim has ended.

        Args:
          ask: The ask as it was made.
          result: Released if nothing can have run or it may run again; else
            unknown.
        """
        if len(self.disowning) >= MAX_DISOWNING:
            self.metrics.count("claims.disown_dropped")
            return
        task = self.kernel.spawn(self.disown_until_known(ask, result))
        self.disowning.add(task)
        task.add_done_callback(self.disowning.discard)

    async def disown_until_known(self, ask: Ask, result: ClaimResult) -> None:
        """Ends a holder's claim; repeats until that is durable."""
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
        """Asks for a claim's state; None if its owner can't be reached."""
        body = peer_pb2.LookupRequest(workspace=workspace, key=key)
        shard = self.shard_of(workspace, key)
        reply = await self.owner_calls.call_owner(
            shard, peer_pb2.Call(lookup=body), timeout_s
        )
        return None if reply is None else reply.lookup

    # For peers.

    async def serve_call(self, call: peer_pb2.Call) -> peer_pb2.Reply:
        """Serves a peer's claim, settlement or look-up.

        Raises:
          PeerUnavailableError: The shard has another owner.
        """
        body = getattr(call, call.WhichOneof("body") or "")
        shard = self.shard_of(body.workspace, body.key)
        return await self.owner_calls.serve(shard, call)

    async def serve_hold(self, call: peer_pb2.Call) -> peer_pb2.Reply:
        """Keeps a bill for a peer, or takes one in as a shard's owner.

        Raises:
          PeerUnavailableError: The shard has another owner.
        """
        if not call.hold.flush:
            return await self.kept_bills.serve(call)
        bill = decode(PendingBill, call.hold.record)
        shard = self.shard_of(bill.claim.workspace, bill.claim.key)
        return await self.owner_calls.serve(shard, call)

    # Bills kept for peers.

    async def run_flush(self) -> None:
        """Flushes kept bills whenever the store is back."""
        while not self.kernel.stopping.is_set():
            await self.flush_kept()
            await self.clock.sleep(FLUSH_INTERVAL_S)

    async def flush_kept(self) -> None:
        """Hands what is still kept to the owners of its shards.

        An owner that lives writes its bills itself and has them dropped
        here; what is left after a while belongs to an owner that died. Both
        may happen: a bill is keyed by its claim.
        """
        since = self.clock.monotonic() - self.ownership.reachable_since
        if not self.ownership.reachable or since < self.flush_after_s:
            return
        await self.kept_bills.flush(self.send_kept)

    async def send_kept(self, bill: PendingBill) -> peer_pb2.Reply | None:
        """Sends a kept bill to its shard's owner; None if there is none."""
        body = peer_pb2.HoldRequest(flush=True, record=encode(bill).encode())
        shard = self.shard_of(bill.claim.workspace, bill.claim.key)
        return await self.owner_calls.call_owner(
            shard, peer_pb2.Call(hold=body), CALL_TIMEOUT_S
        )
