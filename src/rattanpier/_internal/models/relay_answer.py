"""What a caller gets, part by part."""

from __future__ import annotations

import attrs

from rattanpier._internal.models.refusal import Refusal
from rattanpier._internal.models.relay_request import Header


@attrs.frozen
class CompleteAnswer:
    """A worker's whole answer."""

    status: int
    headers: tuple[Header, ...]
    body: bytes


@attrs.frozen
class AnswerStarted:
    """The head of an answer whose body follows piece by piece."""

    status: int
    headers: tuple[Header, ...]


@attrs.frozen
class AnswerChunk:
    """A piece of the body; only whole events where it is a stream."""

    data: bytes


@attrs.frozen
class AnswerCompleted:
    """The body is whole."""


@attrs.frozen
class AnswerTruncated:
    """The rest of the body won't come; the answer must not look whole."""

    reason: str


@attrs.frozen
class AnswerRefused:
    """The system's own answer.

    Attributes:
      refusal: Why.
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
