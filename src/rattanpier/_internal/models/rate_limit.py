"""How much a worker says that it takes."""

from __future__ import annotations

import attrs


@attrs.frozen
class RateLimit:
    """What one incarnation of a worker says that it takes.

    Attributes:
      worker: Its id.
      incarnation: What tells this start of it from others.
      rate_per_s: Requests from all entries together; None: as many as come.
      serial: Raised by an answer to a request that was sent after the former
        word was known.
    """

    worker: str
    incarnation: str
    rate_per_s: float | None
    serial: int = 0

    def is_stricter(self, rate_per_s: float | None) -> bool:
        """Says whether this allows less than a rate does.

        >>> RateLimit("w", "w", 2.0).is_stricter(None)
        True
        >>> RateLimit("w", "w", None).is_stricter(2.0)
        False
        """
        if self.rate_per_s is None:
            return False
        return rate_per_s is None or self.rate_per_s < rate_per_s

    def supersedes(self, other: RateLimit) -> bool:
        """Says whether this word counts where both are known.

        >>> RateLimit("w", "w", None, 1).supersedes(RateLimit("w", "w", 2.0))
        True
        """
        if self.serial != other.serial:
            return self.serial > other.serial
        return self.is_stricter(other.rate_per_s)
