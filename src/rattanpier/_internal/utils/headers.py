"""Selection of the HTTP headers that a proxy forwards."""

from __future__ import annotations

Header = tuple[str, str]

HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


def forwarded_headers(
    headers: object, dropped: frozenset[str] = frozenset()
) -> tuple[Header, ...]:
    """Returns the headers to forward, without hop-by-hop headers.

    Headers that `Connection` names are left out as well, and `Content-Length`.

    Args:
      headers: Pairs of names and values.
      dropped: Additional names to leave out, in lower case.

    >>> forwarded_headers([("Connection", "x-a"), ("X-A", "1"), ("ETag", "2")])
    (('ETag', '2'),)
    """
    pairs = [(str(name), str(value)) for name, value in headers]  # type: ignore[attr-defined]
    listed = {
        part.strip().lower()
        for name, value in pairs
        if name.lower() == "connection"
        for part in value.split(",")
    }
    unwanted = HOP_BY_HOP | listed | dropped | {"content-length"}
    return tuple(pair for pair in pairs if pair[0].lower() not in unwanted)
