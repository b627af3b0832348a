"""Responses of the operator API."""

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
    """Outcome of an operator's change.

    Attributes:
      outcome: accepted, raced, not_accepted or undecided.
      change: Id of the change, for later queries.
      revision: Revision number of the change, or the one it was proposed for.
      reason: Why the change was not accepted or is undecided, or empty.
      in_force: Whether the change is in force on all members.
      waiting: Members that may still use an older revision.
      other: Change that was accepted first, if this one raced.
      over: Changes by others on top of which an edit was applied.
      braked: Version that was braked at once, or empty.
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
    """A change in the history, or one that preceded the reported change.

    Attributes:
      revision: Revision number.
      author: Author of the change.
      change: Id of the change.
      time: Time of the change, in seconds since the Unix epoch.
      diff: Unified diff from the preceding revision.
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
    """Returns the report on a change, without the change it raced with."""
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
    """Returns a report with the propagation progress of its revision."""
    reached = progress.revision >= report.revision
    return attrs.evolve(
        report,
        in_force=reached and progress.in_force,
        waiting=sorted(progress.waiting),
    )


def other_change(before: str, revision: Revision) -> OtherChange:
    """Returns the description of a revision, with its diff."""
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
    """Returns the JSON body of an error response."""
    return {"error": {"code": code, "message": message, "hint": hint}}
