"""Whether a process listens at an address."""

from __future__ import annotations

import asyncio


async def listens(host: str, port: int, timeout_s: float) -> bool | None:
    """Says whether a process listens, by opening a connection.

    Returns:
      False if the machine refused, None if it can't be reached in time.
    """
    try:
        async with asyncio.timeout(timeout_s):
            _, writer = await asyncio.open_connection(host, port)
    except ConnectionRefusedError:
        return False
    except (OSError, TimeoutError):
        return None
    writer.transport.abort()
    return True
