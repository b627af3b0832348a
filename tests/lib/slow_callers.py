"""Connections of callers that read slowly, in memory and over sockets."""

import attrs

from rattanpier._internal.relay.slow_readers import (
    CallerConnection,
    SlowReaders,
)
from rattanpier._internal.utils.metrics import Metrics


@attrs.define(eq=False)
class StillClock:
    """A clock that a test sets."""

    now: float = 0.0

    def monotonic(self):
        return self.now


@attrs.define(eq=False)
class FakeConnection:
    """A caller's connection in memory.

    `size` is the size of its write buffer, `limits` those that were set last.
    """

    size: int = 0
    closed: bool = False
    limits: tuple = ()

    def callbacks(self):
        return CallerConnection(lambda: self.size, self.set_limits, self.close)

    def set_limits(self, high, low):
        self.limits = (high, low)

    def close(self):
        self.closed = True
        self.size = 0


def make_readers(clock, total_limit):
    return SlowReaders(clock, Metrics(), total_limit)
