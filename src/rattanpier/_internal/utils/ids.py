"""Random ids of requests.

They are sent with every claim and settlement, so they are only as long as
uniqueness requires.
"""

from __future__ import annotations

import secrets

REQUEST_BYTES = 8  # Unique among the requests of one process.
KEY_BYTES = 16  # Unique among all requests of a workspace.


def new_request_id() -> str:
    """Returns a request id of 16 hexadecimal digits.

    >>> len(new_request_id())
    16
    """
    return secrets.token_hex(REQUEST_BYTES)


def new_key() -> str:
    """Returns an idempotency key for a request without one."""
    return f"auto-{secrets.token_urlsafe(KEY_BYTES)}"
