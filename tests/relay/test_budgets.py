"""Retry budgets of many entries that each receive few requests."""

import random

import pytest

from rattanpier._internal.models.relay_settings import Bounds
from rattanpier._internal.relay.budgets import (
    DELIVERY_S,
    RECEIPT_S,
    SLOTS,
    ServiceRetryBudgets,
)
from tests.lib.clock import ManualClock

BOUNDS = Bounds(retry_ratio=0.9, retry_slack=430, retry_window_s=10.0)
SLOT_S = BOUNDS.retry_window_s / SLOTS
ESCALATION_SHARE = 0.45  # Of first answers.


def arrivals(rng, entries, per_s, seconds, burst):
    """Returns random times of bursts, and the entry that receives each."""
    count = int(entries * per_s * seconds / burst)
    return sorted(
        (rng.uniform(0.0, seconds), rng.randrange(entries))
        for _ in range(count)
    )


def simulate(entries, per_s, seconds, draw_additional, seed=1, burst=1):
    """Returns times of requests, of additional ones, and of refused ones."""
    rng = random.Random(seed)
    clock = ManualClock()
    budgets = [
        ServiceRetryBudgets(BOUNDS, lambda: entries, clock)
        for _ in range(entries)
    ]
    requests, sends, refused = [], [], []
    for at, entry in arrivals(rng, entries, per_s, seconds, burst):
        clock.now = at
        budget = budgets[entry]["s"]
        for _ in range(burst):
            budget.record_request()
            requests.append(at)
        for _ in range(sum(draw_additional(rng) for _ in range(burst))):
            allowed = budget.try_acquire()
            (sends if allowed else refused).append(at)
    return requests, sends, refused


def max_excess(requests, sends, window_s):
    """Returns the additional requests beyond the ratio in the worst window."""
    worst = 0.0
    for end in sends:
        window = [at for at in sends if end - window_s <= at <= end]
        received = [at for at in requests if end - window_s <= at <= end]
        worst = max(worst, len(window) - BOUNDS.retry_ratio * len(received))
    return worst


def count_after(times, begun):
    return sum(at >= begun for at in times)


def draw_escalation(rng):
    return int(rng.random() < ESCALATION_SHARE)


def always_three(_rng):
    return 3


@pytest.mark.parametrize("entries", [8, 80, 195, 420])
@pytest.mark.parametrize("clump", [1, 4])
def test_escalations_are_allowed_while_the_fleet_is_within_its_bound(
    entries, clump
):
    requests, sends, refused = simulate(
        entries, 3.0, 20.0, draw_escalation, burst=clump
    )
    # Only an entry that has received one or two requests has a budget of less
    # than one. A token bucket of two refused 841 of 5,284 additional requests
    # with 195 entries and bursts of 4.
    assert len(refused) <= 0.01 * len(sends)


@pytest.mark.parametrize("entries", [8, 80, 195, 420])
@pytest.mark.parametrize("clump", [1, 4])
def test_escalations_are_allowed_once_a_window_has_passed(entries, clump):
    requests, sends, refused = simulate(
        entries, 3.0, 30.0, draw_escalation, burst=clump
    )
    begun = BOUNDS.retry_window_s
    assert count_after(refused, begun) <= 0.01 * count_after(sends, begun)


@pytest.mark.parametrize("entries", [8, 80, 195, 420])
def test_the_fleet_keeps_the_bound_when_every_upstream_request_fails(entries):
    requests, sends, _ = simulate(entries, 100.0 / entries, 20.0, always_three)
    assert max_excess(requests, sends, BOUNDS.retry_window_s) <= (
        BOUNDS.retry_slack
    )
    assert len(sends) > 0.7 * BOUNDS.retry_ratio * len(requests)


def test_the_fleet_keeps_the_bound_when_each_entry_received_one_request():
    clock = ManualClock()
    entries = [
        ServiceRetryBudgets(BOUNDS, lambda: 420, clock) for _ in range(420)
    ]
    sends = 0
    for entry in entries:
        entry["s"].record_request()
        while entry["s"].try_acquire():
            sends += 1
    assert sends <= BOUNDS.retry_ratio * len(entries) + BOUNDS.retry_slack
    assert sends > 0


