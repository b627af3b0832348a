"""Check whether a process listens at an address."""

from __future__ import annotations

import asyncio


async def listens(host: str, port: int, timeout_s: float) -> bool | None:
    """Returns whether a process listens, by opening a connection.

    Returns:
      True if the connection was accepted, False if it was refused, None if
      neither happened within the timeout.
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
