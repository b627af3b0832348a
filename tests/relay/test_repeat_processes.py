"""Repeats of all entries, as processes, counted at the workers."""

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
