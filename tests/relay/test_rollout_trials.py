"""Bad versions stay within the users' bounds, and good ones complete.

Each case is drawn many times. A bad version may get no request later than the
rollback after its 50th bad answer, and no more than the bound's share.
"""

import pytest

from rattanpier._internal.models.rollout_order import RolloutPhase
from tests.lib import rollout_trials as trials

SEEDS = 12
BAD_VERSIONS = {
    "slow": trials.slow,
    "partly slow": trials.partly_slow,
    "failing": trials.failing,
    "late": trials.late_failing,
    "one route": trials.failing_on_one_route,
}
SLOWER_VERSIONS = {
    "engine 1.5": trials.slower(1.5),
    "engine 2": trials.slower(2.0),
    "engine 4.5": trials.slower(4.5),
    "8 times, half": trials.slower(8.0, 0.5),
    "3 times, half": trials.slower(3.0, 0.5),
    "8 times, 15 in 100": trials.slower(8.0, 0.15),
}
ROUTES = {"cascade": trials.CASCADE, "plain": trials.PLAIN}
TROUBLES = {
    "calm": {},
    "impatient callers": {"impatient": 0.9},
    "all workers slow": {"trouble": trials.all_slow},
    "all workers slow for a time": {"passing": trials.all_slow},
    "old version failing": {"trouble": trials.old_failing},
    "some workers lost": {"trouble": trials.some_workers_lost},
    "lost reports": {"lost": 0.4},
}


async def play(version, trouble, seeds=SEEDS, **more):
    scenario = trials.Scenario(version=version, **TROUBLES[trouble], **more)
    return [await trials.Trial(scenario, seed).run() for seed in range(seeds)]


def broken_bounds(outcomes, bound):
    """Returns the seeds that broke a bound, with what was counted."""
    found = {}
    for seed, outcome in enumerate(outcomes):
        allowed = bound.ratio * outcome.sent + bound.slack
        if outcome.late or outcome.exposed > allowed:
            found[seed] = (outcome.late, outcome.exposed, round(allowed))
    return found


@pytest.mark.parametrize("routes", ["chats", "plain"])
@pytest.mark.parametrize("trouble", TROUBLES)
@pytest.mark.parametrize("version", BAD_VERSIONS)
async def test_a_bad_version_is_stopped_within_the_bounds(
    version, trouble, routes
):
    more = {"routes": trials.CHATS if routes == "chats" else trials.PLAIN}
    outcomes = await play(BAD_VERSIONS[version], trouble, **more)
    assert broken_bounds(outcomes, trials.Scenario().bound) == {}


@pytest.mark.parametrize("routes", ["chats", "plain"])
@pytest.mark.parametrize("trouble", TROUBLES)
async def test_a_good_version_completes_in_time(trouble, routes):
    more = {"routes": trials.CHATS if routes == "chats" else trials.PLAIN}
    outcomes = await play(trials.good, trouble, seeds=24, **more)
    assert broken_bounds(outcomes, trials.Scenario().bound) == {}
    in_time = [
        outcome.phase is RolloutPhase.COMPLETED
        and outcome.completed_at < trials.ORDER.deadline_s
        for outcome in outcomes
    ]
    assert in_time.count(False) <= 1


# Slowdowns below this can't be told from usual variation in plain services.
PLAIN_VERSIONS = [name for name in SLOWER_VERSIONS if name != "engine 1.5"]


@pytest.mark.parametrize(
    ("version", "routes"),
    [(name, "cascade") for name in SLOWER_VERSIONS]
    + [(name, "plain") for name in PLAIN_VERSIONS],
)
async def test_a_slower_version_is_rolled_back(version, routes):
    outcomes = await play(
        SLOWER_VERSIONS[version],
        "calm",
        routes=ROUTES[routes],
        entries=8,
    )
    assert broken_bounds(outcomes, trials.Scenario().bound) == {}
    kept = [outcome.phase is RolloutPhase.COMPLETED for outcome in outcomes]
    assert kept.count(True) <= 1


@pytest.mark.parametrize("entries", [100, 420])
@pytest.mark.parametrize("routes", ROUTES)
async def test_verdicts_on_durations_hold_at_size(entries, routes):
    more = {"routes": ROUTES[routes], "entries": entries, "seeds": 3}
    for outcome in await play(trials.slower(3.0, 0.5), "calm", **more):
        assert outcome.phase is RolloutPhase.ROLLED_BACK
        assert not outcome.late
    for outcome in await play(trials.good, "calm", **more):
        assert outcome.phase is RolloutPhase.COMPLETED
        assert outcome.completed_at < trials.ORDER.deadline_s
