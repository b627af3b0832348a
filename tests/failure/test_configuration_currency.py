"""Nodes that are partitioned, frozen or restarted during changes.

The real code of all nodes runs in one process on a controlled clock. Faults may
hit any node at any time. No node may start work on a revision older than one
that was reported in force.
"""

import random

import pytest

from tests.lib.config_fleet import Fleet

IN_FORCE_S = 5.0


@pytest.fixture
async def fleet():
    return await Fleet().start()


def find_outdated(fleet):
    """Returns the revisions in use that are older than the one in force."""
    revisions = [node.serving_revision() for node in fleet.entries]
    return [r for r in revisions if r is not None and r < fleet.in_force()]


async def run_until_in_force(fleet, revision, limit_s=60.0):
    """Returns the seconds until a revision is reported in force.

    No node may be outdated meanwhile.
    """
    started = fleet.clock.now
    while fleet.in_force() < revision:
        assert fleet.clock.now - started < limit_s, "never reported"
        await fleet.run(0.25)
        assert not find_outdated(fleet)
    return fleet.clock.now - started


async def test_healthy_fleet_acknowledges_at_once(fleet):
    await fleet.run(10.0)
    assert await fleet.control.propose(fleet.text)
    assert await run_until_in_force(fleet, 2) <= 0.25


@pytest.mark.parametrize("cut", [["table"], ["peers"], ["table", "peers"]])
async def test_partitioned_node_never_uses_an_older_revision(fleet, cut):
    await fleet.run(10.0)
    node = fleet.entries[0]
    node.table.partitioned = "table" in cut
    node.isolated = "peers" in cut
    assert await fleet.control.propose(fleet.text)
    assert await run_until_in_force(fleet, 2) < IN_FORCE_S
    await fleet.run(10.0)
    assert not find_outdated(fleet)
    # With only the store or only the peers out of reach, the other source
    # confirms the revision. With neither, the node refuses work.
    assert node.serving_revision() == (None if len(cut) == 2 else 2)
    node.table.partitioned = node.isolated = False
    await fleet.run(1.0)
    assert node.serving_revision() == 2


async def test_resumed_node_is_out_of_date(fleet):
    await fleet.run(10.0)
    node = fleet.entries[0]
    node.frozen = True
    assert await fleet.control.propose(fleet.text)
    assert await run_until_in_force(fleet, 2) < IN_FORCE_S
    node.frozen = False
    assert node.serving_revision() is None
    await fleet.run(1.0)
    assert node.serving_revision() == 2


async def test_store_outage_without_a_change_stops_no_node(fleet):
    for node in fleet.nodes.values():
        node.table.partitioned = True
    gaps = 0
    for _ in range(240):
        await fleet.run(0.25)
        gaps += sum(node.serving_revision() is None for node in fleet.entries)
    assert gaps == 0


async def test_minority_without_store_and_peers_stops(fleet):
    for node in fleet.entries[:2]:
        node.table.partitioned = node.isolated = True
    await fleet.run(5.0)
    assert [node.serving_revision() for node in fleet.entries] == [
        None,
        None,
        1,
        1,
        1,
    ]


async def test_change_before_an_outage_is_not_reported_too_early(fleet):
    await fleet.run(10.0)
    # Three of five entries lose the store; the control process and the other
    # two lose all peers. Nothing may be reported while the three are a
    # majority that can vote for an outage of the store.
    for node in fleet.entries[:3]:
        node.table.partitioned = True
    control = fleet.control
    control.isolated = True
    assert await control.propose(fleet.text)
    for node in fleet.entries[3:]:
        node.isolated = True
    await fleet.run(20.0)
    assert fleet.in_force() == 1 or not find_outdated(fleet)
    working = [node.serving_revision() for node in fleet.entries]
    assert working == [1, 1, 1, 2, 2]
    assert fleet.in_force() < 2
    for node in fleet.nodes.values():
        node.table.partitioned = node.isolated = False
    await run_until_in_force(fleet, 2)


async def test_restart_of_all_nodes_does_not_restore_an_older_revision(fleet):
    await fleet.run(10.0)
    assert await fleet.control.propose(fleet.text)
    await run_until_in_force(fleet, 2)
    for node in fleet.entries:
        node.table.partitioned = True
    for node in fleet.entries:
        await node.start()
    await fleet.run(1.0)
    # A stale peer pushes the old revision, which must not become current.
    for node in fleet.entries:
        node.follower.apply_revision(1, fleet.text)
    await fleet.run(10.0)
    assert not find_outdated(fleet)
    for node in fleet.entries:
        node.table.partitioned = False
    await fleet.run(1.0)
    assert [node.serving_revision() for node in fleet.entries] == [2] * 5


