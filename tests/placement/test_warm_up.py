"""Workers that warm up get no more requests than they can handle.

Guards against entries overloading cold workers together: 15 of 60 engines
restarted at once and appeared idle. 77 entries, each with its own view, chose
them at the same moment, and one got 22 requests in a second where it can handle
18.
"""

import math

import attrs
import pytest

from rattanpier._internal.models.route_table import WarmUp
from rattanpier._internal.placement.shared_rates import STARTUP_GRACE_S, divide
from rattanpier._internal.placement.warm_up import PROPAGATION_S, bound_of
from tests.lib.clock import ManualClock
from tests.lib.relay_parts import make_worker, make_workers
from tests.lib.warm_fleet import (
    HEARTBEAT_S,
    OVERSHOOT,
    SLACK,
    WARM_UP,
    WarmFleet,
    make_fleet,
    make_warm_ups,
)

BOUND = math.floor(WARM_UP.rate_per_s * OVERSHOOT + SLACK)
SIZES = [8, 77, 200, 420]
ENGINE_REQUESTS_PER_S = 5.0  # At one entry; with larger models' answers.
RUN_S = 2.5  # Shorter than a warm-up.


@pytest.fixture
def clock():
    return ManualClock()


def cold(number=0, warm_in_s=3.0):
    return make_worker(f"w{number}", warm_in_s=warm_in_s)


# The bound over all entries.


