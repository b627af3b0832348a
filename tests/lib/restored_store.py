"""A site whose store can be restored from a backup."""

import contextlib

from rattanpier._internal.relay.own_table import CHECKPOINT_PREFIX, TABLE
from rattanpier._internal.standin.platform_store import StoreFault
from tests.lib.platform_site import platform_site, until


@contextlib.asynccontextmanager
async def restorable_site(entries, workers=2, **more):
    """Yields a site with plain workers and connected entries."""
    async with platform_site(**more) as site:
        for number in range(1, workers + 1):
            await site.add_worker(f"w{number}")
        await add_entries(site, entries)
        yield site


async def add_entries(site, count):
    first = await site.add_entry("entry-1")
    seeds = [str(first.settings.peers)]
    for number in range(2, count + 1):
        await site.add_entry(f"entry-{number}", seeds=seeds)
    await wait_until_connected(site)


async def wait_until_connected(site):
    count = len(site.entries)
    for entry in site.entries.values():
        await until(
            lambda entry=entry: (
                len(entry.fleet.live()) == count
                and all(state.store for state in entry.fleet.live())
            )
        )


def advance_version(store, count):
    """Writes rows to an unread table, which advances the store's version."""
    for number in range(count):
        store.put("other", f"row-{number}", {})


@contextlib.asynccontextmanager
async def store_outage(site):
    """Makes the store unavailable; the block runs once all entries notice."""
    site.store.set_fault(StoreFault.BUSY)
    for entry in site.entries.values():
        await until(lambda entry=entry: not entry.state.health.available)
    yield
    site.store.set_fault(StoreFault.NONE)


def all_entries_match(site, predicate):
    return all(map(predicate, site.entries.values()))


def own_table_keys(store):
    """Returns the keys of the system's own table except checkpoints."""
    return sorted(
        key
        for (table, key), row in store.rows.items()
        if table == TABLE
        and not row.deleted
        and not key.startswith(CHECKPOINT_PREFIX)
    )
