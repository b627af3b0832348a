"""Accounting of the bytes held for slow callers, and which one is closed."""

import attrs
import pytest
from hypothesis import settings, strategies
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from rattanpier._internal.exceptions import SettingsError
from rattanpier._internal.platform.settings import decode_settings
from rattanpier._internal.relay.slow_readers import (
    CALLER_LIMIT_BYTES,
    MAX_UNREAD_BYTES,
    MIN_BUFFER_BYTES,
    MIN_STALL_S,
    CloseReason,
    SlowReaders,
    total_limit_bytes,
)
from rattanpier._internal.utils.metrics import Metrics
from tests.lib.platform_site import settings_document
from tests.lib.slow_callers import FakeConnection, StillClock, make_readers

MAX_EVENT = 300_000
MAX_BODY = 100_000
LIMIT = 3_000_000


class Accounting(RuleBasedStateMachine):
    """The sum is exact over opens, writes, reads and closes, and limited.

    A writer waits as asyncio makes it wait: from above the upper limit of the
    write buffer down to the lower one.
    """

    def __init__(self):
        super().__init__()
        self.clock = StillClock()
        self.readers = make_readers(self.clock, LIMIT)
        self.open = []  # Connections that neither side has closed.
        self.running = {}  # Account of the request in progress.
        self.rest = {}  # Bytes of its body and of its answers held whole.
        self.waiting = set()  # Connections whose writers wait.

    def pick(self, number):
        self.open = [each for each in self.open if not each.closed]
        return self.open[number % len(self.open)] if self.open else None

    def stop_waiting(self, connection):
        if connection.limits and connection.size <= connection.limits[1]:
            self.waiting.discard(connection)

    @rule()
    def connect(self):
        self.open.append(FakeConnection())

    @rule(
        number=strategies.integers(0, 99),
        body=strategies.integers(0, MAX_BODY),
        wait_s=strategies.floats(0.0, 2.0),
    )
    def begin(self, number, body, wait_s):
        connection = self.pick(number)
        if connection is None or connection in self.running:
            return
        self.clock.now += wait_s
        held = self.readers.begin_request(connection, connection.callbacks)
        self.running[connection] = held
        self.rest[connection] = body
        connection.unread = 0
        held.add_body(body)
        held.limit_buffer()

    @rule(
        number=strategies.integers(0, 99),
        size=strategies.integers(1, MAX_EVENT),
        sent=strategies.integers(0, MAX_EVENT),
    )
    def write(self, number, size, sent):
        connection = self.pick(number)
        if connection not in self.running or connection in self.waiting:
            return
        connection.size += max(0, size - (0 if connection.size else sent))
        if connection.size > connection.limits[0]:
            self.waiting.add(connection)
        self.running[connection].record_write(size)

    @rule(
        number=strategies.integers(0, 99),
        size=strategies.integers(1, 2 * MAX_EVENT),
    )
    def read(self, number, size):
        connection = self.pick(number)
        if connection is not None:
            connection.size = max(0, connection.size - size)
            self.stop_waiting(connection)

    @rule(
        number=strategies.integers(0, 99),
        size=strategies.integers(1, MAX_UNREAD_BYTES),
    )
    def receive(self, number, size):
        """Lets the connection to the worker of a waiting writer hold bytes."""
        connection = self.pick(number)
        if connection in self.running and connection in self.waiting:
            connection.unread = size
            self.running[connection].unread_size = lambda: connection.unread

    @rule(number=strategies.integers(0, 99), size=strategies.integers(1, 10**6))
    def hold_answer(self, number, size):
        connection = self.pick(number)
        if connection in self.running:
            self.rest[connection] += size
            self.running[connection].add_answer(size)

    @rule(number=strategies.integers(0, 99))
    def end(self, number):
        connection = self.pick(number)
        if connection in self.running:
            self.readers.end_request(self.running.pop(connection))

    @rule(number=strategies.integers(0, 99))
    def leave(self, number):
        connection = self.pick(number)
        if connection is None:
            return
        connection.size = 0
        self.open.remove(connection)
        if connection in self.running:
            self.readers.end_request(self.running.pop(connection))

    @rule(wait_s=strategies.floats(0.0, 2.0))
    def check(self, wait_s):
        self.clock.now += wait_s
        self.readers.check()

    @invariant()
    def sum_is_exact_and_limits_hold(self):
        self.readers.check()
        assert self.readers.total == self.held()
        for connection, held in self.running.items():
            rest = held.body + MAX_UNREAD_BYTES
            most = CALLER_LIMIT_BYTES + MAX_EVENT - rest
            assert connection.size <= most
        slow = any(each.size for each in self.open)
        assert self.readers.total <= LIMIT or not slow
        buffered = {each for each in self.open if each.size}
        known = set(self.readers.connections)
        assert buffered <= known <= buffered | set(self.running)

    def held(self):
        """Returns the bytes held, by what the test did itself."""
        running = [each for each in self.running if not each.closed]
        rest = sum(
            self.rest[each] + (each.unread if each.size else 0)
            for each in running
        )
        return rest + sum(each.size for each in self.open)


