"""What a claim shard writes: operations, in batches, in order."""

from __future__ import annotations

import enum

import attrs


class ClaimResult(enum.StrEnum):
    """How a claim ended."""

    RUNNING = "running"
    ANSWERED = "answered"  # A whole answer; it is billed.
    RELEASED = "released"  # Certainly not run; the key may be used again.
    UNKNOWN = "unknown"  # It may have run; a non-idempotent one never reruns.


@attrs.frozen
class Bill:
    """What a workspace pays for one answer.

    Attributes:
      workspace: Who pays.
      key: The request's key; with the workspace, the bill's identity.
      version: What answered, or the plain service's name.
      prompt_tokens: Tokens read, over all steps of a cascade.
      output_tokens: Tokens generated, over all steps.
      credits: The price.
    """

    workspace: str
    key: str
    version: str
    prompt_tokens: int
    output_tokens: int
    credits: float


@attrs.frozen
class Answer:
    """A recorded answer, given to whoever repeats the key.

    Attributes:
      status: HTTP status.
      content_type: Of the body.
      body: Text; for a model the whole, non-streamed JSON answer.
      version: Version that answered.
      base64: True if the body is bytes in base 64.
      kept: False if the body was too large to be recorded.
    """

    status: int
    content_type: str
    body: str
    version: str
    base64: bool = False
    kept: bool = True


@attrs.frozen
class ClaimOp:
    """An attempt takes a claim.

    Attributes:
      workspace: Name of the workspace.
      key: The request's key.
      attempt: Counts from 1; a later attempt fences off earlier ones.
      holder: The entry's name, incarnation and request id.
      idempotent: Whether a later attempt may run it again.
      digest: Digest of the request, to tell a misused key.
    """

    workspace: str
    key: str
    attempt: int
    holder: str
    idempotent: bool
    digest: str


@attrs.frozen
class SettleOp:
    """An attempt ends."""

    workspace: str
    key: str
    attempt: int
    result: ClaimResult
    bill: Bill | None = None
    answer: Answer | None = None


@attrs.frozen
class Batch:
    """One row of a shard's log.

    Attributes:
      epoch: Epoch of the owner that wrote it.
      sequence: Position in the log, from 1.
      writer: Unique to the writing process; identifies a lost write.
      ops: Operations, in order.
      time: Writer's wall clock, for retention only.
    """

    epoch: int
    sequence: int
    writer: str
    ops: list[ClaimOp | SettleOp] = attrs.Factory(list)
    time: float = 0.0


@attrs.frozen
class ShardLease:
    """The row that names a shard's owner.

    Attributes:
      owner: Member name, or empty.
      incarnation: Of that member's process.
      epoch: The fencing number; rises with every change of owner.
      first: First log sequence still kept; earlier ones are in `snapshot`.
      snapshot: Name of the object with the claims before `first`.
    """

    owner: str
    incarnation: str
    epoch: int
    first: int = 1
    snapshot: str = ""


@attrs.frozen
class PendingBill:
    """What a peer keeps while the store is down: a claim and its end."""

    claim: ClaimOp
    settle: SettleOp


def lease_key(shard: int) -> str:
    """Returns the key of a shard's lease row."""
    return f"shard/{shard:04d}"


def log_prefix(shard: int) -> str:
    """Returns the prefix of a shard's log rows."""
    return f"claims/{shard:04d}/"


def log_key(shard: int, sequence: int) -> str:
    """Returns the key of a log row.

    >>> log_key(3, 17)
    'claims/0003/000000000017'
    """
    return f"{log_prefix(shard)}{sequence:012d}"
