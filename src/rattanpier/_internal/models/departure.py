"""A worker whose registration was removed."""

from __future__ import annotations

import attrs


@attrs.frozen
class Departure:
    """What was last known of one start of a worker.

    Attributes:
      incarnation: The start.
      sequence: Of its last registration.
      era: Of the store that told of its removal.
    """

    incarnation: str
    sequence: int
    era: int

    @property
    def order(self) -> tuple[int, int]:
        """The larger of two of one start tells more."""
        return self.era, self.sequence
