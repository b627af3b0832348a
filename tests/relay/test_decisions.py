"""The relay's decisions, without a network."""

import random

import attrs
import pytest

from rattanpier._internal.models.relay_settings import Bounds
from rattanpier._internal.models.rollout_order import (
    RolloutOrder,
    RolloutPhase,
    RolloutRecord,
)
from rattanpier._internal.models.sending import ReportedLoad
from rattanpier._internal.relay.budgets import ServiceRetryBudgets
from rattanpier._internal.relay.directory import RETURN_S, WorkerDirectory
from rattanpier._internal.relay.drain import DrainState
from rattanpier._internal.relay.events import (
    EventError,
    EventOrder,
    EventSplitter,
)
from rattanpier._internal.relay.exposure import Exposure, ExposureBound
from rattanpier._internal.relay.health import Health
from rattanpier._internal.relay.load import Loads
from rattanpier._internal.relay.model_choice import (
    FULL_LOAD_WAIT_S,
    KeepReason,
    LargerModelEstimate,
    first_model,
    judge_answer,
    larger_model,
)
from rattanpier._internal.relay.model_groups import ModelGroups
from rattanpier._internal.relay.model_timings import ModelTimings
from rattanpier._internal.relay.placement import Chooser, home_of
from rattanpier._internal.relay.rollout_driver import (
    GIVE_UP_AT,
    Progress,
    next_phase,
)
from rattanpier._internal.relay.rollouts import Rollouts
from rattanpier._internal.relay.verdict import Tally, find_worse
from tests.lib.clock import ManualClock
from tests.lib.relay_parts import (
    kept_tokens,
    make_chat,
    make_prompt,
    make_request,
    make_worker,
    make_workers,
)

ORDER = RolloutOrder(7, "s", "v2", 24.0)
MUCH, LITTLE = Exposure(900, 45), Exposure(100, 9)
BOUND = ExposureBound(0.15, 30.0)
PHASES = [RolloutPhase.TRYING, RolloutPhase.WIDENING, RolloutPhase.FULL]


@pytest.fixture
def clock():
    return ManualClock()


# Workers that come and go.


def test_a_worker_that_announces_its_leave_gets_nothing_new(clock):
    directory = WorkerDirectory(clock)
    worker = make_worker("w")
    directory.put(worker)
    assert directory.of_service("s") == [worker]
    directory.put(attrs.evolve(worker, draining=True))
    assert directory.of_service("s") == []


def test_a_removed_registration_counts_at_once(clock):
    directory = WorkerDirectory(clock)
    directory.put(make_worker("w"))
    assert directory.remove("w", after_outage=False)
    assert directory.of_service("s") == []


async def test_one_that_ran_out_in_an_outage_is_waited_for(clock):
    directory = WorkerDirectory(clock)
    directory.put(make_worker("w"))
    assert not directory.remove("w", after_outage=True)
    assert directory.of_service("s")
    await clock.advance(RETURN_S + 0.1)
    assert directory.drop_missing() == ["w"]
    assert directory.of_service("s") == []


async def test_one_that_is_back_in_time_stays(clock):
    directory = WorkerDirectory(clock)
    directory.put(make_worker("w"))
    directory.remove("w", after_outage=True)
    directory.put(make_worker("w"))
    await clock.advance(RETURN_S + 0.1)
    assert directory.drop_missing() == []
    assert directory.of_service("s")


def test_a_leaving_worker_is_not_waited_for(clock):
    directory = WorkerDirectory(clock)
    directory.put(make_worker("w", draining=True))
    assert directory.remove("w", after_outage=True)


def test_a_whole_table_drops_what_it_lacks(clock):
    directory = WorkerDirectory(clock)
    directory.put(make_worker("old"))
    assert directory.replace([make_worker("new")], False) == ["old"]
    assert [worker.id for worker in directory.of_service("s")] == ["new"]


# Workers that fail.


def play(health, workers, failing, rounds=20):
    for _ in range(rounds):
        for worker in workers:
            health.record_result(worker, worker.id in failing, workers)


def test_a_worker_that_fails_more_than_the_others_is_avoided(clock):
    health = Health(clock)
    workers = make_workers(6)
    play(health, workers, {"w2"})
    assert "w2" not in {worker.id for worker in health.usable(workers)}


def test_where_all_fail_alike_none_is_avoided(clock):
    health = Health(clock)
    workers = make_workers(6)
    play(health, workers, {worker.id for worker in workers})
    assert len(health.usable(workers)) == 6


def test_a_pool_keeps_half_of_its_workers(clock):
    health = Health(clock)
    workers = make_workers(6)
    for worker in workers:
        health.record_unreachable(worker)
    assert len(health.usable(workers)) == 3


