"""`rattanpier losses`: causes of lost request value, from log lines."""

from __future__ import annotations

import attrs

from rattanpier._internal.commands.result import Result, make_table
from rattanpier._internal.exceptions import CommandError
from rattanpier._internal.trace.causes import Timeline, group_by_request
from rattanpier._internal.trace.log_lines import read_lines
from rattanpier._internal.trace.losses import (
    group_by_route,
    group_by_time,
    read_outcome,
)

STEP_S = 5.0


def losses(*files: str, step_s: float = STEP_S) -> Result:
    """Counts requests that failed, were late or were answered doubtfully.

    Args:
      files: Log files of all entries; standard input if none are given.
      step_s: Interval in seconds that each row of the table by moment covers.

    Raises:
      CommandError: `step_s` is not a finite number of at least 0.1.
    """
    if isinstance(step_s, bool) or not isinstance(step_s, int | float):
        raise CommandError(f"step_s is {step_s!r}", "give a number of seconds")
    if not 0.1 <= step_s < float("inf"):
        raise CommandError(f"step_s is {step_s!r}", "give 0.1 or more")
    timeline = Timeline()
    found = group_by_request(read_lines(files or ("-",)), timeline)
    ends = [read_outcome(lines, timeline) for lines in found.values()]
    routes = list(group_by_route(ends))
    moments = list(group_by_time(ends, step_s))
    table = make_table(
        "Losses by route",
        ("route", "requests", "lost by", "of them", "median s", "95 % s"),
    )
    for route in routes:
        figures = (f"{route.median_s:.2f}", f"{route.most_s:.2f}")
        table.add_row(route.route, str(route.requests), "", "", *figures)
        for heading, count in route.headings.items():
            table.add_row("", "", heading, str(count), "", "")
    times = make_table("Losses by moment", ("from s", "requests", "lost by"))
    for begin_s, requests, headings in moments:
        words = ", ".join(f"{name} {count}" for name, count in headings.items())
        times.add_row(f"{begin_s:g}", str(requests), words)
    lost = sum(bool(end.heading) for end in ends)
    return Result(
        {
            "requests": len(ends),
            "lost": lost,
            "routes": [attrs.asdict(route) for route in routes],
            "moments": [
                {"from_s": begin_s, "requests": requests, "lost_by": headings}
                for begin_s, requests, headings in moments
            ],
        },
        [table, times, f"{lost} of {len(ends)} requests lost worth."],
    )
