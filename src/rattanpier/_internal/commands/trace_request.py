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

LAST_TIME = "9999"  # Sorts after the time of any log line.


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
    data = {
        "request": str(id),
        "cause": attrs.asdict(cause),
        "lines": [attrs.asdict(line) for line in lines],
        "eras": timeline.eras,
    }
    return Result(data, [table, cause.sentence, *timeline.describe_eras()])


def why(*files: str, since: str = "", until: str = "") -> Result:
    """Counts failed requests by cause, with the first id of each.

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
    for id, lines in found.items():
        if not since <= lines[0].at < (until or LAST_TIME):
            continue
        total += 1
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
    sentence = f"{failed_count} of {total} requests failed."
    code = ExitCode.FAILED if rows else ExitCode.DONE
    return Result(
        {
            "requests": total,
            "failed": failed_count,
            "causes": data,
            "eras": timeline.eras,
        },
        [table, sentence, *timeline.describe_eras()],
        code,
    )


def show_fields(line: LogLine) -> str:
    """Formats the fields of a log line, without its level."""
    hidden = ("level",)
    return " ".join(
        f"{name}={json.dumps(value)}"
        for name, value in line.fields.items()
        if name not in hidden
    )
