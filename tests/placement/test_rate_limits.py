"""What workers in need say that they take."""

import attrs
import pytest

from rattanpier._internal.placement.rate_limits import RateLimits
from rattanpier._internal.platform.upstream import (
    UNREADABLE_RATE_PER_S,
    decode_rate_limit,
)
from tests.lib.clock import ManualClock
from tests.lib.relay_parts import make_worker


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def limits(clock):
    return RateLimits(clock)


WORKER = make_worker("w0")


def rate(limits, worker=WORKER):
    """What is known that a worker takes."""
    word = limits.words.get(worker.incarnation)
    return None if word is None else word.rate_per_s


# What answers say.


def test_a_limit_holds_from_the_answer_that_names_it(limits, clock):
    limits.hear(WORKER, None, clock.monotonic())
    assert not limits.words
    limits.hear(WORKER, 2.5, clock.monotonic())
    assert rate(limits) == 2.5


def test_an_answer_to_an_older_request_does_not_end_a_limit(limits, clock):
    asked_at = clock.monotonic()
    clock.now += 1.0
    limits.hear(WORKER, 2.5, clock.monotonic())
    limits.hear(WORKER, None, asked_at)
    assert rate(limits) == 2.5
    limits.hear(WORKER, 4.0, asked_at)
    assert rate(limits) == 2.5
    clock.now += 1.0
    limits.hear(WORKER, None, clock.monotonic())
    assert rate(limits) is None


def test_an_answer_to_an_older_request_may_narrow(limits, clock):
    asked_at = clock.monotonic()
    clock.now += 1.0
    limits.hear(WORKER, 2.5, clock.monotonic())
    limits.hear(WORKER, 1.5, asked_at)
    assert rate(limits) == 1.5


def test_a_new_start_under_the_same_id_is_not_bound(limits, clock):
    before = attrs.evolve(WORKER, born=1)
    after = attrs.evolve(WORKER, born=2)
    limits.hear(before, 2.5, clock.monotonic())
    assert rate(limits, after) is None
    # An answer of the former start that comes late.
    limits.hear(before, 1.0, clock.monotonic())
    assert rate(limits, after) is None


def test_what_a_worker_that_is_gone_said_is_dropped(limits, clock):
    limits.hear(WORKER, 2.5, clock.monotonic())
    limits.forget(WORKER.id)
    assert not limits.words
    assert not limits.known_at


# Odd values.


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
def test_odd_limits_have_a_safe_meaning(texts, found):
    assert decode_rate_limit(texts) == found
