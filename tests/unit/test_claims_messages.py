"""Claim messages preserve bills and stay within the byte budget."""

from rattanpier._internal.claims.book import Decision
from rattanpier._internal.claims.messages import (
    decode_bill,
    encode_bill,
    encode_claim_reply,
    encode_settle_reply,
)
from rattanpier._internal.claims.records import Bill, ClaimOp
from rattanpier._internal.models.outcomes import ClaimOutcome, SettleOutcome
from rattanpier._internal.peers.proto import peer_pb2
from rattanpier._internal.utils.hashing import short_digest
from rattanpier._internal.utils.ids import new_key, new_request_id

WORKSPACE = "tuakana-app"
KEY = new_key()
HOLDER = f"entry-000/{'i' * 12}/{new_request_id()}"
BILL = Bill(WORKSPACE, KEY, "phrase-small@3", 300, 220, 0.00123)
# Each node may spend 4 KB/s on all control traffic, at 8.8 requests/s (3,700
# requests/s over 420 nodes); see docs/CAPACITY.md.
MAX_BYTES = 320


def settle_request():
    return peer_pb2.SettleRequest(
        workspace=WORKSPACE,
        key=KEY,
        attempt=1,
        holder=HOLDER,
        result="answered",
        bill=encode_bill(BILL),
    )


def test_bill_survives_encoding():
    assert decode_bill(settle_request()) == BILL


def test_no_bill_stays_none():
    assert decode_bill(peer_pb2.SettleRequest(bill=encode_bill(None))) is None


def test_messages_of_a_request_fit_the_byte_budget():
    ask = peer_pb2.ClaimRequest(
        workspace=WORKSPACE,
        key=KEY,
        holder=HOLDER,
        idempotent=True,
        digest=short_digest("body"),
    )
    op = ClaimOp(WORKSPACE, KEY, 1, HOLDER, True, ask.digest)
    granted = Decision(ClaimOutcome.GRANTED, op=op)
    settled = Decision(SettleOutcome.SETTLED)
    messages = [
        peer_pb2.Call(id=10**6, claim=ask),
        peer_pb2.Call(id=10**6, settle=settle_request()),
        peer_pb2.Reply(id=10**6, claim=encode_claim_reply(granted)),
        encode_settle_reply(settled),
    ]
    assert sum(message.ByteSize() for message in messages) < MAX_BYTES
