"""Repeats of all entries, as processes, counted at the workers."""

from tests.lib.platform_site import LARGE
from tests.soak.repeats import BURST_WORK_S, judge_repeats, run_repeats


async def test_repeats_before_a_kill_of_all_entries_count_after_it(tmp_path):
    run = await run_repeats(
        6, tmp_path, entries=3, troubles=["kill all"], per_s=6.0, length_s=24.0
    )
    assert None in run.statuses
    assert run.worst().repeats
    assert not list(judge_repeats(run))


async def test_requests_of_one_burst_pay_for_no_repeats_of_two(tmp_path):
    run = await run_repeats(
        70,
        tmp_path,
        troubles=[],
        length_s=22.0,
        load="bursts 9.8 s apart",
        work_s=BURST_WORK_S,
    )
    assert run.worst().repeats
    assert not list(judge_repeats(run))


async def test_escalated_and_resumed_streams_count_as_repeats(tmp_path):
    run = await run_repeats(
        5,
        tmp_path,
        entries=3,
        troubles=["kill all"],
        load="bursts 6 s apart",
        length_s=24.0,
        path="/chat/x",
    )
    arrived = [
        run for worker in run.site.workers.values() for run in worker.runs
    ]
    assert any("last-event-id" in each.headers for each in arrived)
    assert any(each.headers["x-model"] == LARGE for each in arrived)
    assert run.worst().repeats
    assert not list(judge_repeats(run))
