"""Order, refusal and shedding of an entry's queue, without I/O."""

import random

import pytest
import structlog.testing

from rattanpier._internal.models.refusal import Refusal, RefusalCode
from rattanpier._internal.placement.worker_room import NoRoom, RoomLimit
from rattanpier._internal.relay.admission import (
    MAX_QUEUED,
    EntryAdmission,
)
from rattanpier._internal.relay.load import InFlight
from rattanpier._internal.relay.placement import Choice
from rattanpier._internal.relay.service_queue import (
    COUNTER_HALF_LIFE_S,
    Demand,
    Waiter,
)
from rattanpier._internal.utils.metrics import Metrics
from tests.lib.clock import ManualClock
from tests.lib.relay_parts import make_worker

FULL = NoRoom(RoomLimit.SLOTS, 0.3)
CHOICE = Choice(make_worker("w"), 0.0, 0.0, 1, None)
COST = 100.0


class Queue:
    """An entry's queue, and what became of the requests in it."""

    def __init__(self):
        self.clock = ManualClock()
        self.admission = EntryAdmission(self.clock, random.Random(1), Metrics())
        self.room = 0
        self.served = []
        self.refused = {}

    def ask(self, id, workspace="a", priority=5, left_s=1000.0, cost=COST):
        """Queues a request; returns its refusal, or None if it is queued."""
        deadline = self.clock.now + left_s
        demand = Demand(id, "s", workspace, priority, cost, deadline, deadline)

        def find():
            return CHOICE if self.room > 0 else FULL

        def resolve(outcome):
            if isinstance(outcome, Refusal):
                self.refused[id] = outcome
                return
            self.room -= 1
            self.served.append(id)
            self.send(workspace, cost)

        waiter = Waiter(demand, FULL, self.clock.now, find, resolve)
        queued = self.admission.enqueue(waiter)
        if isinstance(queued, Refusal):
            return queued
        self.last = queued
        return None

    def send(self, workspace="a", cost=COST):
        flight = InFlight(cost=cost, workspace=workspace)
        self.admission.record_sent("s", flight)
        return flight

    def end(self, flight):
        self.admission.record_ended("s", flight)

    def measure(self, per_s):
        """Makes one request end, so that the drain rate is known."""
        flight = self.send("other", COST)
        self.clock.now += COST / per_s
        self.end(flight)

    def serve(self, count):
        """Lets `count` requests go, one after another."""
        for _ in range(count):
            self.room = 1
            self.clock.now += 5.0
            self.admission.release("s")
        return self.served


@pytest.fixture
def queue():
    return Queue()


def test_the_more_urgent_request_goes_first(queue):
    for id, priority in (("late", 5), ("soon", 1), ("last", 9)):
        queue.ask(id, priority=priority)
    assert queue.serve(3) == ["soon", "late", "last"]


def test_the_workspace_that_was_served_least_goes_first(queue):
    for _ in range(7):
        queue.send("flood")
    queue.send("small")
    queue.ask("f1", "flood")
    queue.ask("f2", "flood")
    queue.ask("s1", "small")
    assert queue.serve(2) == ["s1", "f1"]


def test_the_request_with_the_earlier_deadline_of_a_workspace_goes_first(queue):
    queue.ask("long", left_s=900.0)
    queue.ask("short", left_s=500.0)
    assert queue.serve(2) == ["short", "long"]


def test_usage_counts_less_as_it_grows_old(queue):
    for _ in range(4):
        queue.send("before")
    queue.clock.now += 3 * COUNTER_HALF_LIFE_S
    queue.send("now")
    queue.ask("n", "now")
    queue.ask("b", "before")
    assert queue.serve(2) == ["b", "n"]


def test_a_request_that_did_not_run_is_not_charged(queue):
    flight = queue.send("a")
    flight.not_run = True
    queue.end(flight)
    assert queue.admission.services["s"].counters["a"] == 0.0


def test_a_request_that_can_not_be_in_time_is_refused_at_once(queue):
    queue.measure(per_s=100.0)
    for number in range(3):
        assert queue.ask(str(number), left_s=3.5) is None
    refusal = queue.ask("late", left_s=3.9)
    assert refusal.code is RefusalCode.QUEUE_FULL
    assert refusal.not_run
    assert queue.ask("in time", left_s=4.1) is None


def test_a_less_urgent_request_is_refused_for_the_more_urgent_ones(queue):
    queue.measure(per_s=100.0)
    for number in range(3):
        queue.ask(str(number), priority=1)
    assert isinstance(queue.ask("late", priority=5, left_s=3.0), Refusal)
    assert queue.ask("urgent", priority=0, left_s=3.0) is None


