"""Compaction keeps bills and live claims, and bounds the log and memory."""

import asyncio

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rattanpier._internal.claims.book import Ask
from rattanpier._internal.claims.compaction import Compactor
from rattanpier._internal.claims.owner import ShardOwner
from rattanpier._internal.claims.records import (
    Answer,
    Bill,
    ClaimResult,
    SettleOp,
    lease_key,
    log_prefix,
)
from rattanpier._internal.claims.takeover import acquire, recover
from rattanpier._internal.commands.bills import export_bills
from rattanpier._internal.exceptions import StoreUnavailableError
from rattanpier._internal.models.outcomes import ClaimOutcome, Uncertain
from rattanpier._internal.standin.objects import MemoryObjects
from rattanpier._internal.standin.table import MemoryTable
from rattanpier._internal.store.objects import TableObjects
from rattanpier._internal.utils.metrics import Metrics
from tests.lib.clock import ManualClock
from tests.lib.virtual import run_virtual

RETENTION_S = 60.0
BATCHES = 4


async def make_owner(table, objects, clock, name="a", alive=lambda _: True):
    row = await table.get(lease_key(0))
    lease, version = await acquire(table, 0, row, name, f"{name}1")
    book, sequence = await recover(table, 0, objects)
    metrics = Metrics()
    compactor = Compactor(0, table, objects, metrics, RETENTION_S, BATCHES)
    await compactor.load_history(lease)
    return ShardOwner(
        shard=0,
        lease=lease,
        lease_version=version,
        table=table,
        clock=clock,
        metrics=metrics,
        alive=alive,
        interval_s=0.0,
        book=book,
        next_sequence=sequence,
        compactor=compactor,
    )


async def run_decision(owner, work):
    """Waits for a decision while flushing the owner's queue."""
    task = asyncio.get_running_loop().create_task(work)
    await asyncio.sleep(0)
    while not task.done():
        await owner.flush()
        await asyncio.sleep(0)
    while owner.background_tasks:
        await asyncio.sleep(0)
    return task.result()


def settle_op(key, attempt, result):
    if result is not ClaimResult.ANSWERED:
        return SettleOp("w", key, attempt, result)
    bill = Bill("w", key, "v", 1, 1, 1.0)
    answer = Answer(200, "text/plain", key, "v")
    return SettleOp("w", key, attempt, result, bill, answer)


async def claim_and_settle(owner, key, holder, result):
    """Claims a key and settles it; returns the keys that are billed."""
    ask = Ask("w", key, holder, True, "d")
    decision = await run_decision(owner, owner.ask(ask))
    if decision.outcome is not ClaimOutcome.GRANTED or result is None:
        return []
    attempt = (decision.op or decision.claim).attempt
    await run_decision(owner, owner.settle(settle_op(key, attempt, result)))
    return [key] if result is ClaimResult.ANSWERED else []


async def export_all(table, objects, after=None):
    return [billed async for billed in export_bills(table, objects, after)]


steps = st.lists(
    st.tuples(
        st.sampled_from("abcd"),
        st.sampled_from(
            (
                None,
                ClaimResult.ANSWERED,
                ClaimResult.RELEASED,
                ClaimResult.UNKNOWN,
            )
        ),
        st.sampled_from((0.0, 5.0, 100.0)),
    ),
    max_size=30,
)


@settings(max_examples=60, deadline=None, derandomize=True)
@given(steps)
def test_recovered_book_equals_live_book(sequence_of_steps):
    async def run():
        table, objects, clock = MemoryTable(), MemoryObjects(), ManualClock()
        owner = await make_owner(table, objects, clock)
        expected = []
        for number, (key, result, pause_s) in enumerate(sequence_of_steps):
            clock.now += pause_s
            expected += await claim_and_settle(
                owner, key, f"h/i/{number}", result
            )
            book, sequence = await recover(table, 0, objects)
            assert book == owner.book
            assert sequence == owner.next_sequence
        found = [billed.bill.key for billed in await export_all(table, objects)]
        assert sorted(found) == sorted(expected)

    run_virtual(run())


async def add_answered_claims(owner, clock, count, start=0, step_s=1.0):
    for number in range(start, start + count):
        clock.now += step_s
        await claim_and_settle(
            owner, f"k{number}", f"h/i/{number}", ClaimResult.ANSWERED
        )


