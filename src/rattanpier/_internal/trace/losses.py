"""Classifies from the log lines of all entries how requests lost value.

Each request gets at most one heading: why it failed, why it was late, or why
an answer of low confidence was kept.
"""

from __future__ import annotations

import collections
import datetime
import statistics
from collections.abc import Iterable, Iterator, Sequence

import attrs

from rattanpier._internal.trace.causes import (
    SEND_FAILED,
    WORKER_FAILED,
    Timeline,
    find_cause,
)
from rattanpier._internal.trace.log_lines import LogLine

ANSWERED = "edge: Answered."
FIRST_EVENT = "dispatch: First event."
JUDGED = "dispatch: Answer judged."
# If the larger model took less than this share of the objective, the delay is
# attributed to the first answer rather than to the larger model.
LARGER_MODEL_MIN_SHARE = 0.5


@attrs.frozen
class RequestOutcome:
    """How one request ended.

    Attributes:
      at: Time of its first log line.
      route: Route name; empty if no line names one.
      heading: How it lost value; empty if it did not.
      first_s: Seconds until the first chunk; None if none was logged.
    """

    at: str
    route: str
    heading: str
    first_s: float | None


@attrs.frozen
class RouteLosses:
    """Statistics on the requests of one route.

    Attributes:
      route: Route name.
      requests: Number of requests.
      headings: Number of requests that lost value, by heading.
      median_s: Median of the seconds until the first chunk.
      most_s: 95th percentile of the same.
    """

    route: str
    requests: int
    headings: dict[str, int]
    median_s: float
    most_s: float


def read_outcome(
    lines: Sequence[LogLine], timeline: Timeline
) -> RequestOutcome:
    """Returns how a request ended.

    Args:
      lines: All log lines of the request, sorted by time; at least one.
      timeline: Starts and stops of all VMs.
    """
    last = find_last(lines, ANSWERED)
    route = next(
        (str(line.fields["route"]) for line in lines if "route" in line.fields),
        "",
    )
    first_s = None if last is None else last.fields.get("first_s")
    cause = find_cause(lines, timeline)
    if cause.failed:
        heading = f"failed: {cause.code}"
    elif last is None:
        heading = ""
    else:
        heading = find_lateness(last, lines) or find_doubt(lines)
    return RequestOutcome(lines[0].at, route, heading, first_s)


def find_last(lines: Sequence[LogLine], event: str) -> LogLine | None:
    """Returns the last log line with an event, or None."""
    return next((line for line in reversed(lines) if line.event == event), None)


def find_lateness(end: LogLine, lines: Sequence[LogLine]) -> str:
    """Returns why an answer was late, or an empty string if it was not."""
    objective_s = end.fields.get("objective_s") or 0.0
    gap_s = end.fields.get("longest_gap_s") or 0.0
    allowed_s = end.fields.get("allowed_gap_s") or 0.0
    taken_s = end.fields.get("first_s")
    if taken_s is None:
        taken_s = end.fields.get("total_s") or 0.0
    if taken_s > objective_s > 0.0:
        return f"late: {find_lateness_reason(lines, objective_s)}"
    if gap_s > allowed_s > 0.0:
        failed = any(line.event == SEND_FAILED for line in lines)
        return "late: pause, worker failed" if failed else "late: pause"
    return ""


def find_lateness_reason(lines: Sequence[LogLine], objective_s: float) -> str:
    """Returns what delayed the first chunk of an answer."""
    failures = [
        line for line in lines if line.event in (SEND_FAILED, WORKER_FAILED)
    ]
    if failures:
        return "a worker failed first"
    judged = find_last(lines, JUDGED)
    first = find_last(lines, FIRST_EVENT)
    if judged is not None and judged.fields.get("kept") is None:
        at_larger_s = 0.0 if first is None else first.fields.get("worker_s", 0)
        if at_larger_s < LARGER_MODEL_MIN_SHARE * objective_s:
            return "the first answer came late, then a larger model's"
        return (
            f"a larger model began late{prediction_suffix(judged, at_larger_s)}"
        )
    return "the worker began late"


def prediction_suffix(judged: LogLine, took_s: float) -> str:
    """Returns a suffix if the larger model took over twice its prediction."""
    predicted_s = judged.fields.get("first_s") or 0.0
    return ", unforeseen" if took_s > 2 * predicted_s else ""


def find_doubt(lines: Sequence[LogLine]) -> str:
    """Returns why a low-confidence answer was kept, or an empty string."""
    judged = find_last(lines, JUDGED)
    if judged is None or judged.fields.get("kept") is None:
        return ""
    return f"doubtful, kept for {judged.fields['kept']}"


def group_by_route(ends: Iterable[RequestOutcome]) -> Iterator[RouteLosses]:
    """Yields the losses by route, the route with most requests first."""
    found: dict[str, list[RequestOutcome]] = collections.defaultdict(list)
    for end in ends:
        found[end.route].append(end)
    for route, group in sorted(found.items(), key=lambda item: -len(item[1])):
        headings = collections.Counter(
            end.heading for end in group if end.heading
        )
        firsts = [end.first_s for end in group if end.first_s is not None]
        median_s, most_s = median_and_p95(firsts)
        yield RouteLosses(
            route, len(group), dict(headings.most_common()), median_s, most_s
        )


def median_and_p95(samples: Sequence[float]) -> tuple[float, float]:
    """Returns the median and the 95th percentile; zeros without samples.

    >>> median_and_p95([1.0, 2.0, 3.0])[0]
    2.0
    """
    if len(samples) < 2:
        return (samples[0], samples[0]) if samples else (0.0, 0.0)
    parts = statistics.quantiles(samples, n=20, method="inclusive")
    return parts[9], parts[18]


def group_by_time(
    ends: Iterable[RequestOutcome], step_s: float
) -> Iterator[tuple[float, int, dict[str, int]]]:
    """Yields start, number of requests and headings of each time step.

    Starts are in seconds since the first request; steps without requests are
    left out.
    """
    timed = sorted(ends, key=lambda end: end.at)
    if not timed:
        return
    began = unix_seconds(timed[0].at)
    steps: dict[int, list[RequestOutcome]] = collections.defaultdict(list)
    for end in timed:
        steps[int((unix_seconds(end.at) - began) / step_s)].append(end)
    for step, group in sorted(steps.items()):
        headings = collections.Counter(
            end.heading for end in group if end.heading
        )
        yield step * step_s, len(group), dict(headings.most_common())


def unix_seconds(at: str) -> float:
    """Returns an ISO 8601 time in Unix seconds; 0 if it is invalid.

    >>> unix_seconds("1970-01-01T00:00:01.5Z")
    1.5
    """
    try:
        return datetime.datetime.fromisoformat(at).timestamp()
    except ValueError:
        return 0.0