async def test_an_avoided_worker_is_tried_again(clock):
    health = Health(clock)
    workers = make_workers(3)
    health.record_unreachable(workers[0])
    assert workers[0] not in health.usable(workers)
    await clock.advance(1.1)
    assert workers[0] in health.usable(workers)


# Which worker.


def chooser(clock):
    return Chooser(
        Loads(clock),
        "a",
        random.Random(1),
        ModelTimings(clock),
        ModelGroups(clock),
    )


def test_a_plain_request_goes_where_slots_are_free(clock):
    chosen = chooser(clock)
    workers = make_workers(3)
    for worker in workers[:2]:
        for _ in range(4):
            chosen.loads.begin(worker.id, 0.0)
    assert chosen.choose(make_request(), workers, "").worker == workers[2]


def test_a_report_of_others_work_counts_and_is_forgotten(clock):
    loads = Loads(clock)
    loads.record_report("w0", ReportedLoad(6, 2, 8))
    assert loads.workers["w0"].peer_requests(clock.monotonic()) == (6.0, 2.0)
    assert loads.workers["w0"].peer_requests(clock.monotonic() + 20)[0] < 0.1


def test_the_same_prompt_goes_to_the_worker_that_read_it(clock):
    chosen = chooser(clock)
    workers = make_workers(9)
    request = make_chat()
    for small, model in ((True, "small"), (False, "large")):
        # Not the one that the prompt's shared parts belong to.
        read = chosen.groups.workers_for(workers, small)[-1]
        chosen.loads.record_prompt_read(read.id, model, request.prompt)
        choice = chosen.choose(request, workers, model)
        assert choice.worker.id == read.id
        assert choice.to_read == 0


def test_a_worker_with_many_prompts_to_read_is_passed_by(clock):
    chosen = chooser(clock)
    workers = make_workers(3)
    request = make_chat()
    chosen.loads.record_prompt_read("w1", "small", request.prompt)
    for _ in range(8):
        chosen.loads.begin("w1", 0.2)
    assert chosen.choose(request, workers, "small").worker.id != "w1"


def test_entries_agree_on_the_home_of_a_shared_part():
    workers = make_workers(9)
    one = home_of(make_prompt(("a", 9), ("b", 9), ("x", 9)), workers)
    other = home_of(make_prompt(("a", 9), ("b", 9), ("y", 9)), workers[::-1])
    assert one == other
    homes = {
        home_of(make_prompt((f"p{n}", 9), ("x", 9)), workers) for n in range(99)
    }
    assert len(homes) == 9


def test_parts_count_only_behind_parts_that_are_kept(clock):
    loads = Loads(clock)
    loads.record_prompt_read("w", "m", make_prompt(("b", 400)))
    both = make_prompt(("a", 400), ("b", 400))
    assert kept_tokens(loads, "w", "m", both) == 0
    assert kept_tokens(loads, "w", "other", make_prompt(("b", 400))) == 0


# Which model.


def test_the_smallest_model_is_asked_first():
    assert first_model(make_chat()) == "small"
    assert first_model(make_request()) == ""


def test_only_a_smaller_model_is_followed_by_the_largest():
    request = make_chat()
    assert larger_model(request, "small") == "large"
    assert larger_model(request, "large") == ""
    assert larger_model(request, "") == ""


NOW_OR_SOON = LargerModelEstimate(0.0, 0.5, 1.0)


@pytest.mark.parametrize(
    ("confidence", "now", "outlook", "kept"),
    [
        (40.0, 0.5, NOW_OR_SOON, None),
        (90.0, 0.5, NOW_OR_SOON, KeepReason.CONFIDENT),
        (
            40.0,
            0.5,
            LargerModelEstimate(FULL_LOAD_WAIT_S, 0.5, 1.0),
            KeepReason.LOAD,
        ),
        (10.0, 0.5, LargerModelEstimate(FULL_LOAD_WAIT_S, 0.5, 1.0), None),
        # Its first event would miss the objective, 4 s.
        (10.0, 3.6, NOW_OR_SOON, KeepReason.TIME),
        (10.0, 0.5, LargerModelEstimate(0.0, 3.6, 4.0), KeepReason.TIME),
        # Its end would miss the deadline, 10 s.
        (10.0, 0.5, LargerModelEstimate(0.0, 0.5, 9.6), KeepReason.TIME),
        (10.0, 0.5, LargerModelEstimate(0.0, 0.5, 9.4), None),
    ],
)
def test_doubt_leads_to_a_larger_model_where_it_can_be_in_time(
    confidence, now, outlook, kept
):
    assert judge_answer(make_chat(), confidence, now, outlook) is kept


# Roll-outs.


def record(phase, order=7):
    return RolloutRecord(order, "s", "v2", phase, 0.0, 0.0)


