"""Whatever parts a source yields, what is delivered is one answer."""

import asyncio

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rattanpier._internal.models.refusal import Refusal, RefusalCode
from rattanpier._internal.models.relay_answer import (
    AnswerChunk,
    AnswerCompleted,
    AnswerRefused,
    AnswerStarted,
    AnswerTruncated,
    CompleteAnswer,
)
from rattanpier._internal.relay.answer_order import (
    AnswerPhase,
    order_parts,
    place_part,
)
from rattanpier._internal.utils.metrics import Metrics
from tests.lib.answer_judge import parse_answer

STATUSES = st.sampled_from([200, 206, 302, 400, 401, 404, 421, 429, 500, 503])
CODES = st.sampled_from(list(RefusalCode))
REFUSALS = st.builds(Refusal, CODES, st.just("why"), st.booleans())
PARTS = st.one_of(
    st.builds(CompleteAnswer, STATUSES, st.just(()), st.just(b"body")),
    st.builds(AnswerStarted, st.sampled_from([200, 206]), st.just(())),
    st.builds(AnswerChunk, st.just(b"id: 1\n\n")),
    st.builds(AnswerCompleted),
    st.builds(AnswerTruncated, st.just("why")),
    st.builds(AnswerRefused, REFUSALS, STATUSES),
)
FINAL = (CompleteAnswer, AnswerRefused, AnswerCompleted, AnswerTruncated)


def deliver(parts, phase=AnswerPhase.NOTHING):
    """Returns what is delivered of some parts."""

    async def source():
        for part in parts:
            yield part

    async def collect():
        ordered = order_parts(source(), "id", Metrics(), phase)
        return [part async for part in ordered]

    return asyncio.run(collect())


def encode(parts):
    """Returns the bytes of delivered parts as an edge writes them."""
    data = b""
    for part in parts:
        match part:
            case CompleteAnswer(status) | AnswerRefused(_, status):
                data += (
                    b"HTTP/1.1 %d X\r\nContent-Length: 4\r\n\r\nbody" % status
                )
            case AnswerStarted(status):
                head = b"HTTP/1.1 %d X\r\nTransfer-Encoding: chunked\r\n\r\n"
                data += head % status
            case AnswerChunk(piece):
                data += b"%x\r\n%b\r\n" % (len(piece), piece)
            case AnswerCompleted():
                data += b"0\r\n\r\n"
    return data


@settings(max_examples=500, deadline=None)
@given(st.lists(PARTS, max_size=8))
def test_any_parts_are_delivered_as_one_answer(parts):
    delivered = deliver(parts)
    assert [isinstance(each, FINAL) for each in delivered].count(True) == 1
    assert isinstance(delivered[-1], FINAL)
    answer = parse_answer(encode(delivered))
    assert answer.complete != isinstance(delivered[-1], AnswerTruncated)
    if answer.complete and answer.status < 300:
        first, *more = parts
        later = [each for each in more if not isinstance(each, AnswerStarted)]
        assert delivered == [first, *later][: len(delivered)]


@settings(max_examples=500, deadline=None)
@given(st.lists(PARTS, max_size=8))
def test_nothing_but_chunks_and_an_end_follows_a_head_of_a_peer(parts):
    delivered = deliver(parts, AnswerPhase.HEAD)
    assert isinstance(delivered[-1], AnswerCompleted | AnswerTruncated)
    assert all(isinstance(each, AnswerChunk) for each in delivered[:-1])


def test_answers_in_order_are_not_changed():
    head = AnswerStarted(200, ())
    chunk = AnswerChunk(b"x")
    for parts in (
        [CompleteAnswer(404, (), b"")],
        [head, chunk, chunk, AnswerCompleted()],
        [head, chunk, AnswerTruncated("why")],
    ):
        assert deliver(parts) == parts


@pytest.mark.parametrize("status", [200, 302, 404, 503])
def test_complete_answer_behind_a_head_truncates_the_answer(status):
    phase, part = place_part(AnswerPhase.HEAD, CompleteAnswer(status, (), b""))
    assert phase is AnswerPhase.END
    assert isinstance(part, AnswerTruncated)
