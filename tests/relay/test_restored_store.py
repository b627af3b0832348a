"""Tests of real entries when the store is restored from a backup."""

import pytest

from tests.lib.platform_site import manifest, until
from tests.lib.restored_store import (
    advance_version,
    all_entries_match,
    restorable_site,
    store_outage,
)

TIMEOUT_S = 2.0  # Until all entries know what the store acknowledged.
LOST_VERSIONS = 5  # Versions that the restored store assigns again.


def is_draining(entry, worker="w1"):
    return not entry.state.directory.accepts_requests(worker)


def has_manifest(version):
    return lambda entry: entry.state.table_version == version


def is_warming_up(entry):
    return entry.state.directory.workers["w2"].warm_in_s > 0


def era_of(entry):
    return entry.kernel.find("history").era


@pytest.mark.parametrize("later", [2 * LOST_VERSIONS, 0])
async def test_changes_under_a_reassigned_version_are_applied(later):
    async with restorable_site(entries=3) as site:
        backup = site.store.take_backup()
        advance_version(site.store, LOST_VERSIONS)
        site.register("w2", sequence=2, coldRemainingMs=1)
        site.store.put("op", "config", manifest(version=2))
        await until(lambda: all_entries_match(site, is_warming_up))
        await until(lambda: all_entries_match(site, has_manifest(2)))
        async with store_outage(site):
            site.store.restore_backup(backup)
            site.register("w1", state="draining", sequence=2)
            site.store.put("op", "config", manifest(version=3))
            advance_version(site.store, later)
        await until(lambda: all_entries_match(site, is_draining), TIMEOUT_S)
        await until(lambda: all_entries_match(site, has_manifest(3)), TIMEOUT_S)


async def test_a_restored_registration_sends_no_requests_to_a_draining_worker():
    async with restorable_site(entries=3) as site:
        backup = site.store.take_backup()
        site.register("w1", state="draining", sequence=2)
        await until(lambda: all_entries_match(site, is_draining))
        async with store_outage(site):
            site.store.restore_backup(backup)
        runs = len(site.workers["w1"].runs)
        await until(
            lambda: all_entries_match(site, lambda each: era_of(each) == 2)
        )
        for name in site.entries:
            for _ in range(20):
                assert (await site.ask(entry=name)).status == 200
        new_entry = await site.add_entry(
            "entry-4", seeds=[str(site.entries["entry-1"].settings.peers)]
        )
        await until(lambda: is_draining(new_entry), TIMEOUT_S)
        assert len(site.workers["w1"].runs) == runs


async def test_a_starting_entry_prefers_a_peers_routes_to_a_restored_backup():
    async with restorable_site(entries=2) as site:
        backup = site.store.take_backup()
        site.store.put("op", "config", manifest(version=2))
        await until(lambda: all_entries_match(site, has_manifest(2)))
        async with store_outage(site):
            site.store.restore_backup(backup)
        await until(
            lambda: all_entries_match(site, lambda each: era_of(each) == 2)
        )
        new_entry = await site.add_entry(
            "entry-3", seeds=[str(site.entries["entry-1"].settings.peers)]
        )
        await until(lambda: has_manifest(2)(new_entry), TIMEOUT_S)
        assert all_entries_match(site, has_manifest(2))
