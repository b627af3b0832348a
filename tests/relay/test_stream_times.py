"""Streams show how fast a worker is, unless a caller delays them."""

import pytest

from rattanpier._internal.relay.stream_times import MIN_GAPS, StreamTimes


def make_times(events, gap_s=0.02, delivery_s=0.0):
    """Returns the times of a stream whose events take so long to deliver."""
    times = StreamTimes()
    now = 5.0
    for _ in range(events):
        times.record_event(now)
        times.record_delivery(now + delivery_s)
        now += max(gap_s, delivery_s)
    return times


def test_a_stream_that_is_read_at_once_shows_the_pace():
    times = make_times(events=21)
    assert times.show_pace()
    assert times.gaps == 20
    assert times.generation_s == pytest.approx(0.4)


def test_a_stream_of_few_events_does_not_show_the_pace():
    assert not StreamTimes().show_pace()
    assert not make_times(events=MIN_GAPS).show_pace()
    assert make_times(events=MIN_GAPS + 1).show_pace()


def test_a_slow_caller_is_not_taken_for_a_slow_worker():
    """A worker may be faster than its caller reads, by any factor."""
    assert not make_times(events=40, delivery_s=0.1).show_pace()
    assert not make_times(events=40, delivery_s=0.003).show_pace()
    assert make_times(events=40, delivery_s=0.001).show_pace()


def test_the_delivery_of_the_last_event_does_not_count():
    times = make_times(events=20)
    times.record_delivery(60.0)
    assert times.show_pace()


def test_events_that_arrive_together_do_not_show_the_pace():
    assert not make_times(events=20, gap_s=0.0).show_pace()