@pytest.mark.parametrize("size", SIZES)
def test_bound_holds_over_all_entries(size):
    workers = make_workers(2 + size // 30)
    fleet = WarmFleet()
    for number in range(size):
        fleet.add(number, range(size))
    fleet.run(workers, 4 * ENGINE_REQUESTS_PER_S, RUN_S)
    assert fleet.max_in_a_second() <= BOUND
    # Requests that go elsewhere load the warm workers, so at this load at least
    # half of the cold workers' rate has to be used.
    assert fleet.rate_per_s(workers, RUN_S) >= 0.5 * WARM_UP.rate_per_s


@pytest.mark.parametrize("size", SIZES)
def test_bound_holds_with_different_liveness_views(size):
    workers = make_workers(2 + size // 30)
    fleet = WarmFleet()
    everybody = range(size)
    for number in everybody:
        # Each entry considers a different half of its peers down.
        down = {other for other in everybody if (other * 7 + number) % 2}
        fleet.add(number, everybody, down - {number})
    fleet.run(workers, 8 * ENGINE_REQUESTS_PER_S, RUN_S)
    assert fleet.max_in_a_second() <= BOUND


@pytest.mark.parametrize("size", SIZES)
def test_bound_holds_with_partitioned_entries(size):
    workers = make_workers(2 + size // 30)
    fleet = WarmFleet()
    everybody = range(size)
    partitioned = range(0, size, 6)
    for number in everybody:
        alone = set(everybody) - {number} if number in partitioned else ()
        fleet.add(number, everybody, alone)
    fleet.run(workers, 8 * ENGINE_REQUESTS_PER_S, RUN_S)
    assert fleet.max_in_a_second() <= BOUND


@pytest.mark.parametrize("size", SIZES)
def test_bound_holds_with_new_entries_unknown_to_some_peers(size):
    workers = make_workers(2 + size // 30)
    fleet = WarmFleet()
    newcomers = max(1, size // 8)
    for number in range(size):
        fleet.add(number, range(size))
    for number in range(size, size + newcomers):
        fleet.add(number, range(size + newcomers))
    fleet.run(workers, 8 * ENGINE_REQUESTS_PER_S, RUN_S)
    assert fleet.max_in_a_second() <= BOUND


def test_recently_started_entry_without_known_peers_sends_nothing(clock):
    worker = cold()
    fleet = make_fleet(0, [], clock)
    entry = make_warm_ups(fleet, clock)
    entry.shares.started_at = 0.0
    entry.record_registration(worker, appeared=True)
    assert entry.open_workers([worker]) == []
    clock.now = STARTUP_GRACE_S
    # By now it would know of peers, so it is the only entry.
    assert entry.open_workers([worker]) == [worker]


def test_entry_pauses_between_requests(clock):
    worker = cold()
    entry = make_warm_ups(make_fleet(0, [], clock), clock)
    entry.record_registration(worker, appeared=False)
    entry.record_send(worker)
    assert entry.open_workers([worker]) == []
    wait_s = entry.available_in_s(worker)
    clock.now += wait_s
    assert entry.open_workers([worker]) == [worker]


def test_worker_without_capacity_gets_no_requests(clock):
    assert divide(bound_of(WarmUp(3.0, 0.2), 1.5, 0.0), entries=8) is None
    entry = make_warm_ups(
        make_fleet(0, [], clock), clock, warm_up=WarmUp(3.0, 0.01)
    )
    entry.slack = 0.0
    entry.record_registration(cold(), appeared=False)
    assert entry.open_workers([cold()]) == []


@pytest.mark.parametrize("rate_per_s", [0.5, 1.0, 3.0, 9.0, 40.0])
@pytest.mark.parametrize("entries", [1, 2, 3, 8, 420])
def test_shares_of_all_senders_add_up_within_bound(rate_per_s, entries):
    most = rate_per_s * OVERSHOOT + SLACK
    parts = divide(bound_of(WarmUp(3.0, rate_per_s), OVERSHOOT, SLACK), entries)
    each = math.floor(1.0 / parts.pause_s) + 1
    assert parts.senders * each <= most
    assert parts.live_senders / parts.pause_s <= rate_per_s


# Which workers warm up.


def test_new_worker_is_assumed_cold_whatever_it_reports(clock):
    entry = make_warm_ups(make_fleet(0, [], clock), clock)
    worker = make_worker("w0", warm_in_s=0.0)
    entry.record_registration(worker, appeared=True)
    assert entry.is_warming_up(worker)
    clock.now += WARM_UP.start_s + HEARTBEAT_S
    assert not entry.is_warming_up(worker)


def test_report_of_known_worker_is_trusted(clock):
    entry = make_warm_ups(make_fleet(0, [], clock), clock)
    entry.record_registration(make_worker("w0"), appeared=False)
    assert not entry.is_warming_up(make_worker("w0"))
    entry.record_registration(cold(), appeared=False)
    assert entry.is_warming_up(cold())


def test_worker_may_go_cold_again_at_any_time(clock):
    entry = make_warm_ups(make_fleet(0, [], clock), clock)
    entry.record_registration(cold(warm_in_s=1.0), appeared=False)
    clock.now += 1.0
    # The report is as old as the time that it took to arrive.
    assert entry.is_warming_up(cold())
    clock.now += PROPAGATION_S
    assert not entry.is_warming_up(cold())
    entry.record_registration(cold(warm_in_s=2.0), appeared=False)
    assert entry.is_warming_up(cold())
    entry.record_registration(cold(warm_in_s=0.0), appeared=False)
    assert not entry.is_warming_up(cold())


def test_new_incarnation_is_assumed_cold(clock):
    entry = make_warm_ups(make_fleet(0, [], clock), clock)
    before = make_worker("w0", born=1)
    entry.record_registration(before, appeared=False)
    after = attrs.evolve(before, born=2)
    entry.record_registration(after, appeared=True)
    assert entry.is_warming_up(after)
    assert not entry.is_warming_up(before)


def test_service_without_warm_up_is_not_bounded(clock):
    entry = make_warm_ups(make_fleet(0, [], clock), clock)
    plain = make_worker("w0", service="plain", warm_in_s=3.0)
    entry.record_registration(plain, appeared=True)
    assert entry.open_workers([plain]) == [plain]


def test_state_of_old_workers_is_dropped(clock):
    entry = make_warm_ups(make_fleet(0, [], clock), clock)
    for number in range(50):
        entry.record_registration(cold(number), appeared=True)
        entry.record_send(cold(number))
        clock.now += 10.0
    assert len(entry.presumed_cold_at) < 10
    assert len(entry.shares.sent_at) < 10
