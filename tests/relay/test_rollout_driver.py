"""Failover of the roll-out driver if the driving entry can't proceed.

Guards against roll-outs that miss their deadline because the driver lost the
store, was rejected by it, or doesn't know the revisions of the rows, and
against a last step by an entry that doesn't know whether the version is bad.
"""

import pytest

from rattanpier._internal.models.feed import Page, WrittenAt
from rattanpier._internal.models.outcomes import Conflict, NotRun, Uncertain
from rattanpier._internal.models.rollout_order import (
    RolloutOrder,
    RolloutPhase,
    RolloutRecord,
)
from rattanpier._internal.platform.rollouts import status_row
from rattanpier._internal.relay.evidence import Evidence, TallyKey
from rattanpier._internal.relay.exposure import ExposureBound
from rattanpier._internal.relay.own_table import OwnTable
from rattanpier._internal.relay.rollout_driver import (
    BACKUP_DELAY_S,
    FORCE_COMPLETION_AGE,
    RolloutDriver,
)
from rattanpier._internal.relay.rollouts import Rollouts
from rattanpier._internal.relay.store import StoreClock, StoreHealth
from rattanpier._internal.relay.verdict import Tally
from tests.lib.clock import ManualClock
from tests.lib.relay_parts import at

DEADLINE_S = 20.0
OVERDUE_AT = FORCE_COMPLETION_AGE + BACKUP_DELAY_S / DEADLINE_S
ORDER = RolloutOrder(7, "s", "v2", DEADLINE_S)


class Store:
    """A store that answers writes with prepared outcomes."""

    def __init__(self):
        self.outcomes = [WrittenAt(at(9), 0.0)]
        self.writes = 0

    async def scan(self, _table):
        return Page([], at(1), 0.0, whole=True)

    async def transact(self, _checks, _puts):
        self.writes += 1
        return self.outcomes.pop(0)


@pytest.fixture
def clock():
    return ManualClock()


def make_evidence(new_bad=0):
    """Returns a peer's evidence, with some bad answers of the new version."""
    counts = {False: Tally(200, 2), True: Tally(60, new_bad)}
    return Evidence(
        "peer",
        [(TallyKey(7, "r", new), tally) for new, tally in counts.items()],
        [],
    )


def make_driver(clock, rank, phase, age, evidence=None):
    """Returns an entry's driver; rank 0 is the first entry that may drive."""
    rollouts = Rollouts(ExposureBound(0.15), 5.0, clock)
    rollouts.apply_order(ORDER)
    begun_ms = 1000 * (clock.now - age * DEADLINE_S)
    rollouts.apply_record(
        RolloutRecord(7, "s", "v2", phase, begun_ms, begun_ms)
    )
    rollouts.answer_counts.apply_evidence(
        evidence or make_evidence(), clock.now
    )
    health = StoreHealth(clock)
    health.record_answer()
    store = Store()
    return RolloutDriver(
        store,
        OwnTable(store, clock),
        StoreClock(clock),
        rollouts,
        status_row,
        lambda _order: 3,
        lambda backups: rank <= backups,
        health,
    )


@pytest.mark.parametrize(
    ("rank", "phase", "age", "writes"),
    [
        (0, RolloutPhase.FULL, FORCE_COMPLETION_AGE + 0.001, 1),
        (0, RolloutPhase.FULL, FORCE_COMPLETION_AGE - 0.01, 0),
        (1, RolloutPhase.FULL, FORCE_COMPLETION_AGE + 0.001, 0),
        (1, RolloutPhase.FULL, OVERDUE_AT + 0.001, 1),
        (2, RolloutPhase.FULL, OVERDUE_AT + 0.001, 0),
        # Only the first entry takes steps that depend on evidence.
        (1, RolloutPhase.WIDENING, OVERDUE_AT + 0.001, 0),
        (1, RolloutPhase.TRYING, OVERDUE_AT + 0.001, 0),
    ],
)
async def test_a_backup_driver_completes_an_overdue_roll_out(
    clock, rank, phase, age, writes
):
    driver = make_driver(clock, rank, phase, age)
    await driver.step()
    assert driver.store.writes == writes
    if writes:
        assert driver.rollouts.phase(ORDER) is RolloutPhase.COMPLETED


async def test_a_driver_rejected_by_the_store_reports_it_unavailable_at_once(
    clock,
):
    driver = make_driver(clock, 0, RolloutPhase.FULL, OVERDUE_AT)
    driver.store.outcomes = [NotRun("store answered 429")] * 2
    await driver.step()
    assert not driver.health.available


async def test_a_lost_answer_does_not_mark_the_store_unavailable(clock):
    driver = make_driver(clock, 0, RolloutPhase.FULL, OVERDUE_AT)
    driver.store.outcomes = [Uncertain("timeout")] * 2
    await driver.step()
    assert driver.health.available
    assert not driver.loaded


async def test_a_new_driver_reads_the_rows_and_retries_at_once(clock):
    driver = make_driver(clock, 0, RolloutPhase.FULL, OVERDUE_AT)
    driver.store.outcomes = [Conflict("s"), WrittenAt(at(9), 0.0)]
    await driver.step()
    assert driver.rollouts.phase(ORDER) is RolloutPhase.COMPLETED


@pytest.mark.parametrize("rank", [0, 1])
async def test_a_driver_without_evidence_does_not_complete_a_roll_out(
    clock, rank
):
    nothing = Evidence("peer", [], [])
    driver = make_driver(clock, rank, RolloutPhase.FULL, 1.5, nothing)
    await driver.step()
    assert driver.store.writes == 0


@pytest.mark.parametrize("rank", [0, 1])
async def test_an_overdue_roll_out_of_a_bad_version_is_rolled_back(clock, rank):
    driver = make_driver(
        clock, rank, RolloutPhase.FULL, 1.5, make_evidence(new_bad=30)
    )
    await driver.step()
    assert driver.rollouts.phase(ORDER) is RolloutPhase.ROLLED_BACK
