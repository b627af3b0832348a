"""For how long this process ran. Free of I/O.

A process that is stopped, or gets no processor, hears nothing meanwhile. What
it waited for was not silent: its answers lie in the sockets. Whoever concludes
something from a silence therefore has to measure it in the time in which the
process ran.
"""

from __future__ import annotations

from collections.abc import Callable

import attrs
import structlog

from rattanpier._internal.utils.clock import Clock

log = structlog.get_logger(part="pauses")

# While the process runs, its time is read at least this often.
READ_INTERVAL_S = 0.1
# A longer time between two readings is a pause. Shorter ones come from work of
# the process itself.
MAX_STEP_S = 0.3


@attrs.define(eq=False, repr=False)
class RunningTime:
    """Measures the time in which this process ran, by gaps of its own clock.

    Attributes:
      clock: Monotonic clock, which goes on while the process is stopped.
      max_step_s: Longest time between two readings that is no pause, in
        seconds.
      on_pause: Called with the length of a pause in seconds, after it.
      read_at: When the clock was read last, in monotonic seconds.
      paused_s: Sum of all pauses.
      resumed_at: End of the last pause, in monotonic seconds; minus infinity if
        there was none.
    """

    clock: Clock
    max_step_s: float = MAX_STEP_S
    on_pause: Callable[[float], None] = lambda _seconds: None
    read_at: float = attrs.field(
        default=attrs.Factory(
            lambda self: self.clock.monotonic(), takes_self=True
        )
    )
    paused_s: float = 0.0
    resumed_at: float = float("-inf")

    def seconds(self) -> float:
        """Returns the seconds for which the process has run.

        Only differences of two results have a meaning.
        """
        now = self.clock.monotonic()
        step_s, self.read_at = now - self.read_at, now
        if step_s > self.max_step_s:
            self.paused_s += step_s
            self.resumed_at = now
            log.warning("Process did not run.", paused_s=round(step_s, 3))
            self.on_pause(step_s)
        return now - self.paused_s

    def paused_since(self, at: float) -> bool:
        """Returns whether a pause ended after a time in monotonic seconds."""
        self.seconds()
        return self.resumed_at > at
