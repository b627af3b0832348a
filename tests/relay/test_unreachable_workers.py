"""Entries that are cut off from all workers."""

import asyncio

import pytest

from tests.lib.first_tries import FirstTries
from tests.lib.platform_site import platform_site, until
from tests.lib.worker_cuts import Cut, cut_off

ENTRIES = ("entry-0", "entry-1", "entry-2", "entry-3")
ZONES = {"zone-a": "region-a", "zone-b": "region-a"}
CONTACT_S = 1.5
COUNTED_S = 3.0


@pytest.fixture
async def site():
    async with platform_site() as made:
        for number in range(4):
            await made.add_worker(f"w{number}")
        for number in range(3):
            await made.add_worker(f"e{number}", "engine")
        for number, name in enumerate(ENTRIES):
            await made.add_entry(
                name,
                zones=ZONES,
                zone=sorted(ZONES)[number % 2],
                contactMs=1000 * CONTACT_S,
            )
        for entry in made.entries.values():
            await until(lambda entry=entry: len(entry.fleet.live()) == 4)
        yield made


@pytest.mark.parametrize("kind", [Cut.REFUSED, Cut.SILENT, Cut.HALF])
@pytest.mark.parametrize("cut", [ENTRIES[:1], ENTRIES[:2], ENTRIES[:3]])
async def test_an_entry_that_reaches_no_worker_serves_first_tries(
    site, cut, kind
):
    tries = FirstTries(site)
    cuts = cut_off(site, *cut)
    callers = asyncio.create_task(tries.run(ENTRIES, 1 + CONTACT_S + COUNTED_S))
    await asyncio.sleep(1.0)
    for each in cuts:
        each.set(kind)
    since = asyncio.get_running_loop().time() + CONTACT_S
    await callers
    served, asked = tries.count(cut, since)
    others = [name for name in ENTRIES if name not in cut]
    others_served, others_asked = tries.count(others, since)
    assert served / asked >= 2 / 3 * others_served / others_asked
    assert asked - served <= 10 + (asked + others_asked) / 50
