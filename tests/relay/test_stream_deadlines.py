"""Streams of a large model end before the deadline of their request."""

import attrs
import pytest

from rattanpier._internal.models.policy import Policy
from rattanpier._internal.relay.dispatch import prefer_answered
from rattanpier._internal.relay.request_progress import RequestProgress
from rattanpier._internal.relay.stream_deadlines import (
    FinishEstimate,
    finish_deadline,
    finish_reserve_s,
    may_finish_smaller,
)
from rattanpier._internal.standin.platform_worker import WorkerFault
from tests.lib.platform_site import (
    LARGE,
    SMALL,
    event_numbers,
    manifest_with_route,
    platform_site,
    until,
)
from tests.lib.relay_parts import MODELS, make_request, make_route, make_workers

ENGINE = "engine"
EVENTS = 8
LARGE_GAP_S = 0.25  # The whole stream takes longer than its deadline.
DEADLINE_MS = 1500


@pytest.fixture
async def site():
    async with platform_site() as made:
        for name in ("e1", "e2"):
            await made.add_worker(
                name,
                ENGINE,
                events=EVENTS,
                confidence={SMALL: 90.0},
                model_gaps_s={LARGE: LARGE_GAP_S},
            )
        await made.add_entry()
        for _ in range(6):  # Durations of the small model are then known.
            await made.chat()
        for worker in made.workers.values():
            worker.confidence = {SMALL: 5.0}
            worker.runs.clear()
        yield made


def models_of_runs(site):
    runs = [run for worker in site.workers.values() for run in worker.runs]
    return sorted(run.headers["x-model"] for run in runs)


async def ask_in_time(site):
    return await site.chat(headers={"X-Deadline-Ms": str(DEADLINE_MS)})


async def test_a_stream_that_would_miss_its_deadline_is_finished_smaller(site):
    answer = await ask_in_time(site)
    assert answer.complete
    assert event_numbers(answer.body) == list(range(1, EVENTS + 1))
    assert models_of_runs(site) == [LARGE, SMALL, SMALL]
    last = [
        run
        for worker in site.workers.values()
        for run in worker.runs
        if "last-event-id" in run.headers
    ]
    assert [run.headers["x-model"] for run in last] == [SMALL]


async def test_without_the_mechanism_the_stream_is_cut(site):
    site.entries["entry-1"].edge.dispatcher.policy = Policy(
        finish_smaller=False
    )
    answer = await ask_in_time(site)
    assert not answer.complete


async def test_a_stream_that_ends_in_time_stays_at_the_larger_model(site):
    for worker in site.workers.values():
        worker.model_gaps_s = {LARGE: 0.02}
    answer = await ask_in_time(site)
    assert answer.complete
    assert models_of_runs(site) == [LARGE, SMALL]


async def test_a_stream_that_may_not_be_resumed_is_not_finished_smaller(site):
    site.store.put("op", "config", manifest_with_route("chat", resumable=False))
    entry = site.entries["entry-1"]
    await until(lambda: entry.state.table.version == 2)
    answer = await ask_in_time(site)
    assert not answer.complete
    assert models_of_runs(site) == [LARGE, SMALL]


async def test_an_attempt_is_not_spent_on_a_failed_connection(site):
    site.store.put("op", "config", manifest_with_route("chat", maxAttempts=1))
    entry = site.entries["entry-1"]
    await until(lambda: entry.state.table.version == 2)
    for worker in site.workers.values():
        worker.confidence = {SMALL: 90.0}
    await site.workers["e1"].stop()
    answers = [await site.chat() for _ in range(6)]
    assert [answer.status for answer in answers] == [200] * 6


async def test_the_last_attempt_goes_to_the_worker_that_answered(site):
    for name in ("e3", "e4"):
        await site.add_worker(name, ENGINE, fault=WorkerFault.RESET)
    site.workers["e1"].model_gaps_s = {}
    site.workers["e2"].fault = WorkerFault.RESET
    dispatcher = site.entries["entry-1"].edge.dispatcher
    await until(lambda: len(dispatcher.directory.accepting_workers(ENGINE)) > 3)
    # Otherwise the failing workers are soon not chosen any more.
    dispatcher.health.policy = Policy(avoidance=False)
    # Nor are attempts to end for want of a budget.
    budgets = dispatcher.budgets
    budgets.bounds = attrs.evolve(budgets.bounds, retry_slack=500)
    statuses = []
    for number in range(40):
        # Requests with another prompt have another preferred worker.
        prefix = {"X-Prefix-Hash": f"a{number}:400,b{number}:400"}
        statuses.append((await site.chat(headers=prefix)).status)
    # Only failures before the first answer may use up all attempts.
    reached = {run.id for run in site.workers["e1"].runs}
    assert statuses.count(200) == len(reached)


def make_progress(sent, answered_by, unconnected=()):
    progress = RequestProgress(make_request(), 10.0, "s")
    progress.sent = sent
    progress.answered_by = answered_by
    progress.unconnected = list(unconnected)
    return progress


@pytest.mark.parametrize(
    ("sent", "answered_by", "unconnected", "expected"),
    [
        (2, "w1", (), ["w1"]),
        (1, "w1", (), ["w0", "w1", "w2"]),
        (3, "w1", ("w0",), ["w1"]),
        (2, "", (), ["w0", "w1", "w2"]),
        (2, "gone", (), ["w0", "w1", "w2"]),
    ],
)
def test_only_the_last_attempt_prefers_the_worker_that_answered(
    sent, answered_by, unconnected, expected
):
    progress = make_progress(sent, answered_by, unconnected)
    found = prefer_answered(progress, make_workers(3))
    assert [worker.id for worker in found] == expected


@pytest.mark.parametrize(
    ("more", "any_model", "model", "expected"),
    [
        ({"streaming": True, "resumable": True}, True, "large", True),
        ({"streaming": True, "resumable": True}, True, "small", False),
        ({"streaming": True, "resumable": True}, False, "large", False),
        ({"streaming": True}, True, "large", False),
    ],
)
def test_only_resumable_streams_of_larger_models_are_finished_smaller(
    more, any_model, model, expected
):
    route = make_route(models=MODELS, **more)
    request = make_request(route=route, any_model=any_model)
    assert may_finish_smaller(request, model) is expected


def test_a_reserve_is_bounded_by_a_share_of_the_request():
    assert finish_reserve_s(8.0, FinishEstimate(1.0, 1.0)) == 2.0
    assert finish_reserve_s(8.0, FinishEstimate(1.0, 1.1)) == float("inf")
    assert finish_deadline(10.0, 8.0, float("inf")) == 10.0
