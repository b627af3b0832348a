"""A partitioned entry does not quarantine requests that crash no worker.

To an entry whose connections to workers are refused, each worker seems to have
crashed under the requests that ran there. Three such crashes quarantine a
request on all entries for ten minutes, although the peers see that the workers
are running.
"""

import pytest

from tests.lib.platform_site import platform_site, until

CONTENT = "a request that ends nobody"
WORKERS = ("w1", "w2", "w3")
# Within this time peers check the workers and publish that they are running.
LIVENESS_TIMEOUT_S = 2.0


@pytest.fixture
async def site():
    async with platform_site() as made:
        for name in WORKERS:
            await made.add_worker(name)
        for number in range(2):
            await made.add_entry(f"entry-{number}")
        for entry in made.entries.values():
            await until(lambda entry=entry: len(entry.fleet.live()) == 2)
        yield made


def quarantine_of(site, name):
    return site.entries[name].edge.dispatcher.quarantine


async def partition(site, name):
    """Lets an entry record that all workers crashed under one request."""
    directory = site.entries[name].state.directory
    for worker in directory.workers.values():
        quarantine_of(site, name).record_crash(CONTENT, worker.incarnation)


async def test_peers_that_reach_workers_lift_quarantine(site):
    await partition(site, "entry-0")
    other = quarantine_of(site, "entry-1")
    await until(lambda: CONTENT in other.crashes)
    await until(lambda: not other.remaining_s(CONTENT), LIVENESS_TIMEOUT_S)


async def test_entry_lifts_quarantine_after_its_partition(site):
    await partition(site, "entry-0")
    first = quarantine_of(site, "entry-0")
    assert first.remaining_s(CONTENT)
    await until(lambda: not first.remaining_s(CONTENT), LIVENESS_TIMEOUT_S)
