"""Which requests are kept from workers, and what entries tell of them."""

import attrs
import pytest

from rattanpier._internal.models.refusal import RefusalCode
from rattanpier._internal.models.relay_answer import AnswerRefused, WholeAnswer
from rattanpier._internal.models.worker_end import QuarantineNews, WorkerEnd
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

DEADLY, USUAL = "deadly", "usual"


def make_quarantine(clock=None):
    return Quarantine(clock or ManualClock())


def end_some(quarantine, content, count, first=0):
    for number in range(first, first + count):
        quarantine.record_crash(content, f"w{number}")


def tell(sender, receiver):
    """Tells as between two processes."""
    text = encode(sender.pop_unsent())
    receiver.apply_update(decode(QuarantineNews, text))


def test_a_content_is_held_from_the_third_end_on():
    quarantine = make_quarantine()
    end_some(quarantine, DEADLY, CRASHES_TO_QUARANTINE - 1)
    assert quarantine.remaining_s(DEADLY) == 0.0
    end_some(quarantine, DEADLY, 1, first=CRASHES_TO_QUARANTINE)
    assert quarantine.remaining_s(DEADLY) == QUARANTINE_S
    assert quarantine.remaining_s(USUAL) == 0.0


def test_many_attempts_at_one_worker_count_once():
    quarantine = make_quarantine()
    for _ in range(5):
        end_some(quarantine, DEADLY, 1)
    assert quarantine.remaining_s(DEADLY) == 0.0


def test_starts_under_one_id_count_each():
    quarantine = make_quarantine()
    for born in range(CRASHES_TO_QUARANTINE):
        quarantine.record_crash(DEADLY, make_worker("w", born=born).incarnation)
    assert quarantine.remaining_s(DEADLY) == QUARANTINE_S


def test_it_is_held_until_the_last_end_is_old():
    quarantine = make_quarantine()
    end_some(quarantine, DEADLY, CRASHES_TO_QUARANTINE)
    quarantine.clock.now = QUARANTINE_S - 1.0
    assert quarantine.remaining_s(DEADLY) == 1.0
    quarantine.clock.now = QUARANTINE_S
    assert quarantine.remaining_s(DEADLY) == 0.0
    assert quarantine.full_update() == QuarantineNews()
    assert not quarantine.is_suspect(DEADLY)


def test_a_whole_answer_clears_and_ends_just_after_it_do_not_count():
    quarantine = make_quarantine()
    end_some(quarantine, USUAL, CRASHES_TO_QUARANTINE - 1)
    quarantine.record_answer(USUAL)
    end_some(quarantine, USUAL, CRASHES_TO_QUARANTINE)
    assert quarantine.remaining_s(USUAL) == 0.0
    quarantine.clock.now = ANSWER_GRACE_S
    end_some(quarantine, USUAL, CRASHES_TO_QUARANTINE)
    assert quarantine.remaining_s(USUAL) == QUARANTINE_S


def test_entries_add_up_what_each_saw():
    clock = ManualClock()
    first, second = make_quarantine(clock), make_quarantine(clock)
    end_some(first, DEADLY, 2)
    end_some(second, DEADLY, 2, first=1)  # One of them is the same worker.
    tell(first, second)
    tell(second, first)
    for each in (first, second):
        assert each.remaining_s(DEADLY) == QUARANTINE_S
        assert len(each.crashes[DEADLY]) == 3
    assert first.digest() == second.digest()
    assert first.pop_unsent() == QuarantineNews()


def test_news_may_come_twice_and_in_any_order():
    clock = ManualClock()
    first, second = make_quarantine(clock), make_quarantine(clock)
    end_some(first, DEADLY, CRASHES_TO_QUARANTINE)
    news = first.full_update()
    second.apply_update(attrs.evolve(news, ends=news.ends[::-1]))
    second.apply_update(news)
    assert second.crashes == first.crashes


