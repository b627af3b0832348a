"""Tests that starting entries make few calls to the store, which are billed."""

import asyncio
import collections

import attrs
import pytest

from rattanpier._internal.exceptions import StoreUnavailableError
from rattanpier._internal.models.feed import FeedRow, Page
from rattanpier._internal.models.rollout_order import (
    RolloutPhase,
    RolloutRecord,
)
from rattanpier._internal.programs.relay import build_relay, close
from rattanpier._internal.relay import checkpoints
from rattanpier._internal.relay.own_table import (
    CACHE_TTL_S,
    ROLLOUT_PREFIX,
    TABLE,
    OwnTable,
)
from tests.lib.clock import ManualClock
from tests.lib.platform_site import platform_site, until
from tests.lib.relay_parts import at

START_UP_S = 1.5  # Longer than start-up reads take.


@pytest.fixture
async def site():
    async with platform_site() as made:
        yield made


async def restart_entry(site, name):
    """Restarts an entry at its addresses; returns its calls by kind."""
    settings = site.entries[name].settings
    await close(site.entries[name])
    before = len(site.store.calls)
    site.entries[name] = await build_relay(settings)
    await until(site.entries[name].ready)
    await asyncio.sleep(START_UP_S)
    return collections.Counter(site.store.calls[before:])


async def test_a_restarted_entry_writes_nothing(site, monkeypatch):
    monkeypatch.setattr(checkpoints, "STARTUP_GRACE_S", float("inf"))
    await site.add_entry("entry-1")
    await site.add_entry("entry-2")
    for entry in site.entries.values():
        await until(lambda entry=entry: len(entry.fleet.live()) == 2)
    calls = await restart_entry(site, "entry-2")
    assert calls["rows-tx"] == 0
    # The system's own table, the workers' and, without a checkpoint, the
    # operators'.
    assert calls["rows-get"] <= 3


async def test_entries_that_restart_together_find_each_other_by_the_table(
    site,
):
    await site.add_entry("entry-1")
    await site.add_entry("entry-2")
    await until(lambda: len(site.entries["entry-1"].fleet.live()) == 2)
    names = list(site.entries)
    settings = [site.entries[name].settings for name in names]
    for name in names:
        await close(site.entries[name])
    for name, each in zip(names, settings, strict=True):
        site.entries[name] = await build_relay(each)
    for entry in site.entries.values():
        await until(lambda entry=entry: len(entry.fleet.live()) == 2)
        await until(lambda entry=entry: len(entry.fleet.entries()) == 2)


async def test_an_entry_with_a_new_address_updates_its_row(site):
    first = await site.add_entry("entry-1")
    await until(lambda: (TABLE, "entry-1") in site.store.rows)
    before = site.store.value(TABLE, "entry-1")
    await close(first)
    await site.add_entry("entry-1")
    await until(lambda: site.store.value(TABLE, "entry-1") != before)


async def test_a_start_reads_rollout_progress_from_the_same_table(site):
    await site.add_worker("old", version="v1")
    await site.add_worker("new", version="v2")
    order = {"service": "plain", "to": "v2", "deadlineS": 20}
    site.store.put("op", "rollout/plain", order)
    record = RolloutRecord(
        site.store.version, "plain", "v2", RolloutPhase.COMPLETED, 0.0, 0.0
    )
    site.store.put(TABLE, f"{ROLLOUT_PREFIX}plain", attrs.asdict(record))
    entry = await site.add_entry()
    assert entry.state.rollouts.records["plain"].phase.final


class CountingStore:
    """Counts full reads; the first `failures` of them fail."""

    def __init__(self, failures=0):
        self.failures = failures
        self.scans = 0

    async def scan(self, _table):
        self.scans += 1
        await asyncio.sleep(0)
        if self.scans <= self.failures:
            raise StoreUnavailableError("away")
        return Page([FeedRow("e", b"", at(1))], at(self.scans), 0.0, whole=True)


async def test_concurrent_callers_share_one_read():
    store = CountingStore()
    table = OwnTable(store, ManualClock())
    pages = await asyncio.gather(*(table.read_cached() for _ in range(5)))
    assert store.scans == 1
    assert all(page is pages[0] for page in pages)
    assert (await table.read()).revision == at(2)
    table.clock.now += 2 * CACHE_TTL_S
    assert (await table.read_cached()).revision == at(3)


async def test_a_failed_read_is_retried():
    store = CountingStore(failures=1)
    table = OwnTable(store, ManualClock())
    with pytest.raises(StoreUnavailableError):
        await table.read_cached()
    assert (await table.read_cached()).rows
