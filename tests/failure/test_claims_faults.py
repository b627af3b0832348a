"""Claims under single and combined faults, in virtual time."""

import asyncio

import attrs
import pytest

from tests.lib.fleet import Count, FleetOfNodes, load
from tests.lib.virtual import run_virtual

REQUESTS = 120


async def lost_answers(fleet):
    fleet.faults.lost = 0.3
    await asyncio.sleep(8)
    fleet.faults.lost = 0.0


async def delayed_writes(fleet):
    fleet.faults.delayed = 0.2
    await asyncio.sleep(8)
    fleet.faults.delayed = 0.0


async def dropped_writes(fleet):
    fleet.faults.dropped = 0.2
    await asyncio.sleep(8)
    fleet.faults.dropped = 0.0


async def frozen_owners(fleet):
    for _ in range(3):
        node = fleet.owner_of("k1") or fleet.working()[0]
        node.freeze()
        await asyncio.sleep(6)
        node.thaw()
        await asyncio.sleep(1)


async def killed_owners(fleet):
    for number in range(3):
        node = fleet.owner_of("k1") or fleet.working()[0]
        node.kill()
        await asyncio.sleep(2)
        fleet.start(f"new-{number}")
        await asyncio.sleep(3)


async def restart_of_all(fleet):
    await asyncio.sleep(3)
    for node in list(fleet.nodes.values()):
        node.kill()
    fleet.nodes.clear()
    for number in range(3):
        fleet.start(f"entry-{number}")


async def outage(fleet):
    await asyncio.sleep(1)
    fleet.faults.silent = True
    await asyncio.sleep(15)
    fleet.faults.silent = False


async def unconfirmed_outage(fleet):
    """Causes an outage that no peer confirms: all are in one failure domain."""
    for node in fleet.nodes.values():
        node.members.me = attrs.evolve(node.members.me, domain="a")
    await outage(fleet)


async def killed_late(fleet):
    """Kills an owner in the middle of an outage."""
    await asyncio.sleep(9)
    (fleet.owner_of("k1") or fleet.working()[0]).kill()


async def two_outages(fleet):
    for _ in range(2):
        await asyncio.sleep(1)
        fleet.faults.down = True
        await asyncio.sleep(4)
        fleet.faults.down = False


FAULTS = (
    lost_answers,
    delayed_writes,
    dropped_writes,
    frozen_owners,
    killed_owners,
    restart_of_all,
    outage,
    unconfirmed_outage,
    two_outages,
)
PAIRS = (
    (lost_answers, killed_owners),
    (delayed_writes, frozen_owners),
    (delayed_writes, killed_owners),
    (outage, frozen_owners),
    (outage, killed_owners),
    (outage, killed_late),
    (outage, restart_of_all),
    (two_outages, lost_answers),
    (frozen_owners, killed_owners),
)


def name_of(faults):
    return "+".join(fault.__name__ for fault in faults)


async def run_load(faults, idempotent, seed):
    fleet = FleetOfNodes(count=4, seed=seed)

    async def run_all(fleet):
        await asyncio.gather(*(fault(fleet) for fault in faults))

    return await load(fleet, REQUESTS, run_all, idempotent)


@pytest.mark.parametrize("idempotent", (True, False))
@pytest.mark.parametrize(
    "faults", [(fault,) for fault in FAULTS] + list(PAIRS), ids=name_of
)
def test_nothing_lost_doubled_or_misbilled(faults, idempotent):
    count = run_virtual(run_load(faults, idempotent, seed=7))
    assert count == Count(asked=REQUESTS)
