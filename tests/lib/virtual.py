"""An event loop whose time jumps to the next timer, and clocks on it."""

import asyncio
import selectors


class JumpingSelector(selectors.SelectSelector):
    """Adds the time that a loop would wait to a counter instead."""

    def __init__(self):
        super().__init__()
        self.now = 0.0

    def select(self, timeout=None):
        assert timeout is not None, "nothing is left that could happen"
        self.now += max(0.0, timeout)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Runs at once what would take hours."""

    def __init__(self):
        self.jumping = JumpingSelector()
        super().__init__(self.jumping)

    def time(self):
        return self.jumping.now


def run_virtual(work):
    """Runs a coroutine to its end in virtual time."""
    loop = VirtualLoop()
    asyncio.set_event_loop(loop)
    try:
        return loop.run_until_complete(work)
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        asyncio.set_event_loop(None)
        loop.close()


class LoopClock:
    """The running loop's time."""

    def monotonic(self):
        return asyncio.get_running_loop().time()

    def time(self):
        return 1_000_000.0 + self.monotonic()

    async def sleep(self, seconds):
        await asyncio.sleep(seconds)
