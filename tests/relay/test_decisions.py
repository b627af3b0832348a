"""Decision logic of the relay, tested without I/O."""

import random

import attrs
import pytest

from rattanpier._internal.models.relay_settings import Bounds
from rattanpier._internal.models.rollout_order import (
    RolloutOrder,
    RolloutPhase,
    RolloutRecord,
)
from rattanpier._internal.models.upstream_request import ReportedLoad
from rattanpier._internal.relay.budgets import ServiceRetryBudgets
from rattanpier._internal.relay.directory import (
    REREGISTRATION_TIMEOUT_S,
    WorkerDirectory,
)
from rattanpier._internal.relay.drain import (
    DrainState,
    ExitPhase,
    OpenConnections,
)
from rattanpier._internal.relay.durations import NO_DURATIONS, ended_duration
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
from rattanpier._internal.relay.observations import Observation
from rattanpier._internal.relay.placement import Chooser, home_of
from rattanpier._internal.relay.rollout_driver import (
    FORCE_COMPLETION_AGE,
    RolloutProgress,
    next_phase,
)
from rattanpier._internal.relay.rollouts import Rollouts
from rattanpier._internal.relay.verdict import (
    Tally,
    Verdict,
    judge,
)
from tests.lib.clock import ManualClock
from tests.lib.relay_parts import (
    kept_tokens,
    make_chat,
    make_period,
    make_prompt,
    make_request,
    make_worker,
    make_workers,
)

ORDER = RolloutOrder(7, "s", "v2", 24.0)
NO_WORSE, WORSE = Verdict.NO_WORSE, Verdict.WORSE
UNKNOWN = Verdict.UNKNOWN
LARGE_SAMPLE, SMALL_SAMPLE = Exposure(900, 45), Exposure(100, 9)
BOUND = ExposureBound(0.15, 30.0)
PHASES = [RolloutPhase.TRYING, RolloutPhase.WIDENING, RolloutPhase.FULL]


@pytest.fixture
def clock():
    return ManualClock()


# Registration and removal of workers.


def test_a_draining_worker_is_excluded_from_its_service(clock):
    directory = WorkerDirectory(clock)
    worker = make_worker("w")
    directory.put(worker)
    assert directory.accepting_workers("s") == [worker]
    directory.put(attrs.evolve(worker, draining=True))
    assert directory.accepting_workers("s") == []


def test_a_removed_registration_excludes_the_worker_at_once(clock):
    directory = WorkerDirectory(clock)
    directory.put(make_worker("w"))
    assert directory.remove("w", after_outage=False)
    assert directory.accepting_workers("s") == []


async def test_a_registration_that_expired_in_an_outage_is_kept_for_a_time(
    clock,
):
    directory = WorkerDirectory(clock)
    directory.put(make_worker("w"))
    assert not directory.remove("w", after_outage=True)
    assert directory.accepting_workers("s")
    await clock.advance(REREGISTRATION_TIMEOUT_S + 0.1)
    assert directory.drop_missing() == ["w"]
    assert directory.accepting_workers("s") == []


async def test_a_worker_that_registers_again_within_the_grace_period_is_kept(
    clock,
):
    directory = WorkerDirectory(clock)
    directory.put(make_worker("w"))
    directory.remove("w", after_outage=True)
    directory.put(make_worker("w"))
    await clock.advance(REREGISTRATION_TIMEOUT_S + 0.1)
    assert directory.drop_missing() == []
    assert directory.accepting_workers("s")


def test_a_draining_worker_has_no_grace_period_after_an_outage(clock):
    directory = WorkerDirectory(clock)
    directory.put(make_worker("w", draining=True))
    assert directory.remove("w", after_outage=True)


def test_a_full_read_drops_workers_that_it_lacks(clock):
    directory = WorkerDirectory(clock)
    directory.put(make_worker("old"))
    assert directory.replace([make_worker("new")], False) == ["old"]
    assert [worker.id for worker in directory.accepting_workers("s")] == ["new"]


# Outlier detection.


def record_results(health, workers, failing, rounds=20):
    for _ in range(rounds):
        for worker in workers:
            health.record_result(worker, worker.id in failing, workers)


def test_a_worker_that_fails_more_than_its_peers_is_avoided(clock):
    health = Health(clock)
    workers = make_workers(6)
    record_results(health, workers, {"w2"})
    assert "w2" not in {worker.id for worker in health.usable(workers)}


def test_no_worker_is_avoided_if_all_fail_equally(clock):
    health = Health(clock)
    workers = make_workers(6)
    record_results(health, workers, {worker.id for worker in workers})
    assert len(health.usable(workers)) == 6


