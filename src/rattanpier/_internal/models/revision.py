"""Revision of the store: a version within an era."""

from __future__ import annotations

import attrs

ERA_BITS = 48  # Bits of a version; enough for all versions of one era.


@attrs.frozen(order=True)
class Revision:
    """A version of the store and the era in which it was assigned.

    A store that was restored from a backup begins a new era and assigns
    versions again, so that a version alone is ambiguous. The larger of two
    revisions is newer. The default is older than any revision that a store
    assigns; as a condition it means that the row must not exist.

    Attributes:
      era: Number of the era; 0 if the store reports none.
      version: Version of the store within the era.
    """

    era: int = 0
    version: int = 0

    @property
    def number(self) -> int:
        """The revision as one integer, in the same order.

        >>> Revision(0, 7).number
        7
        >>> Revision.from_number(Revision(2, 7).number)
        Revision(era=2, version=7)
        """
        return self.era << ERA_BITS | self.version

    def is_restored_from(self, earlier: Revision) -> bool:
        """Returns whether a row is unchanged since an earlier era.

        A row of the backup that a store was restored from keeps the version of
        its last change; a row that is written again gets a new one.

        >>> Revision(2, 7).is_restored_from(Revision(1, 7))
        True
        """
        return earlier.era < self.era and earlier.version == self.version

    def may_predate(self, earlier: Revision) -> bool:
        """Returns whether a row may be from a backup older than a change.

        Such a row has the version that it had when the backup was made.

        >>> Revision(2, 6).may_predate(Revision(1, 7))
        True
        """
        return earlier.era < self.era and self.version < earlier.version

    @classmethod
    def from_number(cls, number: int) -> Revision:
        """Returns the revision with a `number`."""
        return cls(number >> ERA_BITS, number & (1 << ERA_BITS) - 1)
