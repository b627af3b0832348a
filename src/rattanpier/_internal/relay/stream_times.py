"""Times of the events of one stream, from which a worker's speed is told."""

from __future__ import annotations

import attrs

# Fewer events tell little, since they may arrive together.
MIN_GAPS = 8
# While an entry waits for a caller, it does not see when events arrive.
MAX_DELIVERY_SHARE = 0.1


@attrs.define(eq=False, repr=False)
class StreamTimes:
    """Times of the events of one stream.

    Attributes:
      first_at: Arrival of the first event, in monotonic seconds; None before.
      last_at: Arrival of the last event, in monotonic seconds.
      gaps: Number of events after the first.
      delivery_s: Seconds in which events were delivered to the caller before
        the last one arrived.
      delivered_at: End of the last delivery, in monotonic seconds.
    """

    first_at: float | None = None
    last_at: float = 0.0
    gaps: int = 0
    delivery_s: float = 0.0
    delivered_at: float = 0.0

    @property
    def generation_s(self) -> float:
        """Seconds from the first event to the last."""
        return 0.0 if self.first_at is None else self.last_at - self.first_at

    def record_event(self, now: float) -> None:
        """Records the arrival of an event, in monotonic seconds."""
        if self.first_at is None:
            self.first_at = now
        else:
            self.gaps += 1
            self.delivery_s += self.delivered_at - self.last_at
        self.last_at = self.delivered_at = now

    def record_delivery(self, now: float) -> None:
        """Records the end of a delivery, in monotonic seconds."""
        self.delivered_at = now

    def show_pace(self) -> bool:
        """Returns whether the times show how fast the worker is."""
        if self.gaps < MIN_GAPS or self.generation_s <= 0.0:
            return False
        return self.delivery_s <= MAX_DELIVERY_SHARE * self.generation_s