def test_at_least_half_of_a_pool_stays_usable(clock):
    health = Health(clock)
    workers = make_workers(6)
    for worker in workers:
        health.record_unreachable(worker)
    assert len(health.usable(workers)) == 3


async def test_an_avoided_worker_is_used_again_after_its_pause(clock):
    health = Health(clock)
    workers = make_workers(3)
    health.record_unreachable(workers[0])
    assert workers[0] not in health.usable(workers)
    await clock.advance(1.1)
    assert workers[0] in health.usable(workers)


# Selection of a worker.


def make_chooser(clock):
    return Chooser(
        Loads(clock),
        "a",
        random.Random(1),
        ModelTimings(clock),
        ModelGroups(clock),
    )


def test_a_plain_request_goes_to_the_worker_with_free_slots(clock):
    chooser = make_chooser(clock)
    workers = make_workers(3)
    for worker in workers[:2]:
        for _ in range(4):
            chooser.loads.begin(worker.id, 0.0)
    assert chooser.choose(make_request(), workers, "").worker == workers[2]


def test_a_load_report_counts_and_decays(clock):
    loads = Loads(clock)
    loads.record_report("w0", ReportedLoad(6, 2, 8))
    assert loads.workers["w0"].peer_requests(clock.monotonic()) == (6.0, 2.0)
    assert loads.workers["w0"].peer_requests(clock.monotonic() + 20)[0] < 0.1


def test_a_prompt_goes_to_the_worker_that_has_it_cached(clock):
    chooser = make_chooser(clock)
    workers = make_workers(9)
    request = make_chat()
    for small, model in ((True, "small"), (False, "large")):
        # Not the home worker of the prompt's shared parts.
        read = chooser.groups.workers_for(workers, small)[-1]
        chooser.loads.record_prompt_read(read.id, model, request.prompt)
        choice = chooser.choose(request, workers, model)
        assert choice.worker.id == read.id
        assert choice.to_read == 0


def test_a_worker_with_a_long_prompt_queue_is_not_chosen(clock):
    chooser = make_chooser(clock)
    workers = make_workers(3)
    request = make_chat()
    chooser.loads.record_prompt_read("w1", "small", request.prompt)
    for _ in range(8):
        chooser.loads.begin("w1", 0.2)
    assert chooser.choose(request, workers, "small").worker.id != "w1"


def test_entries_agree_on_the_home_worker_of_a_shared_part():
    workers = make_workers(9)
    one = home_of(make_prompt(("a", 9), ("b", 9), ("x", 9)), workers)
    other = home_of(make_prompt(("a", 9), ("b", 9), ("y", 9)), workers[::-1])
    assert one == other
    homes = {
        home_of(make_prompt((f"p{n}", 9), ("x", 9)), workers) for n in range(99)
    }
    assert len(homes) == 9


def test_a_cached_part_counts_only_after_cached_parts(clock):
    loads = Loads(clock)
    loads.record_prompt_read("w", "m", make_prompt(("b", 400)))
    both = make_prompt(("a", 400), ("b", 400))
    assert kept_tokens(loads, "w", "m", both) == 0
    assert kept_tokens(loads, "w", "other", make_prompt(("b", 400))) == 0


# Selection of a model.


def test_the_smallest_model_is_asked_first():
    assert first_model(make_chat()) == "small"
    assert first_model(make_request()) == ""


def test_only_smaller_models_escalate_to_the_largest():
    request = make_chat()
    assert larger_model(request, "small") == "large"
    assert larger_model(request, "large") == ""
    assert larger_model(request, "") == ""


IDLE_ESTIMATE = LargerModelEstimate(0.0, 0.5, 1.0)


@pytest.mark.parametrize(
    ("confidence", "now", "outlook", "kept"),
    [
        (40.0, 0.5, IDLE_ESTIMATE, None),
        (90.0, 0.5, IDLE_ESTIMATE, KeepReason.CONFIDENT),
        (
            40.0,
            0.5,
            LargerModelEstimate(FULL_LOAD_WAIT_S, 0.5, 1.0),
            KeepReason.LOAD,
        ),
        (10.0, 0.5, LargerModelEstimate(FULL_LOAD_WAIT_S, 0.5, 1.0), None),
        # The first event would miss the objective of 4 s.
        (10.0, 3.6, IDLE_ESTIMATE, KeepReason.TIME),
        (10.0, 0.5, LargerModelEstimate(0.0, 3.6, 4.0), KeepReason.TIME),
        # The end would miss the deadline of 10 s.
        (10.0, 0.5, LargerModelEstimate(0.0, 0.5, 9.6), KeepReason.TIME),
        (10.0, 0.5, LargerModelEstimate(0.0, 0.5, 9.4), None),
    ],
)
def test_low_confidence_escalates_if_the_larger_model_can_be_in_time(
    confidence, now, outlook, kept
):
    assert judge_answer(make_chat(), confidence, now, outlook) is kept


