"""Tests of change outcomes.

Each outcome has its own exit code, and a change is never sent twice.
"""

import attrs
import pytest

from rattanpier._internal.commands import changes
from rattanpier._internal.commands.api import UnreachableError
from rattanpier._internal.commands.changes import Change, submit_change
from rattanpier._internal.commands.result import ExitCode


def report(outcome, **more):
    return {
        "outcome": outcome,
        "change": "c1",
        "revision": 2,
        "reason": "why",
        "in_force": outcome == "accepted",
        "waiting": [],
        "other": None,
        **more,
    }


@attrs.define
class FakeApi:
    """Returns the given answers in order; raises those that are exceptions."""

    answers: list
    posts: list = attrs.Factory(list)
    polls: list = attrs.Factory(list)

    def post(self, path, data="", headers=None, **query):
        self.posts.append(headers["X-Change-Id"])
        return self.next_answer()

    def get(self, path, **query):
        self.polls.append((path, query["revision"]))
        return self.next_answer()

    def next_answer(self):
        answer = self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer


@pytest.fixture(autouse=True)
def no_poll_interval(monkeypatch):
    monkeypatch.setattr(changes, "POLL_INTERVAL_S", 0.0)


def submit(answers, revision=2):
    api = FakeApi(answers)
    change = Change(api, "config", "text", {}, revision, "c1")
    return api, submit_change(change, "Apply x")


@pytest.mark.parametrize(
    ("answer", "code", "words"),
    [
        (report("accepted"), ExitCode.DONE, "accepted as revision 2"),
        (
            report("accepted", in_force=False, waiting=["entry-3"]),
            ExitCode.NOT_YET_IN_FORCE,
            "Not yet known to be in force at: entry-3",
        ),
        (report("raced"), ExitCode.RACED, "another change came first"),
        (report("not_accepted"), ExitCode.NOT_ACCEPTED, "not accepted. why"),
    ],
)
def test_each_outcome_has_its_exit_code_and_message(answer, code, words):
    api, result = submit([answer])
    assert result.code is code
    assert words in "\n".join(map(str, result.shown))
    assert len(api.posts) == 1


def test_lost_response_is_polled_and_change_not_resent():
    lost = UnreachableError("connection reset")
    api, result = submit([lost, lost, report("accepted")])
    assert result.code is ExitCode.DONE
    assert api.posts == ["c1"]
    assert api.polls == [("changes/c1", "2")] * 2


def test_undecided_change_is_polled():
    api, result = submit([report("undecided"), report("raced")])
    assert result.code is ExitCode.RACED
    assert api.posts == ["c1"]


def test_change_undecided_after_timeout_is_unknown(monkeypatch):
    monkeypatch.setattr(changes, "POLL_TIMEOUT_S", 0.0)
    _, result = submit([report("undecided")])
    assert result.code is ExitCode.UNKNOWN
    shown = "\n".join(map(str, result.shown))
    assert "rattanpier config outcome c1 --revision 2" in shown


def test_lost_response_without_revision_is_unknown():
    api, result = submit([UnreachableError("connection reset")], revision=None)
    assert result.code is ExitCode.UNKNOWN
    assert api.polls == []
