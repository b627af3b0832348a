"""Carries a change to an outcome, and says what became of it."""

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

POLL_TIMEOUT_S = 30.0  # How long an undecided change is asked about.
POLL_INTERVAL_S = 1.0
UNDECIDED = "undecided"
EXIT_CODES = {
    "raced": ExitCode.RACED,
    "not_accepted": ExitCode.NOT_ACCEPTED,
    UNDECIDED: ExitCode.UNKNOWN,
}

progress = Console(stderr=True)


def new_id() -> str:
    """Returns an id that no command line takes for a number."""
    return f"change-{uuid.uuid4().hex}"


@attrs.frozen
class Change:
    """A change under its own id, so that it can be asked about.

    Attributes:
      api: Where it is sent.
      path: Path of the call.
      data: Body of the call.
      query: Query of the call.
      revision: Number it is to have, or None where the server finds one.
      change: Its id.
    """

    api: Api
    path: str
    data: str = ""
    query: dict[str, str] = attrs.Factory(dict)
    revision: int | None = None
    change: str = attrs.Factory(new_id)


def submit_change(change: Change, action: str) -> Result:
    """Sends a change, and asks again for as long as it is undecided.

    A change is never sent twice: a lost answer is asked for by the id.
    """
    with progress.status(f"{action}; waiting until it is in force everywhere"):
        report = send_change(change)
        if report["outcome"] == UNDECIDED:
            report = poll_outcome(
                change, report, POLL_TIMEOUT_S, time.monotonic
            )
    return show_report(report, action)


def send_change(change: Change) -> dict[str, Any]:
    """Returns the report on a change; undecided if the answer was lost."""
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
    """Asks what became of a change until it is decided or time is up."""
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
    """Returns what became of a change."""
    return api.get(f"changes/{change}", revision=str(revision))


def show_report(report: dict[str, Any], action: str) -> Result:
    """Returns the result for a report: what became of a change."""
    shown = list(describe(report, action))
    if report["outcome"] != "accepted":
        return Result(report, shown, EXIT_CODES[report["outcome"]])
    code = ExitCode.DONE if report["in_force"] else ExitCode.NOT_YET_IN_FORCE
    return Result(report, shown, code)


def describe(report: dict[str, Any], action: str) -> Iterator[RenderableType]:
    """Yields the sentences that tell people what became of a change."""
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
    """Yields whether an accepted change is in force everywhere."""
    if report["in_force"]:
        yield "In force everywhere."
        return
    waiting = ", ".join(report["waiting"]) or "the control process itself"
    yield f"Not yet known to be in force at: {waiting}."


def describe_race(
    report: dict[str, Any], action: str
) -> Iterator[RenderableType]:
    """Yields whose change came first, and what it changed."""
    other = report["other"]
    yield f"{action}: not done; another change came first."
    if other:
        yield f"Revision {other['revision']} by {other['author']} changed:"
        yield Syntax(other["diff"], "diff", background_color="default")
    yield "Look at it (rattanpier config show) and decide anew."
