"""What routing needs of a caller's request."""

from __future__ import annotations

import functools
import json
from typing import Any

import attrs

from rattanpier._internal.utils.hashing import short_digest

MAX_SHARED_PARTS = 16  # Messages of one chat that are told apart.
CHARACTERS_PER_TOKEN = 4  # Rough estimate until the engine counts tokens.


@attrs.frozen
class RouteRequest:
    """A request before it is routed.

    Attributes:
      workspace: Name of the workspace.
      key: Idempotency key; random if the caller gave none.
      keyed: Whether the caller gave the key, so that the request may be a
        repeat.
      model: Value of `model` in the body.
      service: Plain service, or empty.
      session: Session id, or empty.
      pinned: Version named by a valid session token, or empty.
      idempotent: False if it may run at most once.
      stream: Whether the answer is sent as server-sent events.
      prompt_tokens: Estimated number of prompt tokens.
      max_tokens: Limit on generated tokens.
      labels: Request metadata.
      deadline: Monotonic time at which the caller times out, in seconds.
      body: The JSON body.
      digest: Digest that tells requests apart: a truncated SHA-256 of the body
        as received, of a call to a plain service also of method and target.
    """

    workspace: str
    key: str
    keyed: bool = False
    model: str = ""
    service: str = ""
    session: str = ""
    pinned: str = ""
    idempotent: bool = True
    stream: bool = False
    prompt_tokens: int = 0
    max_tokens: int = 256
    labels: dict[str, str] = attrs.Factory(dict)
    deadline: float = float("inf")
    body: dict[str, Any] = attrs.Factory(dict)
    digest: str = ""

    @functools.cached_property
    def shared_parts(self) -> tuple[str, ...]:
        """Digests of the first messages that other chats may share.

        The last message belongs to the request alone.
        """
        messages = self.body.get("messages", ())[:-1]
        texts = (json.dumps(message, sort_keys=True) for message in messages)
        digests = dict.fromkeys(map(short_digest, texts))
        return tuple(digests)[:MAX_SHARED_PARTS]


def estimate_tokens(text_length: int) -> int:
    """Returns an estimate of the tokens in a text of some characters.

    >>> estimate_tokens(9)
    3
    """
    return -(-text_length // CHARACTERS_PER_TOKEN)
