"""Tests that starting entries resume from a checkpoint of the operators' table.

Guards against slow starts: after all entries had lost power at once, with a
manifest of 1,610 routes in force, they listened again after 0.8 s but had their
routes only 0.9 s later, because each read 0.4 MB over a link of 10 Mbit/s.
"""

import asyncio
import random
import time

import pytest

from rattanpier._internal.exceptions import StoreUnavailableError
from rattanpier._internal.models.feed import FeedRow, Page, WrittenAt
from rattanpier._internal.models.relay_settings import Address, StoreSettings
from rattanpier._internal.platform.rows import PlatformStore
from rattanpier._internal.programs.relay import close
from rattanpier._internal.relay import checkpoints as module
from rattanpier._internal.relay.checkpoints import (
    CheckpointedStore,
    CheckpointWriter,
    find_checkpoint,
    merge_rows,
)
from rattanpier._internal.relay.own_table import (
    CHECKPOINT_PREFIX,
    TABLE,
    OwnTable,
)
from rattanpier._internal.standin.platform_store import StoreListener
from tests.lib.clock import ManualClock
from tests.lib.platform_site import (
    manifest,
    platform_site,
    route,
    to_json,
    until,
)
from tests.lib.relay_parts import at
from tests.lib.warm_fleet import make_fleet

OPERATORS = "op"
ROW = CHECKPOINT_PREFIX + OPERATORS
SLOW_READ_S = 4.0  # Read of a whole manifest over a slow link.
ROUTES = 1600
STORE_SETTINGS = StoreSettings(Address("10.0.0.1", 1), history_s=20.0)


@pytest.fixture
async def site(monkeypatch):
    monkeypatch.setattr(module, "STARTUP_GRACE_S", 0.0)
    monkeypatch.setattr(module, "CHECK_INTERVAL_S", 0.05)
    async with platform_site(long_manifest()) as made:
        yield made


def long_manifest(version=1):
    document = manifest(version)
    document["routes"] += [
        route(f"more-{number}", "safe", "plain") for number in range(ROUTES)
    ]
    return document


async def leave_checkpoint(site):
    """Stops an entry after it has written a checkpoint."""
    entry = await site.add_entry("entry-1")
    await until(lambda: (TABLE, ROW) in site.store.rows)
    await close(site.entries.pop("entry-1"))
    return entry


async def start_slowly(site):
    """Starts an entry with slow full reads; returns it and the seconds."""
    door = await site.add_door(StoreListener(slow_s={OPERATORS: SLOW_READ_S}))
    began = time.monotonic()
    entry = await site.add_entry("entry-2", store=door)
    return entry, time.monotonic() - began


async def test_a_start_applies_changes_since_the_checkpoint(site):
    await leave_checkpoint(site)
    site.store.put(OPERATORS, "config", long_manifest(7))
    site.store.put(OPERATORS, "evacuate/zone-a", {})
    entry, took_s = await start_slowly(site)
    assert took_s < SLOW_READ_S / 2
    assert entry.state.table_version == 7
    assert len(entry.state.table.routes) == ROUTES + 3
    assert entry.state.domains.drained == {"zone-a"}


async def test_a_checkpoint_is_under_a_tenth_of_the_table(site):
    await leave_checkpoint(site)
    stored = site.store.rows[TABLE, ROW].value
    assert len(stored) < 0.1 * len(to_json(long_manifest()))


async def test_a_start_reads_all_when_the_change_history_expired(site):
    await leave_checkpoint(site)
    site.store.put(OPERATORS, "config", long_manifest(7))
    site.store.compact()
    entry, took_s = await start_slowly(site)
    assert took_s >= SLOW_READ_S
    assert entry.state.table_version == 7


async def test_an_unreadable_checkpoint_is_ignored(site):
    site.store.put(TABLE, ROW, "spoiled")
    entry, took_s = await start_slowly(site)
    assert took_s >= SLOW_READ_S
    assert entry.state.table_version == 1


async def test_the_older_table_of_a_checkpoint_never_takes_effect(site):
    """Requests wait for the later changes, not only for the checkpoint."""
    await leave_checkpoint(site)
    site.store.put(OPERATORS, "config", long_manifest(7))
    seen_versions = set()
    starting = asyncio.ensure_future(site.add_entry("entry-2"))
    while not starting.done():
        for entry in site.entries.values():
            seen_versions.add(entry.state.table_version)
        await asyncio.sleep(0)
    await starting
    assert seen_versions <= {-1, 7}


class TableStore:
    """One table in memory, with a feed."""

    def __init__(self):
        self.rows = {}
        self.version = 0
        self.stored = {}
        self.era = 1
        self.scans = 0
        self.unavailable = False

    def put(self, key, value=b"", deleted=False):
        self.version += 1
        self.rows[key] = FeedRow(
            key, value, at(self.version, self.era), deleted
        )

    async def scan(self, table):
        if self.unavailable:
            raise StoreUnavailableError("away")
        if table == TABLE:
            return self.own_page()
        self.scans += 1
        rows = [row for row in self.rows.values() if not row.deleted]
        return Page(rows, at(self.version, self.era), 0.0, whole=True)

    async def changes(self, table, since, wait_s):
        rows = [row for row in self.rows.values() if row.revision > since]
        rows.sort(key=lambda row: row.revision)
        return Page(rows, at(self.version, self.era), 0.0, whole=False)

    async def transact(self, checks, puts, removed=()):
        for put in puts:
            self.stored[put.key] = put.value
        return WrittenAt(at(self.version, self.era), 0.0)

    def checkpoint(self):
        return find_checkpoint(self.own_page(), OPERATORS)

    def own_page(self):
        rows = [
            FeedRow(key, value, at(1)) for key, value in self.stored.items()
        ]
        return Page(rows, at(self.version, self.era), 0.0, whole=True)


