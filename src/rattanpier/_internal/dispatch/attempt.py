"""State of one attempt: its claim, and whether the request may have run."""

from __future__ import annotations

import asyncio

import attrs

from rattanpier._internal.claims.book import Ask
from rattanpier._internal.claims.service import ClaimReply
from rattanpier._internal.models.outcomes import ClaimOutcome
from rattanpier._internal.models.request import RouteRequest


@attrs.define
class Attempt:
    """The state of one attempt.

    Attributes:
      request: The request to answer.
      ask: The claim request.
      claim_task: Task that obtains the claim, or None if not yet started.
      claim_asked_at: Monotonic time in seconds at which the claim was last
        requested, which is no later than when it was granted.
      dispatches: Number of dispatches so far; each has its own request ID.
      may_have_run: False only if it is certain that no upstream ran the
        request.
      closed: True once the claim was settled or given up, or belongs to
        another attempt.
    """

    request: RouteRequest
    ask: Ask
    claim_task: asyncio.Task[ClaimReply] | None = None
    claim_asked_at: float = 0.0
    dispatches: int = 0
    may_have_run: bool = False
    closed: bool = False

    def next_request_id(self) -> str:
        """Returns the request ID for the next dispatch."""
        self.dispatches += 1
        return f"{self.ask.holder}/{self.dispatches}"

    def record_dispatch(self) -> bool:
        """Records that an upstream may run the request from now on.

        Returns:
          True if an upstream may already have run it before this dispatch.
        """
        ran_before = self.may_have_run
        self.may_have_run = True
        return ran_before

    @property
    def reply(self) -> ClaimReply | None:
        """The reply to the claim, or None until it is known."""
        if self.claim_task is None or not self.claim_task.done():
            return None
        return self.claim_task.result()

    @property
    def granted(self) -> bool:
        """True if the claim was granted to this attempt."""
        reply = self.reply
        return reply is not None and is_granted(reply)

    @property
    def proves_not_run(self) -> bool:
        """True if no upstream ran the request, in this attempt or before.

        An earlier attempt may have used the same idempotency key. In that case
        the owner of the claim's shard has to confirm that no attempt can have
        run.
        """
        if self.may_have_run:
            return False
        if not self.request.keyed:
            return True
        reply = self.reply
        return reply is not None and reply.not_run


def make_attempt(
    request: RouteRequest, holder: str, request_id: str
) -> Attempt:
    """Returns a new attempt at a request.

    Args:
      request: The request to answer.
      holder: Prefix of the claim holders of this process,
        "name/incarnation".
      request_id: Request ID, unique within the process.
    """
    ask = Ask(
        request.workspace,
        request.key,
        f"{holder}/{request_id}",
        request.idempotent,
        request.digest,
    )
    return Attempt(request, ask)


def is_granted(reply: ClaimReply) -> bool:
    """Returns whether a claim was granted."""
    return reply.outcome is ClaimOutcome.GRANTED