# Roll-outs.


def record(phase, order=7):
    return RolloutRecord(order, "s", "v2", phase, 0.0, 0.0)


def make_rollouts(clock=None):
    return Rollouts(BOUND, 5.0, clock or ManualClock())


def order(rollouts):
    """Orders a roll-out whose initial hold of sessions has passed."""
    rollouts.apply_order(ORDER)
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
        chosen += rollouts.split(request, "s", old + new).preferred == new
    return chosen / count


def test_a_version_without_a_rollout_order_gets_no_requests():
    rollouts = make_rollouts()
    old, new = both_versions()
    assert rollouts.split(make_request(), "s", old).preferred == old
    assert rollouts.split(make_request(), "s", old + new).preferred == old
    assert rollouts.split(make_request(), "s", new).preferred == new


def test_the_share_grows_with_phases_and_moves_no_session_back():
    rollouts = make_rollouts()
    order(rollouts)
    old, new = both_versions()
    shares = []
    moved = set()
    for phase in PHASES:
        rollouts.apply_record(record(phase))
        shares.append(share_of_new(rollouts))
        now = {
            number
            for number in range(400)
            if rollouts.split(
                make_request(session=f"session-{number}"), "s", old + new
            ).preferred
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
        if rollouts.split(make_request(session=name), "s", old + new).preferred
        == new
    }


async def test_an_active_session_is_not_moved_in_the_trying_phase(clock):
    names = [f"session-{number}" for number in range(400)]
    here, there = make_rollouts(clock), make_rollouts(clock)
    for name in names:
        here.sessions.record_request("s", name)
    for rollouts in (here, there):
        rollouts.apply_order(ORDER)
        assert not moved_sessions(rollouts, names)
    there.sessions.apply_held(here.sessions.drain_updates())
    await clock.advance(2.0)
    # Half continue at the other entry, which received them from the first.
    assert not moved_sessions(there, names[:200])
    here.sessions.apply_held(there.sessions.drain_updates())
    await clock.advance(4.0)
    # These are still active, the rest have ended.
    assert not moved_sessions(here, names[:200])
    assert moved_sessions(here, names[200:])


def test_a_rolled_back_version_gets_no_requests_even_if_no_other_is_left():
    rollouts = make_rollouts()
    order(rollouts)
    rollouts.apply_record(record(RolloutPhase.ROLLED_BACK))
    old, new = both_versions()
    assert rollouts.split(make_request(), "s", old + new).preferred == old
    assert not rollouts.split(make_request(), "s", new).preferred
    assert not rollouts.split(make_request(), "s", new).fallback


def test_a_final_record_is_not_replaced_and_an_older_one_is_ignored():
    rollouts = make_rollouts()
    order(rollouts)
    rollouts.apply_record(record(RolloutPhase.ROLLED_BACK))
    rollouts.apply_record(record(RolloutPhase.COMPLETED))
    assert rollouts.phase(ORDER) is RolloutPhase.ROLLED_BACK
    rollouts.apply_record(record(RolloutPhase.FULL, order=6))
    assert rollouts.phase(ORDER) is RolloutPhase.ROLLED_BACK


def test_failures_stop_a_version_without_the_store():
    rollouts = make_rollouts()
    order(rollouts)
    old, new = both_versions()
    for number in range(60):
        rollouts.record_answer(old[0], "r", number % 30 == 0)
    for number in range(10):
        rollouts.record_answer(new[0], "r", number % 2 == 0)
    assert 7 in rollouts.stopped
    assert share_of_new(rollouts) == 0.0


def timed(count, seconds):
    """Returns good answers that took some time each."""
    durations = sum([ended_duration(seconds)] * count, NO_DURATIONS)
    return Tally(total=count, first=durations)


def is_worse(stable, candidate):
    period = make_period(stable, candidate)
    return judge([period]).verdict is Verdict.WORSE