def make_writer(store, entries=1, settings=STORE_SETTINGS):
    clock = ManualClock()
    fleet = make_fleet(0, range(entries), clock)
    return CheckpointWriter(
        OPERATORS,
        store,
        fleet,
        clock,
        settings,
        lambda: True,
        started_at=-100.0,
    )


def reader_of(store):
    own_table = OwnTable(store, ManualClock())
    return CheckpointedStore(store, OPERATORS, own_table)


@pytest.mark.parametrize("seed", range(20))
async def test_a_checkpoint_with_its_changes_equals_the_table(seed):
    rng = random.Random(seed)
    store = TableStore()
    writer = make_writer(store)
    since = at(0)
    for _ in range(60):
        match rng.randrange(4):
            case 0:
                store.put(f"k{rng.randrange(9)}", rng.randbytes(4))
            case 1:
                store.put(f"k{rng.randrange(9)}", deleted=True)
            case 2:
                page = await store.changes(OPERATORS, since, 0.0)
                since = page.revision
                writer.apply_page(page)
            case 3:
                writer.clock.now += rng.uniform(0.0, 8.0)
                await writer.step()
        if store.stored:
            found = await reader_of(store).scan(OPERATORS)
            expected = await store.scan(OPERATORS)
            key = lambda row: row.key  # noqa: E731
            assert sorted(found.rows, key=key) == sorted(expected.rows, key=key)
            assert found.revision == expected.revision
            assert found.whole


async def test_a_full_read_older_than_applied_changes_is_repeated():
    store = TableStore()
    store.put("a")
    writer = make_writer(store)
    old = await store.scan(OPERATORS)
    store.put("b")
    writer.apply_page(
        Page([store.rows["b"]], at(store.version), 0.0, whole=False)
    )
    writer.apply_page(old)
    assert writer.rows is None
    await writer.step()
    assert set(writer.rows) == {"a", "b"}


async def test_a_checkpoint_is_renewed_before_the_change_history_expires():
    store = TableStore()
    store.put("a")
    writer = make_writer(store)
    await writer.step()
    first = store.checkpoint().as_of
    store.put("other table's")
    writer.apply_page(Page([], at(store.version), 0.0, whole=False))
    await writer.step()
    assert store.checkpoint().as_of == first
    writer.clock.now += STORE_SETTINGS.history_s / 2
    await writer.step()
    assert store.checkpoint().as_of == at(store.version)
    assert store.scans == 1


async def test_only_one_of_many_entries_writes_the_checkpoint():
    store = TableStore()
    writers = []
    for number in range(8):
        writer = make_writer(store)
        writer.fleet = make_fleet(number, range(8), writer.clock)
        writers.append(writer)
        await writer.step()
    assert sum(writer.rows is not None for writer in writers) == 1


async def test_a_table_too_large_for_a_row_has_no_checkpoint():
    store = TableStore()
    store.put("a", random.Random(1).randbytes(2000))
    writer = make_writer(
        store, settings=StoreSettings(STORE_SETTINGS.address, 20.0, 999)
    )
    await writer.step()
    assert store.stored == {}
    found = await reader_of(store).scan(OPERATORS)
    assert found == await store.scan(OPERATORS)


async def test_the_checkpoint_lookup_is_retried_after_an_outage():
    store = TableStore()
    store.put("a")
    await make_writer(store).step()
    reader = reader_of(store)
    store.unavailable = True
    with pytest.raises(StoreUnavailableError):
        await reader.scan(OPERATORS)
    store.unavailable = False
    scans = store.scans
    assert merge_rows([], (await reader.scan(OPERATORS)).rows)
    assert store.scans == scans
    # Later full reads use the store alone.
    await reader.scan(OPERATORS)
    assert store.scans == scans + 1


async def test_other_tables_are_read_from_the_store(site):
    store = PlatformStore(site.session, f"http://{site.store_address}")
    reader = CheckpointedStore(store, OPERATORS, None)
    assert (await reader.scan("servers")).rows == []


# The store was restored from a backup.


async def test_a_checkpoint_of_another_era_is_ignored():
    store = TableStore()
    store.put("a", b"1")
    await make_writer(store).step()
    assert store.checkpoint() is not None
    store.era = 2
    store.put("a", b"2")
    page = await reader_of(store).scan(OPERATORS)
    assert page.revision == at(store.version, 2)
    assert store.scans == 2  # The writer's and the reader's.


async def test_a_new_checkpoint_is_written_in_a_new_era():
    store = TableStore()
    store.put("a", b"1")
    store.put("a", b"2")
    writer = make_writer(store)
    await writer.step()
    store.era, store.version, store.rows = 2, 0, {}
    store.put("a", b"1")
    writer.apply_page(await store.scan(OPERATORS))
    await writer.step()
    assert store.checkpoint().as_of == at(1, 2)
    scans = store.scans
    page = await reader_of(store).scan(OPERATORS)
    assert [row.value for row in page.rows] == [b"1"]
    assert store.scans == scans
