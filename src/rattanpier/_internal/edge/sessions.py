"""Session tokens: the caller carries the version its session is pinned to.

A signed token costs the store nothing and holds across entries and kills.
"""

from __future__ import annotations

import attrs
from itsdangerous import BadData, URLSafeSerializer

SALT = "session"


@attrs.frozen
class Pin:
    """What a token says."""

    workspace: str
    version: str


class SessionTokens:
    """Signs and reads tokens with a key that all entry VMs share."""

    def __init__(self, key: str) -> None:
        self.serializer = URLSafeSerializer(key, salt=SALT)

    def sign(self, workspace: str, version: str) -> str:
        """Returns a token for a session's version."""
        return self.serializer.dumps([workspace, version])

    def pinned_version(self, workspace: str, token: str) -> str:
        """Returns the version in a token, or an empty string.

        A token of another workspace, or one that was changed, counts as none.

        >>> tokens = SessionTokens("key")
        >>> tokens.pinned_version("desk", tokens.sign("desk", "m@1"))
        'm@1'
        >>> tokens.pinned_version("other", tokens.sign("desk", "m@1"))
        ''
        """
        if not token:
            return ""
        try:
            signed = self.serializer.loads(token)
            pin = Pin(*signed)
        except (BadData, TypeError):
            return ""
        return pin.version if pin.workspace == workspace else ""
