"""Order of the parts of an answer.

An answer is either one complete answer or refusal, or a head, chunks, and an
end that tells whether it is complete. Every answer passes through here on its
way to a caller or peer, whatever its source. A part that is correct by itself
may come at the wrong moment, such as a worker's refusal to resume a stream
whose head the caller has received; it is replaced by the part that is true at
that moment.
"""

from __future__ import annotations

import enum
from collections.abc import AsyncGenerator, AsyncIterator
from contextlib import aclosing

import structlog

from rattanpier._internal.models.refusal import Refusal, RefusalCode
from rattanpier._internal.models.relay_answer import (
    AnswerChunk,
    AnswerCompleted,
    AnswerPart,
    AnswerRefused,
    AnswerStarted,
    AnswerTruncated,
    CompleteAnswer,
)
from rattanpier._internal.utils.metrics import Metrics

log = structlog.get_logger(part="edge")


class AnswerPhase(enum.Enum):
    """What of an answer was delivered."""

    NOTHING = enum.auto()
    HEAD = enum.auto()
    END = enum.auto()


def place_part(
    phase: AnswerPhase, part: AnswerPart
) -> tuple[AnswerPhase, AnswerPart | None]:
    """Returns the phase after a part, and the part to deliver in its place.

    Args:
      phase: What was delivered before.
      part: The next part.

    Returns:
      None as the part if nothing is to be delivered.
    """
    match phase, part:
        case AnswerPhase.HEAD, AnswerChunk():
            return phase, part
        case AnswerPhase.END, _:
            return phase, None
        case AnswerPhase.NOTHING, CompleteAnswer() | AnswerRefused():
            return AnswerPhase.END, part
        case AnswerPhase.NOTHING, AnswerStarted():
            return AnswerPhase.HEAD, part
        case AnswerPhase.HEAD, AnswerCompleted() | AnswerTruncated():
            return AnswerPhase.END, part
        case AnswerPhase.HEAD, AnswerStarted():
            # A resumed answer keeps its first head.
            return phase, None
        case AnswerPhase.HEAD, _:
            return AnswerPhase.END, AnswerTruncated(explain(part))
        case _:
            return AnswerPhase.END, fail(explain(part))


def end_answer(phase: AnswerPhase) -> AnswerPart | None:
    """Returns the part that ends an answer whose source has no more parts."""
    reason = "the answer has no end"
    match phase:
        case AnswerPhase.NOTHING:
            return fail(reason)
        case AnswerPhase.HEAD:
            return AnswerTruncated(reason)
        case AnswerPhase.END:
            return None


def fail(reason: str) -> AnswerRefused:
    """Returns the answer to a request that may have run without a result."""
    refusal = Refusal(RefusalCode.UPSTREAM_FAILED, reason, False)
    return AnswerRefused(refusal, 502)


def explain(part: AnswerPart) -> str:
    """Returns why an answer can't go on with a part.

    >>> explain(CompleteAnswer(404, (), b""))
    'CompleteAnswer with status 404 out of order'
    """
    status = getattr(part, "status", None)
    with_status = "" if status is None else f" with status {status}"
    return f"{type(part).__name__}{with_status} out of order"


async def order_parts(
    parts: AsyncGenerator[AnswerPart, None],
    request: str,
    metrics: Metrics,
    phase: AnswerPhase = AnswerPhase.NOTHING,
) -> AsyncIterator[AnswerPart]:
    """Yields the parts of an answer in an order that its receiver can rely on.

    Args:
      parts: The parts as their source yields them.
      request: Id of the request, for the log.
      metrics: Counts the parts that are replaced.
      phase: What was delivered before.
    """
    async with aclosing(parts) as source:
        async for part in source:
            phase, placed = place_part(phase, part)
            if placed is not part:
                metrics.count("relay.part_out_of_order")
                log.error(
                    "Part of an answer is out of order.",
                    request=request,
                    found=explain(part),
                    delivered=None if placed is None else explain(placed),
                )
            if placed is not None:
                yield placed
            if phase is AnswerPhase.END:
                return
    ending = end_answer(phase)
    if ending is not None:
        log.error("Answer has no end.", request=request)
        yield ending
