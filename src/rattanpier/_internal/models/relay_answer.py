"""Parts of the answer that the relay sends to a caller."""

from __future__ import annotations

import attrs

from rattanpier._internal.models.refusal import Refusal
from rattanpier._internal.models.relay_request import Header


@attrs.frozen
class CompleteAnswer:
    """A worker's complete answer, sent at once."""

    status: int
    headers: tuple[Header, ...]
    body: bytes


@attrs.frozen
class AnswerStarted:
    """The head of an answer whose body follows in chunks."""

    status: int
    headers: tuple[Header, ...]


@attrs.frozen
class AnswerChunk:
    """A chunk of the body; of an event stream, only complete events."""

    data: bytes


@attrs.frozen
class AnswerCompleted:
    """The body is complete."""


@attrs.frozen
class AnswerTruncated:
    """The rest of the body is missing.

    The caller must be able to tell that the answer is incomplete.

    Attributes:
      reason: Why it is missing.
    """

    reason: str


@attrs.frozen
class AnswerRefused:
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
