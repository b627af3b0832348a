"""Records that claim shards store, and the keys of their rows."""

from __future__ import annotations

import enum

import attrs


class ClaimResult(enum.StrEnum):
    """State or result of a claim."""

    RUNNING = "running"
    ANSWERED = "answered"  # The answer was complete; it is billed.
    RELEASED = "released"  # Certainly not run; the key may be reused.
    UNKNOWN = "unknown"  # May have run; only idempotent requests are rerun.


@attrs.frozen
class Bill:
    """Charge to a workspace for one answer.

    Attributes:
      workspace: Workspace that pays.
      key: Key of the request; with the workspace, it identifies the bill.
      version: Version that answered, or the name of a plain service.
      prompt_tokens: Prompt tokens, over all steps of a cascade.
      output_tokens: Generated tokens, over all steps.
      credits: Price in credits.
    """

    workspace: str
    key: str
    version: str
    prompt_tokens: int
    output_tokens: int
    credits: float


@attrs.frozen
class Answer:
    """Recorded answer, returned when a request is repeated with its key.

    Attributes:
      status: HTTP status.
      content_type: Content type of the body.
      body: Text of the body; for a model the complete JSON answer, not
        streamed.
      version: Version that answered.
      base64: True if the body is base64-encoded bytes.
      kept: False if the body was too large to record.
    """

    status: int
    content_type: str
    body: str
    version: str
    base64: bool = False
    kept: bool = True


@attrs.frozen
class ClaimOp:
    """Operation by which an attempt acquires a claim.

    Attributes:
      workspace: Name of the workspace.
      key: The request's key.
      attempt: Number of the attempt, from 1; a later one fences off earlier
        ones.
      holder: Name and incarnation of the entry, and request id, separated
        by slashes.
      idempotent: Whether a later attempt may run the request again.
      digest: Digest of the request, to detect a key reused for another
        request.
    """

    workspace: str
    key: str
    attempt: int
    holder: str
    idempotent: bool
    digest: str


@attrs.frozen
class SettleOp:
    """Operation by which an attempt settles its claim.

    Attributes:
      workspace: Name of the workspace.
      key: The request's key.
      attempt: Number of the attempt.
      result: Result of the attempt.
      bill: Bill, if answered.
      answer: Answer to be recorded, if answered.
    """

    workspace: str
    key: str
    attempt: int
    result: ClaimResult
    bill: Bill | None = None
    answer: Answer | None = None


@attrs.frozen
class Batch:
    """Row of a shard's log.

    Attributes:
      epoch: Epoch of the owner that wrote it.
      sequence: Position in the log, from 1.
      writer: Incarnation of the writer, to recognize its own uncertain
        writes.
      ops: Operations, in order.
      time: Wall-clock time of the writer, in seconds; for retention only.
    """

    epoch: int
    sequence: int
    writer: str
    ops: list[ClaimOp | SettleOp] = attrs.Factory(list)
    time: float = 0.0


@attrs.frozen
class ShardLease:
    """Row that names a shard's owner.

    Attributes:
      owner: Member name, or empty if the shard has no owner.
      incarnation: Incarnation of the owner.
      epoch: Fencing number; increases with each change of owner.
      first: First log position still kept; earlier ones are in `snapshot`.
      snapshot: Name of the object with the claims before `first`, or empty.
    """

    owner: str
    incarnation: str
    epoch: int
    first: int = 1
    snapshot: str = ""


@attrs.frozen
class PendingBill:
    """Claim and settlement that a peer keeps while the store is down."""

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
