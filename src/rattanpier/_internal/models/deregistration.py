"""A worker whose registration was removed."""

from __future__ import annotations

import attrs

from rattanpier._internal.models.revision import Revision


@attrs.frozen
class Deregistration:
    """What was last known of one start of a worker.

    Attributes:
      incarnation: The start.
      sequence: Of its last registration that was known.
      revision: Of its removal.
    """

    incarnation: str
    sequence: int
    revision: Revision

    def is_of_worker(self, id: str) -> bool:
        """Says whether it is of a start of a worker."""
        return self.incarnation == id or self.incarnation.startswith(f"{id}/")

    @property
    def sort_key(self) -> tuple[Revision, int]:
        """The larger of two of one start tells more."""
        return self.revision, self.sequence
