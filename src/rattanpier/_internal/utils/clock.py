"""Clock interface, so that tests can control time."""

from __future__ import annotations

import asyncio
import time
from typing import Protocol


class Clock(Protocol):
    """Source of time."""

    def monotonic(self) -> float:
        """Returns monotonic seconds."""
        ...

    def time(self) -> float:
        """Returns seconds since the Unix epoch."""
        ...

    async def sleep(self, seconds: float) -> None:
        """Waits for some seconds."""
        ...


class SystemClock:
    """Clock of the operating system."""

    def monotonic(self) -> float:
        """Returns the system's monotonic time in seconds."""
        return time.monotonic()

    def time(self) -> float:
        """Returns the system's wall clock time in seconds."""
        return time.time()

    async def sleep(self, seconds: float) -> None:
        """Waits for some seconds on the running event loop."""
        await asyncio.sleep(seconds)
