"""Evidence that a part of prompts causes crashes, as crashes come in."""

import math

import pytest

from rattanpier._internal.retries.crash_evidence import (
    DECISION,
    MAX_OF_REQUEST,
    MIN_CRASHES,
    SuspectCrash,
    evidence,
)

WORKERS = 9


def crash(at, request=None, **more):
    number = int(at * 1000) if request is None else request
    return SuspectCrash(at, number, more.pop("fresh", True), **more)


def series(count, step_s=0.1):
    return [crash(number * step_s) for number in range(count)]


def strongest(crashes, others=(), workers=WORKERS):
    times = [*(each.at for each in crashes), *others]
    found = (value for _at, value in evidence(crashes, times, workers))
    return max(found, default=-math.inf)


def test_crashes_just_after_starts_are_evidence():
    assert strongest(series(MIN_CRASHES)) >= DECISION
    assert strongest(series(MIN_CRASHES - 1)) == -math.inf


def test_evidence_up_to_a_crash_does_not_depend_on_later_crashes():
    first = series(6)
    times = [each.at for each in first]
    before = list(evidence(first, times, WORKERS))
    later = [*times, *(2.0 + number for number in range(50))]
    assert list(evidence(first, later, WORKERS)) == before


@pytest.mark.parametrize("count", [3, 30])
def test_crashes_without_the_part_speak_against_it(count):
    others = [0.45 * number / count for number in range(count)]
    assert strongest(series(5), others) < strongest(series(5))


def test_worker_that_stood_the_part_speaks_against_it():
    def last(**more):
        crashes = [*series(5), crash(0.6, **more)]
        times = [each.at for each in crashes]
        return list(evidence(crashes, times, WORKERS))[-1][1]

    assert last(stood_since=(0.1,)) < last() - 2.0


def test_answer_from_before_the_first_crash_does_not_speak_against_it():
    crashes = [*series(5), crash(0.6, stood_since=(-0.1,))]
    assert strongest(crashes) > strongest(crashes[:5])


def test_workers_that_lose_power_together_are_no_evidence():
    assert strongest(series(9, step_s=0.005)) == -math.inf


def test_retries_of_one_request_are_no_evidence():
    retried = [crash(number * 0.1, request=1) for number in range(8)]
    assert MAX_OF_REQUEST < MIN_CRASHES
    assert strongest(retried) == -math.inf
