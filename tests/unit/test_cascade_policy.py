"""The interface of a cascade's policy."""

import pytest

from rattanpier._internal.cascade.policy import (
    StepAnswer,
    Verdict,
    always_strong,
    fixed_threshold,
)
from tests.lib.builders import LARGE, SMALL, build_request


def everything(_version):
    return True


@pytest.mark.parametrize(
    ("confidence", "verdict", "at"),
    [
        (0.9, Verdict.ACCEPT, 0),
        (0.3, Verdict.GO_ON, 1),
        (None, Verdict.GO_ON, 1),
    ],
)
def test_threshold_decides(confidence, verdict, at):
    policy = fixed_threshold(0.6)
    walk = policy.begin(build_request(), [SMALL, LARGE], "r1")
    answer = StepAnswer("text", "stop", None, confidence)
    assert policy.judge(walk, answer, everything) is verdict
    assert walk.at == at


def test_goes_past_a_step_that_may_not_serve():
    policy = fixed_threshold(0.6)
    walk = policy.begin(build_request(), [SMALL, "mid@1", LARGE], "r1")
    answer = StepAnswer("text", "stop", None, 0.1)
    verdict = policy.judge(walk, answer, lambda name: name != "mid@1")
    assert verdict is Verdict.GO_ON
    assert walk.version == LARGE


def test_accepts_where_no_stronger_step_may_serve():
    policy = fixed_threshold(0.6)
    walk = policy.begin(build_request(), [SMALL, LARGE], "r1")
    answer = StepAnswer("text", "stop", None, 0.1)
    verdict = policy.judge(walk, answer, lambda name: name != LARGE)
    assert verdict is Verdict.ACCEPT
    assert walk.version == SMALL


def test_always_strong_starts_at_the_last_step():
    walk = always_strong().begin(build_request(), [SMALL, LARGE], "r1")
    assert walk.version == LARGE
    assert walk.is_last
