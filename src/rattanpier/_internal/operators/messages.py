"""What the operators' interface answers."""

from __future__ import annotations

import difflib
from typing import Any

import attrs

from rattanpier._internal.configuration.progress import Progress
from rattanpier._internal.configuration.store import (
    Accepted,
    ChangeOutcome,
    Fenced,
    NotAccepted,
    Raced,
    Revision,
    Undecided,
)


@attrs.frozen
class ChangeReport:
    """What became of an operator's change.

    Attributes:
      outcome: accepted, raced, not_accepted or undecided.
      change: Id of the change, to ask again.
      revision: Number that the change has, or was to have.
      reason: Why it was not accepted, or empty.
      in_force: Whether it is in force everywhere.
      waiting: Members that may still work by an older revision.
      other: The change that came first, if it raced.
      over: Changes of others that an edit was put on top of.
      braked: Version that was stopped at once, or empty.
    """

    outcome: str
    change: str
    revision: int
    reason: str = ""
    in_force: bool = False
    waiting: list[str] = attrs.Factory(list)
    other: OtherChange | None = None
    over: list[OtherChange] = attrs.Factory(list)
    braked: str = ""


@attrs.frozen
class OtherChange:
    """Somebody else's change.

    Attributes:
      revision: Its number.
      author: Who made it.
      change: Its id.
      time: Seconds since the epoch.
      diff: What it changed, as a unified diff.
    """

    revision: int
    author: str
    change: str
    time: float
    diff: str


HTTP_STATUS = {
    "accepted": 200,
    "undecided": 202,
    "raced": 409,
    "not_accepted": 503,
}


def report_of(outcome: ChangeOutcome, revision: Revision) -> ChangeReport:
    """Returns the report on a change; what it raced with is added later."""
    report = ChangeReport("accepted", revision.change, revision.revision)
    match outcome:
        case Accepted():
            return report
        case Raced():
            return attrs.evolve(report, outcome="raced")
        case Fenced():
            reason = "Another write came first; nothing was changed."
        case NotAccepted(reason):
            pass
        case Undecided():
            return attrs.evolve(
                report,
                outcome="undecided",
                reason="The store lost the answer; ask again by change id.",
            )
    return attrs.evolve(report, outcome="not_accepted", reason=reason)


def with_progress(report: ChangeReport, progress: Progress) -> ChangeReport:
    """Adds how far an accepted revision has come."""
    reached = progress.revision >= report.revision
    return attrs.evolve(
        report,
        in_force=reached and progress.in_force,
        waiting=sorted(progress.waiting),
    )


def other_change(before: str, revision: Revision) -> OtherChange:
    """Returns somebody else's change with its diff."""
    lines = difflib.unified_diff(
        before.splitlines(),
        revision.text.splitlines(),
        f"revision {revision.revision - 1}",
        f"revision {revision.revision}",
        lineterm="",
    )
    return OtherChange(
        revision.revision,
        revision.author,
        revision.change,
        revision.time,
        "\n".join(lines),
    )


def error_body(code: str, message: str, hint: str = "") -> dict[str, Any]:
    """Returns the JSON body of an error."""
    return {"error": {"code": code, "message": message, "hint": hint}}