def test_a_queued_request_is_shed_for_one_that_goes_first(queue):
    """Otherwise it would be held in vain until its deadline."""
    queue.measure(per_s=100.0)
    assert queue.ask("queued", priority=5, left_s=1.5) is None
    assert queue.ask("urgent", priority=1, left_s=9.0) is None
    assert list(queue.refused) == ["queued"]


def test_queued_requests_are_shed_once_workers_become_slower(queue):
    queue.measure(per_s=100.0)
    assert queue.ask("a", left_s=9.0) is None
    while not queue.refused:
        queue.clock.now += 0.25
        queue.admission.shed()
        assert queue.clock.now < 9.0
    assert queue.refused["a"].code is RefusalCode.QUEUE_FULL
    assert queue.admission.queued() == 0


def test_nothing_is_refused_before_a_drain_rate_is_known(queue):
    for number in range(50):
        assert queue.ask(str(number), left_s=0.5) is None


def test_the_length_of_the_queue_is_bounded(queue):
    for number in range(MAX_QUEUED):
        assert queue.ask(str(number)) is None
    assert queue.ask("more").code is RefusalCode.QUEUE_FULL


def test_retry_after_follows_from_the_drain_rate_with_jitter(queue):
    queue.measure(per_s=100.0)
    for number in range(20):
        queue.ask(str(number), left_s=50.0)
    last = [queue.ask("x", left_s=51.0, cost=4000.0) for _ in range(9)]
    waits = {each.retry_after_s for each in last}
    assert len(waits) > 1
    # Callers honor no more than a third of the time left.
    assert all(0.6 * 17.0 <= each <= 17.0 for each in waits)


def test_a_short_queue_gives_a_short_retry_after(queue):
    queue.measure(per_s=1000.0)
    queue.ask("a", left_s=500.0)
    refusal = queue.ask("b", left_s=0.12, cost=150.0)
    assert 0.0 < refusal.retry_after_s <= 0.04


def test_a_stopping_entry_refuses_what_is_queued_and_what_comes(queue):
    queue.ask("a")
    queue.ask("b", priority=1)
    queue.admission.stop()
    codes = {each.code for each in queue.refused.values()}
    assert codes == {RefusalCode.DRAINING}
    assert len(queue.refused) == 2
    assert queue.ask("c").code is RefusalCode.DRAINING
    assert queue.admission.queued() == 0


def test_a_request_that_is_too_late_when_room_is_found_is_refused(queue):
    """Guards against a run that can't end before the request's deadline."""
    queue.ask("late", left_s=1.0)
    queue.ask("in time", left_s=5.0)
    queue.clock.now += 1.1
    queue.room = 2
    queue.admission.release("s")
    assert queue.served == ["in time"]
    assert list(queue.refused) == ["late"]
    assert queue.refused["late"].not_run


def test_a_request_whose_caller_left_is_removed(queue):
    queue.ask("a")
    queue.admission.remove(queue.last)
    assert queue.admission.queued() == 0
    assert queue.serve(1) == []


def test_a_request_without_eligible_workers_does_not_wait(queue):
    found = []
    demand = Demand("a", "s", "a", 5, COST, 99.0, 99.0)
    queue.admission.enqueue(
        Waiter(demand, FULL, 0.0, lambda: None, found.append)
    )
    queue.clock.now += 1.0
    queue.admission.release("s")
    assert found == [None]
    assert queue.admission.queued() == 0


def test_releases_are_paced_by_the_drain_rate(queue):
    """All entries learn of room at once and would send their whole queues."""
    queue.measure(per_s=100.0)
    for number in range(40):
        queue.ask(str(number))
    queue.room = 40
    queue.clock.now += 0.25
    queue.admission.release("s")
    assert 1 <= len(queue.served) <= 2


def test_the_log_says_which_limit_whose_request_and_how_old_the_figures_are(
    queue,
):
    queue.measure(per_s=100.0)
    with structlog.testing.capture_logs() as lines:
        queue.ask("a", "acme")
        queue.ask("b", "acme", left_s=0.5)
    for line, queued in zip(lines, (1, 1), strict=True):
        assert line["limit"] == "slots"
        assert line["workspace"] == "acme"
        assert line["report_age_s"] == 0.3
        assert line["queued"] == queued
        assert line["drain_rate"] == 100.0
    counts = queue.admission.metrics.counts
    assert counts["relay.queued"] == counts["relay.queue_refused"] == 1
    assert queue.admission.metrics.gauges["relay.queue_length"] == 1
