"""Silence of the store, measured over pauses of the entry itself."""

import math
import random

import attrs
import pytest

from rattanpier._internal.relay.directory import WorkerDirectory
from rattanpier._internal.relay.durations import open_duration
from rattanpier._internal.relay.observations import Observation
from rattanpier._internal.relay.running_time import (
    MAX_STEP_S,
    READ_INTERVAL_S,
    RunningTime,
)
from rattanpier._internal.relay.store import (
    MIN_OUTAGE_HEARTBEATS,
    SETTLING_PERIOD_S,
    StoreHealth,
)
from tests.lib.clock import ManualClock
from tests.lib.relay_parts import make_worker

HEARTBEAT_S = 1.2
MIN_OUTAGE_S = MIN_OUTAGE_HEARTBEATS * HEARTBEAT_S
ANSWER_INTERVAL_S = 0.4
# Without a pause or an outage, an answer is never older than this.
MAX_ANSWER_AGE_S = ANSWER_INTERVAL_S + READ_INTERVAL_S


@attrs.define
class DrawnEntry:
    """An entry whose process and whose store stop at drawn times.

    Attributes:
      store_up_at: When the store answers again.
      running_s: For how long the process ran since the last answer.
    """

    clock: ManualClock = attrs.Factory(ManualClock)
    store_up_at: float = 0.0
    answered_at: float = 0.0
    running_s: float = 0.0
    health: StoreHealth = attrs.field()
    directory: WorkerDirectory = attrs.field()

    @health.default
    def make_health(self):
        return StoreHealth(
            self.clock, HEARTBEAT_S, running=RunningTime(self.clock)
        )

    @directory.default
    def make_directory(self):
        return WorkerDirectory(self.clock)

    def turn(self):
        """What the process does at each turn of its loop."""
        self.health.running.seconds()
        now = self.clock.now
        due = now >= self.answered_at + ANSWER_INTERVAL_S
        if due and now >= self.store_up_at:
            self.health.record_answer()
            self.answered_at, self.running_s = now, 0.0
        self.directory.drop_missing()

    def run(self, seconds):
        end = self.clock.now + seconds
        while self.clock.now < end:
            step_s = min(READ_INTERVAL_S, end - self.clock.now)
            self.clock.now += step_s
            self.running_s += step_s
            self.turn()

    def pause(self, seconds):
        self.clock.now += seconds
        self.turn()

    def remove(self, id):
        """Applies a removal that the store just acknowledged."""
        self.directory.remove(
            id, self.health.settling(), settled_at=self.health.settled_at
        )


@pytest.fixture
def entry():
    made = DrawnEntry()
    made.run(2.0)
    made.directory.put(make_worker("w"))
    return made


@pytest.mark.parametrize("seconds", [0.4, 1.0, 4.0, 10.0])
def test_a_pause_of_the_entry_is_no_outage_of_the_store(entry, seconds):
    # Guards against a removed worker that is kept for all of its drain time.
    entry.pause(seconds)
    entry.run(1.2)
    entry.remove("w")
    assert not entry.directory.accepting_workers("s")


@pytest.mark.parametrize("seconds", [4.0, 10.0])
def test_an_outage_of_the_store_is_one_for_an_entry_that_ran(entry, seconds):
    entry.store_up_at = entry.clock.now + seconds
    entry.run(seconds + 0.2)
    entry.remove("w")
    assert entry.directory.accepting_workers("s")
    entry.run(SETTLING_PERIOD_S)
    assert not entry.directory.accepting_workers("s")


def test_stops_in_series_are_no_outage(entry):
    for _ in range(20):
        entry.pause(0.9)
        entry.run(1.1)
        assert not entry.health.settling()
    for _ in range(100):
        entry.pause(MAX_STEP_S - 0.01)
        assert not entry.health.settling()


def test_a_pause_within_an_outage_does_not_hide_it(entry):
    entry.store_up_at = entry.clock.now + 9.0
    entry.run(2.0)
    entry.pause(4.0)
    entry.run(3.2)
    assert entry.health.settling()


def test_a_pause_may_have_hidden_an_outage_that_peers_saw(entry):
    entry.pause(4.0)
    entry.run(0.5)
    assert not entry.health.settling()
    assert entry.health.may_be_settling()
    entry.run(SETTLING_PERIOD_S)
    assert not entry.health.may_be_settling()


def test_a_removal_after_an_outage_takes_effect_as_that_one_settles(entry):
    # Guards against a hold that counts anew from each removal.
    entry.store_up_at = entry.clock.now + 4.0
    entry.run(4.2)
    recovered_at = entry.health.recovered_at
    entry.run(1.8 - (entry.clock.now - recovered_at))
    entry.remove("w")
    entry.run(recovered_at + SETTLING_PERIOD_S + 0.1 - entry.clock.now)
    assert not entry.directory.accepting_workers("s")


def test_a_call_that_the_entry_did_not_wait_for_shows_no_failure(entry):
    called_at = entry.clock.now
    entry.pause(4.0)
    entry.health.record_failure(TimeoutError(), called_at)
    assert entry.health.available
    entry.health.record_failure(TimeoutError(), entry.clock.now)
    assert not entry.health.available


def test_a_pause_is_no_time_of_a_worker(entry):
    # Guards against evidence that a version is slow from the entry's own pause.
    observation = Observation(None, entry.clock.now, 1.0)
    observation.record_event(entry.clock.now)
    entry.run(0.5)
    observation.skip_pause(4.0)
    entry.pause(4.0)
    waited = open_duration(0.5)
    now = entry.clock.now
    assert observation.unfinished_first(now) == waited
    assert observation.unfinished_pace(now, complete=False) == waited


@pytest.mark.parametrize("first", range(0, 400, 100))
def test_removals_apply_in_time_in_drawn_orders_of_pauses_and_outages(first):
    for seed in range(first, first + 100):
        rng = random.Random(seed)
        entry = DrawnEntry()
        entry.run(1.0)
        removed_at, id = math.inf, ""
        for number in range(60):
            match rng.randrange(5):
                case 0:
                    entry.pause(rng.choice([0.2, 0.9, 1.0, 4.0, 10.0]))
                case 1:
                    down_s = rng.choice([0.5, 3.0, 5.0, 9.0])
                    entry.store_up_at = entry.clock.now + down_s
                case 2 if not id and entry.clock.now >= entry.store_up_at:
                    id, removed_at = f"w{number}", entry.clock.now
                    entry.directory.put(make_worker(id))
                    entry.remove(id)
            ran_s = rng.uniform(0.05, 1.0)
            silent_s = entry.running_s + ran_s + MAX_ANSWER_AGE_S
            before = entry.health.recovered_at
            entry.run(ran_s)
            if entry.health.recovered_at > before:
                assert silent_s > MIN_OUTAGE_S, seed
            if id and not entry.directory.accepts_requests(id):
                id = ""
            if id:
                held_s = entry.clock.now - removed_at
                allowed_s = SETTLING_PERIOD_S + READ_INTERVAL_S
                assert held_s <= allowed_s + 1e-6, seed
                heard = entry.health.silence_ended_at
                assert entry.clock.now <= heard + allowed_s + 1e-6, seed
