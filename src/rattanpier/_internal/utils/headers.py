"""Headers that concern one connection only, and those that are passed on."""

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
    """Returns the headers that go to the other side.

    Args:
      headers: Pairs of names and values.
      dropped: Further names, in lower case.

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
