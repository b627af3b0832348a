"""A caller's request as the decisions see it."""

from __future__ import annotations

from typing import Any

import attrs

CHARACTERS_PER_TOKEN = 4  # A rough measure, before the engine counts.


@attrs.frozen
class RouteRequest:
    """What is known of a request before it is routed.

    Attributes:
      workspace: Name of the workspace.
      key: Idempotency key; made up where the caller gave none.
      keyed: True if the caller gave the key, so that it may be a repeat.
      model: What the caller asked for in `model`.
      service: Plain service, or empty.
      session: Session id, or empty.
      pinned: Version named by a valid session token, or empty.
      idempotent: False if it may run at most once.
      stream: True for server-sent events.
      prompt_tokens: Estimate.
      max_tokens: Limit on generated tokens.
      labels: Request metadata.
      deadline: Monotonic seconds at which the caller gives up.
      body: The JSON body.
      digest: SHA-256 of the body as received.
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


def estimate_tokens(text_length: int) -> int:
    """Returns a rough number of tokens.

    >>> estimate_tokens(9)
    3
    """
    return -(-text_length // CHARACTERS_PER_TOKEN)
