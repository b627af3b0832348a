"""What became of a change: told apart, and never sent twice."""

import attrs
import pytest

from rattanpier._internal.commands import changes
from rattanpier._internal.commands.api import UnreachableError
from rattanpier._internal.commands.changes import Change, carry_out
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
    """Answers in the given order; an exception is raised."""

    answers: list
    posts: list = attrs.Factory(list)
    asks: list = attrs.Factory(list)

    def post(self, path, data="", headers=None, **query):
        self.posts.append(headers["X-Change-Id"])
        return self.next_answer()

    def get(self, path, **query):
        self.asks.append((path, query["revision"]))
        return self.next_answer()

    def next_answer(self):
        answer = self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer


@pytest.fixture(autouse=True)
def no_pause(monkeypatch):
    monkeypatch.setattr(changes, "ASK_PAUSE_S", 0.0)


def carry(answers, revision=2):
    api = FakeApi(answers)
    change = Change(api, "config", "text", {}, revision, "c1")
    return api, carry_out(change, "Apply x")


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
def test_each_outcome_has_its_code_and_sentence(answer, code, words):
    api, result = carry([answer])
    assert result.code is code
    assert words in "\n".join(map(str, result.shown))
    assert len(api.posts) == 1


def test_a_lost_answer_is_asked_for_and_not_sent_again():
    lost = UnreachableError("connection reset")
    api, result = carry([lost, lost, report("accepted")])
    assert result.code is ExitCode.DONE
    assert api.posts == ["c1"]
    assert api.asks == [("changes/c1", "2")] * 2


def test_an_undecided_change_is_asked_about():
    api, result = carry([report("undecided"), report("raced")])
    assert result.code is ExitCode.RACED
    assert api.posts == ["c1"]


def test_what_stays_undecided_is_unknown(monkeypatch):
    monkeypatch.setattr(changes, "ASK_AGAIN_S", 0.0)
    _, result = carry([report("undecided")])
    assert result.code is ExitCode.UNKNOWN
    shown = "\n".join(map(str, result.shown))
    assert "rattanpier config outcome c1 --revision 2" in shown


def test_a_lost_answer_without_a_number_is_unknown():
    api, result = carry([UnreachableError("connection reset")], revision=None)
    assert result.code is ExitCode.UNKNOWN
    assert api.asks == []