TestAccounting = Accounting.TestCase
TestAccounting.settings = settings(
    max_examples=200, stateful_step_count=60, deadline=None
)


@pytest.fixture
def clock():
    return StillClock()


def begin(readers, deadline=1e9):
    connection = FakeConnection()
    held = readers.begin_request(connection, connection.callbacks)
    held.deadline = deadline
    return connection, held


def write(connection, held, count):
    connection.size += count
    held.record_write(count)


def test_longest_without_reading_is_closed_among_equals(clock):
    """Guards against closing whoever comes first."""
    readers = make_readers(clock, 300)
    new, new_held = begin(readers)
    old, old_held = begin(readers)
    write(old, old_held, 100)
    clock.now += 5.0
    write(new, new_held, 100)
    clock.now += 1.0
    other, other_held = begin(readers)
    write(other, other_held, 101)
    assert [each.closed for each in (new, old, other)] == [False, True, False]
    assert old_held.closed is CloseReason.TOTAL
    assert readers.metrics.counts["relay.slow_reader_closed.total"] == 1


def test_largest_is_closed_among_those_equally_long(clock):
    """Guards against closing many small holders instead of a large one."""
    readers = make_readers(clock, 500)
    small, small_held = begin(readers)
    large, large_held = begin(readers)
    write(small, small_held, 100)
    write(large, large_held, 300)
    clock.now += 2.0
    other, other_held = begin(readers)
    write(other, other_held, 200)
    assert [each.closed for each in (small, large, other)] == [
        False,
        True,
        False,
    ]


def test_steady_reader_at_its_limit_is_spared(clock):
    """Guards against closing whoever holds most although it reads."""
    readers = make_readers(clock, 1000)
    steady, steady_held = begin(readers)
    stuck, stuck_held = begin(readers)
    write(stuck, stuck_held, 300)
    write(steady, steady_held, 600)
    for _ in range(10):
        clock.now += 1.0
        steady.size -= 100
        write(steady, steady_held, 100)
    write(steady, steady_held, 101)
    assert (steady.closed, stuck.closed) == (False, True)


def test_reads_are_seen_before_a_connection_is_closed(clock):
    """Guards against closing for bytes that were read already."""
    readers = make_readers(clock, 1000)
    first, first_held = begin(readers)
    second, second_held = begin(readers)
    write(first, first_held, 900)
    clock.now += 3.0
    first.size = 0
    write(second, second_held, 900)
    assert not first.closed
    assert not second.closed
    assert readers.total == 900


def test_bodies_alone_close_nothing(clock):
    """Guards against throwing away requests that are no slow readers."""
    readers = make_readers(clock, 1000)
    held = [begin(readers)[1] for _ in range(4)]
    for each in held:
        each.add_body(500)
    assert readers.total == 2000
    assert not any(each.closed for each in held)


def test_no_total_limit_without_a_known_memory(clock):
    readers = make_readers(clock, total_limit_bytes(None))
    connection, held = begin(readers)
    write(connection, held, 10**9)
    assert not connection.closed


def test_stalled_caller_is_closed_some_time_after_its_deadline(clock):
    """Guards against connections that hold an unread answer for ever."""
    readers = make_readers(clock, None)
    stalled, stalled_held = begin(readers, deadline=3.0)
    reading, reading_held = begin(readers, deadline=3.0)
    write(stalled, stalled_held, 100)
    write(reading, reading_held, 100)
    readers.end_request(stalled_held)
    clock.now = MIN_STALL_S - 0.1
    assert readers.check()
    assert not stalled.closed
    reading.size -= 1
    clock.now = MIN_STALL_S
    assert readers.check()
    assert (stalled.closed, reading.closed) == (True, False)
    assert readers.metrics.counts["relay.slow_reader_closed.deadline"] == 1


