"""Fixed-threshold and always-strong cascade policies."""

import pytest

from rattanpier._internal.cascade.policy import (
    StepAnswer,
    Verdict,
    always_strong,
    fixed_threshold,
)
from tests.lib.builders import LARGE, SMALL, build_request


def any_version(_version):
    return True


@pytest.mark.parametrize(
    ("confidence", "verdict", "at"),
    [
        (0.9, Verdict.ACCEPT, 0),
        (0.3, Verdict.ESCALATE, 1),
        (None, Verdict.ESCALATE, 1),
    ],
)
def test_threshold_accepts_or_escalates(confidence, verdict, at):
    policy = fixed_threshold(0.6)
    progress = policy.begin(build_request(), [SMALL, LARGE], "r1")
    answer = StepAnswer("text", "stop", None, confidence)
    assert policy.evaluate(progress, answer, any_version) is verdict
    assert progress.step == at


def test_escalation_skips_a_version_that_may_not_serve():
    policy = fixed_threshold(0.6)
    progress = policy.begin(build_request(), [SMALL, "mid@1", LARGE], "r1")
    answer = StepAnswer("text", "stop", None, 0.1)
    verdict = policy.evaluate(progress, answer, lambda name: name != "mid@1")
    assert verdict is Verdict.ESCALATE
    assert progress.version == LARGE


def test_accepts_if_no_stronger_version_may_serve():
    policy = fixed_threshold(0.6)
    progress = policy.begin(build_request(), [SMALL, LARGE], "r1")
    answer = StepAnswer("text", "stop", None, 0.1)
    verdict = policy.evaluate(progress, answer, lambda name: name != LARGE)
    assert verdict is Verdict.ACCEPT
    assert progress.version == SMALL


def test_always_strong_starts_at_the_last_step():
    progress = always_strong().begin(build_request(), [SMALL, LARGE], "r1")
    assert progress.version == LARGE
    assert progress.is_last
