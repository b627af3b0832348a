"""API keys of workspaces and operators.

Only SHA-256 digests are configured; they are compared in constant time.
"""

from __future__ import annotations

import hmac
from collections.abc import Iterable

from rattanpier._internal.dispatch.failures import not_current
from rattanpier._internal.models.configuration import Configuration
from rattanpier._internal.models.refusal import Refusal, RefusalCode
from rattanpier._internal.utils.hashing import sha256_hex

BEARER = "Bearer "


def bearer_key(header: str) -> str:
    """Returns the key in an Authorization header, or an empty string.

    >>> bearer_key("Bearer abc")
    'abc'
    """
    return header[len(BEARER) :].strip() if header.startswith(BEARER) else ""


def matches_any(key: str, digests: Iterable[str]) -> bool:
    """Returns whether a key has one of the digests.

    All digests are compared, each in constant time, so that the duration
    tells nothing about the key.
    """
    digest = sha256_hex(key)
    found = [hmac.compare_digest(digest, known) for known in digests]
    return any(found)


def unknown_key(current: bool) -> Refusal:
    """Returns the refusal for a key that is not in the configuration.

    Args:
      current: Whether the node's configuration is known to be current; if
        not, the key may have been added by a newer revision.
    """
    if current:
        return Refusal(RefusalCode.BAD_KEY, "The key is not known.", True)
    return not_current().refusal_not_run()


def find_workspace(configuration: Configuration, header: str) -> str | None:
    """Returns the workspace whose key a request carries, or None."""
    key = bearer_key(header)
    found = None
    for name, workspace in configuration.workspaces.items():
        if matches_any(key, workspace.key_sha256):
            found = name
    return found if key else None
