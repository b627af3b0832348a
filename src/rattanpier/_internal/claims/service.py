"""Claims as the rest of an entry uses them, wherever their shard lives."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping

import attrs
import structlog

from rattanpier._internal.claims.book import Ask, Claim, Decision
from rattanpier._internal.claims.owner import ShardOwner, acquire, recover
from rattanpier._internal.claims.records import (
    Answer,
    Bill,
    ClaimResult,
    SettleOp,
    ShardLease,
    lease_key,
)
from rattanpier._internal.exceptions import (
    PeerUnavailableError,
    StoreUnavailableError,
)
from rattanpier._internal.kernel import Kernel
from rattanpier._internal.membership.members import Members
from rattanpier._internal.models.configuration import Fleet
from rattanpier._internal.models.member import Member
from rattanpier._internal.models.outcomes import ClaimOutcome, SettleOutcome
from rattanpier._internal.peers.links import Links
from rattanpier._internal.peers.proto import peer_pb2
from rattanpier._internal.platform.table import Row, Table, scan_all
from rattanpier._internal.utils.clock import Clock
from rattanpier._internal.utils.codec import decode, encode
from rattanpier._internal.utils.hashing import rendezvous, stable_hash
from rattanpier._internal.utils.metrics import Metrics

log = structlog.get_logger(part="claims")

MAINTAIN_S = 0.5  # Between looks at the lease rows.
RETRY_S = 0.05  # Between tries to reach a shard's owner.
LEASE_PREFIX = "shard/"
NOT_OWNER = "not_owner"


@attrs.frozen
class ClaimReply:
    """What an entry learns of its claim.

    Attributes:
      outcome: What it may do.
      attempt: The attempt granted, or the latest.
      holder: Who runs the latest attempt.
      answer: The recorded answer, if answered.
    """

    outcome: ClaimOutcome
    attempt: int = 0
    holder: str = ""
    answer: Answer | None = None


UNAVAILABLE = ClaimReply(ClaimOutcome.UNAVAILABLE)


@attrs.define
class Claims:
    """Owns some shards and finds the owners of the others.

    Attributes:
      owners: Shards this process owns.
      rows: Lease rows as last read, by shard.
    """

    me: Member
    fleet: Fleet
    table: Table
    clock: Clock
    metrics: Metrics
    members: Members
    links: Links
    kernel: Kernel
    owners: dict[int, ShardOwner] = attrs.Factory(dict)
    rows: dict[int, Row] = attrs.Factory(dict)
    reading: asyncio.Lock = attrs.Factory(asyncio.Lock)

    def shard_of(self, workspace: str, key: str) -> int:
        """Returns the shard of a request."""
        text = f"{workspace}\x1f{key}"
        return stable_hash(text) % self.fleet.claim_shards

    @property
    def interval_s(self) -> float:
        """Seconds between two batches of one shard, from the budget."""
        return self.fleet.claim_shards / self.fleet.store_writes_per_s

    # Ownership.

    async def run(self) -> None:
        """Takes over shards without an owner until the end."""
        while not self.kernel.stopping.is_set():
            try:
                await self.maintain()
            except StoreUnavailableError:
                log.warning("Lease rows can't be read.")
            await self.clock.sleep(MAINTAIN_S)

    async def maintain(self) -> None:
        """Looks at the lease rows once and takes over what is free."""
        await self.read_rows()
        for shard in range(self.fleet.claim_shards):
            if self.should_take(shard):
                await self.take(shard)

    async def read_rows(self) -> None:
        """Reads all lease rows."""
        rows = await scan_all(self.table, LEASE_PREFIX)
        self.rows = {
            int(row.key.removeprefix(LEASE_PREFIX)): row for row in rows
        }
        for shard, owner in list(self.owners.items()):
            row = self.rows.get(shard)
            if row is None or row.version != owner.lease_version:
                owner.lose()
            if owner.lost:
                del self.owners[shard]

    def should_take(self, shard: int) -> bool:
        """Says whether this entry is next to own a shard without owner."""
        if shard in self.owners:
            return False
        row = self.rows.get(shard)
        if row is not None:
            lease = decode(ShardLease, row.value)
            if lease.owner and self.members.alive(
                f"{lease.owner}/{lease.incarnation}"
            ):
                return False
        return self.preferred(shard) == self.me.name

    def preferred(self, shard: int) -> str:
        """Returns the entry that should own a shard."""
        names = [member.name for member in self.members.entries()]
        return next(iter(rendezvous(f"shard-{shard}", names)), "")

    async def take(self, shard: int) -> None:
        """Takes a shard over and starts to serve it."""
        row = self.rows.get(shard)
        obtained = await acquire(
            self.table, shard, row, self.me.name, self.me.incarnation
        )
        if obtained is None:
            return
        lease, version = obtained
        book, sequence = await recover(self.table, shard)
        owner = ShardOwner(
            shard=shard,
            lease=lease,
            lease_version=version,
            table=self.table,
            clock=self.clock,
            metrics=self.metrics,
            alive=self.members.alive,
            interval_s=self.interval_s,
            book=book,
            next_sequence=sequence,
        )
        self.owners[shard] = owner
        self.rows[shard] = Row(lease_key(shard), version, encode(lease))
        self.kernel.spawn(owner.run())
        log.info("Shard taken.", shard=shard, epoch=lease.epoch)

    def owner_member(self, shard: int) -> Member | None:
        """Returns the live owner of a shard, as far as is known."""
        row = self.rows.get(shard)
        if row is None:
            return None
        lease = decode(ShardLease, row.value)
        member = self.live.get(lease.owner)
        if member is None or member.incarnation != lease.incarnation:
            return None
        return member

    @property
    def live(self) -> Mapping[str, Member]:
        """The live members by name."""
        return self.members.live.value

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
        reply = await self.reach(shard, peer_pb2.Call(claim=body), timeout_s)
        if reply is None:
            return UNAVAILABLE
        claim = reply.claim
        answer = decode(Answer, claim.answer) if claim.answer else None
        return ClaimReply(
            ClaimOutcome(claim.outcome), claim.attempt, claim.holder, answer
        )

    async def settle(
        self, op: SettleOp, holder: str, timeout_s: float
    ) -> SettleOutcome:
        """Ends a claim; safe to repeat."""
        body = peer_pb2.SettleRequest(
            workspace=op.workspace,
            key=op.key,
            attempt=op.attempt,
            holder=holder,
            result=op.result.value,
            bill=encode(op.bill).encode() if op.bill else b"",
            answer=encode(op.answer).encode() if op.answer else b"",
        )
        shard = self.shard_of(op.workspace, op.key)
        reply = await self.reach(shard, peer_pb2.Call(settle=body), timeout_s)
        if reply is None:
            return SettleOutcome.UNAVAILABLE
        return SettleOutcome(reply.settle.outcome)

    async def lookup(
        self, workspace: str, key: str, timeout_s: float
    ) -> peer_pb2.LookupReply | None:
        """Asks for a claim's state; None if its owner can't be reached."""
        body = peer_pb2.LookupRequest(workspace=workspace, key=key)
        shard = self.shard_of(workspace, key)
        reply = await self.reach(shard, peer_pb2.Call(lookup=body), timeout_s)
        return None if reply is None else reply.lookup

    async def reach(
        self, shard: int, call: peer_pb2.Call, timeout_s: float
    ) -> peer_pb2.Reply | None:
        """Carries a call to a shard's owner, following changes of owner.

        Every call is idempotent at the owner, so it is repeated freely.
        """
        end = self.clock.monotonic() + timeout_s
        while (left := end - self.clock.monotonic()) > 0:
            try:
                reply = await self.try_owner(shard, call, left)
            except PeerUnavailableError:
                reply = None
            if reply is not None:
                return reply
            self.metrics.count("claims.retry.owner")
            await self.clock.sleep(RETRY_S)
        return None

    async def try_owner(
        self, shard: int, call: peer_pb2.Call, timeout_s: float
    ) -> peer_pb2.Reply | None:
        """Carries a call to the present owner; None if that failed."""
        if shard in self.owners:
            try:
                return await asyncio.wait_for(
                    self.serve(shard, call), timeout_s
                )
            except TimeoutError:
                return None
        member = self.owner_member(shard)
        if member is None or member.name == self.me.name:
            return None
        link = self.links.to(member)
        return await link.call(call, timeout_s)

    # For peers.

    async def serve_call(self, call: peer_pb2.Call) -> peer_pb2.Reply:
        """Serves a peer's claim, settlement or look-up."""
        body = getattr(call, call.WhichOneof("body") or "")
        shard = self.shard_of(body.workspace, body.key)
        reply = await self.serve(shard, call)
        if reply is None:
            raise PeerUnavailableError(NOT_OWNER)
        return reply

    async def serve(
        self, shard: int, call: peer_pb2.Call
    ) -> peer_pb2.Reply | None:
        """Serves a call on an own shard; None if it is not owned."""
        owner = self.owners.get(shard)
        if owner is None or owner.lost:
            return None
        match call.WhichOneof("body"):
            case "claim":
                return await serve_claim(owner, call.claim)
            case "settle":
                return await serve_settle(owner, call.settle)
            case _:
                return serve_lookup(owner, call.lookup)


