"""The driver's totals of the counters that entries send.

Entries send cumulative counters with a sequence number, so that notices may be
lost, duplicated or reordered without an effect on the totals.
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

MAX_ORIGINS = 2048  # Processes whose rows are kept separately.
MAX_DROPPED_ORIGINS = 4096  # Dropped processes whose late notices are ignored.


@attrs.define
class Ledger:
    """Counters by origin, and their totals.

    Attributes:
      rows: Latest row by origin, workspace and version; the origin that sent
        most recently comes last.
      sums: Totals of all rows ever received, by workspace and version. They
        are updated with each row, so that the cost of reading them does not
        depend on the number of entries.
      dropped_origins: Origins whose rows were dropped, oldest first. Their
        late notices are ignored, since they would be counted twice.
    """

    rows: dict[str, dict[tuple[str, str], EvidenceRow]] = attrs.Factory(dict)
    sums: dict[tuple[str, str], Counts] = attrs.Factory(dict)
    dropped_origins: dict[str, None] = attrs.Factory(dict)

    def apply_row(self, origin: str, row: EvidenceRow) -> None:
        """Applies a row unless a newer one is known.

        Args:
          origin: "name/incarnation" of the entry.
          row: Counters since the start of that incarnation.
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
        """Drops the rows of stopped origins if there are too many origins.

        They are kept until then, since a process that was only believed to
        have stopped continues to send.

        Args:
          live: Origins that are live.
          max_origins: Number of origins above which rows are dropped.
        """
        surplus = len(self.rows) - max_origins
        not_live = [name for name in self.rows if name not in live]
        for origin in not_live[: max(0, surplus)]:
            del self.rows[origin]
            self.dropped_origins[origin] = None
        while len(self.dropped_origins) > MAX_DROPPED_ORIGINS:
            del self.dropped_origins[next(iter(self.dropped_origins))]

    def totals(self, stable: str, candidate: str) -> dict[str, VersionCounts]:
        """Returns the totals of two versions by workspace."""
        return totals_by_workspace(self.sums, stable, candidate)


def totals_by_workspace(
    sums: dict[tuple[str, str], Counts], stable: str, candidate: str
) -> dict[str, VersionCounts]:
    """Returns the counters of two versions by workspace.

    Args:
      sums: Counters by workspace and version.
      stable: The stable version.
      candidate: The candidate.
    """
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
