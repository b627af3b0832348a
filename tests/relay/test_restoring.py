"""Tests that lost rows of the system's own table are restored."""

import attrs
import pytest

from rattanpier._internal.models.feed import FeedRow, Page, WrittenAt
from rattanpier._internal.models.outcomes import Conflict
from rattanpier._internal.models.rollout_order import (
    RolloutPhase,
    RolloutRecord,
)
from rattanpier._internal.relay.history import StoreHistory
from rattanpier._internal.relay.known_orders import record_to_write
from rattanpier._internal.relay.own_table import (
    QUARANTINED_PREFIX,
    ROLLOUT_PREFIX,
    OwnTable,
)
from rattanpier._internal.relay.restoring import (
    MAX_ROWS_PER_TRANSACTION,
    TAKEOVER_DELAY_S,
    LostRow,
    RowRestorer,
)
from rattanpier._internal.utils.metrics import Metrics
from tests.lib.clock import ManualClock
from tests.lib.platform_site import until
from tests.lib.relay_parts import at
from tests.lib.restored_store import (
    all_entries_match,
    own_table_keys,
    restorable_site,
    store_outage,
)
from tests.lib.warm_fleet import make_fleet

NAMES = ["entry-1", "entry-2", "entry-3"]
CONTENT = "deadly"
TIMEOUT_S = 4.0


async def complete_a_rollout(site):
    """Completes a roll-out, with its final record and the operators' order."""
    await site.add_worker("new", version="v2")
    order = {"service": "plain", "to": "v2", "deadlineS": 20}
    site.store.put("op", "rollout/plain", order)
    entries = site.entries.values()
    for entry in entries:
        await until(lambda entry=entry: entry.state.rollouts.records)
    record = attrs.evolve(
        next(iter(entries)).state.rollouts.records["plain"],
        phase=RolloutPhase.COMPLETED,
    )
    for entry in entries:
        entry.state.rollouts.apply_record(record)


def quarantine_request(site):
    """Lets every entry know of a request that crashed three workers."""
    for entry in site.entries.values():
        for number in range(3):
            entry.edge.dispatcher.quarantine.record_crash(
                CONTENT, f"gone-{number}"
            )


async def test_one_entry_restores_the_rows_that_the_backup_lacks():
    async with restorable_site(entries=3) as site:
        backup = site.store.take_backup()
        await complete_a_rollout(site)
        quarantine_request(site)
        expected = [
            *NAMES,
            QUARANTINED_PREFIX + CONTENT,
            f"{ROLLOUT_PREFIX}plain",
        ]
        await until(lambda: own_table_keys(site.store) == sorted(expected))
        for key in [*backup.rows]:
            if key[0] == "entries":
                del backup.rows[key]
        async with store_outage(site):
            site.store.restore_backup(backup)
            order = {"service": "plain", "to": "v2", "deadlineS": 20}
            site.store.put("op", "rollout/plain", order)
            site.store.calls.clear()
        await until(
            lambda: own_table_keys(site.store) == sorted(expected), TIMEOUT_S
        )
        status = site.store.value("status", "rollout/plain")
        assert status["state"] == "completed"
        await until(
            lambda: all_entries_match(
                site, lambda each: each.kernel.find("history").restored_era == 2
            )
        )
        # One entry restores, and the roll-out driver may write as well.
        assert site.store.calls.count("rows-tx") <= 3


async def test_a_released_request_is_not_quarantined_again():
    async with restorable_site(entries=2) as site:
        quarantine_request(site)
        await until(
            lambda: QUARANTINED_PREFIX + CONTENT in own_table_keys(site.store)
        )
        backup = site.store.take_backup()
        for entry in site.entries.values():
            entry.edge.dispatcher.quarantine.record_answer(CONTENT)
        await until(
            lambda: (
                QUARANTINED_PREFIX + CONTENT not in own_table_keys(site.store)
            )
        )
        async with store_outage(site):
            site.store.restore_backup(backup)
            assert QUARANTINED_PREFIX + CONTENT in own_table_keys(site.store)
        await until(
            lambda: (
                QUARANTINED_PREFIX + CONTENT not in own_table_keys(site.store)
            ),
            TIMEOUT_S,
        )


