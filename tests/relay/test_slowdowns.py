"""Evidence that a version's answers take longer, or don't.

Guards against slow versions that are cleared by a test that is repeated until
it says so, or by one that compares answers of different models.
"""

import random

import pytest

from rattanpier._internal.relay.durations import DurationCounts
from rattanpier._internal.relay.slowdowns import (
    NO_COMPARISON,
    SLOWDOWNS,
    Tolerance,
    compare,
)
from rattanpier._internal.relay.verdict import (
    TOLERANCES,
    Measure,
    Verdict,
    verdict_of,
)
from tests.lib.timed_answers import (
    STRATUM,
    draw_durations,
    draw_series,
    equal_durations,
)

PACE = TOLERANCES[Measure.PACE]
DRAWS = 200


def first_verdicts(factor, share, answers=40):
    """Counts the first verdicts of a comparison repeated with each answer."""
    counts = dict.fromkeys(Verdict, 0)
    for seed in range(DRAWS):
        rng = random.Random(seed)
        stable = {STRATUM: draw_durations(rng, 300)}
        verdicts = (
            verdict_of(compare(stable, {STRATUM: durations}, PACE), PACE)
            for durations in draw_series(rng, answers, 2, factor, share)
        )
        known = (each for each in verdicts if each is not Verdict.UNKNOWN)
        counts[next(known, Verdict.UNKNOWN)] += 1
    return counts


@pytest.mark.parametrize(
    ("factor", "share"),
    [(1.5, 1.0), (2.0, 1.0), (3.0, 0.5), (8.0, 0.5), (8.0, 0.15)],
)
def test_a_slow_version_is_seldom_ever_cleared(factor, share):
    found = first_verdicts(factor, share)
    assert found[Verdict.NO_WORSE] <= 0.05 * DRAWS


@pytest.mark.parametrize(("factor", "share"), [(2.0, 1.0), (3.0, 0.5)])
def test_a_slow_version_is_found_with_few_answers(factor, share):
    found = first_verdicts(factor, share)
    assert found[Verdict.WORSE] >= 0.9 * DRAWS


@pytest.mark.parametrize("factor", [0.7, 1.0])
def test_a_good_version_is_cleared_and_hardly_ever_stopped(factor):
    found = first_verdicts(factor, 1.0)
    assert found[Verdict.WORSE] <= 0.01 * DRAWS
    assert found[Verdict.NO_WORSE] >= 0.9 * DRAWS


def test_models_are_compared_apart():
    rng = random.Random(1)
    stable = {
        ("r", "small"): draw_durations(rng, 200),
        ("r", "large"): draw_durations(rng, 200, 10.0),
    }
    for model, factor in (("small", 3.0), ("large", 30.0)):
        slow = {("r", model): draw_durations(rng, 20, factor)}
        assert verdict_of(compare(stable, slow, PACE), PACE) is Verdict.WORSE
    good = {("r", "large"): draw_durations(rng, 40, 10.0)}
    assert verdict_of(compare(stable, good, PACE), PACE) is Verdict.NO_WORSE


def test_a_route_with_few_answers_is_compared_with_others_of_its_model():
    rng = random.Random(1)
    stable = {
        ("r", "small"): draw_durations(rng, 200),
        ("r", "large"): draw_durations(rng, 200, 10.0),
        ("q", "large"): draw_durations(rng, 2, 10.0),
    }
    slow = {("q", "large"): draw_durations(rng, 20, 30.0)}
    assert verdict_of(compare(stable, slow, PACE), PACE) is Verdict.WORSE
    good = {("q", "large"): draw_durations(rng, 40, 10.0)}
    assert verdict_of(compare(stable, good, PACE), PACE) is Verdict.NO_WORSE


def test_answers_that_are_awaited_count_by_the_time_so_far():
    stable = {STRATUM: equal_durations(100)}
    awaited = {STRATUM: DurationCounts(open={12: 10})}
    assert verdict_of(compare(stable, awaited, PACE), PACE) is Verdict.WORSE
    just_sent = {STRATUM: DurationCounts(open={-8: 10})}
    found = compare(stable, just_sent, PACE)
    assert verdict_of(found, PACE) is Verdict.UNKNOWN


@pytest.mark.parametrize("stable", [{}, {STRATUM: equal_durations(3)}])
def test_nothing_is_known_without_a_stable_version_to_compare_with(stable):
    found = compare(stable, {STRATUM: equal_durations(50, 9.0)}, PACE)
    assert found == NO_COMPARISON
    assert verdict_of(found, PACE) is Verdict.UNKNOWN


def test_the_evidence_names_what_it_excludes():
    rng = random.Random(3)
    stable = {STRATUM: draw_durations(rng, 300)}
    found = compare(stable, {STRATUM: draw_durations(rng, 60)}, PACE)
    assert found.answers == 60
    assert found.excluded_factor(1.0, 3.0) <= 1.5
    assert found.excluded_factor(0.5, 3.0) <= 2.0
    assert found.excluded_factor(0.5, 1e9) is None
    slowdown, evidence = found.weakest(PACE.min_excess)
    assert slowdown in SLOWDOWNS
    assert evidence == found.against[slowdown]


def test_a_tolerated_share_and_shift_are_not_slow():
    rng = random.Random(4)
    stable = {STRATUM: draw_durations(rng, 300)}
    lenient = Tolerance(share=0.1, max_shift=3, min_excess=1.5)
    some_slow = {STRATUM: draw_durations(rng, 100, 8.0, 0.08)}
    assert compare(stable, some_slow, lenient).slow < 0.0
    slower = {STRATUM: draw_durations(rng, 100, 1.6)}
    assert compare(stable, slower, lenient).slow < 0.0
