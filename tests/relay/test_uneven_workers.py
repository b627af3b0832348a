"""The load of workers of different speed follows what each of them can do.

Bounds are on work, not on numbers of requests.
"""

import collections

import attrs
import pytest
import structlog.testing

from rattanpier._internal.models.policy import DEFAULT_POLICY
from tests.lib.uneven_workers import simulate

WITHOUT = attrs.evolve(DEFAULT_POLICY, worker_pace=False)
CASES = [(1.0, 1.0, 1.3), (0.6, 1.0, 1.6)]
MAX_DEVIATION = 0.1
QUARTERS = range(4)
SHORT = (8, 24)  # Events of a stream after the first.


@pytest.fixture(autouse=True)
def no_log_lines():
    with structlog.testing.capture_logs():
        yield


def deviations(fleet):
    """Returns the greatest deviation in each quarter of the time."""
    quarter = fleet.clock.now / len(QUARTERS)
    return [
        fleet.greatest_deviation(number * quarter, (number + 1) * quarter)
        for number in QUARTERS
    ]


def mean_wait_s(fleet):
    waits = [wait_s for each in fleet.workers.values() for wait_s in each.waits]
    return sum(waits) / len(waits)


def greatest_burst(fleet, width_s=0.5):
    """Returns the most requests that a worker got within half a second."""
    counts = collections.Counter(
        (each.id, int(at / width_s))
        for each in fleet.workers.values()
        for at, _ in each.sent
    )
    return max(counts.values())


def share_of(fleet, factor):
    """Returns the share of the work, and of the capacity, of some workers."""
    chosen = [id for id, each in fleet.workers.items() if each.factor == factor]
    shares = fleet.shares(fleet.clock.now / 4)
    return (
        sum(shares[id] for id in chosen),
        sum(fleet.capacities[id] for id in chosen),
    )


# Guards against workers that get the same load whatever their speed.


@pytest.mark.parametrize("entries", [8, 70])
@pytest.mark.parametrize("factors", CASES)
def test_load_is_within_a_tenth_of_the_total(factors, entries):
    fleet = simulate(4000, factors=factors, entries=entries, utilization=0.5)
    assert max(deviations(fleet)[1:]) <= MAX_DEVIATION


def test_without_paces_the_load_exceeds_a_tenth_of_the_total():
    """Queue lengths even out the load of the other cases without paces too."""
    fleet = simulate(
        4000, factors=CASES[1], entries=70, utilization=0.5, policy=WITHOUT
    )
    assert min(deviations(fleet)) > MAX_DEVIATION


@pytest.mark.parametrize("entries", [8, 70])
@pytest.mark.parametrize("factors", CASES)
def test_load_follows_speed_without_queue_lengths(factors, entries):
    """Without queue lengths, only the pace tells workers apart.

    Answers are short, so that an entry's own running requests tell little.
    Equal shares deviate by only 0.055 in the first case, so that the bound is
    half of their deviation, and at most 0.1.
    """
    fields = {
        "factors": factors,
        "entries": entries,
        "utilization": 0.5,
        "queues_known": False,
        "gaps": SHORT,
    }
    fleet = simulate(4000, **fields)
    equal = 1 / len(factors)
    capacities = fleet.capacities.values()
    of_equal = max(abs(equal - capacity) for capacity in capacities)
    bound = min(MAX_DEVIATION, of_equal / 2)
    quarter_s = fleet.clock.now / 4
    assert fleet.greatest_deviation(quarter_s) <= bound
    assert max(deviations(fleet)[1:]) <= MAX_DEVIATION
    fleet = simulate(4000, **fields, policy=WITHOUT)
    assert fleet.greatest_deviation(quarter_s) > bound


def test_plain_workers_get_load_by_their_speed():
    fields = {
        "factors": CASES[1],
        "entries": 70,
        "utilization": 0.6,
        "plain": True,
    }
    fleet = simulate(6000, **fields)
    assert max(deviations(fleet)[1:]) <= MAX_DEVIATION
    quarter_s = fleet.clock.now / 4
    deviation = fleet.greatest_deviation(quarter_s)
    fleet = simulate(6000, **fields, policy=WITHOUT)
    assert fleet.greatest_deviation(quarter_s) > 2 * deviation


# Guards against entries that all send to the fastest workers at once, as they
# know the same paces but not each other's requests.


@pytest.mark.parametrize(("entries", "wait_share"), [(8, 0.95), (70, 0.85)])
def test_entries_do_not_send_to_the_fastest_workers_at_once(
    entries, wait_share
):
    """Requests wait less than without paces.

    If all entries prefer the fastest workers, these get 0.75 (8 entries) or
    0.85 (70 entries) of the work instead of 0.51, and requests wait longer than
    without paces.
    """
    fields = {
        "factors": CASES[1] * 5,
        "entries": entries,
        "utilization": 0.5,
    }
    fleet = simulate(5000, **fields)
    share, capacity = share_of(fleet, min(CASES[1]))
    assert share <= capacity + MAX_DEVIATION
    without = simulate(5000, **fields, policy=WITHOUT)
    assert mean_wait_s(fleet) < wait_share * mean_wait_s(without)
    assert greatest_burst(fleet) <= 1.2 * greatest_burst(without)


@pytest.mark.parametrize("entries", [8, 70])
def test_messages_with_paces_do_not_grow_with_entries(entries):
    fields = {"factors": CASES[1] * 5, "entries": entries, "utilization": 0.5}
    fleet = simulate(2500, **fields)
    without = simulate(2500, **fields, policy=WITHOUT)
    added = (fleet.bytes - without.bytes) / fleet.clock.now
    # Each update is sent to 8 peers by an entry, and counted once here.
    assert added <= 500
    assert (fleet.messages - without.messages) / fleet.clock.now <= 2.5


# Guards against a change of deployments whose workers report no ratio.


def test_without_reported_ratios_choices_are_the_same_as_before():
    fields = {"factors": CASES[1], "entries": 8, "utilization": 0.5}
    silent = simulate(1000, **fields, reporting=False)
    without = simulate(1000, **fields, policy=WITHOUT)
    assert silent.shares() == without.shares()
    assert silent.bytes == without.bytes


def test_a_slow_version_gets_as_much_load_as_without_paces():
    """Guards against a slow version that is taken for slow workers."""
    fields = {
        "factors": (1.0, 1.0, 1.6, 1.6),
        "entries": 8,
        "utilization": 0.5,
        "queues_known": False,
        "gaps": SHORT,
    }
    by_version = {**fields, "versions": ("v1", "v1", "v2", "v2")}
    shares = [
        share_of(simulate(4000, **each), 1.6)[0]
        for each in (by_version, {**fields, "policy": WITHOUT}, fields)
    ]
    assert shares[0] == pytest.approx(shares[1], abs=0.02)
    assert shares[2] < shares[1] - 0.04
