"""Rate limits that overloaded workers ask for."""

import math

import attrs
import pytest

from rattanpier._internal.placement.rate_limits import (
    OVERSHOOT_RATIO,
    SLACK_REQUESTS,
    WINDOW_S,
    bound_of,
)
from rattanpier._internal.placement.shared_rates import SharedRates, divide
from rattanpier._internal.platform.upstream import (
    UNREADABLE_RATE_PER_S,
    decode_rate_limit,
)
from tests.lib.clock import ManualClock
from tests.lib.relay_parts import make_worker, make_workers
from tests.lib.warm_fleet import (
    LimitedFleet,
    make_fleet,
    make_limits,
    max_within,
)


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def limits(clock):
    return make_limits(make_fleet(0, range(8), clock), clock)


WORKER = make_worker("w0")


def rate(limits, worker=WORKER):
    """The limit known for a worker, in requests per second."""
    limit = limits.reported.get(worker.incarnation)
    return None if limit is None else limit.rate_per_s


# Limits in answers.


def test_limit_takes_effect_with_the_answer_that_names_it(limits, clock):
    limits.record_answer(WORKER, None, clock.monotonic())
    assert not limits.reported
    limits.record_answer(WORKER, 2.5, clock.monotonic())
    assert rate(limits) == 2.5


def test_answer_to_older_request_does_not_raise_or_end_limit(limits, clock):
    asked_at = clock.monotonic()
    clock.now += 1.0
    limits.record_answer(WORKER, 2.5, clock.monotonic())
    limits.record_answer(WORKER, None, asked_at)
    assert rate(limits) == 2.5
    limits.record_answer(WORKER, 4.0, asked_at)
    assert rate(limits) == 2.5
    clock.now += 1.0
    limits.record_answer(WORKER, None, clock.monotonic())
    assert rate(limits) is None


def test_answer_to_older_request_may_lower_limit(limits, clock):
    asked_at = clock.monotonic()
    clock.now += 1.0
    limits.record_answer(WORKER, 2.5, clock.monotonic())
    limits.record_answer(WORKER, 1.5, asked_at)
    assert rate(limits) == 1.5


def test_limit_does_not_apply_to_new_incarnation(limits, clock):
    before = attrs.evolve(WORKER, born=1)
    after = attrs.evolve(WORKER, born=2)
    limits.record_answer(before, 2.5, clock.monotonic())
    assert rate(limits, after) is None
    # A late answer of the earlier incarnation.
    limits.record_answer(before, 1.0, clock.monotonic())
    assert rate(limits, after) is None


def test_limits_of_deregistered_worker_are_dropped(limits, clock):
    limits.record_answer(WORKER, 2.5, clock.monotonic())
    limits.forget(WORKER.id)
    assert not limits.reported
    assert not limits.received_at


# Malformed values.


@pytest.mark.parametrize(
    ("texts", "found"),
    [
        ([], None),
        (["0"], 0.0),
        (["-2"], 0.0),
        (["3.25"], 3.25),
        (["3", "2"], 2.0),
        (["x", "0.5"], 0.5),
        (["1e400"], UNREADABLE_RATE_PER_S),
        ([""], UNREADABLE_RATE_PER_S),
        (["nan"], UNREADABLE_RATE_PER_S),
        (["inf"], UNREADABLE_RATE_PER_S),
        (["-inf"], UNREADABLE_RATE_PER_S),
        (["Thu, 01 Jan 2026 00:00:00 GMT"], UNREADABLE_RATE_PER_S),
    ],
)
def test_malformed_limits_are_read_safely(texts, found):
    assert decode_rate_limit(texts) == found


# The requests of all entries together.

SIZES = [8, 77, 200, 420]
RATES_PER_S = [0.3, 9.0]
REQUESTS_PER_S = 5.0  # At one entry.
RUN_S = 8.0


def max_requests(rate_per_s):
    """Most requests within a window from entries that know the limit."""
    return OVERSHOOT_RATIO * rate_per_s * WINDOW_S + SLACK_REQUESTS