@pytest.mark.parametrize("objects_class", (MemoryObjects, None))
def test_log_and_memory_stay_bounded_and_bills_survive(objects_class):
    async def run():
        table, clock = MemoryTable(), ManualClock()
        objects = objects_class() if objects_class else TableObjects(table)
        owner = await make_owner(table, objects, clock)
        await add_answered_claims(owner, clock, 300)
        rows = [key for key in table.rows if key.startswith(log_prefix(0))]
        assert len(rows) <= 3 * BATCHES
        assert len(owner.book.claims) <= 2 * RETENTION_S
        found = await export_all(table, objects)
        assert [billed.bill.key for billed in found] == [
            f"k{number}" for number in range(300)
        ]
        assert len({billed.id for billed in found}) == 300

    run_virtual(run())


def test_export_resumes_after_last_position():
    async def run():
        table, objects, clock = MemoryTable(), MemoryObjects(), ManualClock()
        owner = await make_owner(table, objects, clock)
        await add_answered_claims(owner, clock, 23)
        first = await export_all(table, objects)
        await add_answered_claims(owner, clock, 20, start=23)
        second = await export_all(table, objects, {0: first[-1].sequence})
        keys = [billed.bill.key for billed in first + second]
        assert keys == [f"k{number}" for number in range(43)]

    run_virtual(run())


def test_new_owner_removes_expired_claims():
    async def run():
        table, objects, clock = MemoryTable(), MemoryObjects(), ManualClock()
        for turn in range(6):
            owner = await make_owner(table, objects, clock, f"n{turn}")
            await add_answered_claims(owner, clock, 40, start=40 * turn)
        assert len(owner.book.claims) <= 2 * RETENTION_S
        assert len(await export_all(table, objects)) == 240

    run_virtual(run())


def test_abandoned_claims_of_dead_holders_are_removed():
    async def run():
        table, objects, clock = MemoryTable(), MemoryObjects(), ManualClock()
        owner = await make_owner(
            table, objects, clock, alive=lambda holder: "dead" not in holder
        )
        await claim_and_settle(owner, "left", "dead/i/0", None)
        await claim_and_settle(owner, "runs", "h/i/0", None)
        await add_answered_claims(owner, clock, 200)
        assert owner.find("w", "left") is None
        assert owner.find("w", "runs").result is ClaimResult.RUNNING

    run_virtual(run())


def test_object_store_outage_only_delays_compaction():
    async def run():
        table, objects, clock = MemoryTable(), MemoryObjects(), ManualClock()
        owner = await make_owner(table, objects, clock)
        objects.down = True
        await add_answered_claims(owner, clock, 40)
        assert owner.lease.first == 1
        objects.down = False
        await add_answered_claims(owner, clock, 60, start=40)
        assert owner.lease.first > 1
        assert len(await export_all(table, objects)) == 100

    run_virtual(run())


class DelayedLeaseTable(MemoryTable):
    """Loses replies to writes of lease rows; delays every other write."""

    def __init__(self):
        super().__init__()
        self.delayed = []
        self.turn = 0

    async def transact(self, transaction):
        lease = any(put.key == lease_key(0) for put in transaction.puts)
        if not lease or not self.turn:
            return await super().transact(transaction)
        self.turn += 1
        if self.turn % 2:
            self.delayed.append(transaction)
        else:
            await super().transact(transaction)
        return Uncertain("no answer")


def test_lost_and_delayed_lease_writes_lose_no_bill():
    async def run():
        table, objects, clock = (
            DelayedLeaseTable(),
            MemoryObjects(),
            ManualClock(),
        )
        owner = await make_owner(table, objects, clock)
        table.turn = 1
        for number in range(60):
            await add_answered_claims(owner, clock, 1, start=number)
            if number % 3 == 0 and table.delayed:
                await MemoryTable.transact(table, table.delayed.pop(0))
        assert not owner.lost
        assert owner.lease.first > 1
        book, _ = await recover(table, 0, objects)
        assert book == owner.book
        assert len(await export_all(table, objects)) == 60

    run_virtual(run())


def test_superseded_owner_does_not_commit_a_compaction():
    async def run():
        table, objects, clock = MemoryTable(), MemoryObjects(), ManualClock()
        old = await make_owner(table, objects, clock)
        await add_answered_claims(old, clock, BATCHES)
        compacted = old.compactor.prepared
        new = await make_owner(table, objects, clock, "b")
        await add_answered_claims(new, clock, 20, start=BATCHES)
        if compacted is not None:
            await old.commit_compaction(compacted)
        assert old.lost
        assert len(await export_all(table, objects)) == BATCHES + 20

    run_virtual(run())


def test_missing_snapshot_fails_recovery():
    async def run():
        table, objects, clock = MemoryTable(), MemoryObjects(), ManualClock()
        owner = await make_owner(table, objects, clock)
        await add_answered_claims(owner, clock, 20)
        objects.texts.clear()
        with pytest.raises(StoreUnavailableError):
            await recover(table, 0, objects)
        assert attrs.evolve(owner.lease).snapshot

    run_virtual(run())
