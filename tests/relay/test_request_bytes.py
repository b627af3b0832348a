"""Requests reach workers as callers sent them, byte for byte."""

import gzip
import zlib

import pytest

from tests.lib.kept_callers import KeptCaller, request_bytes
from tests.lib.platform_site import platform_site

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
