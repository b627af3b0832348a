"""Decisions of the learned policy from ratings."""

import pytest

from rattanpier._internal.cascade.budget import RatingBudget, try_acquire
from tests.lib.builders import LARGE, SMALL
from tests.lib.cascades import (
    CHAT,
    LEGAL,
    CascadeHarness,
    share_of_runs,
    small_fails_legal,
)


async def test_skips_the_cheap_step_only_for_the_class_it_fails():
    harness = CascadeHarness(small_fails_legal)
    await harness.run(1500)
    harness.budget = 0
    ran = await harness.run(100)
    assert share_of_runs(ran[CHAT], [SMALL]) == 1.0
    assert share_of_runs(ran[LEGAL], [LARGE]) == 1.0


async def test_starts_strong_before_any_rating():
    harness = CascadeHarness(small_fails_legal, budget=0)
    ran = await harness.run(100)
    assert share_of_runs(ran[CHAT], [LARGE]) == 1.0


async def test_detects_that_the_cheap_version_degraded():
    harness = CascadeHarness(small_fails_legal)
    await harness.run(1500)
    harness.service.is_good = lambda item: item.version == LARGE
    await harness.run(300)
    ran = await harness.run(200)
    answered_by_small = share_of_runs(ran[CHAT], [SMALL])
    assert answered_by_small <= 0.1


async def test_returns_to_the_strong_version_as_evidence_decays():
    harness = CascadeHarness(small_fails_legal)
    await harness.run(1500)
    harness.budget = 0
    assert share_of_runs((await harness.run(50))[CHAT], [SMALL]) == 1.0
    harness.clock.now += 48 * 3600
    ran = await harness.run(200)
    assert share_of_runs(ran[CHAT], [LARGE]) >= 0.9


@pytest.mark.parametrize("share", [0, 1, 7, 60])
def test_never_exceeds_the_share_in_any_hour(share):
    budget = RatingBudget(0.0)
    spent = [now for now in range(4 * 3600) if try_acquire(budget, share, now)]
    for start in range(0, 3 * 3600, 100):
        inside = [now for now in spent if start <= now < start + 3600]
        assert len(inside) <= share
    assert len(spent) >= 3 * share


async def test_samples_most_where_the_uncertainty_is_largest():
    harness = CascadeHarness(small_fails_legal, budget=600)
    await harness.run(600, (CHAT,))
    before = len(harness.service.items)
    await harness.run(300)
    new = harness.service.items[before:]
    legal = sum(item.prompt == LEGAL for item in new)
    assert legal > 0.6 * len(new)
