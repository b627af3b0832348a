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
