"""Decides which calls to a plain service may be sent more than once."""

from __future__ import annotations

import re
from collections.abc import Iterable
from urllib.parse import unquote

ANY_METHOD = "*"


def normalize_path(target: str) -> str:
    """Returns the normalized path of a target, for comparisons.

    Removes the query and repeated or trailing slashes, decodes percent escapes
    and ignores case.

    >>> normalize_path("/Orders//%37/?x=1")
    '/orders/7'
    """
    path = unquote(target.partition("?")[0])
    return re.sub("/+", "/", path).rstrip("/").casefold() or "/"


def has_dot_segments(target: str) -> bool:
    """Returns whether a path contains `.` or `..` segments.

    >>> has_dot_segments("/a/%2e%2e/orders"), has_dot_segments("/a.b/c")
    (True, False)
    """
    parts = re.split(r"[/\\]", unquote(target.partition("?")[0]))
    return any(part in (".", "..") for part in parts)


def may_repeat(non_repeatable: Iterable[str], method: str, target: str) -> bool:
    """Returns whether a call may be sent more than once.

    A listed path includes all paths below it.

    Args:
      non_repeatable: Calls that must not be repeated, such as "POST /orders" or
        "* /payments".
      method: HTTP method.
      target: Path and query as received.

    >>> may_repeat(["POST /orders"], "POST", "/orders/7?dry=1")
    False
    >>> may_repeat(["POST /orders"], "GET", "/orders/7")
    True
    """
    path = normalize_path(target)
    for listed in non_repeatable:
        listed_method, _, listed_path = listed.partition(" ")
        if listed_method.upper() not in (ANY_METHOD, method.upper()):
            continue
        prefix = normalize_path(listed_path)
        if path == prefix or path.startswith(prefix.rstrip("/") + "/"):
            return False
    return True
