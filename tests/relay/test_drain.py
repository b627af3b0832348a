"""Planned exit: decisions in virtual time, over drawn orders of events."""

import random

import pytest

from rattanpier._internal.relay.drain import (
    MAX_HEAD_WAIT_S,
    MIN_SERVE_RATIO,
    REFUSE_S,
    DrainState,
    ExitPhase,
    OpenConnections,
)
from tests.lib.clock import ManualClock

GRACE_S = 8.0
POLL_S = 0.025
IDLE = OpenConnections()


@pytest.fixture
def drain(clock):
    return DrainState(clock, GRACE_S)


@pytest.fixture
def clock():
    return ManualClock()


class DrawnExit:
    """An entry whose requests, connections and looks come in a drawn order."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.clock = ManualClock()
        self.unread_until = 0.0
        self.drain = DrainState(
            self.clock,
            GRACE_S,
            holds_unread=lambda: self.clock.now < self.unread_until,
        )
        self.busy_until = []  # Ends of requests, accepted or refused.
        self.running_until = []  # Ends of accepted ones.
        self.reading_until = []
        self.refused = False
        self.phase = ExitPhase.SERVING

    def connections(self):
        now = self.clock.now
        return OpenConnections(
            busy=sum(end > now for end in self.busy_until),
            reading=sum(end > now for end in self.reading_until),
        )

    def arrive(self):
        """A complete request arrives; returns whether it is accepted."""
        now = self.clock.now
        accepted = self.drain.accepts(streaming=self.rng.random() < 0.3)
        assert not (accepted and self.refused), "serves again"
        if accepted:
            self.drain.begin_request()
            end = now + self.rng.choice([0.05, 0.4, 1.5, 4.0, 9.0])
            self.running_until.append(end)
        else:
            end = now + self.rng.choice([0.0, 0.01, 0.3])  # Being refused.
        self.busy_until.append(end)

    def step(self):
        now = self.clock.now
        for end in [end for end in self.running_until if end <= now]:
            self.running_until.remove(end)
            self.drain.end_request()
        if self.rng.random() < self.rate:
            self.arrive()
        if self.rng.random() < self.rate / 4:
            self.reading_until.append(now + self.rng.choice([0.02, 0.5, 9.0]))
        if self.rng.random() < 0.01:
            self.unread_until = now + self.rng.choice([0.1, 2.0])
        if self.rng.random() < 0.2:
            self.drain.begin()  # Again, by another signal.

    def play(self):
        """Plays to the end of the process; returns when that was."""
        self.rate = self.rng.choice([0.0, 0.02, 0.2])
        for _ in range(self.rng.randrange(40)):
            self.step()
            self.clock.now += self.rng.uniform(0.0, 0.1)
        self.drain.begin()
        while self.phase is not ExitPhase.DONE:
            self.step()
            self.clock.now += self.rng.uniform(0.0, POLL_S)
            self.step()
            self.phase = self.drain.advance(self.connections())
            self.refused |= self.phase is not ExitPhase.SERVING
            if self.phase is ExitPhase.DONE:
                return self.clock.now - self.drain.begun_at
        return None


@pytest.mark.parametrize("first", range(0, 600, 100))
def test_an_exit_cuts_no_request_before_the_grace_period_ends(first):
    # Guards against an exit that looks once and then ends what came after.
    for seed in range(first, first + 100):
        drawn = DrawnExit(seed)
        ended_s = drawn.play()
        assert ended_s < GRACE_S + 2 * POLL_S
        if ended_s >= GRACE_S:
            continue
        now = drawn.clock.now
        assert not [end for end in drawn.running_until if end > now], seed
        assert not drawn.connections().busy, seed
        assert now >= drawn.unread_until, seed
        assert drawn.drain.running == 0, seed


@pytest.mark.parametrize("seed", range(20))
def test_an_entry_without_work_is_gone_early(seed):
    drawn = DrawnExit(seed)
    drawn.rng.random = lambda: 1.0  # Nothing arrives.
    latest_s = MIN_SERVE_RATIO * GRACE_S + REFUSE_S + 3 * POLL_S
    assert drawn.play() <= latest_s


async def test_a_request_after_the_decision_to_exit_is_not_accepted(
    drain, clock
):
    drain.begin()
    await clock.advance(MIN_SERVE_RATIO * GRACE_S - 0.1)
    assert drain.advance(IDLE) is ExitPhase.SERVING
    assert drain.accepts(streaming=False)
    await clock.advance(0.2)
    assert drain.advance(IDLE) is ExitPhase.REFUSING
    assert not drain.accepts(streaming=False)


async def test_a_request_that_arrives_as_the_entry_looks_is_waited_for(
    drain, clock
):
    drain.begin()
    await clock.advance(MIN_SERVE_RATIO * GRACE_S)
    assert drain.accepts(streaming=False)
    drain.begin_request()
    assert drain.advance(IDLE) is ExitPhase.SERVING
    await clock.advance(1.0)
    assert drain.advance(IDLE) is ExitPhase.SERVING
    drain.end_request()
    assert drain.advance(IDLE) is ExitPhase.REFUSING


async def test_a_stream_is_not_cut_before_the_grace_period_ends(drain, clock):
    drain.begin_request()
    drain.begin()
    busy = OpenConnections(busy=1)
    while clock.now < GRACE_S - 0.01:
        assert drain.advance(busy) is ExitPhase.SERVING
        await clock.advance(POLL_S)
    await clock.advance(0.01)
    assert drain.advance(busy) is ExitPhase.DONE


async def test_an_answer_that_is_not_all_written_is_waited_for(drain, clock):
    drain.begin()
    await clock.advance(4.0)
    drain.advance(IDLE)
    await clock.advance(2.0)
    assert drain.advance(OpenConnections(busy=1)) is ExitPhase.CLOSING
    assert drain.advance(IDLE) is ExitPhase.DONE


async def test_half_a_head_is_waited_for_only_for_a_time(drain, clock):
    half = OpenConnections(reading=1)
    drain.begin()
    await clock.advance(4.0)
    assert drain.advance(half) is ExitPhase.REFUSING
    await clock.advance(2 * REFUSE_S)
    assert drain.advance(half) is ExitPhase.CLOSING
    await clock.advance(MAX_HEAD_WAIT_S)
    assert drain.advance(half) is ExitPhase.DONE
