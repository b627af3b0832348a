"""Faults of the rating service, and steps that may not serve.

None of them may stop requests, exceed the budget or teach wrong things.
"""

from rattanpier._internal.cascade.policy import Verdict
from rattanpier._internal.cascade.ratings import MAX_AGE_S, MAX_QUEUED
from rattanpier._internal.models.configuration import Version, VersionState
from rattanpier._internal.store.ratings import RatingResult
from tests.lib.builders import LARGE, SMALL
from tests.lib.cascades import (
    CHAT,
    LEGAL,
    CascadeHarness,
    small_fails_legal,
)


async def test_requests_are_answered_while_the_rating_service_is_down():
    harness = CascadeHarness(small_fails_legal)
    harness.service.down = True
    ran = await harness.run(400)
    assert all(run[-1] == LARGE for run in ran[CHAT] + ran[LEGAL])
    assert harness.metrics.counts["cascade.ratings.unavailable"] > 0
    assert len(harness.service.items) == 0


async def test_a_full_queue_drops_samples_and_not_requests():
    harness = CascadeHarness(small_fails_legal, budget=10**9)
    for _ in range(20 * MAX_QUEUED):
        harness.clock.now += 1.0
        assert harness.answer(LEGAL)
    assert len(harness.loop.queue) == MAX_QUEUED
    assert harness.metrics.counts["cascade.sample.dropped"] > 0


async def test_an_exhausted_budget_stops_requests_for_ratings():
    harness = CascadeHarness(small_fails_legal, budget=5)
    await harness.run(3600)
    assert 0 < len(harness.service.items) <= 5


async def test_ratings_of_a_withdrawn_version_are_ignored():
    harness = CascadeHarness(small_fails_legal)
    harness.service.keep_back = True
    await harness.run(300)
    harness.versions[SMALL] = Version("small", VersionState.WITHDRAWN)
    harness.service.keep_back = False
    harness.service.is_good = lambda item: True
    await harness.loop.step()
    counts = harness.metrics.counts
    of_small = [item for item in harness.service.items if item.version == SMALL]
    assert counts["cascade.rating.withdrawn"] == len(of_small) > 0
    assert SMALL not in harness.learner.quality_model.shared


async def test_unknown_repeated_and_late_ratings_are_ignored():
    harness = CascadeHarness(small_fails_legal)
    harness.service.keep_back = True
    await harness.run(100)
    name = next(iter(harness.loop.pending))
    assert harness.loop.apply_result(RatingResult(1, name, True)) == "good"
    assert harness.loop.apply_result(RatingResult(2, name, False)) == "unknown"
    assert (
        harness.loop.apply_result(RatingResult(3, "made up", True)) == "unknown"
    )
    name = next(iter(harness.loop.pending))
    harness.clock.now += MAX_AGE_S + 1
    assert harness.loop.apply_result(RatingResult(4, name, True)) == "late"


async def test_never_escalates_to_a_version_that_may_not_serve():
    harness = CascadeHarness(lambda item: item.version == LARGE)
    await harness.run(1500, (LEGAL,))

    def may_serve(version):
        return version != LARGE

    for _ in range(300):
        progress = harness.begin(LEGAL)
        if progress.version == LARGE:
            continue  # Refused by dispatch, which has its own test.
        from rattanpier._internal.cascade.policy import StepAnswer

        verdict = harness.policy.evaluate(
            progress, StepAnswer("text", "stop", None, 0.1), may_serve
        )
        assert verdict is Verdict.ACCEPT
        assert progress.version == SMALL
