"""The driver's sums of what entries sent.

Entries send sums since their start with a sequence, so that a notice which is
lost, repeated or overtaken does no harm.
"""

from __future__ import annotations

from collections.abc import Collection

import attrs

from rattanpier._internal.rollout.evidence import (
    NO_COUNTS,
    Counts,
    VersionCounts,
)
from rattanpier._internal.rollout.records import EvidenceRow

MAX_ORIGINS = 2048  # Processes whose rows are kept apart.
MAX_DROPPED_ORIGINS = 4096  # Ended processes whose late notices are known.


@attrs.define
class Ledger:
    """Sums by origin.

    Attributes:
      rows: Latest row by origin, workspace and version; the origin heard of
        last comes last.
      sums: Of all rows ever, by workspace and version; kept as rows come, so
        that reading them costs the same whatever the number of entries.
      ended: Origins whose rows were dropped, oldest first.
    """

    rows: dict[str, dict[tuple[str, str], EvidenceRow]] = attrs.Factory(dict)
    sums: dict[tuple[str, str], Counts] = attrs.Factory(dict)
    dropped_origins: dict[str, None] = attrs.Factory(dict)

    def apply_row(self, origin: str, row: EvidenceRow) -> None:
        """Takes in a row unless a newer one is known.

        Args:
          origin: "name/incarnation" of the entry.
          row: Sums since that start.
        """
        if origin in self.dropped_origins:
            return
        known = self.rows.pop(origin, {})
        self.rows[origin] = known
        key = (row.workspace, row.version)
        before = known.get(key)
        if before is not None and before.sequence >= row.sequence:
            return
        known[key] = row
        added = row.counts - (before.counts if before else NO_COUNTS)
        self.sums[key] = self.sums.get(key, NO_COUNTS) + added

    def drop_stopped_origins(
        self, live: Collection[str], max_origins: int = MAX_ORIGINS
    ) -> None:
        """Drops rows of origins that are not live, once there are many.

        Not sooner: a process that only seemed to have ended goes on sending.
        """
        surplus = len(self.rows) - max_origins
        not_live = [name for name in self.rows if name not in live]
        for origin in not_live[: max(0, surplus)]:
            del self.rows[origin]
            self.dropped_origins[origin] = None
        while len(self.dropped_origins) > MAX_DROPPED_ORIGINS:
            del self.dropped_origins[next(iter(self.dropped_origins))]

    def totals(self, stable: str, candidate: str) -> dict[str, VersionCounts]:
        """Returns the sums of two versions by workspace."""
        return totals_by_workspace(self.sums, stable, candidate)


def totals_by_workspace(
    sums: dict[tuple[str, str], Counts], stable: str, candidate: str
) -> dict[str, VersionCounts]:
    """Returns the sums of two versions by workspace."""
    workspaces = sorted(
        {
            workspace
            for workspace, version in sums
            if version in (stable, candidate)
        }
    )
    return {
        workspace: VersionCounts(
            sums.get((workspace, stable), NO_COUNTS),
            sums.get((workspace, candidate), NO_COUNTS),
        )
        for workspace in workspaces
    }
