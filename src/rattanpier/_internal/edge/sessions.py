"""Signed session tokens that carry the version a session is pinned to.

A token needs no row in the store, and stays valid at other entries and after an
entry is killed.
"""

from __future__ import annotations

import attrs
from itsdangerous import BadData, URLSafeSerializer

SALT = "session"


@attrs.frozen
class Pin:
    """Contents of a token.

    Attributes:
      workspace: Workspace that the token was issued to.
      version: Version that the session is pinned to.
    """

    workspace: str
    version: str


class SessionTokens:
    """Signs and verifies tokens with a key that all entry VMs share."""

    def __init__(self, key: str) -> None:
        self.serializer = URLSafeSerializer(key, salt=SALT)

    def sign(self, workspace: str, version: str) -> str:
        """Returns a token that pins a session to a version."""
        return self.serializer.dumps([workspace, version])

    def pinned_version(self, workspace: str, token: str) -> str:
        """Returns the version in a token, or an empty string.

        A token of another workspace, or one with a wrong signature, is ignored.

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
