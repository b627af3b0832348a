"""Tells from log lines why the roll-outs of orders went on or stopped."""

from __future__ import annotations

import collections
from typing import Any

import attrs

from rattanpier._internal.trace.log_lines import LogLine

NEXT_PHASE = "rollout: Roll-out enters its next phase."
JUDGED = "rollout: Roll-out judged."
WORSE = "rollout: New version is worse."


@attrs.define
class RolloutHistory:
    """Steps and judgements of roll-outs, by service and version.

    Attributes:
      lines: Log lines of each.
    """

    lines: dict[tuple[str, str], list[LogLine]] = attrs.Factory(
        lambda: collections.defaultdict(list)
    )

    def record(self, line: LogLine) -> None:
        """Records a log line; lines of other events are ignored."""
        if line.event in (NEXT_PHASE, JUDGED, WORSE):
            name = str(line.fields.get("service", ""))
            version = str(line.fields.get("version", ""))
            self.lines[name, version].append(line)

    def describe(self) -> list[str]:
        """Returns a sentence for each step, in order of time."""
        return [
            f"{service} {version}: {describe_line(line)}"
            for (service, version), lines in sorted(self.lines.items())
            for line in sorted(lines, key=lambda each: each.at)
        ]


def describe_line(line: LogLine) -> str:
    """Returns what a log line says of a roll-out."""
    fields = line.fields
    reason = f" ({fields['reason']})" if fields.get("reason") else ""
    counts = describe_counts(fields)
    match line.event:
        case event if event == NEXT_PHASE:
            found = f"{fields.get('phase')} at {fields.get('age')} of its time"
        case event if event == WORSE:
            found = "stopped by its evidence"
            counts = (
                f"{fields.get('new_bad')} of {fields.get('new_total')} answers "
                f"bad, old {fields.get('old_bad')} of {fields.get('old_total')}"
            )
        case _:
            found = "judged"
    verdict = fields.get("verdict")
    if verdict is not None:
        found += f", {verdict}"
    return f"{line.at} {line.node}: {found}{reason}; {counts}."


def describe_counts(fields: dict[str, Any]) -> str:
    """Returns the requests of both versions that a line tells."""
    return ", ".join(
        f"{side} {counts.get('sent')} sent, {counts.get('answered')} answered, "
        f"{counts.get('bad')} bad, {counts.get('abandoned')} abandoned, "
        f"{counts.get('running')} running"
        for side in ("new", "old")
        if isinstance(counts := fields.get(side), dict)
    )
