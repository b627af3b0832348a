"""Record of a worker whose registration was removed."""

from __future__ import annotations

import attrs

from rattanpier._internal.models.revision import Revision
from rattanpier._internal.utils.record import Record


@attrs.frozen(eq=False, repr=False)
class Deregistration(Record):
    """A deregistered incarnation of a worker.

    Attributes:
      incarnation: Id of the incarnation.
      sequence: Sequence number of its last known registration.
      revision: Store revision of the removal.
    """

    incarnation: str
    sequence: int
    revision: Revision

    def is_of_worker(self, id: str) -> bool:
        """Returns whether it is of an incarnation of the worker `id`."""
        return self.incarnation == id or self.incarnation.startswith(f"{id}/")

    @property
    def sort_key(self) -> tuple[Revision, int]:
        """Sort key: of two records of an incarnation, the larger is newer."""
        return self.revision, self.sequence
