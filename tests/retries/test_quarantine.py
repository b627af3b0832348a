"""Quarantine of requests, and the updates on it between entries."""

import attrs
import pytest

from rattanpier._internal.models.refusal import RefusalCode
from rattanpier._internal.models.relay_answer import (
    AnswerRefused,
    CompleteAnswer,
)
from rattanpier._internal.models.worker_crash import (
    QuarantineUpdate,
    WorkerCrash,
)
from rattanpier._internal.relay.request_progress import (
    RequestProgress,
    final_answer,
)
from rattanpier._internal.retries import quarantine as module
from rattanpier._internal.retries.quarantine import (
    ANSWER_GRACE_S,
    CRASHES_TO_QUARANTINE,
    QUARANTINE_S,
    Quarantine,
)
from rattanpier._internal.utils.codec import decode, encode
from tests.lib.clock import ManualClock
from tests.lib.relay_parts import make_request, make_worker

DEADLY, HARMLESS = "deadly", "usual"


def make_quarantine(clock=None):
    return Quarantine(clock or ManualClock())


def crash_workers(quarantine, content, count, first=0):
    for number in range(first, first + count):
        quarantine.record_crash(content, f"w{number}")


def send_update(sender, receiver):
    """Sends an update as between two processes."""
    text = encode(sender.pop_unsent())
    receiver.apply_update(decode(QuarantineUpdate, text))


def test_third_crash_quarantines_content():
    quarantine = make_quarantine()
    crash_workers(quarantine, DEADLY, CRASHES_TO_QUARANTINE - 1)
    assert quarantine.remaining_s(DEADLY) == 0.0
    crash_workers(quarantine, DEADLY, 1, first=CRASHES_TO_QUARANTINE)
    assert quarantine.remaining_s(DEADLY) == QUARANTINE_S
    assert quarantine.remaining_s(HARMLESS) == 0.0


def test_repeated_crashes_of_one_incarnation_count_once():
    quarantine = make_quarantine()
    for _ in range(5):
        crash_workers(quarantine, DEADLY, 1)
    assert quarantine.remaining_s(DEADLY) == 0.0


def test_crash_of_each_incarnation_of_a_worker_counts():
    quarantine = make_quarantine()
    for born in range(CRASHES_TO_QUARANTINE):
        quarantine.record_crash(DEADLY, make_worker("w", born=born).incarnation)
    assert quarantine.remaining_s(DEADLY) == QUARANTINE_S


def test_quarantine_ends_when_last_crash_is_old():
    quarantine = make_quarantine()
    crash_workers(quarantine, DEADLY, CRASHES_TO_QUARANTINE)
    quarantine.clock.now = QUARANTINE_S - 1.0
    assert quarantine.remaining_s(DEADLY) == 1.0
    quarantine.clock.now = QUARANTINE_S
    assert quarantine.remaining_s(DEADLY) == 0.0
    assert quarantine.full_update() == QuarantineUpdate()
    assert not quarantine.is_suspect(DEADLY)


def test_complete_answer_clears_crashes_up_to_just_after_it():
    quarantine = make_quarantine()
    crash_workers(quarantine, HARMLESS, CRASHES_TO_QUARANTINE - 1)
    quarantine.record_answer(HARMLESS)
    crash_workers(quarantine, HARMLESS, CRASHES_TO_QUARANTINE)
    assert quarantine.remaining_s(HARMLESS) == 0.0
    quarantine.clock.now = ANSWER_GRACE_S
    crash_workers(quarantine, HARMLESS, CRASHES_TO_QUARANTINE)
    assert quarantine.remaining_s(HARMLESS) == QUARANTINE_S


def test_crashes_seen_by_different_entries_add_up():
    clock = ManualClock()
    first, second = make_quarantine(clock), make_quarantine(clock)
    crash_workers(first, DEADLY, 2)
    crash_workers(second, DEADLY, 2, first=1)  # One of them is the same worker.
    send_update(first, second)
    send_update(second, first)
    for each in (first, second):
        assert each.remaining_s(DEADLY) == QUARANTINE_S
        assert len(each.crashes[DEADLY]) == 3
    assert first.digest() == second.digest()
    assert first.pop_unsent() == QuarantineUpdate()


def test_updates_may_repeat_and_come_in_any_order():
    clock = ManualClock()
    first, second = make_quarantine(clock), make_quarantine(clock)
    crash_workers(first, DEADLY, CRASHES_TO_QUARANTINE)
    update = first.full_update()
    second.apply_update(attrs.evolve(update, ends=update.ends[::-1]))
    second.apply_update(update)
    assert second.crashes == first.crashes


