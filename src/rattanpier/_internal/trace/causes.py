"""Determines from log lines why a request ended as it did."""

from __future__ import annotations

import bisect
import collections
from collections.abc import Callable, Iterable, Iterator, Sequence

import attrs

from rattanpier._internal.trace.log_lines import LogLine
from rattanpier._internal.trace.rollout_steps import RolloutHistory
from rattanpier._internal.trace.table_versions import (
    TABLE_IN_FORCE,
    TableHistory,
)

SENT = "dispatch: Sent."
SEND_FAILED = "dispatch: Send failed."
FORWARDED = "forwarding: Forwarded."
FORWARDING_FAILED = "forwarding: Forwarding failed."
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
      code: Stable name to group causes by.
      sentence: Explanation for people.
      failed: Whether the caller got no complete answer from a worker.
    """

    code: str
    sentence: str
    failed: bool


@attrs.define
class Timeline:
    """Process starts, planned stops and store restorations of all VMs.

    Attributes:
      eras: When the store was restored from an older copy, by the era that
        began then. The earliest line of any VM counts.
      started: Sorted start times by node.
      stopping: Sorted times of planned stops by node.
      tables: Changes of the routes.
      rollouts: Steps of roll-outs.
    """

    eras: dict[int, str] = attrs.Factory(dict)
    started: dict[str, list[str]] = attrs.Factory(
        lambda: collections.defaultdict(list)
    )
    stopping: dict[str, list[str]] = attrs.Factory(
        lambda: collections.defaultdict(list)
    )

    tables: TableHistory = attrs.Factory(TableHistory)
    rollouts: RolloutHistory = attrs.Factory(RolloutHistory)

    def record(self, line: LogLine) -> None:
        """Records a log line; lines of other events are ignored."""
        if line.event == STARTED:
            bisect.insort(self.started[line.node], line.at)
        elif line.event == STOPPING:
            bisect.insort(self.stopping[line.node], line.at)
        elif line.event == STORE_RESTORED:
            era = int(line.fields.get("era", 0))
            self.eras[era] = min(line.at, self.eras.get(era, line.at))
        elif line.event == TABLE_IN_FORCE:
            self.tables.record(line)
        else:
            self.rollouts.record(line)

    def describe_eras(self) -> list[str]:
        """Returns one sentence for each restoration of the store."""
        return [
            f"The store came back from an older copy at {at} (era {era}): what "
            "was written to it just before was lost until it was written again."
            for era, at in sorted(self.eras.items())
        ]

    def next_start(self, node: str, at: str) -> str:
        """Returns the first start of a node after a time, empty if none."""
        times = self.started[node]
        index = bisect.bisect_right(times, at)
        return times[index] if index < len(times) else ""

    def was_planned(self, node: str, until: str) -> bool:
        """Returns whether a planned stop preceded the start at `until`.

        Stops before the previous start of the node do not count.
        """
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
    """Returns the log lines by request id, each list sorted by time.

    Every line is also recorded in the timeline.
    """
    found: dict[str, list[LogLine]] = collections.defaultdict(list)
    for line in lines:
        timeline.record(line)
        if line.request:
            found[line.request].append(line)
    for request_lines in found.values():
        request_lines.sort(key=lambda line: line.at)
    return found


def find_cause(lines: Sequence[LogLine], timeline: Timeline) -> Cause:
    """Returns why a request ended as it did.

    Args:
      lines: All log lines of the request, sorted by time; at least one.
      timeline: Starts and stops of all VMs.
    """
    for line in reversed(lines):
        classify = END_CLASSIFIERS.get(line.event)
        if classify is not None:
            return classify(line, lines)
    return unfinished_cause(lines[-1], timeline)


def caller_left_cause(line: LogLine, lines: Sequence[LogLine]) -> Cause:
    """Returns the cause for a caller that disconnected."""
    return Cause(
        "caller left",
        f"The caller left after {line.fields.get('total_s')} s; "
        f"{list_sends(lines)}.",
        True,
    )


def refusal_cause(line: LogLine, lines: Sequence[LogLine]) -> Cause:
    """Returns the cause for a refused request."""
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
    """Returns the conditions that excluded all workers, from a reason.

    The result is empty if the reason names none.

    >>> parse_conditions("no worker takes work: resting 2, tried 1")
    'resting, tried'
    """
    _, matched, counts = reason.partition(NO_WORKER_PREFIX)
    names = (each.split(" ")[0] for each in counts.split(", "))
    return ", ".join(names) if matched else ""


def answer_cause(line: LogLine, lines: Sequence[LogLine]) -> Cause:
    """Returns the cause for an answer, which may report a worker failure."""
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


# Maps events that end a request to the functions that classify them.
END_CLASSIFIERS: dict[str, Callable[[LogLine, Sequence[LogLine]], Cause]] = {
    "edge: Refused.": refusal_cause,
    "edge: Answered.": answer_cause,
    "edge: Caller left.": caller_left_cause,
}


def unfinished_cause(last: LogLine, timeline: Timeline) -> Cause:
    """Returns the cause for a request whose end was not logged."""
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
    """Returns a phrase that lists the workers and their failures."""
    parts = list(iter_send_phrases(lines))
    return ", then ".join(parts) if parts else "it was sent to no worker"


def forward_phrase(line: LogLine, later: Sequence[LogLine]) -> str:
    """Returns a phrase for a request that one entry forwarded to another.

    Args:
      line: Line that tells that it was forwarded.
      later: Lines of the same request after it.
    """
    entry = line.fields.get("entry")
    service = line.fields.get("service")
    why = f"its part of the brittle workers of {service} was in use"
    if line.fields.get("unreachable"):
        why = f"it reached no worker of {service}"
    phrase = f"forwarded by {line.node} to {entry} ({why})"
    failure = next(
        (
            each
            for each in later
            if each.event == FORWARDING_FAILED
            and each.fields.get("entry") == entry
        ),
        None,
    )
    if failure is None:
        return phrase
    return f"{phrase}, which failed ({failure.fields.get('reason')})"


def iter_send_phrases(lines: Sequence[LogLine]) -> Iterator[str]:
    """Yields a phrase for each time the request was sent to a worker."""
    for index, line in enumerate(lines):
        if line.event == FORWARDED:
            yield forward_phrase(line, lines[index + 1 :])
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