def test_slack_below_one_request_accumulates():
    clock = ManualClock()
    budget = ServiceRetryBudgets(BOUNDS, lambda: 4000, clock)["s"]
    for _ in range(3):
        assert not budget.try_acquire()
        budget.record_request()
    assert budget.try_acquire()


def test_an_entry_that_discovers_peers_takes_a_smaller_part():
    clock = ManualClock()
    known = 1
    budget = ServiceRetryBudgets(BOUNDS, lambda: known, clock)["s"]
    assert all(budget.try_acquire() for _ in range(100))
    known = 10
    assert not budget.try_acquire()


def test_additional_requests_count_until_the_window_has_passed():
    clock = ManualClock()
    budget = ServiceRetryBudgets(BOUNDS, lambda: 430, clock)["s"]
    for _ in range(10):
        budget.record_request()
    assert acquire_all(budget) == 4
    clock.now = BOUNDS.retry_window_s + DELIVERY_S
    assert acquire_all(budget) == 0
    clock.now += SLOT_S
    assert acquire_all(budget) >= 1


def acquire_all(budget):
    count = 0
    while budget.try_acquire():
        count += 1
    return count


def test_a_new_process_has_no_slack_until_a_window_has_passed():
    clock = ManualClock()
    budget = ServiceRetryBudgets(BOUNDS, lambda: 10, clock, lambda: 0.0)["s"]
    assert acquire_all(budget) == 0
    clock.now = BOUNDS.retry_window_s
    assert acquire_all(budget) == 0
    clock.now += 2 * SLOT_S
    assert acquire_all(budget) == BOUNDS.retry_slack / 10


def test_a_new_process_may_retry_what_its_own_requests_allow():
    clock = ManualClock()
    budget = ServiceRetryBudgets(BOUNDS, lambda: 10, clock, lambda: 0.0)["s"]
    sent = 0
    for number in range(100):
        clock.now = 0.08 * number
        budget.record_request()
        sent += acquire_all(budget)
    # A third of the ratio for those received just now, two thirds for others.
    assert 0.6 * (100 - RECEIPT_S / 0.08) - 4 < sent <= 0.6 * 100


def test_a_burst_uses_the_slack_and_a_third_of_the_ratio():
    clock = ManualClock()
    budget = ServiceRetryBudgets(BOUNDS, lambda: 10, clock)["s"]
    for _ in range(100):
        budget.record_request()
    assert acquire_all(budget) == BOUNDS.retry_slack / 10 + 0.3 * 100


def test_used_slack_is_back_once_its_window_has_passed():
    clock = ManualClock()
    budget = ServiceRetryBudgets(BOUNDS, lambda: 430, clock)["s"]
    assert acquire_all(budget) == 1
    clock.now = 1.0
    for _ in range(10):
        budget.record_request()
    assert acquire_all(budget) == 3
    clock.now = BOUNDS.retry_window_s + DELIVERY_S
    assert acquire_all(budget) == 0
    clock.now += SLOT_S
    assert acquire_all(budget) == 1


def test_an_entry_that_shares_no_slack_has_none():
    clock = ManualClock()
    joined_at = -100.0
    budget = ServiceRetryBudgets(BOUNDS, lambda: 1, clock, lambda: joined_at)
    assert acquire_all(budget["s"]) == BOUNDS.retry_slack
    joined_at = None
    clock.now = 100.0
    assert acquire_all(budget["s"]) == 0
    joined_at = 101.0
    clock.now = 102.0
    assert acquire_all(budget["s"]) == 0


@pytest.mark.parametrize(
    ("received_at", "pause_ended", "allowed"),
    [
        (100.0, 95.0, 3),
        (100.0, 99.5, 0),
        (99.5, 99.7, 0),
        (98.5, 99.7, 0),
        (98.5, -100.0, 3),
        (92.0, -100.0, 3),
        # No request in the window that begins now, or in the one before.
        (89.9, -100.0, 0),
    ],
)
def test_requests_allow_retries_in_the_windows_in_which_they_were_sent(
    received_at, pause_ended, allowed
):
    clock = ManualClock()
    budgets = ServiceRetryBudgets(
        BOUNDS,
        lambda: 10,
        clock,
        lambda: None,
        paused_since=lambda at: pause_ended > at,
    )
    clock.now = 100.0
    for _ in range(10):
        budgets["s"].record_request(received_at)
    assert acquire_all(budgets["s"]) == allowed
