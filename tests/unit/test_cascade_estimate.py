"""Estimate of a cascade that operators see."""

from rattanpier._internal.cascade.estimate import estimate_cascade
from tests.lib.builders import LARGE, SMALL, build_request
from tests.lib.cascades import (
    CHAT,
    LEGAL,
    STEPS,
    CascadeHarness,
    small_fails_legal,
)


async def test_shows_the_step_that_requests_start_at():
    harness = CascadeHarness(small_fails_legal)
    await harness.run(1500)
    for task, version in ((CHAT, SMALL), (LEGAL, LARGE)):
        request = build_request(labels={"task": task}, prompt_tokens=100)
        shown = estimate_cascade(harness.learner, request, STEPS)
        assert [s.version for s in shown.starts if s.chosen] == [version]
        assert shown.starts[0].cost < shown.starts[1].cost or task == LEGAL
        assert shown.ratings > 0


def test_works_before_any_request():
    harness = CascadeHarness(small_fails_legal)
    shown = estimate_cascade(harness.learner, build_request(), STEPS)
    assert [s.version for s in shown.starts] == [SMALL, LARGE]
