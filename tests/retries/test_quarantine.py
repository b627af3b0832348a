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
    ENDS_TO_HOLD,
    HOLD_S,
    TRUSTED_S,
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
        quarantine.note_end(content, f"w{number}")


def tell(sender, receiver):
    """Tells as between two processes."""
    text = encode(sender.take_untold())
    receiver.take(decode(QuarantineNews, text))


def test_a_content_is_held_from_the_third_end_on():
    quarantine = make_quarantine()
    end_some(quarantine, DEADLY, ENDS_TO_HOLD - 1)
    assert quarantine.held_s(DEADLY) == 0.0
    end_some(quarantine, DEADLY, 1, first=ENDS_TO_HOLD)
    assert quarantine.held_s(DEADLY) == HOLD_S
    assert quarantine.held_s(USUAL) == 0.0


def test_many_attempts_at_one_worker_count_once():
    quarantine = make_quarantine()
    for _ in range(5):
        end_some(quarantine, DEADLY, 1)
    assert quarantine.held_s(DEADLY) == 0.0


def test_starts_under_one_id_count_each():
    quarantine = make_quarantine()
    for born in range(ENDS_TO_HOLD):
        quarantine.note_end(DEADLY, make_worker("w", born=born).incarnation)
    assert quarantine.held_s(DEADLY) == HOLD_S


def test_it_is_held_until_the_last_end_is_old():
    quarantine = make_quarantine()
    end_some(quarantine, DEADLY, ENDS_TO_HOLD)
    quarantine.clock.now = HOLD_S - 1.0
    assert quarantine.held_s(DEADLY) == 1.0
    quarantine.clock.now = HOLD_S
    assert quarantine.held_s(DEADLY) == 0.0
    assert quarantine.all_news() == QuarantineNews()
    assert not quarantine.suspects(DEADLY)


def test_a_whole_answer_clears_and_ends_just_after_it_do_not_count():
    quarantine = make_quarantine()
    end_some(quarantine, USUAL, ENDS_TO_HOLD - 1)
    quarantine.note_answered(USUAL)
    end_some(quarantine, USUAL, ENDS_TO_HOLD)
    assert quarantine.held_s(USUAL) == 0.0
    quarantine.clock.now = TRUSTED_S
    end_some(quarantine, USUAL, ENDS_TO_HOLD)
    assert quarantine.held_s(USUAL) == HOLD_S


def test_entries_add_up_what_each_saw():
    clock = ManualClock()
    first, second = make_quarantine(clock), make_quarantine(clock)
    end_some(first, DEADLY, 2)
    end_some(second, DEADLY, 2, first=1)  # One of them is the same worker.
    tell(first, second)
    tell(second, first)
    for each in (first, second):
        assert each.held_s(DEADLY) == HOLD_S
        assert len(each.ends[DEADLY]) == 3
    assert first.digest() == second.digest()
    assert first.take_untold() == QuarantineNews()


def test_news_may_come_twice_and_in_any_order():
    clock = ManualClock()
    first, second = make_quarantine(clock), make_quarantine(clock)
    end_some(first, DEADLY, ENDS_TO_HOLD)
    news = first.all_news()
    second.take(attrs.evolve(news, ends=news.ends[::-1]))
    second.take(news)
    assert second.ends == first.ends


def test_one_that_answers_a_content_tells_so_to_those_that_hold_it():
    clock = ManualClock()
    first, second = make_quarantine(clock), make_quarantine(clock)
    first.note_answered(USUAL)
    end_some(second, USUAL, ENDS_TO_HOLD)
    assert second.held_s(USUAL) == HOLD_S
    tell(second, first)
    assert first.held_s(USUAL) == 0.0
    first.note_answered(USUAL)
    tell(first, second)
    assert first.held_s(USUAL) == second.held_s(USUAL) == 0.0
    assert first.digest() == second.digest()


def test_late_news_of_an_end_do_not_undo_that_it_was_cleared():
    clock = ManualClock()
    first, second = make_quarantine(clock), make_quarantine(clock)
    end_some(first, USUAL, ENDS_TO_HOLD)
    late = first.all_news()
    second.take(late)
    first.note_answered(USUAL)
    tell(first, second)
    clock.now = 60.0
    aged = [attrs.evolve(end, age_s=60.0) for end in late.ends]
    assert second.take(QuarantineNews(aged)) == QuarantineNews()
    assert second.held_s(USUAL) == 0.0


def test_a_newcomer_hears_of_all_with_their_ages():
    clock = ManualClock()
    first, second = make_quarantine(clock), make_quarantine(clock)
    end_some(first, DEADLY, ENDS_TO_HOLD)
    clock.now = 100.0
    second.take(first.all_news())
    assert second.held_s(DEADLY) == first.held_s(DEADLY) == HOLD_S - 100.0


@pytest.mark.parametrize("age_s", [-1.0, HOLD_S, float("inf"), float("nan")])
def test_ends_of_no_proper_age_do_not_count(age_s):
    quarantine = make_quarantine()
    ends = [WorkerEnd(DEADLY, f"w{number}", age_s) for number in range(3)]
    quarantine.take(QuarantineNews(ends))
    assert quarantine.ends == {}


def test_what_is_kept_has_a_bound_and_the_held_stay(monkeypatch):
    monkeypatch.setattr(module, "MOST_SUSPECTS", 20)
    monkeypatch.setattr(module, "MOST_ANSWERED", 20)
    quarantine = make_quarantine()
    end_some(quarantine, DEADLY, ENDS_TO_HOLD)
    for number in range(100):
        quarantine.clock.now += 0.1
        end_some(quarantine, f"beside {number}", 1, first=number)
        quarantine.note_answered(f"answered {number}")
    assert len(quarantine.ends) == len(quarantine.answered) == 20
    assert quarantine.held_s(DEADLY) > 0.0
    assert "beside 99" in quarantine.ends


def test_a_worker_s_end_is_put_down_to_a_content_that_ended_another():
    quarantine = make_quarantine()
    quarantine.note_end(USUAL, "w1")
    quarantine.note_end(DEADLY, "w1")
    assert not quarantine.explains("w1")
    quarantine.note_end(DEADLY, "w2")
    assert quarantine.explains("w1")
    assert quarantine.explains("w2")
    assert not quarantine.explains("w3")


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
