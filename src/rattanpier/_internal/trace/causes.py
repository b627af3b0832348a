"""What decided a request's end, found from its log lines."""

from __future__ import annotations

import bisect
import collections
from collections.abc import Callable, Iterable, Iterator, Sequence

import attrs

from rattanpier._internal.trace.log_lines import LogLine

SENT = "dispatch: Sent."
SEND_FAILED = "dispatch: Send failed."
WORKER_FAILED = "dispatch: Worker failed."
STARTED = "main: Started."
STOPPING = "main: Stopping."
STORE_RESTORED = "store: Store came back from an older copy."
MIN_FAILURE_STATUS = 500
NO_WORKER_PREFIX = "no worker takes work: "


@attrs.frozen
class Cause:
    """Why a request ended as it did.

    Attributes:
      code: Stable name, to count by.
      sentence: For people.
      failed: The caller got no whole answer of a worker.
    """

    code: str
    sentence: str
    failed: bool


@attrs.define
class Timeline:
    """When VMs' processes started and were told to stop, and more.

    Attributes:
      eras: When the store came back from an older copy, by the era that began
        then: the first line of any VM that says so.
      started: Sorted times by node.
      stopping: The same of planned stops.
    """

    eras: dict[int, str] = attrs.Factory(dict)
    started: dict[str, list[str]] = attrs.Factory(
        lambda: collections.defaultdict(list)
    )
    stopping: dict[str, list[str]] = attrs.Factory(
        lambda: collections.defaultdict(list)
    )

    def record(self, line: LogLine) -> None:
        """Takes a line in, whatever it says."""
        if line.event == STARTED:
            bisect.insort(self.started[line.node], line.at)
        elif line.event == STOPPING:
            bisect.insort(self.stopping[line.node], line.at)
        elif line.event == STORE_RESTORED:
            era = int(line.fields.get("era", 0))
            self.eras[era] = min(line.at, self.eras.get(era, line.at))

    def describe_eras(self) -> list[str]:
        """Returns a sentence for each return of the store from a copy."""
        return [
            f"The store came back from an older copy at {at} (era {era}): what "
            "was written to it just before was lost until it was written again."
            for era, at in sorted(self.eras.items())
        ]

    def next_start(self, node: str, at: str) -> str:
        """Returns when a node started next after a time, or nothing."""
        times = self.started[node]
        index = bisect.bisect_right(times, at)
        return times[index] if index < len(times) else ""

    def was_planned(self, node: str, until: str) -> bool:
        """Says whether the last stop before a start was a planned one."""
        stops = self.stopping[node]
        index = bisect.bisect_right(stops, until)
        if index == 0:
            return False
        start_index = bisect.bisect_left(self.started[node], until)
        before = self.started[node][start_index - 1] if start_index else ""
        return stops[index - 1] > before


def group_by_request(
    lines: Iterable[LogLine], timeline: Timeline
) -> dict[str, list[LogLine]]:
    """Returns the lines of each request in the order of their times."""
    found: dict[str, list[LogLine]] = collections.defaultdict(list)
    for line in lines:
        timeline.record(line)
        if line.request:
            found[line.request].append(line)
    for request_lines in found.values():
        request_lines.sort(key=lambda line: line.at)
    return found


def find_cause(lines: Sequence[LogLine], timeline: Timeline) -> Cause:
    """Returns what decided a request's end.

    Args:
      lines: All of the request, in order; at least one.
      timeline: Of all VMs.
    """
    for line in reversed(lines):
        classify = END_CLASSIFIERS.get(line.event)
        if classify is not None:
            return classify(line, lines)
    return unfinished_cause(lines[-1], timeline)


def caller_left_cause(line: LogLine, lines: Sequence[LogLine]) -> Cause:
    """Returns the cause where the caller did not wait."""
    return Cause(
        "caller left",
        f"The caller left after {line.fields.get('total_s')} s; "
        f"{list_sends(lines)}.",
        True,
    )


