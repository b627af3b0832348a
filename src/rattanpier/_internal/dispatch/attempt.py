"""One attempt at a request: its claim, and what it may have run."""

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
      request: What is to be answered.
      ask: Its claim.
      claim_task: Obtains the claim; None until that was begun.
      claim_asked_at: Monotonic seconds at which the claim was last asked for;
        the claim was certain at some moment after it.
      dispatches: Dispatches so far, each with a request id of its own.
      may_have_run: True unless it is certain that no upstream ran it.
      closed: True once the claim was settled, or is somebody else's.
    """

    request: RouteRequest
    ask: Ask
    claim_task: asyncio.Task[ClaimReply] | None = None
    claim_asked_at: float = 0.0
    dispatches: int = 0
    may_have_run: bool = False
    closed: bool = False

    def next_request_id(self) -> str:
        """Returns the request id of the next dispatch."""
        self.dispatches += 1
        return f"{self.ask.holder}/{self.dispatches}"

    def record_dispatch(self) -> bool:
        """Notes that an upstream may run the request from now on.

        Returns:
          True if one may have run it before.
        """
        ran_before = self.may_have_run
        self.may_have_run = True
        return ran_before

    @property
    def reply(self) -> ClaimReply | None:
        """What came of the claim, once it is known."""
        if self.claim_task is None or not self.claim_task.done():
            return None
        return self.claim_task.result()

    @property
    def granted(self) -> bool:
        """True if the claim is certain and this attempt's."""
        reply = self.reply
        return reply is not None and is_granted(reply)

    @property
    def proves_not_run(self) -> bool:
        """True if no upstream ran the request, in this attempt or before.

        A caller's key may have been used by an earlier attempt: then the
        shard's owner has to say that none of them can have run.
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
    """Returns a first attempt with its claim.

    Args:
      request: What is to be answered.
      holder: Prefix of the process's claims, "name/incarnation".
      request_id: Unique within the process.
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
    """Says whether a claim was granted."""
    return reply.outcome is ClaimOutcome.GRANTED
