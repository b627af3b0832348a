"""Conversion between messages of peers and decisions of a shard's owner."""

from __future__ import annotations

from rattanpier._internal.claims.book import Ask, Claim, Decision
from rattanpier._internal.claims.owner import ShardOwner
from rattanpier._internal.claims.records import (
    Answer,
    Bill,
    ClaimResult,
    PendingBill,
    SettleOp,
)
from rattanpier._internal.models.outcomes import ClaimOutcome, SettleOutcome
from rattanpier._internal.peers.proto import peer_pb2
from rattanpier._internal.utils.codec import decode, encode

ANY_ATTEMPT = 0  # In a settlement: the holder's attempt, whatever its number.


async def serve(
    owner: ShardOwner, call: peer_pb2.Call
) -> peer_pb2.Reply | None:
    """Serves a call on a shard; returns None if it has another owner."""
    match call.WhichOneof("body"):
        case "claim":
            return await serve_claim(owner, call.claim)
        case "settle":
            return await serve_settle(owner, call.settle)
        case "hold":
            return await serve_restore(owner, call.hold)
        case _:
            return serve_lookup(owner, call.lookup)


async def serve_claim(
    owner: ShardOwner, body: peer_pb2.ClaimRequest
) -> peer_pb2.Reply | None:
    """Serves a claim; returns None if the shard has another owner."""
    ask = Ask(
        body.workspace, body.key, body.holder, body.idempotent, body.digest
    )
    decision = await owner.ask(ask)
    if decision is None:
        return None
    return peer_pb2.Reply(claim=encode_claim_reply(decision))


def encode_claim_reply(decision: Decision) -> peer_pb2.ClaimReply:
    """Converts a decision on a claim to a reply."""
    reply = peer_pb2.ClaimReply(
        outcome=str(decision.outcome.value),
        durable=decision.durable,
        not_run=decision.not_run,
        retry_after_s=decision.retry_after_s,
    )
    if decision.claim is not None:
        reply.attempt = decision.claim.attempt
        if decision.outcome is not ClaimOutcome.GRANTED:
            reply.holder = decision.claim.holder
        if decision.outcome is ClaimOutcome.ANSWERED:
            reply.answer = encode(decision.claim.answer).encode()
    elif decision.op is not None:
        reply.attempt = decision.op.attempt
    return reply


async def serve_settle(
    owner: ShardOwner, body: peer_pb2.SettleRequest
) -> peer_pb2.Reply | None:
    """Serves a settlement; returns None if the shard has another owner."""
    op = SettleOp(
        body.workspace,
        body.key,
        body.attempt,
        ClaimResult(body.result),
        decode_bill(body),
        decode(Answer, body.answer) if body.answer else None,
    )
    if op.attempt == ANY_ATTEMPT:
        decision = await owner.disown(op, body.holder)
    elif is_held_by_another(owner, body):
        decision = Decision(SettleOutcome.SUPERSEDED)
    else:
        decision = await owner.settle(op)
    return encode_settle_reply(decision)


def encode_bill(bill: Bill | None) -> peer_pb2.Bill | None:
    """Converts a bill; the workspace and key are sent with the claim."""
    if bill is None:
        return None
    return peer_pb2.Bill(
        version=bill.version,
        prompt_tokens=bill.prompt_tokens,
        output_tokens=bill.output_tokens,
        credits=bill.credits,
    )


def decode_bill(body: peer_pb2.SettleRequest) -> Bill | None:
    """Returns the bill of a settlement, or None."""
    if not body.HasField("bill"):
        return None
    return Bill(
        body.workspace,
        body.key,
        body.bill.version,
        body.bill.prompt_tokens,
        body.bill.output_tokens,
        body.bill.credits,
    )


def is_held_by_another(owner: ShardOwner, body: peer_pb2.SettleRequest) -> bool:
    """Returns whether an attempt belongs to another holder.

    Numbers of attempts alone are ambiguous: they start from 1 again once a
    claim was removed after its retention period.
    """
    claim = owner.find(body.workspace, body.key)
    if claim is None or claim.attempt != body.attempt:
        return False
    return claim.holder != body.holder


async def serve_restore(
    owner: ShardOwner, body: peer_pb2.HoldRequest
) -> peer_pb2.Reply | None:
    """Restores a bill that a peer kept during an outage."""
    decision = await owner.restore(decode(PendingBill, body.record))
    return encode_settle_reply(decision)


def encode_settle_reply(decision: Decision | None) -> peer_pb2.Reply | None:
    """Converts a decision on a settlement to a reply."""
    if decision is None:
        return None
    return peer_pb2.Reply(
        settle=peer_pb2.SettleReply(
            outcome=str(decision.outcome.value), durable=decision.durable
        )
    )


def serve_lookup(
    owner: ShardOwner, body: peer_pb2.LookupRequest
) -> peer_pb2.Reply:
    """Returns the current state of a claim."""
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