def refusal_cause(line: LogLine, lines: Sequence[LogLine]) -> Cause:
    """Returns the cause of a refusal."""
    code = str(line.fields.get("code"))
    conditions = parse_conditions(str(line.fields.get("reason")))
    ran = "has not run" if line.fields.get("not_run") else "may have run"
    return Cause(
        f"refused: {code}" + (f", {conditions}" if conditions else ""),
        f"Refused with {line.fields.get('status')} ({code}), since "
        f"{line.fields.get('reason')!r}; it {ran}; {list_sends(lines)}.",
        True,
    )


def parse_conditions(reason: str) -> str:
    """Returns the conditions that left no worker, as a refusal tells them.

    >>> parse_conditions("no worker takes work: resting 2, tried 1")
    'resting, tried'
    """
    _, matched, counts = reason.partition(NO_WORKER_PREFIX)
    names = (each.split(" ")[0] for each in counts.split(", "))
    return ", ".join(names) if matched else ""


def answer_cause(line: LogLine, lines: Sequence[LogLine]) -> Cause:
    """Returns the cause of an answer, which may be a worker's failure."""
    outcome = str(line.fields.get("outcome"))
    took = f"after {line.fields.get('total_s')} s"
    if outcome.startswith("cut"):
        return Cause(
            "cut",
            f"The answer broke off {took} ({outcome}); {list_sends(lines)}.",
            True,
        )
    if outcome.isdecimal() and int(outcome) >= MIN_FAILURE_STATUS:
        workers = [each for each in lines if each.event == WORKER_FAILED]
        return Cause(
            "worker failed",
            f"{len(workers)} workers ran it and failed, the last with "
            f"{outcome}; {list_sends(lines)}.",
            True,
        )
    return Cause(
        "answered",
        f"Answered {took} ({outcome}); {list_sends(lines)}.",
        False,
    )


# The lines that tell a request's end.
END_CLASSIFIERS: dict[str, Callable[[LogLine, Sequence[LogLine]], Cause]] = {
    "edge: Refused.": refusal_cause,
    "edge: Answered.": answer_cause,
    "edge: Caller left.": caller_left_cause,
}


def unfinished_cause(last: LogLine, timeline: Timeline) -> Cause:
    """Returns the cause where no line tells the end."""
    start = timeline.next_start(last.node, last.at)
    if not start:
        return Cause(
            "no end",
            f"No line of {last.node} tells its end, nor that it started anew: "
            "the lines end here, were dropped, or it still runs.",
            True,
        )
    if timeline.was_planned(last.node, start):
        return Cause(
            "cut by a planned stop",
            f"{last.node} was told to stop and ended before the answer did.",
            True,
        )
    return Cause(
        "process ended",
        f"The process on {last.node} ended without a planned stop (killed, or "
        f"its VM lost power); it started anew at {start}.",
        True,
    )


def list_sends(lines: Sequence[LogLine]) -> str:
    """Returns in words to whom a request was sent and what failed."""
    parts = list(iter_send_phrases(lines))
    return ", then ".join(parts) if parts else "it was sent to no worker"


def iter_send_phrases(lines: Sequence[LogLine]) -> Iterator[str]:
    """Yields a phrase for each send."""
    for index, line in enumerate(lines):
        if line.event != SENT:
            continue
        worker = line.fields.get("worker")
        model = line.fields.get("model")
        named = f"{worker} ({model})" if model else str(worker)
        left_out = line.fields.get("left_out")
        if left_out:
            counts = (f"{count} {name}" for name, count in left_out.items())
            named += f" (left out: {', '.join(counts)})"
        failure = next(
            (
                each
                for each in lines[index + 1 :]
                if each.fields.get("worker") == worker
                and each.event in (SEND_FAILED, WORKER_FAILED)
            ),
            None,
        )
        if failure is None:
            yield f"sent to {named}"
        else:
            why = failure.fields.get("reason") or failure.fields.get("status")
            yield f"sent to {named}, which failed ({why})"