def make_limited_fleet(size, down_at=lambda _number: ()):
    """A fleet and the workers that it may choose from."""
    fleet = LimitedFleet()
    for number in range(size):
        fleet.add(number, range(size), down_at(number))
    return fleet, make_workers(2 + size // 30)


@pytest.mark.parametrize("size", SIZES)
@pytest.mark.parametrize("rate_per_s", RATES_PER_S)
def test_entries_informed_at_once_stay_within_limit(size, rate_per_s):
    fleet, workers = make_limited_fleet(size)
    fleet.inform_all(workers, rate_per_s)
    fleet.run(workers, REQUESTS_PER_S, RUN_S, rate_per_s)
    assert fleet.sends
    assert fleet.max_from_informed(WINDOW_S) <= max_requests(rate_per_s)
    # All entries know the limit, so all requests count.
    most = [most_in_window(at) for at in fleet.sends.values()]
    assert max(most) <= max_requests(rate_per_s)


def most_in_window(times):
    """The highest number of times within any window."""
    return max(
        sum(at - WINDOW_S <= other <= at for other in times) for at in times
    )


@pytest.mark.parametrize("size", SIZES)
@pytest.mark.parametrize("rate_per_s", RATES_PER_S)
def test_entries_informed_later_stay_within_limit(size, rate_per_s):
    fleet, workers = make_limited_fleet(size)
    fleet.publishing = False
    late = [fleet.entries.pop(number) for number in range(size // 2)]
    fleet.inform_all(workers, rate_per_s)
    fleet.run(workers, REQUESTS_PER_S, 1.0, rate_per_s)
    fleet.entries.update(enumerate(late))
    fleet.run(workers, REQUESTS_PER_S, RUN_S, rate_per_s)
    assert fleet.max_from_informed(WINDOW_S) <= max_requests(rate_per_s)


@pytest.mark.parametrize("size", SIZES)
@pytest.mark.parametrize("rate_per_s", RATES_PER_S)
def test_entries_with_different_liveness_views_stay_within_limit(
    size, rate_per_s
):
    def down_at(number):
        others = range(size)
        return {each for each in others if (each * 7 + number) % 2} - {number}

    fleet, workers = make_limited_fleet(size, down_at)
    fleet.inform_all(workers, rate_per_s)
    fleet.run(workers, REQUESTS_PER_S, RUN_S, rate_per_s)
    assert fleet.max_from_informed(WINDOW_S) <= max_requests(rate_per_s)


@pytest.mark.parametrize("size", SIZES)
def test_partitioned_or_resumed_entries_stay_within_limit(size):
    def down_at(number):
        return set(range(size)) - {number} if number % 6 == 0 else ()

    fleet, workers = make_limited_fleet(size, down_at)
    fleet.inform_all(workers, 2.3)
    fleet.run(workers, REQUESTS_PER_S, RUN_S / 2, 2.3)
    frozen = [fleet.entries.pop(number) for number in range(0, size, 5)]
    fleet.run(workers, REQUESTS_PER_S, RUN_S, 2.3)
    fleet.entries.update(enumerate(frozen, start=size))
    fleet.run(workers, REQUESTS_PER_S, RUN_S, 2.3)
    assert fleet.max_from_informed(WINDOW_S) <= max_requests(2.3)


@pytest.mark.parametrize("size", SIZES)
def test_new_entries_unknown_to_some_peers_stay_within_limit(size):
    fleet, workers = make_limited_fleet(size)
    newcomers = max(1, size // 8)
    for number in range(size, size + newcomers):
        fleet.add(number, range(size + newcomers))
    fleet.inform_all(workers, 2.3)
    fleet.run(workers, REQUESTS_PER_S, RUN_S, 2.3)
    assert fleet.max_from_informed(WINDOW_S) <= max_requests(2.3)


@pytest.mark.parametrize("size", SIZES[:2])
@pytest.mark.parametrize("variation", [0.01, 2.0])
def test_limit_that_varies_between_answers_is_respected(size, variation):
    fleet, workers = make_limited_fleet(size)
    fleet.variation = variation
    fleet.inform_all(workers, 2.3)
    fleet.run(workers, 2 * REQUESTS_PER_S, 2 * RUN_S, 2.3)
    assert fleet.max_from_informed(WINDOW_S) <= max_requests(2.3)
    # Most of what the lowest of the named limits allows is used.
    used = sum(map(len, fleet.sends.values())) / 2 / RUN_S / len(workers)
    assert used >= 0.5 * (2.3 - variation)
    assert used <= 2.3


@pytest.mark.parametrize("size", SIZES)
def test_limit_is_used_and_its_end_reaches_all_entries(size):
    fleet, workers = make_limited_fleet(size)
    fleet.inform_all(workers, 2.3)
    fleet.run(workers, 2 * REQUESTS_PER_S, RUN_S, 2.3)
    used = sum(map(len, fleet.sends.values())) / RUN_S / len(workers)
    assert used >= 0.5 * 2.3
    fleet.run(workers, 2 * REQUESTS_PER_S, RUN_S, None)
    assert all(not entry.rates for entry in fleet.entries.values())


@pytest.mark.parametrize("rate_per_s", RATES_PER_S)
@pytest.mark.parametrize("entries", [1, 2, 3, 8, 420])
def test_shares_of_all_senders_add_up_within_limit(rate_per_s, entries):
    parts = divide(bound_of(rate_per_s), entries)
    each = math.floor(WINDOW_S / parts.pause_s) + 1
    assert parts.senders * each <= max_requests(rate_per_s)


def test_worker_with_limit_zero_is_still_probed():
    fleet, workers = make_limited_fleet(8)
    fleet.inform_all(workers, 0.0)
    fleet.run(workers, REQUESTS_PER_S, RUN_S, 0.0)
    assert not fleet.sends
    fleet.run(workers, REQUESTS_PER_S, 60.0, 0.0)
    assert fleet.sends.keys() == {worker.id for worker in workers}
    assert fleet.max_from_informed(WINDOW_S) <= SLACK_REQUESTS
    fleet.run(workers, REQUESTS_PER_S, 30.0, None)
    assert all(not entry.rates for entry in fleet.entries.values())


@pytest.mark.parametrize("size", SIZES)
def test_wait_covers_the_first_entry_that_may_send(size):
    fleet, (worker, *_) = make_limited_fleet(size)
    fleet.inform_all([worker], 2.3)
    waits = [
        entry.any_entry_available_in_s(worker)
        for entry in fleet.entries.values()
    ]
    assert all(0.0 < wait_s <= 1.0 / 2.3 + 0.01 for wait_s in waits)


# Restarts.


def test_entries_that_are_restarted_keep_the_bound_of_a_worker(clock):
    bound = bound_of(2.0)
    fleets = [make_fleet(number, range(8), clock) for number in range(8)]
    sends = []
    shares = [SharedRates(fleet, clock, started_at=-100.0) for fleet in fleets]
    for step in range(80):
        clock.now = 0.1 * step
        if step % 10 == 9:
            shares = [SharedRates(fleet, clock) for fleet in fleets]
        for each in shares:
            if not each.available_in_s(WORKER, bound):
                each.record_send(WORKER.incarnation)
                sends.append(clock.now)
    assert sends
    assert max_within(sends, WINDOW_S) <= bound.cap
