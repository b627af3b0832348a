"""What operators are told about a cascade."""

from rattanpier._internal.cascade.estimate import estimate_cascade
from tests.lib.builders import LARGE, SMALL, build_request
from tests.lib.cascades import (
    CHAT,
    LEGAL,
    STEPS,
    CascadeWorld,
    small_fails_legal,
)


async def test_shows_the_step_that_requests_start_at():
    world = CascadeWorld(small_fails_legal)
    await world.run(1500)
    for task, version in ((CHAT, SMALL), (LEGAL, LARGE)):
        request = build_request(labels={"task": task}, prompt_tokens=100)
        shown = estimate_cascade(world.learner, request, STEPS)
        assert [s.version for s in shown.starts if s.chosen] == [version]
        assert shown.starts[0].cost < shown.starts[1].cost or task == LEGAL
        assert shown.ratings > 0


def test_works_before_any_request():
    world = CascadeWorld(small_fails_legal)
    shown = estimate_cascade(world.learner, build_request(), STEPS)
    assert [s.version for s in shown.starts] == [SMALL, LARGE]