@pytest.mark.parametrize(
    ("stable", "candidate", "worse"),
    [
        ({"r": Tally(100, 1)}, {"r": Tally(10, 4)}, True),
        ({"r": Tally(100, 1)}, {"r": Tally(10, 1)}, False),
        ({"r": Tally(100, 30)}, {"r": Tally(10, 3)}, False),
        # A single failing route among healthy ones.
        (
            {"r": Tally(100, 1), "q": Tally(100, 1)},
            {"r": Tally(40, 0), "q": Tally(8, 4)},
            True,
        ),
        ({"r": timed(50, 0.1)}, {"r": timed(9, 0.8)}, True),
        ({"r": timed(50, 0.1)}, {"r": timed(9, 0.11)}, False),
        ({}, {}, False),
    ],
)
def test_a_worse_version_is_distinguished_from_random_failures(
    stable, candidate, worse
):
    assert is_worse(stable, candidate) == worse


def test_a_route_that_usually_fails_is_no_evidence_against_a_version():
    stable = {"r": Tally(100, 2), "q": Tally(4, 3)}
    periods = [
        make_period(stable, {"r": Tally(10, 0)}),
        make_period({"r": Tally(100, 2)}, {"r": Tally(10), "q": Tally(4, 4)}),
    ]
    assert judge(periods).verdict is not Verdict.WORSE


def test_a_route_that_fails_as_usual_needs_no_evidence_of_its_own():
    stable = {"r": Tally(100, 2), "q": Tally(40, 10)}
    usual = {"r": Tally(30, 0), "q": Tally(6, 2)}
    assert judge([make_period(stable, usual)]).verdict is Verdict.NO_WORSE
    unusual = {"r": Tally(30, 0), "q": Tally(6, 4)}
    assert judge([make_period(stable, unusual)]).verdict is not (
        Verdict.NO_WORSE
    )


def test_a_good_version_is_rarely_judged_worse():
    rng = random.Random(5)
    wrong = 0
    for _ in range(300):
        bad = sum(rng.random() < 0.02 for _ in range(40))
        old = sum(rng.random() < 0.02 for _ in range(300))
        wrong += is_worse({"r": Tally(300, old)}, {"r": Tally(40, bad)})
    assert wrong <= 3


@pytest.mark.parametrize(
    ("progress", "phase"),
    [
        (
            RolloutProgress("trying", 0.4, 0.4, LARGE_SAMPLE, NO_WORSE, 5),
            "trying",
        ),
        (
            RolloutProgress("trying", 0.6, 0.6, LARGE_SAMPLE, NO_WORSE, 5),
            "trying",
        ),
        (
            RolloutProgress("trying", 0.95, 0.95, LARGE_SAMPLE, NO_WORSE, 5),
            "widening",
        ),
        (
            RolloutProgress("trying", 0.95, 0.95, Exposure(900, 2), UNKNOWN, 5),
            "extending",
        ),
        (
            RolloutProgress("extending", 1.5, 0.6, LARGE_SAMPLE, UNKNOWN, 0),
            "extending",
        ),
        (
            RolloutProgress("widening", 0.92, 0.03, LARGE_SAMPLE, UNKNOWN, 0),
            "widening",
        ),
        (
            RolloutProgress("trying", 0.1, 0.1, SMALL_SAMPLE, WORSE, 5),
            "rolled_back",
        ),
        (
            RolloutProgress("widening", 0.92, 0.01, LARGE_SAMPLE, NO_WORSE, 5),
            "widening",
        ),
        (
            RolloutProgress("widening", 0.92, 0.03, LARGE_SAMPLE, NO_WORSE, 5),
            "full",
        ),
        (
            RolloutProgress(
                "full",
                FORCE_COMPLETION_AGE - 0.005,
                0.01,
                LARGE_SAMPLE,
                NO_WORSE,
                0,
            ),
            "full",
        ),
        (
            RolloutProgress(
                "full",
                FORCE_COMPLETION_AGE - 0.005,
                0.05,
                LARGE_SAMPLE,
                NO_WORSE,
                5,
            ),
            "full",
        ),
        (
            RolloutProgress(
                "full",
                FORCE_COMPLETION_AGE - 0.005,
                0.05,
                LARGE_SAMPLE,
                NO_WORSE,
                0,
            ),
            "completed",
        ),
        (
            RolloutProgress(
                "full",
                FORCE_COMPLETION_AGE + 0.005,
                0.05,
                LARGE_SAMPLE,
                NO_WORSE,
                5,
            ),
            "completed",
        ),
        (
            RolloutProgress(
                "full",
                FORCE_COMPLETION_AGE - 0.005,
                0.05,
                LARGE_SAMPLE,
                WORSE,
                0,
            ),
            "rolled_back",
        ),
        # It may have given too many bad answers for too long.
        (
            RolloutProgress(
                "extending", 0.8, 0.3, LARGE_SAMPLE, UNKNOWN, 5, 0.0, 3.0
            ),
            "rolled_back",
        ),
        (
            RolloutProgress(
                "extending", 0.8, 0.3, LARGE_SAMPLE, UNKNOWN, 5, 0.0, 2.0
            ),
            "extending",
        ),
        # Its last step can't be undone.
        (
            RolloutProgress(
                "full",
                FORCE_COMPLETION_AGE + 0.005,
                0.05,
                LARGE_SAMPLE,
                UNKNOWN,
                0,
            ),
            "full",
        ),
        (
            RolloutProgress("full", 1.5, 0.6, LARGE_SAMPLE, UNKNOWN, 0),
            "full",
        ),
        (
            RolloutProgress("completed", 0.97, 0.05, LARGE_SAMPLE, WORSE, 0),
            "completed",
        ),
    ],
)
def test_a_rollout_advances_by_evidence_and_time(progress, phase):
    given = attrs.evolve(progress, phase=RolloutPhase(progress.phase))
    assert next_phase(given, BOUND) is RolloutPhase(phase)


