"""Repeats of all entries together, under loads of many shapes."""

import pytest
from hypothesis import given, seed, settings, target
from hypothesis import strategies as st

from tests.lib.repeat_loads import (
    LOADS,
    Burst,
    make_loaded_fleet,
    pairs_at,
    play_bursts,
)
from tests.relay.test_repeat_budgets import (
    LARGE,
    LENGTH_S,
    SMALL,
    TROUBLES,
    draw_troubles,
)

DRAWS = 60  # Of each load.
GAPS_S = [0.5 * step for step in range(41)]
LATEST_S = 25.0  # Start of the last burst.


def play_load(name, seed, troubles=()):
    count, per_s = 2 + seed % 7, (6, 12, 30)[seed % 3]
    fails = (0.9, 1.0, 0.6, 1.0)[seed % 4]
    fleet = make_loaded_fleet(SMALL, seed, count, LOADS[name], per_s, fails)
    if troubles:
        draw_troubles(fleet, troubles)
    fleet.run(2 * LENGTH_S)
    return fleet


@pytest.mark.parametrize("load", LOADS)
def test_uneven_loads_keep_the_sum_of_repeats(load):
    broken = {}
    for number in range(DRAWS):
        if (worst := play_load(load, number).worst()).excess > 0:
            broken[number] = worst
    assert not broken


@pytest.mark.parametrize("load", LOADS)
def test_uneven_loads_and_restarts_keep_the_sum_of_repeats(load):
    broken = {}
    for number in range(DRAWS):
        fleet = play_load(load, number, TROUBLES["all of them"])
        if (worst := fleet.worst()).excess > 0:
            broken[number] = worst
    assert not broken


@pytest.mark.parametrize("gap_s", [*GAPS_S, 9.6, 9.7, 9.8, 9.9])
def test_requests_of_one_burst_pay_for_no_repeats_of_two(gap_s):
    load = pairs_at(gap_s, 15)
    for number in range(2):
        fleet = make_loaded_fleet(SMALL, number, 6, load, 15)
        fleet.run(2 * LENGTH_S)
        assert fleet.worst().excess <= 0


def bursts_of(most):
    return st.lists(
        st.builds(
            Burst,
            at=st.floats(0.0, LATEST_S),
            count=st.integers(1, most),
            part=st.sampled_from((None, 0, 1)),
        ),
        min_size=1,
        max_size=4,
    )


def find_worst_load(bounds, count, most, examples):
    """Searches for bursts whose repeats exceed the bound; fails on any."""

    @seed(70)
    @settings(max_examples=examples, deadline=None, database=None)
    @given(
        bursts_of(most), st.floats(0.005, 2.0), st.sampled_from((1.0, 2.0, 6.0))
    )
    def search(bursts, shortest_s, stretch):
        run_s = (shortest_s, stretch * shortest_s)
        worst = play_bursts(bounds, count, bursts, run_s).worst()
        target(worst.excess)
        assert worst.excess <= 0, worst

    search()


@pytest.mark.parametrize(
    ("bounds", "count", "most", "examples"),
    [
        (SMALL, 6, 300, 150),
        (SMALL, 8, 300, 150),
        (LARGE, 70, 900, 25),
        (LARGE, 420, 900, 12),
    ],
)
def test_no_load_that_a_search_finds_exceeds_the_bound(
    bounds, count, most, examples
):
    find_worst_load(bounds, count, most, examples)
