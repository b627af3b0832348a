"""Tests how rows of quarantined requests are written, read and removed."""

import attrs
import pytest

from rattanpier._internal.models.feed import FeedRow, WrittenAt
from rattanpier._internal.models.outcomes import NotRun
from rattanpier._internal.relay.fleet import EntryState, Fleet
from rattanpier._internal.relay.own_table import QUARANTINED_PREFIX
from rattanpier._internal.relay.quarantine_rows import (
    EVIDENCE_KEY,
    QuarantineRow,
    QuarantineRows,
)
from rattanpier._internal.relay.store import StoreClock
from rattanpier._internal.retries.quarantine import QUARANTINE_S, Quarantine
from rattanpier._internal.utils.codec import decode, encode
from tests.lib.clock import ManualClock
from tests.lib.relay_parts import at
from tests.lib.ring import make_member

CONTENT = "deadly"
NOW_MS = 5_000_000.0


@attrs.define
class FakeStore:
    """A store whose first `failures_left` transactions are not run."""

    failures_left: int = 0
    calls: int = 0
    rows: dict = attrs.Factory(dict)

    async def transact(self, checks, puts, removed=()):
        self.calls += 1
        if self.failures_left:
            self.failures_left -= 1
            return NotRun("away")
        for put in puts:
            self.rows[put.key] = put.value
        for check in removed:
            self.rows.pop(check.key, None)
        return WrittenAt(at(1), NOW_MS)


def make_rows(store, number=0, of=1):
    clock = ManualClock()
    fleet = Fleet(EntryState(make_member(number), 1.0, store=True), clock)
    fleet.apply_states(
        EntryState(make_member(other), 1.0, store=True)
        for other in range(of)
        if other != number
    )
    store_clock = StoreClock(clock, NOW_MS)
    rows = QuarantineRows(
        store,
        Quarantine(clock),
        fleet,
        store_clock,
        clock,
        lambda: True,
    )
    rows.quarantine.on_change = rows.changed.put_nowait
    return rows


def quarantine_request(rows):
    for number in range(3):
        rows.quarantine.record_crash(CONTENT, f"w{number}")


async def sync_rows(rows):
    while not rows.changed.empty():
        assert await rows.sync_row(rows.changed.get_nowait())


async def test_row_of_an_entry_that_ended_before_it_wrote_is_written():
    store = FakeStore()
    entries = [make_rows(store, number, of=4) for number in range(4)]
    for rows in entries:
        quarantine_request(rows)
    (first,) = [each for each in entries if each.is_assigned(CONTENT)]
    others = [each for each in entries if each is not first]
    for rows in others:
        await sync_rows(rows)
        rows.take_over()
    assert not store.calls
    for rows in others:
        rows.fleet.record_down(first.fleet.me.member.name, "lost")
        rows.take_over()
        await sync_rows(rows)
        rows.take_over()
        await sync_rows(rows)
    assert store.calls == 1
    assert QUARANTINED_PREFIX + CONTENT in store.rows


async def test_crashes_before_a_hold_survive_the_loss_of_all_entries():
    store = FakeStore()
    before = make_rows(store)
    for number in range(3):
        before.quarantine.record_crash(
            f"c{number}", f"w{number}", ["route", "bad"], 0.1
        )
    before.quarantine.record_stood(["route"], 1.0)
    await before.write_evidence()
    after = make_rows(store)
    value = store.rows[QUARANTINED_PREFIX + EVIDENCE_KEY]
    after.apply_row(FeedRow(EVIDENCE_KEY, value, at(1)), NOW_MS + 1000.0)
    assert not after.quarantine.parts_remaining_s(["route", "bad"])
    after.quarantine.record_crash("c3", "w3", ["route", "bad"], 0.1)
    after.clock.now += 1.0
    assert after.quarantine.parts_remaining_s(["other", "bad"])
    assert not after.quarantine.parts_remaining_s(["route", "other"])


async def test_row_of_evidence_is_bounded():
    store = FakeStore()
    rows = make_rows(store)
    for number in range(1000):
        # Two crashes under each part, so that none is held.
        parts = [f"p{number // 2}-{part}" for part in range(20)]
        rows.quarantine.record_crash(
            f"c{number}", f"w{number}", parts, answering_s=0.1
        )
    await rows.write_evidence()
    (value,) = store.rows.values()
    assert 1000 < len(value) < 65536
    await rows.write_evidence()
    assert store.calls == 1