def test_answer_that_comes_just_before_the_deadline_can_be_read(clock):
    """Guards against throwing away an answer that was ready in time."""
    readers = make_readers(clock, None)
    connection, held = begin(readers, deadline=3.0)
    clock.now = 2.9
    write(connection, held, 100)
    clock.now = 3.0
    readers.check()
    assert not connection.closed
    clock.now = 2.9 + MIN_STALL_S
    readers.check()
    assert connection.closed


def test_a_caller_that_reads_at_once_costs_no_checks(clock):
    """Guards against timers and entries for callers that are not slow."""
    started = []
    readers = SlowReaders(clock, Metrics(), 1000, lambda: started.append(1))
    connection, held = begin(readers)
    for _ in range(100):
        held.record_write(100)
    readers.end_request(held)
    assert not started
    assert not readers.connections
    assert readers.total == 0


def test_checks_are_started_once_and_again_after_their_end(clock):
    started = []
    readers = SlowReaders(clock, Metrics(), None, lambda: started.append(1))
    for _ in range(2):
        connection, held = begin(readers)
        write(connection, held, 10)
        write(connection, held, 10)
        assert readers.check()
        connection.size = 0
        assert not readers.check()
    assert len(started) == 2


def test_body_and_unread_bytes_count_towards_the_limit_of_a_caller(clock):
    """Guards against holding more than 1 MiB for one caller."""
    readers = make_readers(clock, None)
    connection, held = begin(readers)
    held.add_body(300_000)
    held.limit_buffer()
    high, low = connection.limits
    assert high + 300_000 + MAX_UNREAD_BYTES == CALLER_LIMIT_BYTES
    assert 0 < low < high
    held.add_body(10**9)
    held.limit_buffer()
    assert connection.limits[0] == MIN_BUFFER_BYTES


def test_whole_and_unread_answers_are_counted(clock):
    readers = make_readers(clock, None)
    connection, held = begin(readers)
    held.add_answer(1000)
    held.add_answer(500)
    held.add_answer(-500)
    held.unread_size = lambda: 70
    write(connection, held, 30)
    assert readers.total == 1100
    held.release_answers()
    assert readers.total == 100
    readers.end_request(held)
    assert readers.total == 30


def test_unread_bytes_of_workers_are_limited_at_the_next_check(clock):
    """Guards against many callers at their limits that are not written to."""
    readers = make_readers(clock, 1000)
    connection, held = begin(readers)
    write(connection, held, 900)
    held.unread_size = lambda: 200
    assert not readers.check()
    assert connection.closed
    assert readers.total == 0


def test_closed_connection_counts_nothing_more(clock):
    """Guards against a sum that drifts after a close."""
    readers = make_readers(clock, 100)
    connection, held = begin(readers)
    held.add_body(50)
    write(connection, held, 60)
    assert connection.closed
    held.add_answer(10)
    connection.size = 10
    held.record_write(10)
    readers.end_request(held)
    assert readers.total == 0
    assert not readers.connections


def decode(limits):
    document = settings_document("127.0.0.1:1") | limits
    return decode_settings(document, "test")


@pytest.mark.parametrize(
    ("limits", "memory_bytes"),
    [
        ({}, None),
        ({"limits": {}}, None),
        ({"limits": {"memoryMb": None}}, None),
        ({"limits": {"memoryMb": 160}}, 160_000_000),
        ({"limits": {"memoryMb": 160.5}}, 160_500_000),
    ],
)
def test_memory_is_decoded(limits, memory_bytes):
    assert decode(limits).memory_bytes == memory_bytes


@pytest.mark.parametrize(
    "value", [0, -1, 8, True, "160", [160], float("nan"), float("inf")]
)
def test_impossible_memory_is_refused_by_name(value):
    """Guards against starting with a limit that no caller fits in."""
    with pytest.raises(SettingsError, match="limits.memoryMb"):
        decode({"limits": {"memoryMb": value}})


def test_limits_of_an_entry():
    assert total_limit_bytes(160_000_000) == 20_000_000
    assert attrs.fields(SlowReaders).total_limit.default is None