def make_rollouts(clock=None):
    return Rollouts(BOUND, 5.0, clock or ManualClock())


def order(rollouts):
    """Orders a roll-out whose first moments are over."""
    rollouts.take_order(ORDER)
    rollouts.known_at[ORDER.id] = -100.0


def both_versions():
    old = make_workers(4)
    new = [make_worker(f"n{number}", version="v2") for number in range(4)]
    return old, new


def share_of_new(rollouts, count=4000):
    old, new = both_versions()
    chosen = 0
    for number in range(count):
        request = make_request(session=f"session-{number}")
        chosen += rollouts.split(request, "s", old + new).first == new
    return chosen / count


def test_a_version_that_nobody_ordered_gets_nothing():
    rollouts = make_rollouts()
    old, new = both_versions()
    assert rollouts.split(make_request(), "s", old).first == old
    assert rollouts.split(make_request(), "s", old + new).first == old
    assert rollouts.split(make_request(), "s", new).first == new


def test_the_share_grows_with_the_phases_and_never_moves_a_session_back():
    rollouts = make_rollouts()
    order(rollouts)
    old, new = both_versions()
    shares = []
    moved = set()
    for phase in PHASES:
        rollouts.take_record(record(phase))
        shares.append(share_of_new(rollouts))
        now = {
            number
            for number in range(400)
            if rollouts.split(
                make_request(session=f"session-{number}"), "s", old + new
            ).first
            == new
        }
        assert moved <= now
        moved = now
    assert 0 < shares[0] <= 0.15
    assert shares[0] < shares[1] < shares[2] == 1.0


def moved_sessions(rollouts, names):
    old, new = both_versions()
    return {
        name
        for name in names
        if rollouts.split(make_request(session=name), "s", old + new).first
        == new
    }


async def test_a_session_under_way_is_not_moved_while_an_order_is_tried(clock):
    names = [f"session-{number}" for number in range(400)]
    here, there = make_rollouts(clock), make_rollouts(clock)
    for name in names:
        here.sessions.note("s", name)
    for rollouts in (here, there):
        rollouts.take_order(ORDER)
        assert not moved_sessions(rollouts, names)
    there.sessions.take(here.sessions.take_news())
    await clock.advance(2.0)
    # Half go on at the other entry, which heard of them from the first.
    assert not moved_sessions(there, names[:200])
    here.sessions.take(there.sessions.take_news())
    await clock.advance(4.0)
    # Those are under way yet, the rest have ended.
    assert not moved_sessions(here, names[:200])
    assert moved_sessions(here, names[200:])


def test_a_rolled_back_version_gets_nothing_even_alone():
    rollouts = make_rollouts()
    order(rollouts)
    rollouts.take_record(record(RolloutPhase.ROLLED_BACK))
    old, new = both_versions()
    assert rollouts.split(make_request(), "s", old + new).first == old
    assert not rollouts.split(make_request(), "s", new).first
    assert not rollouts.split(make_request(), "s", new).otherwise


def test_a_final_record_stays_and_an_older_one_is_not_taken():
    rollouts = make_rollouts()
    order(rollouts)
    rollouts.take_record(record(RolloutPhase.ROLLED_BACK))
    rollouts.take_record(record(RolloutPhase.COMPLETED))
    assert rollouts.phase(ORDER) is RolloutPhase.ROLLED_BACK
    rollouts.take_record(record(RolloutPhase.FULL, order=6))
    assert rollouts.phase(ORDER) is RolloutPhase.ROLLED_BACK


def test_bad_answers_stop_a_version_without_the_store():
    rollouts = make_rollouts()
    order(rollouts)
    old, new = both_versions()
    for number in range(60):
        rollouts.note(old[0], "r", number % 30 == 0, None)
    for number in range(10):
        rollouts.note(new[0], "r", number % 2 == 0, None)
    assert 7 in rollouts.stopped
    assert share_of_new(rollouts) == 0.0


@pytest.mark.parametrize(
    ("stable", "candidate", "worse"),
    [
        ({"r": Tally(100, 1)}, {"r": Tally(10, 4)}, True),
        ({"r": Tally(100, 1)}, {"r": Tally(10, 1)}, False),
        ({"r": Tally(100, 30)}, {"r": Tally(10, 3)}, False),
        # One route alone, among others that are well.
        (
            {"r": Tally(100, 1), "q": Tally(100, 1)},
            {"r": Tally(40, 0), "q": Tally(8, 4)},
            True,
        ),
        ({"r": Tally(50, 0, 50, 5.0)}, {"r": Tally(9, 0, 9, 7.2)}, True),
        ({"r": Tally(50, 0, 50, 5.0)}, {"r": Tally(9, 0, 9, 1.0)}, False),
        ({}, {}, False),
    ],
)
def test_a_worse_version_is_told_from_chance(stable, candidate, worse):
    assert (find_worse(stable, candidate) is not None) == worse