async def test_restarted_node_does_not_vote_for_a_stale_peers_revision(fleet):
    await fleet.run(10.0)
    stale = fleet.entries[:2]
    for node in stale:
        node.partition, node.table.partitioned = 1, True
    assert await fleet.control.propose(fleet.text)
    await run_until_in_force(fleet, 2)
    restarted = fleet.entries[2]
    restarted.partition, restarted.table.partitioned = 1, True
    await restarted.start()
    await fleet.run(10.0)
    assert restarted.follower.revision == 1
    assert [node.serving_revision() for node in [*stale, restarted]] == [
        None
    ] * 3


async def test_push_of_an_older_revision_is_ignored(fleet):
    assert await fleet.control.propose(fleet.text)
    await fleet.run(2.0)
    node = fleet.entries[0]
    assert not node.follower.apply_revision(1, fleet.text)
    assert node.serving_revision() == 2


async def test_restored_store_with_an_older_revision_confirms_no_node(fleet):
    assert await fleet.control.propose(fleet.text)
    await fleet.run(2.0)
    for key in ("config/head", "config/revision/000000002"):
        del fleet.table.rows[key]
    await fleet.run(5.0)
    assert [node.serving_revision() for node in fleet.entries] == [None] * 5


async def test_node_whose_row_was_removed_becomes_out_of_date(fleet):
    node = fleet.entries[0]
    del fleet.table.rows[f"member/{node.name}"]
    node.isolated = True
    await fleet.run(2 * 4.0 + 0.5)
    assert node.serving_revision() is None


async def test_wall_clock_steps_do_not_stop_nodes(fleet):
    for step in (-86_400.0, 86_400.0):
        fleet.clock.wall += step
        await fleet.run(1.0)
        assert [node.serving_revision() for node in fleet.entries] == [1] * 5


async def apply_random_fault(fleet, rng):
    """Injects one random fault, restart, repair or change."""
    node = rng.choice(fleet.entries)
    match rng.randrange(12):
        case 0 | 1:
            node.table.partitioned = not node.table.partitioned
        case 2:
            node.partition = rng.choice([0, 1, node.name])
        case 3:
            node.frozen = not node.frozen
        case 4 | 5:
            if not node.frozen:
                await node.start()
        case 6 | 7:
            for each in rng.sample(fleet.entries, rng.choice([2, 3])):
                each.partition, each.table.partitioned = 1, True
        case 8:
            down = rng.random() < 0.5
            for each in fleet.entries:
                each.table.partitioned = down
        case 9 | 10:
            await fleet.control.propose(fleet.text)
        case 11:
            for each in fleet.nodes.values():
                each.table.partitioned = each.frozen = False
                each.partition = 0


async def run_random_history(seed, steps=60):
    """Runs a random history of faults.

    Returns how often a node was outdated, and the revision reported in force.
    """
    rng = random.Random(seed)
    fleet = await Fleet().start()
    await fleet.run(9.0)
    wrong = 0
    for _ in range(steps):
        await apply_random_fault(fleet, rng)
        for _ in range(rng.choice([1, 1, 4, 24])):
            await fleet.run(0.25)
            wrong += len(find_outdated(fleet))
    return wrong, fleet.in_force()


@pytest.mark.parametrize("seed", range(0, 40, 8))
async def test_no_node_is_outdated_in_random_histories(seed):
    reported = 0
    for number in range(seed, seed + 8):
        wrong, in_force = await run_random_history(number)
        assert wrong == 0, f"seed {number}"
        reported += in_force
    assert reported > 8


async def test_restarted_node_does_not_use_a_stale_peers_revision(fleet):
    # Corresponds to specs/configuration.prism without SERVE_AFTER_READ.
    await fleet.run(10.0)
    stale, restarted = fleet.entries[:2]
    stale.table.partitioned, stale.partition = True, 1
    assert await fleet.control.propose(fleet.text)
    await fleet.run(0.25)
    assert restarted.serving_revision() == 2
    restarted.table.partitioned, restarted.partition = True, 1
    await restarted.start()
    served_revisions = set()
    for _ in range(20):
        await fleet.run(0.25)
        served_revisions.add(restarted.serving_revision())
    assert served_revisions == {None}
    restarted.table.partitioned, restarted.partition = False, 0
    await fleet.run(1.0)
    assert restarted.serving_revision() == 2