async def serve_claim(
    owner: ShardOwner, body: peer_pb2.ClaimRequest
) -> peer_pb2.Reply | None:
    """Decides on a claim."""
    ask = Ask(
        body.workspace, body.key, body.holder, body.idempotent, body.digest
    )
    decision = await owner.ask(ask)
    if decision is None:
        return None
    return peer_pb2.Reply(claim=describe_claim(decision))


def describe_claim(decision: Decision) -> peer_pb2.ClaimReply:
    """Returns the message for a decision on a claim."""
    reply = peer_pb2.ClaimReply(
        outcome=str(decision.outcome.value), durable=True
    )
    if decision.claim is not None:
        reply.attempt = decision.claim.attempt
        reply.holder = decision.claim.holder
        if decision.outcome is ClaimOutcome.ANSWERED:
            reply.answer = encode(decision.claim.answer).encode()
    elif decision.op is not None:
        reply.attempt = decision.op.attempt
    return reply


async def serve_settle(
    owner: ShardOwner, body: peer_pb2.SettleRequest
) -> peer_pb2.Reply | None:
    """Decides on a settlement."""
    op = SettleOp(
        body.workspace,
        body.key,
        body.attempt,
        ClaimResult(body.result),
        decode(Bill, body.bill) if body.bill else None,
        decode(Answer, body.answer) if body.answer else None,
    )
    decision = await owner.settle(op)
    if decision is None:
        return None
    return peer_pb2.Reply(
        settle=peer_pb2.SettleReply(
            outcome=str(decision.outcome.value), durable=True
        )
    )


def serve_lookup(
    owner: ShardOwner, body: peer_pb2.LookupRequest
) -> peer_pb2.Reply:
    """Tells how a claim stands."""
    claim: Claim | None = owner.find(body.workspace, body.key)
    if claim is None:
        return peer_pb2.Reply(lookup=peer_pb2.LookupReply(state="none"))
    return peer_pb2.Reply(
        lookup=peer_pb2.LookupReply(
            state=claim.result.value,
            attempt=claim.attempt,
            holder=claim.holder,
            answer=encode(claim.answer).encode() if claim.answer else b"",
        )
    )
