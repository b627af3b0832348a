"""`rattanpier trace-request` and `rattanpier why`: causes of failures."""

from __future__ import annotations

import collections
import json

import attrs

from rattanpier._internal.commands.result import ExitCode, Result, make_table
from rattanpier._internal.exceptions import CommandError
from rattanpier._internal.trace.causes import (
    Cause,
    Timeline,
    find_cause,
    group_by_request,
)
from rattanpier._internal.trace.log_lines import LogLine, read_lines
from rattanpier._internal.trace.table_versions import TableDecision

LAST_TIME = "9999"  # Sorts after the time of any log line.
# A request that was decided by older routes than another entry had for this
# long counts as decided late; a change takes less to reach all entries.
LATE_TABLE_S = 1.0


def trace_request(id: str, *files: str) -> Result:
    """Shows the log lines of one request and the cause of its outcome.

    Args:
      id: Id of the request, as the caller sent it.
      files: Log files of all entries; standard input if none are given.

    Raises:
      CommandError: No log line belongs to the request.
    """
    timeline = Timeline()
    found = group_by_request(read_lines(files or ("-",)), timeline)
    # The command line parses an id of digits alone as a number.
    lines = found.get(str(id))
    if not lines:
        raise CommandError(
            f"no line is about request {id!r}",
            "give the log lines of all entries for the time in question",
        )
    cause = find_cause(lines, timeline)
    table = make_table(f"Request {id}", ("at", "node", "event", "fields"))
    for line in lines:
        table.add_row(line.at, line.node, line.event, show_fields(line))
    decision = timeline.tables.find_decision(lines)
    sentences = [cause.sentence, *timeline.describe_eras()]
    if decision is not None:
        sentences.insert(1, decision.describe())
    data = {
        "request": str(id),
        "cause": attrs.asdict(cause),
        "table": None if decision is None else attrs.asdict(decision),
        "lines": [attrs.asdict(line) for line in lines],
        "eras": timeline.eras,
    }
    return Result(data, [table, *sentences])


def why(*files: str, since: str = "", until: str = "") -> Result:
    """Counts failed requests by cause, and tells why roll-outs went on.

    Args:
      files: Log files of all entries; standard input if none are given.
      since: Include requests whose first line is not before this time, in
        the format of the log lines.
      until: Include requests whose first line is before this time.
    """
    timeline = Timeline()
    found = group_by_request(read_lines(files or ("-",)), timeline)
    counted: dict[str, list[tuple[str, str, Cause]]] = collections.defaultdict(
        list
    )
    total = 0
    late: list[tuple[str, str, TableDecision]] = []
    for id, lines in found.items():
        if not since <= lines[0].at < (until or LAST_TIME):
            continue
        total += 1
        decision = timeline.tables.find_decision(lines)
        if decision is not None and decision.behind_s > LATE_TABLE_S:
            late.append((lines[0].at, id, decision))
        cause = find_cause(lines, timeline)
        if cause.failed:
            counted[cause.code].append((lines[0].at, id, cause))
    rows = sorted(counted.items(), key=lambda item: -len(item[1]))
    table = make_table(
        "Failed requests", ("cause", "requests", "first at", "first id")
    )
    data = []
    for code, failed in rows:
        at, id, cause = min(failed, key=lambda each: each[:2])
        table.add_row(code, str(len(failed)), at, id)
        data.append(
            {
                "cause": code,
                "requests": len(failed),
                "first_at": at,
                "first_id": id,
                "first_sentence": cause.sentence,
            }
        )
    failed_count = sum(len(failed) for _, failed in rows)
    sentences = [f"{failed_count} of {total} requests failed."]
    sentences += describe_late(late)
    code = ExitCode.FAILED if rows else ExitCode.DONE
    return Result(
        {
            "requests": total,
            "failed": failed_count,
            "causes": data,
            "late_tables": len(late),
            "eras": timeline.eras,
            "rollouts": timeline.rollouts.describe(),
        },
        [
            table,
            *sentences,
            *timeline.describe_eras(),
            *timeline.rollouts.describe(),
        ],
        code,
    )


def describe_late(late: list[tuple[str, str, TableDecision]]) -> list[str]:
    """Returns a sentence about requests that outdated routes decided.

    Args:
      late: Time, id and decision of each; the list may be empty.
    """
    if not late:
        return []
    _, id, decision = min(late, key=lambda each: each[:2])
    return [
        f"{len(late)} requests, answered or not, were decided by routes older "
        f"than another entry had for over {LATE_TABLE_S} s; the first is {id}: "
        f"{decision.describe()}"
    ]


def show_fields(line: LogLine) -> str:
    """Formats the fields of a log line, without its level."""
    hidden = ("level",)
    return " ".join(
        f"{name}={json.dumps(value)}"
        for name, value in line.fields.items()
        if name not in hidden
    )
