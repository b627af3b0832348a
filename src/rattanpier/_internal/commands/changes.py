"""Submits configuration changes and reports their outcome."""

from __future__ import annotations

import time
import uuid
from collections.abc import Callable, Iterator
from typing import Any

import attrs
from rich.console import Console, RenderableType
from rich.syntax import Syntax

from rattanpier._internal.commands.api import Api, UnreachableError
from rattanpier._internal.commands.result import ExitCode, Result

POLL_TIMEOUT_S = 30.0  # Limit for polling an undecided change.
POLL_INTERVAL_S = 1.0
UNDECIDED = "undecided"
EXIT_CODES = {
    "raced": ExitCode.RACED,
    "not_accepted": ExitCode.NOT_ACCEPTED,
    UNDECIDED: ExitCode.UNKNOWN,
}

progress = Console(stderr=True)


def new_id() -> str:
    """Returns a change id.

    The prefix keeps the command line from parsing an id as a number.
    """
    return f"change-{uuid.uuid4().hex}"


@attrs.frozen
class Change:
    """A change with a unique id, by which its outcome can be queried.

    Attributes:
      api: Client that sends the change.
      path: Path of the request.
      data: Body of the request.
      query: Query parameters of the request.
      revision: Requested revision, or None if the server assigns it.
      change: Id of the change.
    """

    api: Api
    path: str
    data: str = ""
    query: dict[str, str] = attrs.Factory(dict)
    revision: int | None = None
    change: str = attrs.Factory(new_id)


def submit_change(change: Change, action: str) -> Result:
    """Sends a change and polls its outcome while it is undecided.

    A change is never sent twice: if the response is lost, the outcome is
    queried by the id of the change.
    """
    with progress.status(f"{action}; waiting until it is in force everywhere"):
        report = send_change(change)
        if report["outcome"] == UNDECIDED:
            report = poll_outcome(
                change, report, POLL_TIMEOUT_S, time.monotonic
            )
    return show_report(report, action)


def send_change(change: Change) -> dict[str, Any]:
    """Returns the report on a change; undecided if the response was lost."""
    try:
        return change.api.post(
            change.path,
            change.data,
            {"X-Change-Id": change.change},
            **change.query,
        )
    except UnreachableError as error:
        return {
            "outcome": UNDECIDED,
            "change": change.change,
            "revision": change.revision or 0,
            "reason": error.message,
        }


def poll_outcome(
    change: Change,
    report: dict[str, Any],
    limit_s: float,
    clock: Callable[[], float],
) -> dict[str, Any]:
    """Polls the outcome of a change until it is decided or `limit_s` passed.

    Without a revision number the outcome cannot be queried, and the report
    is returned unchanged.
    """
    if not report["revision"]:
        return report
    end = clock() + limit_s
    while report["outcome"] == UNDECIDED and clock() < end:
        time.sleep(POLL_INTERVAL_S)
        try:
            report = fetch_outcome(
                change.api, change.change, report["revision"]
            )
        except UnreachableError:
            continue
    return report


def fetch_outcome(api: Api, change: str, revision: int) -> dict[str, Any]:
    """Returns the report on the outcome of a change."""
    return api.get(f"changes/{change}", revision=str(revision))


def show_report(report: dict[str, Any], action: str) -> Result:
    """Returns the command result for the report on a change."""
    shown = list(describe(report, action))
    if report["outcome"] != "accepted":
        return Result(report, shown, EXIT_CODES[report["outcome"]])
    code = ExitCode.DONE if report["in_force"] else ExitCode.NOT_YET_IN_FORCE
    return Result(report, shown, code)


def describe(report: dict[str, Any], action: str) -> Iterator[RenderableType]:
    """Yields the human-readable description of the outcome of a change."""
    if report.get("braked"):
        yield f"{report['braked']!r} gets no new work as of now."
    for over in report.get("over") or []:
        yield f"Put on top of revision {over['revision']} by {over['author']}."
    match report["outcome"]:
        case "accepted":
            yield f"{action}: accepted as revision {report['revision']}."
            yield from describe_force(report)
        case "raced":
            yield from describe_race(report, action)
        case "not_accepted":
            yield f"{action}: not accepted. {report['reason']}"
        case _:
            yield f"{action}: unknown. {report['reason']}"
            yield (
                f"Ask again: rattanpier config outcome {report['change']} "
                f"--revision {report['revision']}"
            )


def describe_force(report: dict[str, Any]) -> Iterator[str]:
    """Yields a line on whether an accepted change is in force everywhere."""
    if report["in_force"]:
        yield "In force everywhere."
        return
    waiting = ", ".join(report["waiting"]) or "the control process itself"
    yield f"Not yet known to be in force at: {waiting}."


def describe_race(
    report: dict[str, Any], action: str
) -> Iterator[RenderableType]:
    """Yields the author and the diff of the change that came first."""
    other = report["other"]
    yield f"{action}: not done; another change came first."
    if other:
        yield f"Revision {other['revision']} by {other['author']} changed:"
        yield Syntax(other["diff"], "diff", background_color="default")
    yield "Look at it (rattanpier config show) and decide anew."