def test_differences_of_the_network_are_not_compared():
    fast, faster = (Observation(None, 0.0, 0.5) for _ in range(2))
    assert fast.record_head(0.001) == faster.record_head(0.015)
    gaps = []
    for gap_s in (0.001, 0.008):
        observation = Observation(None, 0.0, 0.5)
        for number in range(9):
            observation.record_event(number * gap_s)
        gaps.append(observation.unfinished_pace(8 * gap_s, complete=True))
    assert gaps[0] == gaps[1]


# Retry budgets.


@pytest.mark.parametrize(("seconds", "usable"), [(0.0, 0.3), (30.0, 0.7)])
async def test_the_sum_of_retry_budgets_stays_within_the_operators_bound(
    clock, seconds, usable
):
    bounds = Bounds(retry_ratio=0.9, retry_slack=52, retry_window_s=10.0)
    entries = [ServiceRetryBudgets(bounds, lambda: 6, clock) for _ in range(6)]
    requests = 600
    sent = 0
    for number in range(requests):
        budget = entries[number % 6]["s"]
        budget.record_request()
        sent += budget.try_acquire() + budget.try_acquire()
        await clock.advance(seconds / requests)
    assert sent <= 0.9 * requests + 52
    assert sent > usable * requests


# Draining of an entry.


async def test_a_draining_entry_accepts_only_requests_that_can_finish(clock):
    drain = DrainState(clock, grace_s=8.0)
    drain.begin()
    assert drain.accepts(streaming=True)
    await clock.advance(3.0)
    assert not drain.accepts(streaming=True)
    assert drain.accepts(streaming=False)
    await clock.advance(2.0)
    assert not drain.accepts(streaming=False)


async def test_a_draining_entry_exits_when_idle_or_as_the_grace_period_ends(
    clock,
):
    drain = DrainState(clock, grace_s=8.0)
    none_open = OpenConnections()
    drain.begin_request()
    drain.begin()
    assert drain.advance(none_open) is ExitPhase.SERVING
    await clock.advance(4.0)
    assert drain.advance(none_open) is ExitPhase.SERVING
    drain.end_request()
    assert drain.advance(none_open) is ExitPhase.REFUSING
    await clock.advance(0.1)
    assert drain.advance(none_open) is ExitPhase.DONE
    drain.begin_request()
    assert drain.advance(none_open) is ExitPhase.CLOSING
    await clock.advance(3.8)
    assert drain.advance(none_open) is ExitPhase.CLOSING
    await clock.advance(0.2)
    assert drain.advance(none_open) is ExitPhase.DONE


# Events.


def test_an_incomplete_event_is_buffered():
    splitter = EventSplitter()
    assert not list(splitter.feed(b"id: 1\nda"))
    found = list(splitter.feed(b"ta\n\nid: 2\r\ndata\r\n\r\nid"))
    assert [event.number for event in found] == [1, 2]
    assert splitter.incomplete_event == b"id"


def test_a_missing_event_is_an_error_and_a_duplicate_is_dropped():
    order = EventOrder()
    splitter = EventSplitter()
    first, second, again, gap = splitter.feed(
        b"id: 4\n\nid: 5\n\nid: 5\n\nid: 9\n\n"
    )
    assert order.accept(first)
    assert order.accept(second)
    assert not order.accept(again)
    with pytest.raises(EventError):
        order.accept(gap)


def test_new_workers_serve_if_no_old_worker_is_left():
    rollouts = make_rollouts()
    order(rollouts)
    _, new = both_versions()
    split = rollouts.split(make_request(), "s", new)
    assert new in (split.preferred, split.fallback)
