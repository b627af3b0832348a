"""Backoffs that workers asked this entry for."""

import random

import attrs
import pytest

from rattanpier._internal.placement.backoffs import (
    JITTER_SHARE,
    MAX_BACKOFF_S,
    MAX_BACKOFFS,
    Backoffs,
)
from rattanpier._internal.platform.upstream import (
    UNREADABLE_BACKOFF_S,
    decode_backoff,
)
from rattanpier._internal.relay.connection import WireHead
from tests.lib.clock import ManualClock
from tests.lib.relay_parts import make_worker, make_workers

WORKER = make_worker("w0")


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def backoffs(clock):
    return Backoffs(clock, random.Random(1))


def test_worker_gets_no_requests_during_its_backoff(backoffs, clock):
    backoffs.record_backoff(WORKER.incarnation, 3.0)
    clock.now += 2.99
    assert backoffs.open_workers([WORKER]) == []
    clock.now += 0.02 + 3.0 * JITTER_SHARE
    assert backoffs.open_workers([WORKER]) == [WORKER]


def test_later_shorter_backoff_does_not_end_longer_one(backoffs, clock):
    backoffs.record_backoff(WORKER.incarnation, 3.0)
    backoffs.record_backoff(WORKER.incarnation, 0.1)
    clock.now += 2.9
    assert backoffs.open_workers([WORKER]) == []


def test_backoffs_that_start_together_end_at_different_times(clock):
    ends = []
    for number in range(200):
        entry = Backoffs(clock, random.Random(f"entry-{number}"))
        entry.record_backoff(WORKER.incarnation, 4.0)
        ends.append(entry.available_in_s(WORKER.incarnation))
    assert 4.0 <= min(ends) <= max(ends) <= 5.0
    in_a_tenth = max(
        sum(at <= other < at + 0.1 for other in ends) for at in ends
    )
    assert in_a_tenth <= 0.2 * len(ends)


def test_backoff_does_not_apply_to_new_incarnation(backoffs):
    backoffs.record_backoff(attrs.evolve(WORKER, born=1).incarnation, 3.0)
    again = attrs.evolve(WORKER, born=2)
    assert backoffs.open_workers([again]) == [again]


def test_backoff_is_capped(backoffs):
    backoffs.record_backoff(WORKER.incarnation, 31536000.0)
    assert backoffs.available_in_s(WORKER.incarnation) <= MAX_BACKOFF_S


def test_number_of_stored_backoffs_is_bounded(backoffs, clock):
    for worker in make_workers(4 * MAX_BACKOFFS):
        backoffs.record_backoff(worker.incarnation, 0.001)
        clock.now += 0.01
    assert len(backoffs.until) <= MAX_BACKOFFS


@pytest.mark.parametrize(
    ("status", "texts", "found"),
    [
        (503, [], 0.0),
        (503, ["3"], 3.0),
        (429, ["0.25"], 0.25),
        (503, ["1", "4"], 4.0),
        (503, ["-5"], 0.0),
        (503, [""], UNREADABLE_BACKOFF_S),
        (503, ["nan"], UNREADABLE_BACKOFF_S),
        (503, ["inf"], UNREADABLE_BACKOFF_S),
        (503, ["Fri, 01 Jan 2027 00:00:00 GMT"], UNREADABLE_BACKOFF_S),
        (503, ["31536000"], 31536000.0),
        (200, ["3"], 0.0),
    ],
)
def test_malformed_retry_after_is_read_safely(status, texts, found):
    headers = tuple(("retry-after", text) for text in texts)
    assert decode_backoff(WireHead(status, headers, True)) == found
