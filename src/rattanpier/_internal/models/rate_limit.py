"""Rate limits that workers report."""

from __future__ import annotations

import attrs

from rattanpier._internal.utils.record import Record


@attrs.frozen(eq=False, repr=False)
class RateLimit(Record):
    """Rate limit that one incarnation of a worker reported.

    Attributes:
      worker: Id of the worker.
      incarnation: Id of the incarnation.
      rate_per_s: Requests per second from all entries together; None: no limit.
      serial: Orders the reports: it is increased by the answer to a request
        that was sent when the previous report was already known.
    """

    worker: str
    incarnation: str
    rate_per_s: float | None
    serial: int = 0

    def is_stricter(self, rate_per_s: float | None) -> bool:
        """Returns whether this limit is lower than a rate; None: unlimited.

        >>> RateLimit("w", "w", 2.0).is_stricter(None)
        True
        >>> RateLimit("w", "w", None).is_stricter(2.0)
        False
        """
        if self.rate_per_s is None:
            return False
        return rate_per_s is None or self.rate_per_s < rate_per_s

    def supersedes(self, other: RateLimit) -> bool:
        """Returns whether this report takes precedence over another.

        The larger serial does; of two with the same one, the stricter limit.

        >>> RateLimit("w", "w", None, 1).supersedes(RateLimit("w", "w", 2.0))
        True
        """
        if self.serial != other.serial:
            return self.serial > other.serial
        return self.is_stricter(other.rate_per_s)
