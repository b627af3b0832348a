"""Time, as an interface, so that tests can turn the clock themselves."""

from __future__ import annotations

import asyncio
import time
from typing import Protocol


class Clock(Protocol):
    """What the program asks of time."""

    def monotonic(self) -> float:
        """Returns seconds that never go back."""
        ...

    def time(self) -> float:
        """Returns seconds since the epoch."""
        ...

    async def sleep(self, seconds: float) -> None:
        """Waits."""
        ...


class SystemClock:
    """The machine's clock."""

    def monotonic(self) -> float:
        """Returns the machine's monotonic time in seconds."""
        return time.monotonic()

    def time(self) -> float:
        """Returns the machine's wall clock in seconds."""
        return time.time()

    async def sleep(self, seconds: float) -> None:
        """Waits on the running loop."""
        await asyncio.sleep(seconds)