async def test_only_one_entry_writes_the_row_of_a_request():
    store = FakeStore()
    for number in range(8):
        rows = make_rows(store, number, of=8)
        quarantine_request(rows)
        await sync_rows(rows)
    assert store.calls == 1
    assert list(store.rows) == [QUARANTINED_PREFIX + CONTENT]
    row = decode(QuarantineRow, store.rows[QUARANTINED_PREFIX + CONTENT])
    assert row == QuarantineRow(["w0", "w1", "w2"], NOW_MS)


async def test_a_failed_write_of_a_row_is_retried():
    store = FakeStore(failures_left=1)
    rows = make_rows(store)
    quarantine_request(rows)
    assert not await rows.sync_row(CONTENT)
    assert await rows.sync_row(CONTENT)
    assert store.rows


async def test_the_row_of_a_cleared_request_is_removed():
    store = FakeStore()
    rows = make_rows(store)
    quarantine_request(rows)
    await sync_rows(rows)
    rows.quarantine.record_answer(CONTENT)
    await sync_rows(rows)
    assert store.rows == {}


def make_row(age_s):
    stored = QuarantineRow(["w0", "w1", "w2"], NOW_MS - 1000.0 * age_s)
    return FeedRow(CONTENT, encode(stored).encode(), at(1))


@pytest.mark.parametrize(("age_s", "held_s"), [(100.0, 500.0), (-5.0, 600.0)])
def test_a_row_quarantines_for_the_remaining_time(age_s, held_s):
    rows = make_rows(FakeStore())
    rows.apply_row(make_row(age_s), NOW_MS)
    assert rows.quarantine.remaining_s(CONTENT) == held_s


@pytest.mark.parametrize(
    "row", [make_row(QUARANTINE_S), FeedRow(CONTENT, b"no row", at(1))]
)
async def test_an_expired_or_unreadable_row_is_removed(row):
    store = FakeStore(rows={QUARANTINED_PREFIX + row.key: row.value})
    rows = make_rows(store)
    rows.apply_row(row, NOW_MS)
    assert rows.quarantine.remaining_s(CONTENT) == 0.0
    await sync_rows(rows)
    assert store.rows == {}


PARTS = ("route", "bad")


async def hold_parts(rows):
    """Holds parts of prompts and writes their row."""
    for number in range(4):
        rows.quarantine.record_crash(f"c{number}", f"w{number}", PARTS, 0.1)
    rows.clock.now = 1.0
    rows.quarantine.refresh()
    await sync_rows(rows)


async def test_row_of_held_parts_outlives_all_entries():
    store = FakeStore()
    rows = make_rows(store)
    await hold_parts(rows)
    ((key, value),) = store.rows.items()
    row = decode(QuarantineRow, value)
    assert (row.parts, row.workers) == (
        tuple(sorted(PARTS)),
        ["w0", "w1", "w2", "w3"],
    )
    started = make_rows(store)
    name = key.removeprefix(QUARANTINED_PREFIX)
    started.apply_row(FeedRow(name, value, at(1)), NOW_MS + 100_000.0)
    assert started.quarantine.remaining_s("x", PARTS) == pytest.approx(
        QUARANTINE_S - 100.0, abs=2.0
    )
    assert started.quarantine.remaining_s("x", PARTS[:1]) == 0.0


async def test_row_of_parts_that_a_worker_stood_is_removed():
    store = FakeStore()
    rows = make_rows(store)
    await hold_parts(rows)
    rows.quarantine.record_stood(PARTS, 1.0)
    await sync_rows(rows)
    assert store.rows == {}


def test_row_written_before_parts_were_known_is_read():
    old = b'{"workers":["w0","w1","w2"],"ended_ms":4900000.0}'
    rows = make_rows(FakeStore())
    rows.apply_row(FeedRow(CONTENT, old, at(1)), NOW_MS)
    assert rows.quarantine.remaining_s(CONTENT) == QUARANTINE_S - 100.0
