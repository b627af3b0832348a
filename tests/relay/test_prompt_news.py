"""Entries notify each other of the long prompts that they send."""

import random

import pytest

from rattanpier._internal.peers.proto import peer_pb2
from rattanpier._internal.relay.directory import WorkerDirectory
from rattanpier._internal.relay.fleet import Fleet
from rattanpier._internal.relay.load import Loads
from rattanpier._internal.relay.placement import HOME_HIT_PROBABILITY
from rattanpier._internal.relay.prompt_updates import (
    MAX_READ_S,
    MAX_RECEIVED_PER_S,
    MIN_PUBLISHED_READ_S,
    PromptUpdates,
)
from rattanpier._internal.utils.hashing import short_hash
from tests.lib.clock import ManualClock
from tests.lib.engines import make_chooser, simulate_engines
from tests.lib.relay_parts import (
    kept_tokens,
    make_chat,
    make_prompt,
    make_workers,
)
from tests.relay.test_fleet import make_entry_state

PROMPT = make_prompt(("a", 4000), ("own", 2000))


@pytest.fixture
def clock():
    return ManualClock()


def make_prompt_updates(clock, name, others):
    """Makes the prompt updates of one entry; returns them and its notices."""
    fleet = Fleet(make_entry_state(name, store=True), clock)
    for other in others:
        fleet.apply_state(make_entry_state(other, sequence=1))
    directory = WorkerDirectory(clock)
    for worker in make_workers(3):
        directory.put(worker)
    notices = []
    updates = PromptUpdates(
        fleet=fleet,
        directory=directory,
        loads=Loads(clock),
        send=lambda members, notice: notices.append((list(members), notice)),
        clock=clock,
        rng=random.Random(name),
    )
    return updates, notices


def test_peers_learn_reading_time_and_cached_prompt_parts(clock):
    one, notices = make_prompt_updates(clock, "e1", ("e2", "e3"))
    one.publish("w1", "large", PROMPT, 0.8)
    ((members, notice),) = notices
    assert [member.name for member in members] == ["e2", "e3"]
    other, _ = make_prompt_updates(clock, "e2", ("e1", "e3"))
    other.apply_notice(notice)
    load = other.loads.workers["w1"]
    assert load.peer_prompts_until == pytest.approx(clock.now + 0.8)
    assert kept_tokens(other.loads, "w1", "large", PROMPT) == PROMPT.tokens
    assert kept_tokens(other.loads, "w1", "small", PROMPT) == 0


def test_reading_times_of_prompts_add_up(clock):
    updates, _ = make_prompt_updates(clock, "e2", ("e1",))
    for _ in range(2):
        updates.loads.apply_peer_prompt("w1", 0.5)
    clock.now += 0.75
    assert updates.loads.workers["w1"].peer_prompts_until == pytest.approx(
        clock.now + 0.25
    )


@pytest.mark.parametrize(
    ("entries", "per_s", "all_told"),
    [
        (8, 3.0, True),
        (60, 0.5, True),
        (79, 0.5, True),
        (195, 0.6, True),
        (420, 2.4, False),
    ],
)
def test_rate_of_received_notices_is_bounded_at_any_size(
    clock, entries, per_s, all_told
):
    everybody = [f"e{number}" for number in range(entries)]
    senders = [
        make_prompt_updates(clock, name, everybody) for name in everybody
    ]
    settled = 0
    for _ in range(int(40 * per_s)):
        clock.now += 1 / per_s
        for updates, notices in senders:
            updates.publish("w1", "large", PROMPT, 0.8)
            settled += clock.now > 20.0 and len(notices)
            assert len(notices) <= 1
            assert bool(notices) or not all_told
            notices.clear()
    # Each entry receives what all others publish.
    assert settled / 20.0 <= 1.1 * MAX_RECEIVED_PER_S
    assert all_told or settled / 20.0 >= 0.7 * MAX_RECEIVED_PER_S


def test_short_prompts_are_not_published(clock):
    updates, notices = make_prompt_updates(clock, "e1", ("e2",))
    updates.publish("w1", "small", PROMPT, 0.9 * MIN_PUBLISHED_READ_S)
    assert notices == []


@pytest.mark.parametrize(
    ("worker", "read_s"),
    [
        ("gone", 0.5),
        ("", 0.5),
        ("w1", float("nan")),
        ("w1", float("inf")),
        ("w1", -1.0),
    ],
)
def test_notice_with_invalid_worker_or_time_is_ignored(clock, worker, read_s):
    updates, _ = make_prompt_updates(clock, "e2", ("e1",))
    message = peer_pb2.PromptSent(worker=short_hash(worker), read_s=read_s)
    updates.apply_notice(peer_pb2.Notice(prompt_sent=message))
    assert not updates.loads.workers


def test_large_estimate_does_not_close_worker_for_long(clock):
    updates, _ = make_prompt_updates(clock, "e2", ("e1",))
    message = peer_pb2.PromptSent(worker=short_hash("w1"), read_s=1e6)
    updates.apply_notice(peer_pb2.Notice(prompt_sent=message))
    load = updates.loads.workers["w1"]
    assert load.peer_prompts_until <= clock.now + MAX_READ_S


def test_worker_that_reads_prompts_of_peers_is_avoided(clock):
    entry = make_chooser(clock, 1)
    workers = make_workers(9)
    chosen = entry.choose(make_chat(), workers, "large").worker
    entry.loads.apply_peer_prompt(chosen.id, 0.6)
    assert entry.choose(make_chat(), workers, "large").worker != chosen


def test_unpublished_home_is_not_assumed_to_cache_long_prompt(clock):
    entry = make_chooser(clock, 1)
    long_s = entry.timings.read_s("large", 40000)
    assert long_s > MIN_PUBLISHED_READ_S
    assert entry.home_hit_probability(long_s) == 0.0
    assert (
        entry.home_hit_probability(entry.timings.read_s("small", 10))
        == HOME_HIT_PROBABILITY
    )


def test_published_prompts_shorten_first_token_of_large_model():
    alone = simulate_engines(entries=8, per_s=30.0)
    shared = simulate_engines(entries=8, per_s=30.0, shared=1.0)
    assert shared.quantile("large", 0.9) < 0.7 * alone.quantile("large", 0.9)
    assert shared.quantile("large", 0.97) < 0.7 * alone.quantile("large", 0.97)
    assert shared.quantile("small", 0.9) < 1.1 * alone.quantile("small", 0.9)


def test_large_fleet_needs_notices_of_all_long_prompts():
    load = {"workers": 78, "entries": 195, "per_s": 300.0, "seconds": 10.0}
    some = simulate_engines(**load, shared=0.55)
    every = simulate_engines(**load, shared=1.0)
    # Within 1.16 s and 0.76 s.
    assert every.quantile("large", 0.9) < 0.8 * some.quantile("large", 0.9)
    assert every.quantile("large", 0.95) < 0.8 * some.quantile("large", 0.95)
    assert every.quantile("small", 0.9) < some.quantile("small", 0.9)
