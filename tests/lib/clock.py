"""A clock that tests turn themselves."""

import asyncio
import heapq
import itertools


class ManualClock:
    """Time stands still until a test moves it.

    `wall` may be set apart from `now`, to step the wall clock.
    """

    def __init__(self):
        self.now = 0.0
        self.wall = 1_000_000.0
        self.sleepers = []
        self.ids = itertools.count()

    def monotonic(self):
        return self.now

    def time(self):
        return self.wall + self.now

    async def sleep(self, seconds):
        future = asyncio.get_running_loop().create_future()
        item = (self.now + seconds, next(self.ids), future)
        heapq.heappush(self.sleepers, item)
        await future

    async def advance(self, seconds):
        """Moves time on, waking sleepers in the order of their times."""
        end = self.now + seconds
        await settle()
        while self.sleepers and self.sleepers[0][0] <= end:
            self.now, _, future = heapq.heappop(self.sleepers)
            if not future.done():
                future.set_result(None)
            await settle()
        self.now = end


async def settle(turns=20):
    """Lets every task that can run do so."""
    for _ in range(turns):
        await asyncio.sleep(0)


class SkippingClock(ManualClock):
    """Time moves on by itself when something sleeps."""

    async def sleep(self, seconds):
        self.now += seconds
        await asyncio.sleep(0)
