"""Tests of evidence that is lost, repeated, reordered or out of date."""

import random

from hypothesis import given
from hypothesis import strategies as st

from rattanpier._internal.rollout.evidence import Counts, VersionCounts
from rattanpier._internal.rollout.ledger import Ledger
from rattanpier._internal.rollout.records import EvidenceRow


def make_row(sequence, attempts):
    return EvidenceRow("desk", "new", sequence, Counts(attempts))


def total(ledger):
    return (
        ledger.totals("old", "new")
        .get("desk", VersionCounts())
        .candidate.attempts
    )


@given(st.integers(0, 2**32), st.integers(1, 30))
def test_lost_repeated_and_reordered_rows_give_the_newest_counters(seed, count):
    rng = random.Random(seed)
    rows = [make_row(number, number * 10) for number in range(1, count + 1)]
    sent = [row for row in rows if rng.random() < 0.7] or rows[-1:]
    newest = sent[-1].counts.attempts
    arrived = sent + rng.choices(sent, k=5)
    rng.shuffle(arrived)
    ledger = Ledger()
    for row in arrived:
        ledger.apply_row("entry-1/i1", row)
    assert total(ledger) == newest


def test_counters_of_two_incarnations_of_an_entry_add_up():
    ledger = Ledger()
    ledger.apply_row("entry-1/i1", make_row(9, 90))
    ledger.apply_row("entry-1/i2", make_row(1, 5))
    assert total(ledger) == 95


def test_late_row_of_a_dropped_process_is_not_counted_twice():
    ledger = Ledger()
    ledger.apply_row("entry-1/i1", make_row(2, 20))
    ledger.drop_stopped_origins(live={"entry-2/i1"}, max_origins=0)
    assert total(ledger) == 20
    ledger.apply_row("entry-1/i1", make_row(2, 20))
    ledger.apply_row("entry-1/i1", make_row(3, 30))
    assert total(ledger) == 20


def test_totals_never_decrease_while_processes_are_replaced():
    ledger, totals = Ledger(), []
    for start in range(1, 6):
        ledger.apply_row(f"entry/{start}", make_row(1, 7))
        ledger.drop_stopped_origins(live={f"entry/{start}"}, max_origins=1)
        totals.append(total(ledger))
    assert totals == [7, 14, 21, 28, 35]


def test_rows_of_a_live_entry_believed_stopped_are_counted():
    ledger = Ledger()
    ledger.apply_row("entry-1/i1", make_row(1, 10))
    ledger.drop_stopped_origins(live=set())
    ledger.apply_row("entry-1/i1", make_row(2, 30))
    assert total(ledger) == 30
