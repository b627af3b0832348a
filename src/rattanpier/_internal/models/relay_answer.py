"""Parts of the answer that the relay sends to a caller."""

from __future__ import annotations

import attrs

from rattanpier._internal.models.refusal import Refusal
from rattanpier._internal.models.relay_request import Header
from rattanpier._internal.utils.record import Record


@attrs.frozen(eq=False, repr=False)
class CompleteAnswer(Record):
    """A worker's complete answer, sent at once."""

    status: int
    headers: tuple[Header, ...]
    body: bytes


@attrs.frozen(eq=False, repr=False)
class AnswerStarted(Record):
    """The head of an answer whose body follows in chunks."""

    status: int
    headers: tuple[Header, ...]


@attrs.frozen(eq=False, repr=False)
class AnswerChunk(Record):
    """A chunk of the body; of an event stream, only complete events."""

    data: bytes


@attrs.frozen(eq=False, repr=False)
class AnswerCompleted(Record):
    """The body is complete."""


@attrs.frozen(eq=False, repr=False)
class AnswerTruncated(Record):
    """The rest of the body is missing.

    The caller must be able to tell that the answer is incomplete.

    Attributes:
      reason: Why it is missing.
    """

    reason: str


@attrs.frozen(eq=False, repr=False)
class AnswerRefused(Record):
    """A refusal by the relay instead of a worker's answer.

    Attributes:
      refusal: The reason and the message.
      status: HTTP status.
    """

    refusal: Refusal
    status: int


AnswerPart = (
    CompleteAnswer
    | AnswerStarted
    | AnswerChunk
    | AnswerCompleted
    | AnswerTruncated
    | AnswerRefused
)
