"""Observes the upstream requests of a roll-out from their start to their end.

Answers alone would show only what callers waited for. Each upstream request
therefore counts from its start, and the time that it has waited so far counts
whatever becomes of it.
"""

from __future__ import annotations

import attrs

from rattanpier._internal.relay.durations import (
    NO_DURATIONS,
    DurationCounts,
    ended_duration,
    open_duration,
)
from rattanpier._internal.relay.evidence import TallyKey
from rattanpier._internal.relay.verdict import Tally

# A long stream gives one sample of its pace in this time, so that the samples
# show the moment at which they were taken.
PACE_WINDOW_S = 2.0
# Differences between shorter times are those of the network.
MIN_WAIT_S = 0.02
MIN_GAP_S = 0.01


@attrs.define(eq=False, repr=False)
class Observation:
    """One upstream request during a roll-out.

    Attributes:
      key: Key by which it counts; None if no order is in progress.
      started_at: When it was sent, in monotonic seconds.
      work_s: Estimated seconds of its work, by which the time to the first
        event is divided.
      head_at: When the head of its answer arrived, in monotonic seconds, or
        None.
      window_at: First event of the present sample of the pace, in monotonic
        seconds, or None before the first event.
      window_gaps: Gaps between events in that sample.
      last_at: The latest event, in monotonic seconds.
    """

    key: TallyKey | None
    started_at: float
    work_s: float
    head_at: float | None = None
    window_at: float | None = None
    window_gaps: int = 0
    last_at: float = 0.0

    def move(self, before: int, order: int) -> None:
        """Counts under another id of the same order from now on.

        Args:
          before: The order's id so far.
          order: Its new id.
        """
        if self.key is not None and self.key.order == before:
            self.key = attrs.evolve(self.key, order=order)

    def skip_pause(self, seconds: float) -> None:
        """Leaves out a time in which this process could see no answer."""
        self.started_at += seconds
        self.last_at += seconds
        if self.window_at is not None:
            self.window_at += seconds

    def record_head(self, now: float) -> Tally:
        """Returns the counts that the head of the answer adds."""
        self.head_at = now
        waited_s = now - self.started_at
        return Tally(first=ended_duration(self.relative_wait(waited_s)))

    def record_event(self, now: float) -> Tally:
        """Returns the counts that an event adds: a sample of the pace, if due.

        Args:
          now: Arrival of the event, in monotonic seconds.
        """
        self.last_at = now
        if self.window_at is None:
            self.window_at = now
            return Tally()
        self.window_gaps += 1
        if now - self.window_at < PACE_WINDOW_S:
            return Tally()
        sample = ended_gap((now - self.window_at) / self.window_gaps)
        self.window_at, self.window_gaps = now, 0
        return Tally(pace=sample)

    def unfinished(self, now: float, complete: bool = False) -> Tally:
        """Returns the counts of what is not recorded yet.

        Args:
          now: The present, in monotonic seconds.
          complete: Whether the answer has ended, so that nothing is open.
        """
        return Tally(
            first=self.unfinished_first(now),
            pace=self.unfinished_pace(now, complete),
        )

    def unfinished_first(self, now: float) -> DurationCounts:
        """Returns the time waited for the head, if it has not arrived."""
        if self.head_at is not None:
            return NO_DURATIONS
        return open_duration(self.relative_wait(now - self.started_at))

    def relative_wait(self, waited_s: float) -> float:
        """Returns a time to the head in relation to the work."""
        return max(waited_s, MIN_WAIT_S) / self.work_s

    def unfinished_pace(self, now: float, complete: bool) -> DurationCounts:
        """Returns the sample of the pace that is not recorded yet.

        While the next event is overdue, the mean of the gaps is at least the
        whole time divided by one gap more.
        """
        if self.window_at is None:
            return NO_DURATIONS
        mean_s = 0.0
        if self.window_gaps:
            mean_s = (self.last_at - self.window_at) / self.window_gaps
        if not complete and now - self.last_at > mean_s:
            waited_s = now - self.window_at
            return open_duration(waited_s / (self.window_gaps + 1))
        return ended_gap(mean_s) if self.window_gaps else NO_DURATIONS


def ended_gap(gap_s: float) -> DurationCounts:
    """Returns the counts of one sample of the pace.

    Args:
      gap_s: Mean time from one event to the next, in seconds.
    """
    return ended_duration(max(gap_s, MIN_GAP_S))