# Which entry writes, and under which checks.


@attrs.define
class FakeStore:
    """A table whose transactions fail `conflicts` times."""

    rows: dict = attrs.Factory(dict)
    era: int = 2
    conflicts: int = 0
    calls: list = attrs.Factory(list)

    async def scan(self, _table):
        self.calls.append("scan")
        rows = [
            FeedRow(key, value, at(5, self.era))
            for key, value in self.rows.items()
        ]
        return Page(rows, at(9, self.era), 0.0, whole=True)

    async def transact(self, checks, puts, removed=()):
        self.calls.append([check.revision for check in checks])
        if self.conflicts:
            self.conflicts -= 1
            return Conflict("e")
        self.rows |= {put.key: put.value for put in puts}
        return WrittenAt(at(10, self.era), 0.0)


@pytest.fixture
def clock():
    return ManualClock()


def make_restorer(clock, store, lost=(), number=0, entries=1):
    history = StoreHistory(clock, Metrics())
    published = []
    restorer = RowRestorer(
        store,
        OwnTable(store, clock),
        make_fleet(number, range(entries), clock),
        history,
        clock,
        lambda: True,
        published.append,
        [lambda _page: lost],
    )
    history.record_era(1, "store")
    return restorer, published


def test_nothing_is_due_without_a_new_era(clock):
    restorer, _ = make_restorer(clock, FakeStore())
    clock.now += 100.0
    assert not restorer.is_due()


def test_nothing_is_due_for_an_entry_that_starts_in_a_new_era(clock):
    restorer, _ = make_restorer(clock, FakeStore())
    restorer.history.record_restored(1)
    assert not restorer.is_due()


def test_entries_take_over_one_after_the_other(clock):
    made = [
        make_restorer(clock, FakeStore(), number=number, entries=5)[0]
        for number in range(5)
    ]
    for each in made:
        each.history.record_era(2, "store")
    due = []
    for _ in range(5):
        due.append(sum(each.is_due() for each in made))
        clock.now += TAKEOVER_DELAY_S
    assert due == [1, 2, 3, 4, 5]
    for each in made:
        each.history.record_restored(2)
        assert not each.is_due()


async def test_a_row_that_changed_meanwhile_is_checked_again(clock):
    store = FakeStore(rows={"b": b"0"}, conflicts=1)
    lost = [LostRow("a", b"1"), LostRow("b", b"2")]
    restorer, published = make_restorer(clock, store, lost)
    restorer.history.record_era(2, "store")
    await restorer.step()
    assert restorer.is_due()
    assert published == []
    await restorer.step()
    assert published == [2]
    assert store.rows == {"a": b"1", "b": b"2"}
    # The checks have the revisions that were read in the new era.
    assert store.calls[1] == [at(0, 0), at(5, 2)]


async def test_a_table_of_the_earlier_era_restores_nothing(clock):
    store = FakeStore(era=1)
    restorer, published = make_restorer(clock, store, [LostRow("a", b"1")])
    restorer.history.record_era(2, "peer")
    await restorer.step()
    assert store.calls == ["scan"]
    assert published == []


async def test_many_rows_are_written_in_few_transactions(clock):
    store = FakeStore()
    lost = [LostRow(f"e{number}", b"") for number in range(420)]
    restorer, _ = make_restorer(clock, store, lost)
    restorer.history.record_era(2, "store")
    await restorer.step()
    assert len(store.rows) == 420
    assert len(store.calls) == 1 + -(-420 // MAX_ROWS_PER_TRANSACTION)


def test_an_older_record_does_not_replace_a_newer_one():
    older = RolloutRecord(1, "s", "v2", RolloutPhase.TRYING, 0.0, 0.0)
    newer = attrs.evolve(older, phase=RolloutPhase.ROLLED_BACK)
    assert record_to_write(newer, older) is None
    assert record_to_write(older, newer).phase is RolloutPhase.ROLLED_BACK
    assert record_to_write(None, older) == older
    other = attrs.evolve(older, order=2, version="v3")
    assert record_to_write(other, newer) is None
    assert record_to_write(newer, other) == other
