"""Parsing of the chunks of an engine's answer."""

import pytest

from rattanpier._internal.dispatch.engine import Event, Usage, parse_chunk


def test_chunk_is_parsed():
    data = (
        '{"choices": [{"delta": {"content": "é"}, "finish_reason": "stop"}],'
        ' "usage": {"prompt_tokens": 2, "completion_tokens": 3},'
        ' "confidence": 0.5}'
    ).encode()
    chunk = parse_chunk(Event(7, data), True)
    assert (chunk.number, chunk.data, chunk.text) == (7, data, "é")
    assert (chunk.finish, chunk.usage) == ("stop", Usage(2, 3))
    assert (chunk.confidence, chunk.more_buffered) == (0.5, True)


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"{",
        b"{}{}",
        b"{} rest",
        b"[]",
        b"\xff{}",
        b"\xef\xbb\xbf{}",
        '{"choices": []}'.encode("utf-16"),
        b'{"choices": [1]}',
        b'{"choices": [{"delta": {"content": "a\nb"}}]}',
        b'{"usage": {"prompt_tokens": 1}}',
    ],
)
def test_malformed_chunk_is_refused(data):
    with pytest.raises(ValueError):
        parse_chunk(Event(0, data), False)
