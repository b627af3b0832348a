"""Requests reach workers as callers sent them, byte for byte."""

import gzip
import zlib

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from rattanpier._internal.models.forwarded_request import ForwardedRequest
from rattanpier._internal.relay.forwarding import make_forwarded
from rattanpier._internal.relay.request_progress import RequestProgress
from rattanpier._internal.utils.codec import pack, unpack
from tests.lib.kept_callers import KeptCaller, request_bytes
from tests.lib.platform_site import platform_site
from tests.lib.relay_parts import make_request

BODY = b"charge one " * 40
PACKED = {
    "gzip": gzip.compress(BODY),
    "deflate": zlib.compress(BODY),
    "br": b"\x0b\x02\x80no brotli\x03",
    "zstd": b"\x28\xb5\x2f\xfd\x00",
    "identity": BODY,
}


@pytest.fixture
async def site():
    async with platform_site() as made:
        await made.add_worker("w1")
        await made.add_entry()
        yield made


async def send(site, data, entry="entry-1"):
    """Sends bytes to an entry; returns the status of the answer."""
    address = site.entries[entry].settings.callers
    caller = await KeptCaller.connect(address)
    answer = await caller.ask(data)
    caller.close()
    return answer[0]


def with_headers(data, *lines):
    """Adds header lines, given as bytes, to a request."""
    head, _, body = data.partition(b"\r\n\r\n")
    return b"\r\n".join([head, *lines]) + b"\r\n\r\n" + body


@pytest.mark.parametrize("body", ["packed", "not packed"])
@pytest.mark.parametrize("coding", PACKED)
async def test_a_packed_body_is_forwarded_as_received(site, coding, body):
    # Guards against a body that is unpacked with its Content-Encoding kept.
    sent = PACKED[coding] if body == "packed" else b"\x00 not packed"
    request = request_bytes(site.new_id(), body=sent)
    header = f"Content-Encoding: {coding}".encode()
    assert await send(site, with_headers(request, header)) == 200
    run = site.workers["w1"].runs[0]
    assert run.body == sent
    assert run.headers["content-encoding"] == coding


async def test_a_packed_body_in_chunks_is_forwarded_as_received(site):
    packed = PACKED["gzip"]
    request = request_bytes(site.new_id()).replace(
        b"Content-Length: 0", b"Transfer-Encoding: chunked"
    )
    chunks = b"".join(
        b"%x\r\n%s\r\n" % (len(part), part)
        for part in (packed[:10], packed[10:])
    )
    request = with_headers(request, b"Content-Encoding: gzip")
    assert await send(site, request + chunks + b"0\r\n\r\n") == 200
    assert site.workers["w1"].runs[0].body == packed


@pytest.mark.parametrize("value", [b"caf\xc3\xa9", b"caf\xe9"])
async def test_a_header_beyond_ascii_is_forwarded(site, value):
    # Guards against a request that is answered 500 for bytes of a header.
    request = with_headers(request_bytes(site.new_id()), b"X-Note: " + value)
    assert await send(site, request) == 200
    got = site.workers["w1"].runs[0].headers["x-note"]
    assert got.encode("latin-1") == value


def test_a_header_beyond_ascii_is_passed_on_to_a_peer():
    header = ("X-Note", b"caf\xe9".decode("utf-8", "surrogateescape"))
    progress = RequestProgress(make_request(headers=(header,)), 1.0, "s")
    forwarded = make_forwarded(progress, "entry-1", 0.0, 1.0)
    assert unpack(ForwardedRequest, pack(forwarded)).headers == (header,)


VALUES = st.binary(max_size=30).map(
    lambda value: bytes(
        byte for byte in value if byte >= 0x20 and byte != 0x7F
    ).strip()
)
QUERIES = st.text("abz09%&=+;:@!$'()*,/?~.-_", max_size=30)


@given(
    values=st.lists(VALUES, max_size=4),
    query=QUERIES,
    path=st.text("aA0%.-_~!$&'()*+,;=:@/", max_size=20),
    body=st.binary(max_size=3000),
    method=st.sampled_from(["GET", "POST", "PUT", "PATCH", "DELETE"]),
)
@settings(
    max_examples=150,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
async def test_drawn_requests_are_equal_at_both_ends(
    site, values, query, path, body, method
):
    target = f"/unsafe/{path}" + (f"?{query}" if query else "")
    lines = [b"X-Drawn-%d: %s" % pair for pair in enumerate(values)]
    request = request_bytes(site.new_id(), target, body, method)
    assert await send(site, with_headers(request, *lines)) == 200
    run = site.workers["w1"].runs[-1]
    assert (run.method, run.target, run.body) == (method, target, body)
    for number, value in enumerate(values):
        assert run.headers[f"x-drawn-{number}"].encode("latin-1") == value
