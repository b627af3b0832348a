"""The store comes back from an older copy, before real entries."""

import pytest

from tests.lib.platform_site import manifest, until
from tests.lib.restored_store import all_entries, away, site_of, write_more

BOUND_S = 2.0  # Until all entries know what the store acknowledged.
LOST = 5  # Versions that are given out again.


def leaves(entry, worker="w1"):
    return not entry.state.directory.takes_work(worker)


def has_manifest(version):
    return lambda entry: entry.state.table_version == version


def warms_up(entry):
    return entry.state.directory.workers["w2"].warm_in_s > 0


def era_of(entry):
    return entry.kernel.find("history").era


@pytest.mark.parametrize("later", [2 * LOST, 0])
async def test_what_is_written_under_a_version_given_out_again_is_known(later):
    async with site_of(entries=3) as site:
        kept = site.store.keep_copy()
        write_more(site.store, LOST)
        site.register("w2", sequence=2, coldRemainingMs=1)
        site.store.put("op", "config", manifest(version=2))
        await until(lambda: all_entries(site, warms_up))
        await until(lambda: all_entries(site, has_manifest(2)))
        async with away(site):
            site.store.come_back(kept)
            site.register("w1", state="draining", sequence=2)
            site.store.put("op", "config", manifest(version=3))
            write_more(site.store, later)
        await until(lambda: all_entries(site, leaves), BOUND_S)
        await until(lambda: all_entries(site, has_manifest(3)), BOUND_S)


async def test_a_worker_that_left_before_gets_nothing_from_an_older_copy():
    async with site_of(entries=3) as site:
        kept = site.store.keep_copy()
        site.register("w1", state="draining", sequence=2)
        await until(lambda: all_entries(site, leaves))
        async with away(site):
            site.store.come_back(kept)
        runs = len(site.workers["w1"].runs)
        await until(lambda: all_entries(site, lambda each: era_of(each) == 2))
        for name in site.entries:
            for _ in range(20):
                assert (await site.ask(entry=name)).status == 200
        late = await site.add_entry(
            "entry-4", seeds=[str(site.entries["entry-1"].settings.peers)]
        )
        await until(lambda: leaves(late), BOUND_S)
        assert len(site.workers["w1"].runs) == runs


async def test_a_start_takes_a_peers_routes_rather_than_an_older_copys():
    async with site_of(entries=2) as site:
        kept = site.store.keep_copy()
        site.store.put("op", "config", manifest(version=2))
        await until(lambda: all_entries(site, has_manifest(2)))
        async with away(site):
            site.store.come_back(kept)
        await until(lambda: all_entries(site, lambda each: era_of(each) == 2))
        late = await site.add_entry(
            "entry-3", seeds=[str(site.entries["entry-1"].settings.peers)]
        )
        await until(lambda: has_manifest(2)(late), BOUND_S)
        assert all_entries(site, has_manifest(2))