def test_a_good_version_is_seldom_taken_for_a_worse_one():
    rng = random.Random(5)
    wrong = 0
    for _ in range(300):
        bad = sum(rng.random() < 0.02 for _ in range(40))
        old = sum(rng.random() < 0.02 for _ in range(300))
        found = find_worse({"r": Tally(300, old)}, {"r": Tally(40, bad)})
        wrong += found is not None
    assert wrong <= 3


@pytest.mark.parametrize(
    ("progress", "phase"),
    [
        (Progress("trying", 0.4, 0.4, MUCH, False, 5), "trying"),
        (Progress("trying", 0.6, 0.6, MUCH, False, 5), "trying"),
        (Progress("trying", 0.95, 0.95, MUCH, False, 5), "widening"),
        (Progress("trying", 0.95, 0.95, Exposure(900, 2), False, 5), "trying"),
        (Progress("trying", 0.1, 0.1, LITTLE, True, 5), "rolled_back"),
        (Progress("widening", 0.92, 0.01, MUCH, False, 5), "widening"),
        (Progress("widening", 0.92, 0.03, MUCH, False, 5), "full"),
        (Progress("full", GIVE_UP_AT - 0.005, 0.01, MUCH, False, 0), "full"),
        (Progress("full", GIVE_UP_AT - 0.005, 0.05, MUCH, False, 5), "full"),
        (
            Progress("full", GIVE_UP_AT - 0.005, 0.05, MUCH, False, 0),
            "completed",
        ),
        (
            Progress("full", GIVE_UP_AT + 0.005, 0.05, MUCH, False, 5),
            "completed",
        ),
        (
            Progress("full", GIVE_UP_AT - 0.005, 0.05, MUCH, True, 0),
            "rolled_back",
        ),
        (Progress("completed", 0.97, 0.05, MUCH, True, 0), "completed"),
    ],
)
def test_a_roll_out_goes_on_by_evidence_and_time(progress, phase):
    given = attrs.evolve(progress, phase=RolloutPhase(progress.phase))
    assert next_phase(given, BOUND) is RolloutPhase(phase)


# Further sends.


def test_budgets_of_all_entries_stay_within_what_operators_allow(clock):
    bounds = Bounds(retry_ratio=0.9, retry_slack=52)
    entries = [ServiceRetryBudgets(bounds, lambda: 6, clock) for _ in range(6)]
    requests = 600
    sent = 0
    for number in range(requests):
        budget = entries[number % 6]["s"]
        budget.record_request()
        sent += budget.try_acquire() + budget.try_acquire()
    assert sent <= 0.9 * requests + 52
    assert sent > 0.7 * requests


# A planned stop.


async def test_a_leaving_entry_takes_only_what_will_end_in_time(clock):
    drain = DrainState(clock, grace_s=8.0)
    drain.begin()
    assert drain.takes(streaming=True)
    await clock.advance(3.0)
    assert not drain.takes(streaming=True)
    assert drain.takes(streaming=False)
    await clock.advance(2.0)
    assert not drain.takes(streaming=False)


async def test_it_ends_once_callers_have_left_and_at_the_latest_before_the_kill(
    clock,
):
    drain = DrainState(clock, grace_s=8.0)
    drain.enter()
    drain.begin()
    assert not drain.may_exit()
    await clock.advance(4.0)
    assert not drain.may_exit()
    drain.leave()
    assert drain.may_exit()
    drain.enter()
    await clock.advance(3.5)
    assert drain.may_exit()


# Events.


def test_an_event_that_is_not_whole_is_held():
    splitter = EventSplitter()
    assert not list(splitter.feed(b"id: 1\nda"))
    found = list(splitter.feed(b"ta\n\nid: 2\r\ndata\r\n\r\nid"))
    assert [event.number for event in found] == [1, 2]
    assert splitter.rest == b"id"


def test_a_missing_event_is_an_error_and_a_seen_one_is_dropped():
    order = EventOrder()
    splitter = EventSplitter()
    first, second, again, gap = splitter.feed(
        b"id: 4\n\nid: 5\n\nid: 5\n\nid: 9\n\n"
    )
    assert order.take(first)
    assert order.take(second)
    assert not order.take(again)
    with pytest.raises(EventError):
        order.take(gap)


def test_only_new_workers_serve_where_no_old_one_is_left():
    rollouts = make_rollouts()
    order(rollouts)
    _, new = both_versions()
    split = rollouts.split(make_request(), "s", new)
    assert new in (split.first, split.otherwise)
