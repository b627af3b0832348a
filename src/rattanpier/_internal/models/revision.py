"""A place in the store's history."""

from __future__ import annotations

import attrs

ERA_BITS = 48  # More versions than a store gives out in one era.


@attrs.frozen(order=True)
class Revision:
    """A version of the store, and the era that it was given out in.

    A store that comes back from an older copy begins a new era and gives
    versions out again, so that a version alone tells nothing. The larger of two
    revisions is the newer one. The default is older than all that a store
    gives out; as a condition it means that there is no such row.

    Attributes:
      era: Number of the history; 0 where the store tells none.
      version: Of the store, within the era.
    """

    era: int = 0
    version: int = 0

    @property
    def number(self) -> int:
        """A whole number that orders revisions as they are ordered.

        >>> Revision(0, 7).number
        7
        >>> Revision.from_number(Revision(2, 7).number)
        Revision(era=2, version=7)
        """
        return self.era << ERA_BITS | self.version

    def is_restored_from(self, earlier: Revision) -> bool:
        """Says whether a row is one that was known in an earlier era.

        A row that stands in the copy that a store came back from keeps the
        version of its last change; one that is written again gets another.

        >>> Revision(2, 7).is_restored_from(Revision(1, 7))
        True
        """
        return earlier.era < self.era and earlier.version == self.version

    def may_predate(self, earlier: Revision) -> bool:
        """Says whether a row may be of a copy from before an earlier change.

        It then has the version that it had when the copy was made.

        >>> Revision(2, 6).may_predate(Revision(1, 7))
        True
        """
        return earlier.era < self.era and self.version < earlier.version

    @classmethod
    def from_number(cls, number: int) -> Revision:
        """Returns the revision that a number stands for."""
        return cls(number >> ERA_BITS, number & (1 << ERA_BITS) - 1)