def test_one_that_answers_a_content_tells_so_to_those_that_hold_it():
    clock = ManualClock()
    first, second = make_quarantine(clock), make_quarantine(clock)
    first.record_answer(USUAL)
    end_some(second, USUAL, CRASHES_TO_QUARANTINE)
    assert second.remaining_s(USUAL) == QUARANTINE_S
    tell(second, first)
    assert first.remaining_s(USUAL) == 0.0
    first.record_answer(USUAL)
    tell(first, second)
    assert first.remaining_s(USUAL) == second.remaining_s(USUAL) == 0.0
    assert first.digest() == second.digest()


def test_late_news_of_an_end_do_not_undo_that_it_was_cleared():
    clock = ManualClock()
    first, second = make_quarantine(clock), make_quarantine(clock)
    end_some(first, USUAL, CRASHES_TO_QUARANTINE)
    late = first.full_update()
    second.apply_update(late)
    first.record_answer(USUAL)
    tell(first, second)
    clock.now = 60.0
    aged = [attrs.evolve(end, age_s=60.0) for end in late.ends]
    assert second.apply_update(QuarantineNews(aged)) == QuarantineNews()
    assert second.remaining_s(USUAL) == 0.0


def test_a_newcomer_hears_of_all_with_their_ages():
    clock = ManualClock()
    first, second = make_quarantine(clock), make_quarantine(clock)
    end_some(first, DEADLY, CRASHES_TO_QUARANTINE)
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
def test_ends_of_no_proper_age_do_not_count(age_s):
    quarantine = make_quarantine()
    ends = [WorkerEnd(DEADLY, f"w{number}", age_s) for number in range(3)]
    quarantine.apply_update(QuarantineNews(ends))
    assert quarantine.crashes == {}


def test_what_is_kept_has_a_bound_and_the_held_stay(monkeypatch):
    monkeypatch.setattr(module, "MAX_SUSPECTS", 20)
    monkeypatch.setattr(module, "MAX_ANSWERED", 20)
    quarantine = make_quarantine()
    end_some(quarantine, DEADLY, CRASHES_TO_QUARANTINE)
    for number in range(100):
        quarantine.clock.now += 0.1
        end_some(quarantine, f"beside {number}", 1, first=number)
        quarantine.record_answer(f"answered {number}")
    assert len(quarantine.crashes) == len(quarantine.answered) == 20
    assert quarantine.remaining_s(DEADLY) > 0.0
    assert "beside 99" in quarantine.crashes


def test_a_worker_s_end_is_put_down_to_a_content_that_ended_another():
    quarantine = make_quarantine()
    quarantine.record_crash(USUAL, "w1")
    quarantine.record_crash(DEADLY, "w1")
    assert not quarantine.explains_crash("w1")
    quarantine.record_crash(DEADLY, "w2")
    assert quarantine.explains_crash("w1")
    assert quarantine.explains_crash("w2")
    assert not quarantine.explains_crash("w3")


def make_course(**more):
    return RequestProgress(
        make_request(), 10.0, "s", quarantined_s=500.0, **more
    )


def test_a_held_request_is_refused_with_when_to_come_back():
    found = final_answer(make_course(), 5.0)
    assert isinstance(found, AnswerRefused)
    assert (found.status, found.refusal.code) == (503, RefusalCode.QUARANTINED)
    assert found.refusal.not_run
    assert found.refusal.retry_after_s == 500.0


def test_a_held_request_that_may_have_run_is_promised_nothing():
    found = final_answer(make_course(sent=3, may_have_run=True), 5.0)
    assert isinstance(found, AnswerRefused)
    assert (found.status, found.refusal.not_run) == (502, False)
    assert found.refusal.retry_after_s is None


def test_a_worker_s_own_failure_is_still_passed_on():
    failure = WholeAnswer(500, (), b"")
    course = make_course(sent=1, may_have_run=True, failure=failure)
    assert final_answer(course, 5.0) is failure
