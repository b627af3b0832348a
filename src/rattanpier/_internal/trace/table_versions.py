"""Which version of the routes decided a request, and who had a newer one."""

from __future__ import annotations

import bisect
import collections
import datetime
from collections.abc import Sequence

import attrs

from rattanpier._internal.trace.log_lines import LogLine

TABLE_IN_FORCE = "state: Routes in force."


@attrs.frozen
class TableChange:
    """A version of the routes that came into force on an entry.

    Attributes:
      at: Time of the log line.
      version: The version.
      node: The entry.
      source: How it reached the entry.
      told_by: Peer that sent it, empty if the store did.
    """

    at: str
    version: int
    node: str
    source: str
    told_by: str


@attrs.frozen
class TableDecision:
    """The version that decided a request.

    Attributes:
      version: The version.
      change: When it came into force on the deciding entry; None if unknown.
      newer: Earliest change to a newer version on any entry, before the
        request; None if there was none.
      behind_s: Seconds from that change to the request, 0 without one.
    """

    version: int
    change: TableChange | None
    newer: TableChange | None
    behind_s: float

    def describe(self) -> str:
        """Returns a sentence about the version."""
        text = f"Version {self.version} of the routes decided"
        if self.change is not None:
            told_by = f", from {self.change.told_by}" * bool(
                self.change.told_by
            )
            text += (
                f", in force on {self.change.node} since {self.change.at} "
                f"({self.change.source}{told_by})"
            )
        if self.newer is None:
            return f"{text}; no entry had a newer one."
        return (
            f"{text}; version {self.newer.version} was in force on "
            f"{self.newer.node} {self.behind_s:.2f} s before."
        )


@attrs.define
class TableHistory:
    """Changes of the routes on all entries.

    Attributes:
      by_node: Changes of each entry, sorted by time.
      first: Earliest change to each version on any entry, by version.
    """

    by_node: dict[str, list[TableChange]] = attrs.Factory(
        lambda: collections.defaultdict(list)
    )
    first: dict[int, TableChange] = attrs.Factory(dict)

    def record(self, line: LogLine) -> None:
        """Records a line of the event `TABLE_IN_FORCE`."""
        change = TableChange(
            line.at,
            int(line.fields.get("version", -1)),
            line.node,
            str(line.fields.get("source", "")),
            str(line.fields.get("told_by", "")),
        )
        bisect.insort(self.by_node[line.node], change, key=lambda each: each.at)
        known = self.first.get(change.version)
        if known is None or change.at < known.at:
            self.first[change.version] = change

    def find_decision(self, lines: Sequence[LogLine]) -> TableDecision | None:
        """Returns the version that decided a request, None if unknown.

        Args:
          lines: All log lines of the request, sorted by time.
        """
        deciding = next(
            (each for each in lines if "table" in each.fields), None
        )
        if deciding is None:
            return None
        version = int(deciding.fields["table"])
        change = next(
            (
                each
                for each in reversed(self.by_node[deciding.node])
                if each.version == version and each.at <= deciding.at
            ),
            None,
        )
        newer = min(
            (
                each
                for each in self.first.values()
                if each.version > version and each.at < deciding.at
            ),
            key=lambda each: each.at,
            default=None,
        )
        behind_s = 0.0 if newer is None else seconds(newer.at, deciding.at)
        return TableDecision(version, change, newer, behind_s)


def seconds(since: str, until: str) -> float:
    """Returns the seconds between two times of log lines.

    >>> seconds("2026-12-03T10:11:26.5Z", "2026-12-03T10:11:28.0Z")
    1.5
    """
    first, last = map(datetime.datetime.fromisoformat, (since, until))
    return (last - first).total_seconds()
