"""Workers' registrations in the platform's store."""

from __future__ import annotations

import json

from rattanpier._internal.exceptions import ConfigurationError
from rattanpier._internal.models.feed import FeedRow
from rattanpier._internal.models.worker import RegisteredWorker

TABLE = "servers"


def decode_worker(row: FeedRow) -> RegisteredWorker:
    """Returns the worker that a row registers.

    Raises:
      ConfigurationError: The row can't be read.
    """
    try:
        entry = json.loads(row.value)
        host, _, port = entry["address"].rpartition(":")
        return RegisteredWorker(
            id=row.key,
            service=entry["service"],
            host=host,
            port=int(port),
            domain=entry.get("zone") or "",
            version=entry.get("version") or "",
            slots=entry.get("slots") or 1,
            draining=entry.get("state") == "draining",
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise ConfigurationError(
            f"registration {row.key} can't be read: {error!r}"
        ) from error
