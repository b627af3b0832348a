"""A site of four entries in two zones, for tests that cut entries off."""

import asyncio
import contextlib

from tests.lib.platform_site import platform_site, until

ENTRIES = ("entry-0", "entry-1", "entry-2", "entry-3")
ZONES = {"zone-a": "region-a", "zone-b": "region-a"}
CONTACT_S = 1.5


@contextlib.asynccontextmanager
async def cut_site(plain=4, engines=3, entries=ENTRIES, **bounds):
    """Starts workers and entries, which alternate between the zones."""
    async with platform_site() as site:
        for number in range(plain):
            await site.add_worker(f"w{number}")
        for number in range(engines):
            await site.add_worker(f"e{number}", "engine")
        for number, name in enumerate(entries):
            await add_entry(site, name, number, **bounds)
        await until(lambda: all_know(site, len(entries)))
        yield site


async def add_entry(site, name, number, **bounds):
    zone = sorted(ZONES)[number % 2]
    contact_ms = 1000 * CONTACT_S
    return await site.add_entry(
        name, zones=ZONES, zone=zone, contactMs=contact_ms, **bounds
    )


def all_know(site, count):
    return all(
        len(entry.fleet.live()) == count for entry in site.entries.values()
    )


def unreachable(site, name):
    """Returns the services that an entry can't reach."""
    entry = site.entries[name]
    return entry.edge.dispatcher.reachability.unreachable_services()


async def lose_path(site, *cuts, kind, services=2):
    """Cuts entries and waits until they have found out about all services."""
    for cut in cuts:
        cut.set(kind)
        name = cut.entry.settings.name
        await site.ask("/unsafe/x", entry=name)
        if services > 1:
            await site.chat(entry=name)
    names = [cut.entry.settings.name for cut in cuts]
    await until(
        lambda: all(len(unreachable(site, name)) == services for name in names)
    )
    # The peers hear of it by a broadcast.
    await asyncio.sleep(0.1)


def sum_of(site, metric, names=ENTRIES):
    """Returns the sum of a counter over some entries."""
    return sum(site.entries[name].metrics.counts[metric] for name in names)
