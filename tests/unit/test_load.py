"""The load generator detects wrong answers and reports them as faults."""

import attrs
import pytest

from rattanpier._internal.load.arrivals import (
    Arrival,
    LoadProfile,
    plan_arrivals,
)
from rattanpier._internal.load.caller import CallResult, is_expected_text
from rattanpier._internal.load.report import Report, percentiles, record
from rattanpier._internal.load.run import Load
from rattanpier._internal.standin.texts import answer_words

PROFILE = LoadProfile(["a", "b", "c"], rate=100.0, seconds=20.0, max_tokens=8)
ARRIVAL = Arrival(0.0, 0, "a", "p", False, "s", True)
EXPECTED = "".join(answer_words("small@1", "p", 8, True))
WRONG = {
    "cut": EXPECTED[:-3],
    "another prompt": "".join(answer_words("small@1", "q", 8, True)),
    "another version": "".join(answer_words("large@1", "p", 8, True)),
    "doubled": EXPECTED * 2,
    "empty": "",
}


def test_plan_is_reproducible_and_workspace_sizes_are_skewed():
    arrivals = list(plan_arrivals(PROFILE))
    assert arrivals == list(plan_arrivals(PROFILE))
    assert arrivals != list(plan_arrivals(attrs.evolve(PROFILE, seed=2)))
    sizes = [sum(one.workspace_key == key for one in arrivals) for key in "abc"]
    assert sizes[0] > 1.5 * sizes[1] > 1.5 * sizes[2]
    assert len({one.prompt for one in arrivals}) == len(arrivals)
    assert {one.stream for one in arrivals} == {True, False}
    assert any(one.session for one in arrivals)
    assert any(one.repeats for one in arrivals)


@pytest.mark.parametrize("fault", WRONG)
def test_wrong_text_is_not_accepted(fault):
    result = CallResult(200, version="small@1", text=WRONG[fault])
    assert not is_expected_text(result, "p", 8)
    assert is_expected_text(attrs.evolve(result, text=EXPECTED), "p", 8)


@attrs.define
class FakeCaller:
    results: list

    async def ask(self, _arrival):
        return self.results.pop(0)


def answer(**changes):
    fields = {"version": "small@1", "text": EXPECTED, "attempts": 1}
    return CallResult(200, **{**fields, **changes})


async def counts(*results):
    load = Load(PROFILE, FakeCaller(list(results)), Report())
    await load.run_request(ARRIVAL)
    return load.report


async def test_different_answer_to_a_repeated_request_is_a_fault():
    report = await counts(answer(), answer())
    assert (report.faults, report.counts["whole"]) == (0, 1)
    report = await counts(answer(), answer(text=WRONG["another prompt"]))
    assert report.counts["repeat_differs"] == report.faults == 1


async def test_unannounced_version_change_of_a_session_is_a_fault():
    told = answer(pinned="old@1", version_lost="old@1")
    report = await counts(told, answer())
    assert (report.faults, report.counts["session_told"]) == (0, 1)
    report = await counts(answer(pinned="old@1"), answer())
    assert report.counts["session_moved"] == report.faults == 1


def test_percentiles_are_reported_in_milliseconds():
    report = Report()
    assert percentiles(report.whole) == {}
    for milliseconds in range(1, 101):
        record(report.whole, milliseconds / 1000)
    found = percentiles(report.whole)
    assert found["p50"] == pytest.approx(50, rel=0.01)
    assert found["p100"] == pytest.approx(100, rel=0.01)
