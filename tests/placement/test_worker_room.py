"""What a worker has room for, without I/O."""

import pytest

from rattanpier._internal.models.route_table import EngineSpec
from rattanpier._internal.models.upstream_request import ReportedLoad
from rattanpier._internal.placement.worker_room import (
    CAUTION_S,
    FRESH_S,
    PROBE_INTERVAL_S,
    REFUSED_FULL_S,
    RoomLimit,
    WorkerRooms,
)
from rattanpier._internal.relay.load import Loads
from tests.lib.clock import ManualClock
from tests.lib.relay_parts import make_worker

WORKER = make_worker("w", slots=4)


@pytest.fixture
def rooms():
    return WorkerRooms(Loads(ManualClock()), lambda _service: None)


def begin(rooms, count, tokens=0):
    return [rooms.loads.begin("w", 0.0, tokens=tokens) for _ in range(count)]


def test_a_worker_whose_load_is_unknown_has_room(rooms):
    assert rooms.limit_of(WORKER) is None


def test_own_requests_fill_slots_and_queue(rooms):
    flights = begin(rooms, 11)
    assert rooms.has_room(WORKER)
    flights += begin(rooms, 1)
    assert rooms.limit_of(WORKER) is RoomLimit.SLOTS
    rooms.loads.end("w", flights[0])
    assert rooms.has_room(WORKER)


def test_requests_of_peers_count_by_a_fresh_report_and_decay(rooms):
    rooms.loads.record_report("w", ReportedLoad(4, 8, 4))
    assert rooms.limit_of(WORKER) is RoomLimit.SLOTS
    rooms.loads.clock.now += FRESH_S
    assert rooms.limit_of(WORKER) is RoomLimit.SLOTS
    rooms.loads.clock.now += 1.0
    assert rooms.has_room(WORKER)


def test_waiting_requests_imply_that_the_slots_are_in_use(rooms):
    rooms.loads.workers["w"].record_waiting(8, 0.0)
    assert rooms.limit_of(WORKER) is RoomLimit.SLOTS


def test_the_larger_number_of_slots_counts(rooms):
    """Too low a number in a registration would refuse without evidence."""
    begin(rooms, 12)
    rooms.loads.record_report("w", ReportedLoad(4, 0, 32))
    assert rooms.has_room(WORKER)


def test_a_refusal_counts_for_a_moment(rooms):
    rooms.record_refusal(WORKER)
    assert rooms.limit_of(WORKER) is RoomLimit.REFUSED
    rooms.loads.clock.now += REFUSED_FULL_S
    assert rooms.has_room(WORKER)


def test_a_refusal_counts_until_a_load_below_the_slots_is_reported(rooms):
    rooms.record_refusal(WORKER)
    rooms.record_answer(WORKER, ReportedLoad(4, 0, 4))
    rooms.record_answer(WORKER, None)
    assert rooms.limit_of(WORKER) is RoomLimit.REFUSED
    rooms.record_answer(WORKER, ReportedLoad(3, 0, 4))
    assert rooms.has_room(WORKER)


def test_a_worker_that_refused_gets_queued_requests_one_by_one(rooms):
    """A whole queue sent there at once would be refused."""
    rooms.record_refusal(WORKER)
    rooms.loads.clock.now += REFUSED_FULL_S
    assert rooms.may_release(WORKER, 0)
    rooms.record_release(WORKER)
    assert not rooms.may_release(WORKER, 0)
    rooms.loads.clock.now += PROBE_INTERVAL_S
    assert rooms.may_release(WORKER, 0)


def test_a_queued_request_follows_each_own_end_at_a_worker_that_refused(rooms):
    begin(rooms, 2)
    rooms.record_refusal(WORKER)
    rooms.loads.clock.now += REFUSED_FULL_S
    assert not rooms.may_release(WORKER, 0)
    rooms.record_ended(WORKER)
    assert rooms.may_release(WORKER, 0)
    rooms.record_release(WORKER)
    assert not rooms.may_release(WORKER, 0)
    rooms.loads.clock.now += CAUTION_S
    assert rooms.may_release(WORKER, 0)


def test_tokens_in_flight_are_bounded_by_the_cache():
    engine = EngineSpec(4, 1000)
    rooms = WorkerRooms(Loads(ManualClock()), lambda _service: engine)
    flights = begin(rooms, 1, tokens=600)
    assert rooms.has_room(WORKER, 400)
    assert rooms.limit_of(WORKER, 401) is RoomLimit.KV_CACHE
    rooms.loads.end("w", flights[0])
    assert rooms.has_room(WORKER, 1000)
    assert rooms.limit_of(WORKER, 1001) is RoomLimit.KV_CACHE


def test_requests_of_peers_count_as_long_as_own_ones_in_the_cache():
    engine = EngineSpec(4, 1000)
    rooms = WorkerRooms(Loads(ManualClock()), lambda _service: engine)
    for _ in range(9):
        rooms.record_sent("s", 300)
    rooms.loads.record_report("w", ReportedLoad(3, 0, 4))
    assert rooms.limit_of(WORKER, 300) is RoomLimit.KV_CACHE
    assert rooms.has_room(WORKER, 100)


def test_a_worker_that_was_removed_is_forgotten(rooms):
    rooms.record_refusal(WORKER)
    rooms.forget("w")
    assert rooms.has_room(WORKER)
    assert not rooms.freed
