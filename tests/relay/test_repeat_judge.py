"""The judge of repeats: windows, and which requests count in them."""

import pytest

from tests.lib.repeat_judge import RepeatBound, make_window, worst_window

BOUND = RepeatBound(ratio=0.5, slack=2, window_s=10.0)


def requests_at(*times):
    return [(str(number), at) for number, at in enumerate(times)]


def arrivals(id, *times):
    return [(id, at) for at in times]


def test_without_repeats_nothing_exceeds_the_slack():
    sent = requests_at(0.0, 1.0)
    assert worst_window(sent, sent, BOUND).excess == -BOUND.slack


@pytest.mark.parametrize(
    ("times", "repeats"), [((0.0,) * 4, 3), ((0.0, 9.9), 1), ((0.0, 0.0), 1)]
)
def test_arrivals_beyond_the_first_of_a_request_are_repeats(times, repeats):
    window = worst_window(requests_at(0.0), arrivals("0", *times), BOUND)
    assert window.repeats == repeats


def test_the_first_arrival_of_a_request_that_nobody_sent_is_no_repeat():
    assert worst_window([], arrivals("x", 1.0), BOUND).repeats == 0


def test_repeats_a_whole_window_apart_are_not_added():
    sent = requests_at(0.0)
    together = worst_window(sent, arrivals("0", 0.0, 1.0, 10.9), BOUND)
    apart = worst_window(sent, arrivals("0", 0.0, 1.0, 11.0), BOUND)
    assert (together.repeats, apart.repeats) == (2, 1)


@pytest.mark.parametrize(
    ("sent_at", "counted"),
    [(9.9, 0), (10.0, 1), (15.0, 1), (20.0, 1), (29.9, 1), (30.0, 0)],
)
def test_requests_count_in_the_windows_named_and_in_no_other(sent_at, counted):
    assert make_window(20.0, [sent_at], [], BOUND).requests == counted


def test_the_window_with_most_requests_counts_and_none_are_added_up():
    before = [(f"b{number}", 5.0) for number in range(4)]
    within = [(f"w{number}", 15.0) for number in range(6)]
    repeated = arrivals("r", 0.0, *(12.0 + number for number in range(8)))
    window = worst_window([*before, *within], repeated, BOUND)
    assert window.allowed <= 0.5 * 6 + 2
    assert window.repeats == 8
    assert window.excess >= 3


def test_a_request_counts_once_and_whether_it_arrived_or_not():
    sent = [("a", 0.0), ("a", 0.1), ("lost", 0.2)]
    window = worst_window(sent, arrivals("a", 0.0, 0.3, 0.4), BOUND)
    assert (window.repeats, window.requests) == (2, 2)


def test_the_worst_window_need_not_begin_at_a_repeat():
    # A window from just after the requests has their repeats without them.
    sent = [(str(number), 0.0) for number in range(4)]
    arrived = [*sent, *((str(number), 16.0) for number in range(4))]
    window = worst_window(sent, arrived, BOUND)
    assert (window.requests, window.repeats) == (0, 4)
    assert window.excess == 2
