"""Converts the parts of an answer to messages between entries and back."""

from __future__ import annotations

from collections.abc import Iterable

from rattanpier._internal.exceptions import UnreadableError
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
from rattanpier._internal.models.relay_request import Header
from rattanpier._internal.peers.proto import peer_pb2
from rattanpier._internal.peers.proto.peer_pb2 import ForwardPart


def encode_part(part: AnswerPart) -> ForwardPart:
    """Returns the message for a part of an answer."""
    match part:
        case AnswerChunk(data):
            return ForwardPart(chunk=data)
        case AnswerStarted(status, headers):
            start = peer_pb2.AnswerStart(
                status=status, headers=encode_headers(headers)
            )
            return ForwardPart(started=start)
        case CompleteAnswer(status, headers, body):
            whole = peer_pb2.WholeAnswer(
                status=status, headers=encode_headers(headers), body=body
            )
            return ForwardPart(whole=whole)
        case AnswerRefused(refusal, status):
            return ForwardPart(refused=encode_refusal(refusal, status))
        case AnswerTruncated(reason):
            return ForwardPart(truncated=peer_pb2.AnswerCut(reason=reason))
        case AnswerCompleted():
            return ForwardPart(completed=peer_pb2.AnswerEnd())


def encode_headers(
    headers: Iterable[Header],
) -> list[peer_pb2.HeaderField]:
    """Returns the messages for the headers of an answer."""
    return [
        peer_pb2.HeaderField(name=name, value=value) for name, value in headers
    ]


def encode_refusal(refusal: Refusal, status: int) -> peer_pb2.AnswerRefusal:
    """Returns the message for a refusal."""
    return peer_pb2.AnswerRefusal(
        status=status,
        code=refusal.code.value,
        message=refusal.message,
        not_run=refusal.not_run,
        retry_after_s=refusal.retry_after_s,
    )


def decode_part(message: ForwardPart) -> AnswerPart:
    """Returns the part of an answer that a message holds.

    Raises:
      UnreadableError: It holds none, or a refusal with an unknown code.
    """
    match message.WhichOneof("part"):
        case "chunk":
            return AnswerChunk(message.chunk)
        case "started":
            started = message.started
            return AnswerStarted(started.status, decode_headers(started))
        case "whole":
            whole = message.whole
            return CompleteAnswer(
                whole.status, decode_headers(whole), whole.body
            )
        case "refused":
            return decode_refusal(message.refused)
        case "truncated":
            return AnswerTruncated(message.truncated.reason)
        case "completed":
            return AnswerCompleted()
        case kind:
            raise UnreadableError(f"no part of an answer: {kind}")


def decode_headers(
    message: peer_pb2.AnswerStart | peer_pb2.WholeAnswer,
) -> tuple[Header, ...]:
    """Returns the headers in a message."""
    return tuple((each.name, each.value) for each in message.headers)


def decode_refusal(message: peer_pb2.AnswerRefusal) -> AnswerRefused:
    """Returns the refusal in a message.

    Raises:
      UnreadableError: Its code is unknown.
    """
    try:
        code = RefusalCode(message.code)
    except ValueError as error:
        raise UnreadableError(f"unknown code {message.code!r}") from error
    retry_after_s = None
    if message.HasField("retry_after_s"):
        retry_after_s = message.retry_after_s
    refusal = Refusal(code, message.message, message.not_run, retry_after_s)
    return AnswerRefused(refusal, message.status)
