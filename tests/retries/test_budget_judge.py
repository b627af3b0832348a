"""The judge of repeats detects what breaks each sentence, and no more."""

import attrs
import pytest

from tests.lib.budget_judge import (
    Arrival,
    BudgetRecord,
    Crash,
    Rest,
    Sent,
    judge_budget,
)
from tests.lib.repeat_judge import RepeatBound

BOUND = RepeatBound(ratio=0.5, slack=2, window_s=10.0)


def broken(record):
    return [name for name, _seen in judge_budget(record)]


def make_record(**more):
    return BudgetRecord(BOUND, **more)


def with_disturbance(record, at):
    """Returns a copy whose entry was killed at a time."""
    return attrs.evolve(record, disturbed=[("entry-0", at, at + 0.1)])


def test_a_calm_record_breaks_no_sentence():
    sent = [Sent(str(n), n * 0.1) for n in range(50)]
    arrivals = [Arrival(each.id, each.at + 0.01, "w0") for each in sent]
    assert broken(make_record(sent=sent, arrivals=arrivals)) == []


@pytest.mark.parametrize(("repeats", "found"), [(2, []), (3, ["sum"])])
def test_sum_of_repeats(repeats, found):
    sent = [Sent("1", 0.0, service="a"), Sent("2", 0.0, service="b")]
    arrivals = [Arrival("1", 0.1, f"w{n % 3}") for n in range(repeats + 1)]
    assert broken(make_record(sent=sent, arrivals=arrivals)) == found


def over_attempts(count):
    sent = [Sent(str(n), n * 100.0, attempts=2) for n in range(count)]
    arrivals = [
        Arrival(each.id, each.at + 0.1 * n, f"w{n}")
        for each in sent
        for n in range(3)
    ]
    return make_record(sent=sent, arrivals=arrivals)


def test_requests_on_more_workers_than_allowed():
    assert broken(over_attempts(3)) == []
    record = over_attempts(4)
    assert broken(record) == ["attempts"]
    refused = [attrs.evolve(each, ran=False) for each in record.arrivals]
    assert broken(attrs.evolve(record, arrivals=refused)) == []


def test_workers_that_ended_or_were_cut_off_do_not_count_as_attempts():
    record = over_attempts(4)
    crash = Crash(0.15, "w0", frozenset())
    assert broken(attrs.evolve(record, crashes=[crash])) == []
    cut = ("entry-0", "w1", 0.15, 0.16)
    assert broken(attrs.evolve(record, cuts=[cut])) == []
    later = Crash(0.25, "w0", frozenset())
    assert broken(attrs.evolve(record, crashes=[later])) == ["attempts"]


def long_deadlines(count, left_s=3.6, **more):
    sent = [Sent(str(n), n * 1.0, **more) for n in range(count)]
    arrivals = [Arrival(each.id, each.at, "w0", left_s=left_s) for each in sent]
    return make_record(sent=sent, arrivals=arrivals)


@pytest.mark.parametrize("left_s", [3.6, None])
def test_more_time_than_is_left(left_s):
    assert broken(long_deadlines(20, left_s)) == []
    assert broken(long_deadlines(21, left_s)) == ["time left"]
    assert broken(long_deadlines(21, 3.4)) == []
    assert broken(long_deadlines(21, left_s, stream=True)) == []


def late_repeats(left_s, gap_s=1.0):
    sent = [Sent(str(n), n * 100.0) for n in range(21)]
    arrivals = [
        Arrival(each.id, each.at + at, worker, left_s=left)
        for each in sent
        for at, worker, left in ((0.0, "w0", 3.0), (gap_s, "w1", left_s))
    ]
    return make_record(sent=sent, arrivals=arrivals)


def test_late_repeats_with_more_time_than_is_left():
    assert broken(late_repeats(2.6)) == ["time left"]
    assert broken(late_repeats(2.4)) == []
    assert broken(late_repeats(2.9, gap_s=0.4)) == []


def test_long_deadlines_of_disturbed_entries_do_not_count():
    record = long_deadlines(21)
    assert broken(with_disturbance(record, 0.0)) == []


def crashing_content(late, content="bad"):
    times = [0.0, 0.5, 1.0, *(4.1 + n * 0.1 for n in range(late))]
    sent = [Sent(str(n), at, content=content) for n, at in enumerate(times)]
    return make_record(
        sent=sent,
        arrivals=[Arrival(each.id, each.at, f"w{each.id}") for each in sent],
        crashes=[
            Crash(each.at + 0.05, f"w{each.id}", frozenset({each.id}))
            for each in sent[:3]
        ],
    )


def test_a_request_that_crashes_workers_is_retried_too_late():
    assert broken(crashing_content(3)) == []
    record = crashing_content(4)
    assert broken(record) == ["content"]
    assert broken(attrs.evolve(record, crashes=record.crashes[:2])) == []
    assert broken(with_disturbance(record, 2.0)) == []


def crashing_part(late, bad_from=0.0):
    times = [
        *(n * 0.5 for n in range(5)),
        *(5.1 + n * 0.1 for n in range(late)),
    ]
    sent = [Sent(str(n), at, parts=("p",)) for n, at in enumerate(times)]
    return make_record(
        sent=sent,
        arrivals=[Arrival(each.id, each.at, f"w{each.id}") for each in sent],
        crashes=[
            Crash(each.at + 0.05, f"w{each.id}", frozenset({each.id}))
            for each in sent[:5]
        ],
        bad_parts={"p": bad_from},
    )


def test_requests_with_a_part_that_crashes_workers_come_too_late():
    assert broken(crashing_part(3)) == []
    record = crashing_part(4)
    assert broken(record) == ["part"]
    assert broken(crashing_part(4, bad_from=0.2)) == []
    assert broken(attrs.evolve(record, bad_parts={"q": 0.0})) == []
    assert broken(with_disturbance(record, 3.0)) == []


def rested(count, at=1.0):
    arrivals = [Arrival(str(n), at, "w0") for n in range(count)]
    return make_record(
        arrivals=arrivals, rests=[Rest("w0", "entry-0", 0.0, 2.0)]
    )


def test_requests_that_a_worker_gets_in_its_rest():
    assert broken(rested(2)) == []
    assert broken(rested(3)) == ["rest"]
    assert broken(rested(3, at=0.4)) == []
    assert broken(rested(3, at=2.1)) == []
    assert broken(with_disturbance(rested(3), 1.0)) == []
    other = [attrs.evolve(each, entry="entry-1") for each in rested(3).arrivals]
    assert broken(attrs.evolve(rested(3), arrivals=other)) == []
