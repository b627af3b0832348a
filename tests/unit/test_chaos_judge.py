"""The chaos run's judge finds each kind of fault, and nothing else."""

import aiohttp
import pytest

from benchmarks.callers import Broken, Fate, Kind, Refused, Sent, prompt_of
from benchmarks.chaos_judge import (
    Findings,
    Period,
    Ran,
    Withdrawal,
    judge_one,
    judge_stops,
    judge_withdrawn,
)
from rattanpier._internal.standin.runs import RunFile
from rattanpier._internal.standin.streams import Run

KEY = "c-1"


def one_sent(**changes):
    fields = {"key": KEY, "idempotent": False, "stream": False}
    return Sent(**{**fields, "fate": Fate.WHOLE, "answers": ["a"], **changes})


def found_in(sent, ran, bills):
    findings = Findings()
    judge_one(findings, sent, ran, bills)
    return set(findings.found)


@pytest.fixture
def ran(tmp_path):
    path = tmp_path / "runs"
    RunFile(str(path)).add(Run("entry/inc/id1/1", "v@1", prompt_of(KEY)))
    found = Ran()
    found.add_file(path)
    return found


def refused(**changes):
    fields = {"request_id": "id2", "code": "x", "not_run": True, "status": 503}
    return Refused(**{**fields, "retry_after_s": 1.0, **changes})


@pytest.mark.parametrize(
    "changes, bills, finding",
    [
        ({}, 1, set()),
        ({"kind": Kind.ORDER}, 0, set()),
        ({"refusals": [refused()]}, 1, set()),
        ({"fate": Fate.UNKNOWN}, 0, set()),
        ({}, 0, {"answered, 0 bills"}),
        ({}, 2, {"answered, 2 bills"}),
        ({"fate": Fate.UNKNOWN}, 1, {"billed without a whole answer"}),
        ({"fate": Fate.LOST}, 0, {"lost"}),
        ({"late": True}, 1, {"answered only when asked again at the end"}),
        ({"wrong": 1}, 1, {"wrong answer"}),
        ({"answers": ["a", "b"]}, 1, {"doubled answer"}),
        ({"key": "c-2"}, 1, {"answered without a run"}),
        ({"refusals": [refused(request_id="id1")]}, 1, {"false not-run"}),
        (
            {"refusals": [refused(retry_after_s=0.0)]},
            1,
            {"503 without Retry-After"},
        ),
    ],
)
def test_judge_one(ran, changes, bills, finding):
    assert found_in(one_sent(**changes), ran, bills) == finding


def test_doubled_run(ran):
    ran.prompts[prompt_of(KEY)] += 1
    assert found_in(one_sent(), ran, 1) == {"doubled run"}
    assert found_in(one_sent(idempotent=True), ran, 1) == set()


@pytest.mark.parametrize(
    "url, time, error, cut",
    [
        ("u", 5.0, aiohttp.ServerDisconnectedError(), True),
        ("u", 5.0, aiohttp.ClientPayloadError(), True),
        ("u", 9.0, aiohttp.ClientPayloadError(), False),
        ("w", 5.0, aiohttp.ClientPayloadError(), False),
        ("u", 5.0, TimeoutError(), False),
    ],
)
def test_planned_stop(url, time, error, cut):
    findings = Findings()
    sent = one_sent(broken=[Broken(url, time, 1.0, error)])
    judge_stops(findings, sent, [Period("u", 4.0, 6.0)])
    assert bool(findings.found) == cut


def test_run_after_in_force(ran):
    started = ran.runs[0]["started"]
    for version, time, bad in [
        ("v@1", started - 1, True),
        ("v@1", started + 1, False),
        ("v@2", started - 1, False),
    ]:
        findings = Findings()
        judge_withdrawn(findings, ran, [Withdrawal(version, time)])
        assert bool(findings.found) == bad
