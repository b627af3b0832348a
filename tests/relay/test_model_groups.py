"""Worker groups of small and large models, and timings of models."""

import random

import pytest

from rattanpier._internal.models.route_table import ModelCost
from rattanpier._internal.relay.model_groups import (
    DEFAULT_SHARE,
    MAX_SHARE,
    MIN_SHARE,
    ModelGroups,
    sort_workers,
)
from rattanpier._internal.relay.model_timings import MIN_SAMPLES, ModelTimings
from tests.lib.clock import ManualClock
from tests.lib.engines import make_chooser, simulate_engines
from tests.lib.relay_parts import make_chat, make_worker, make_workers


@pytest.fixture
def clock():
    return ManualClock()


def test_entries_compute_the_same_groups_in_any_order_of_the_workers(clock):
    workers = make_workers(20)
    shuffled = random.Random(2).sample(workers, 20)
    one, other = ModelGroups(clock), ModelGroups(clock)
    for small in (True, False):
        assert one.workers_for(workers, small) == other.workers_for(
            shuffled, small
        )
    small, large = (
        one.workers_for(workers, True),
        one.workers_for(workers, False),
    )
    assert {w.id for w in small}.isdisjoint(w.id for w in large)
    assert len(small) + len(large) == 20


def test_sorted_workers_alternate_between_domains():
    workers = [
        make_worker(f"w{number}", domain="abc"[number % 3])
        for number in range(12)
    ]
    domains = [worker.domain for worker in sort_workers(workers)]
    assert domains == ["a", "b", "c"] * 4


def test_a_removed_worker_moves_at_most_one_other_between_groups(clock):
    workers = make_workers(20)
    groups = ModelGroups(clock)
    before = {worker.id for worker in groups.workers_for(workers, True)}
    after = {worker.id for worker in groups.workers_for(workers[1:], True)}
    assert len(before ^ after) <= 2


def test_a_small_pool_is_not_divided(clock):
    workers = make_workers(3)
    groups = ModelGroups(clock)
    assert (
        groups.workers_for(workers, True)
        == groups.workers_for(workers, False)
        == workers
    )


def test_the_share_follows_the_demand(clock):
    groups = ModelGroups(clock)
    assert groups.share() == DEFAULT_SHARE
    for _ in range(400):
        groups.record_upstream_request(True, 0.04)
        groups.record_upstream_request(False, 0.06)
    assert groups.share() == pytest.approx(0.4, abs=0.02)
    for _ in range(2000):
        groups.record_upstream_request(False, 1.0)
    assert groups.share() == MIN_SHARE


def test_slots_determine_the_share_if_they_are_scarcer_than_reading(clock):
    groups = ModelGroups(clock)
    for _ in range(400):
        groups.record_upstream_request(True, 0.001)
        groups.record_upstream_request(False, 0.1)
        groups.record_run(True, 4.0, slots=16)
        groups.record_run(False, 1.0, slots=16)
    assert groups.share() == MAX_SHARE


def test_a_large_model_uses_the_other_group_only_when_its_own_is_busy(clock):
    entry = make_chooser(clock, 1)
    workers = make_workers(9)
    small = {worker.id for worker in entry.groups.workers_for(workers, True)}
    assert entry.choose(make_chat(), workers, "small").worker.id in small
    assert entry.choose(make_chat(), workers, "large").worker.id not in small
    for worker in entry.groups.workers_for(workers, False):
        entry.loads.begin(worker.id, 3.0)
    assert entry.choose(make_chat(), workers, "large").worker.id in small


def test_small_models_answer_sooner_in_a_separate_group():
    together = simulate_engines(per_s=45.0, grouped=False)
    apart = simulate_engines(per_s=45.0, grouped=True)
    for share in (0.75, 0.9):
        mixed_s = together.quantile("small", share)
        assert apart.quantile("small", share) < 0.5 * mixed_s
    # Large models lose less by it than small ones gain.
    for share in (0.5, 0.9):
        mixed_s = together.quantile("large", share)
        assert apart.quantile("large", share) < 1.3 * mixed_s


def test_reading_time_is_estimated_from_prices_before_any_answer(clock):
    timings = ModelTimings(clock)
    timings.apply_prices([ModelCost("small", 0.1), ModelCost("large", 1.0)])
    assert timings.read_s("large", 3000) > 5 * timings.read_s("small", 3000)


def test_reading_time_is_learned_from_idle_workers(clock):
    timings = ModelTimings(clock)
    rng = random.Random(4)
    for _ in range(MIN_SAMPLES):
        timings.record_first_event("m", 0, 100.0, 0.06)
    for number in range(30):
        waited = rng.expovariate(1.0) if number % 2 else 0.0
        timings.record_first_event("m", 0, 4000.0, 0.06 + 4000 * 1e-4 + waited)
    assert timings.read_s("m", 1000) == pytest.approx(0.1, rel=0.1)


def test_waits_are_tracked_by_priority_and_expire(clock):
    timings = ModelTimings(clock)
    for _ in range(20):
        timings.record_wait("m", 2, 0.0, 3.0)
        timings.record_wait("m", 0, 0.0, 0.1)
    assert timings.wait_s("m", 2) > 2.0
    assert timings.wait_s("m", 0) < 0.2
    for _ in range(20):
        timings.record_wait("m", 2, 0.0, 0.1)
    assert timings.wait_s("m", 2) < 0.2