def test_complete_answer_lifts_quarantine_at_peers():
    clock = ManualClock()
    first, second = make_quarantine(clock), make_quarantine(clock)
    first.record_answer(HARMLESS)
    crash_workers(second, HARMLESS, CRASHES_TO_QUARANTINE)
    assert second.remaining_s(HARMLESS) == QUARANTINE_S
    send_update(second, first)
    assert first.remaining_s(HARMLESS) == 0.0
    first.record_answer(HARMLESS)
    send_update(first, second)
    assert first.remaining_s(HARMLESS) == second.remaining_s(HARMLESS) == 0.0
    assert first.digest() == second.digest()


def test_late_update_does_not_bring_cleared_crashes_back():
    clock = ManualClock()
    first, second = make_quarantine(clock), make_quarantine(clock)
    crash_workers(first, HARMLESS, CRASHES_TO_QUARANTINE)
    late = first.full_update()
    second.apply_update(late)
    first.record_answer(HARMLESS)
    send_update(first, second)
    clock.now = 60.0
    aged = [attrs.evolve(end, age_s=60.0) for end in late.ends]
    assert second.apply_update(QuarantineUpdate(aged)) == QuarantineUpdate()
    assert second.remaining_s(HARMLESS) == 0.0


def test_new_entry_gets_all_crashes_with_their_ages():
    clock = ManualClock()
    first, second = make_quarantine(clock), make_quarantine(clock)
    crash_workers(first, DEADLY, CRASHES_TO_QUARANTINE)
    clock.now = 100.0
    second.apply_update(first.full_update())
    assert (
        second.remaining_s(DEADLY)
        == first.remaining_s(DEADLY)
        == QUARANTINE_S - 100.0
    )


@pytest.mark.parametrize(
    "age_s", [-1.0, QUARANTINE_S, float("inf"), float("nan")]
)
def test_crashes_with_invalid_age_are_ignored(age_s):
    quarantine = make_quarantine()
    ends = [WorkerCrash(DEADLY, f"w{number}", age_s) for number in range(3)]
    quarantine.apply_update(QuarantineUpdate(ends))
    assert quarantine.crashes == {}


def test_stored_state_is_bounded_and_keeps_quarantined_contents(monkeypatch):
    monkeypatch.setattr(module, "MAX_SUSPECTS", 20)
    monkeypatch.setattr(module, "MAX_ANSWERED", 20)
    quarantine = make_quarantine()
    crash_workers(quarantine, DEADLY, CRASHES_TO_QUARANTINE)
    for number in range(100):
        quarantine.clock.now += 0.1
        crash_workers(quarantine, f"beside {number}", 1, first=number)
        quarantine.record_answer(f"answered {number}")
    assert len(quarantine.crashes) == len(quarantine.answered) == 20
    assert quarantine.remaining_s(DEADLY) > 0.0
    assert "beside 99" in quarantine.crashes


def test_crash_is_explained_by_content_that_crashed_another_worker():
    quarantine = make_quarantine()
    quarantine.record_crash(HARMLESS, "w1")
    quarantine.record_crash(DEADLY, "w1")
    assert not quarantine.explains_crash("w1")
    quarantine.record_crash(DEADLY, "w2")
    assert quarantine.explains_crash("w1")
    assert quarantine.explains_crash("w2")
    assert not quarantine.explains_crash("w3")


def make_progress(**more):
    return RequestProgress(
        make_request(), 10.0, "s", quarantined_s=500.0, **more
    )


def test_quarantined_request_is_refused_with_retry_after():
    found = final_answer(make_progress(), 5.0)
    assert isinstance(found, AnswerRefused)
    assert (found.status, found.refusal.code) == (503, RefusalCode.QUARANTINED)
    assert found.refusal.not_run
    assert found.refusal.retry_after_s == 500.0


def test_quarantined_request_that_may_have_run_gets_no_retry_after():
    found = final_answer(make_progress(sent=3, may_have_run=True), 5.0)
    assert isinstance(found, AnswerRefused)
    assert (found.status, found.refusal.not_run) == (502, False)
    assert found.refusal.retry_after_s is None


def test_failure_response_of_worker_is_still_forwarded():
    failure = CompleteAnswer(500, (), b"")
    progress = make_progress(sent=1, may_have_run=True, failure=failure)
    assert final_answer(progress, 5.0) is failure
