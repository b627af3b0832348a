"""Repeats of all entries together, in drawn kills, pauses, cuts and joins."""

import pytest

from rattanpier._internal.models.relay_settings import Bounds
from tests.lib.repeat_fleet import make_fleet

SMALL = Bounds(retry_ratio=0.9, retry_slack=52, retry_window_s=10.0)
LARGE = Bounds(retry_ratio=0.9, retry_slack=430, retry_window_s=10.0)
LENGTH_S = 40.0
DRAWS = 50  # Of each case.
LARGE_DRAWS = 2


def kill_all(fleet, rng):
    for name in list(fleet.entries):
        fleet.kill(name, down_s=rng.uniform(0.3, 2.0))


def kill_some(fleet, rng):
    names = sorted(fleet.entries)
    for name in rng.sample(names, rng.randint(1, len(names))):
        fleet.kill(name, down_s=rng.uniform(0.3, 2.0))


def kill_in_turn(fleet, rng):
    gap_s = rng.uniform(0.2, 1.5)
    for number, name in enumerate(sorted(fleet.entries)):
        fleet.after(number * gap_s, fleet.kill, name, rng.uniform(0.3, 1.0))


def pause_some(fleet, rng):
    names = sorted(fleet.entries)
    for_s = rng.uniform(0.4, 5.0)
    for name in rng.sample(names, (len(names) + 1) // 2):
        fleet.pause(name, for_s)


def join(fleet, rng):
    for _ in range(rng.randint(1, 3)):
        fleet.start(f"entry-{len(fleet.entries)}", rng.randrange(2))


def replace(fleet, rng):
    """Ends an entry for good; another one with a new name comes instead."""
    name = rng.choice(sorted(fleet.entries))
    fleet.kill(name)
    join(fleet, rng)


def cut(fleet, rng):
    if not fleet.split:
        fleet.cut(rng.uniform(1.0, 12.0))


TROUBLES = {
    "kill all": [kill_all],
    "kill some": [kill_some],
    "kill in turn": [kill_in_turn],
    "pause": [pause_some],
    "join and replace": [join, replace],
    "cut": [cut],
    "all of them": [
        kill_all,
        kill_some,
        kill_in_turn,
        pause_some,
        join,
        replace,
        cut,
    ],
}


def draw_troubles(fleet, kinds):
    """Plays troubles in series, which may overlap."""
    rng, at = fleet.rng, 0.0
    while (at := at + rng.uniform(1.0, 8.0)) < LENGTH_S:
        fleet.after(at, rng.choice(kinds), fleet, rng)


def play(bounds, seed, count, per_s, fails, kinds):
    fleet = make_fleet(bounds, seed, count, per_s, fails, LENGTH_S)
    draw_troubles(fleet, kinds)
    fleet.run(LENGTH_S + 5.0)
    return fleet


@pytest.mark.parametrize("kinds", TROUBLES)
def test_restarted_paused_and_cut_entries_keep_the_sum_of_repeats(kinds):
    broken = {}
    for seed in range(DRAWS):
        count, per_s = 2 + seed % 7, (6, 12, 30, 60)[seed % 4]
        fails = (0.9, 1.0, 0.6)[seed % 3]
        fleet = play(SMALL, seed, count, per_s, fails, TROUBLES[kinds])
        if (worst := fleet.worst()).excess > 0:
            broken[seed] = worst
    assert not broken


@pytest.mark.parametrize(
    ("seed", "count", "per_s"), [(1456, 2, 6), (2856, 2, 6), (1921, 5, 12)]
)
def test_requests_that_come_unevenly_keep_the_sum_of_repeats(
    seed, count, per_s
):
    fails = (0.9, 1.0, 0.6)[seed % 3]
    fleet = play(SMALL, seed, count, per_s, fails, [cut])
    assert fleet.worst().excess <= 0


@pytest.mark.parametrize("count", [100, 420])
def test_a_large_fleet_that_is_restarted_keeps_the_sum_of_repeats(count):
    for seed in range(LARGE_DRAWS):
        fleet = play(LARGE, seed, count, 150, 0.9, [kill_all, kill_some, cut])
        assert fleet.worst().excess <= 0


@pytest.mark.parametrize("seed", range(6))
def test_entries_that_never_heard_of_each_other_share_the_slack(seed):
    fleet = make_fleet(SMALL, seed, 2 + seed, 12, 1.0, LENGTH_S)
    fleet.joins_s = 1000.0
    fleet.after(0.0, kill_all, fleet, fleet.rng)
    fleet.run(LENGTH_S + 5.0)
    assert fleet.worst().excess <= 0


@pytest.mark.parametrize("counts", [(1, 1), (1, 5), (3, 3), (2, 3)])
def test_entries_that_are_cut_off_for_long_share_the_slack(counts):
    fleet = make_fleet(SMALL, sum(counts), 0, 0, 0.0)
    for group, count in enumerate(counts):
        for number in range(count):
            fleet.start(f"entry-{group}-{number}", group)
    fleet.run(15.0)
    fleet.cut(95.0)
    fleet.run(90.0)
    fleet.fails = 1.0
    for _ in range(200):
        fleet.after(fleet.rng.uniform(0.0, 20.0), fleet.send_request)
    fleet.run(115.0)
    assert len(fleet.arrived) > len(fleet.sent)
    assert fleet.worst().excess <= 0
