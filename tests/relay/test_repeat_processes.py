"""Repeats of all entries, as processes, counted at the workers."""

from tests.soak.repeats import judge_repeats, run_repeats


async def test_repeats_before_a_kill_of_all_entries_count_after_it(tmp_path):
    run = await run_repeats(
        6, tmp_path, entries=3, troubles=["kill all"], per_s=6.0, length_s=24.0
    )
    assert None in run.statuses
    assert run.worst().repeats
    assert not list(judge_repeats(run))
