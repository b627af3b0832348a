"""Membership on a controlled clock: dead, frozen and partitioned members."""

import pytest

from rattanpier._internal.membership.records import (
    Directory,
    Presence,
    apply_presences,
)
from rattanpier._internal.models.member import MemberState
from tests.lib.network import Network

DETECT_S = 6.0  # Two rounds of probes and a confirmation.


@pytest.fixture
async def network():
    network = Network()
    yield network
    await network.stop()


async def start_fleet(network, size):
    nodes = [await network.start(f"n{number}") for number in range(size)]
    await network.clock.advance(5)
    names = {node.name for node in nodes}
    assert all(node.sees == names for node in nodes)
    return nodes


def without(nodes, *gone):
    return [node for node in nodes if node not in gone]


def names(nodes):
    return {node.name for node in nodes}


async def test_killed_member_is_removed_by_all_members_and_the_store(network):
    nodes = await start_fleet(network, 8)
    old = nodes[3].identity
    await nodes[3].kill()
    await network.clock.advance(DETECT_S)
    rest = without(nodes, nodes[3])
    assert all(node.sees == names(rest) for node in rest)
    assert not any(node.members.alive(f"{old}/request") for node in rest)
    assert "member/n3" not in network.table.rows
    assert "n3/" not in network.table.rows["directory/full"].value


async def test_frozen_member_is_removed_and_rejoins_as_a_new_incarnation(
    network,
):
    nodes = await start_fleet(network, 8)
    old = nodes[3].identity
    nodes[3].freeze()
    await network.clock.advance(DETECT_S)
    rest = without(nodes, nodes[3])
    assert all(node.sees == names(rest) for node in rest)
    nodes[3].thaw()
    await network.clock.advance(5)
    assert all(node.sees == names(nodes) for node in nodes)
    assert nodes[3].identity != old
    assert all(node.members.alive(nodes[3].identity) for node in nodes)
    assert not any(node.members.alive(old) for node in nodes)


@pytest.mark.parametrize("size", [3, 8])
async def test_lost_joined_notices_are_repeated_while_the_store_is_down(
    network, size
):
    nodes = await start_fleet(network, size)
    network.store_down = True
    nodes[1].freeze()
    await network.clock.advance(2 * DETECT_S)
    network.lost_notices = {"joined"}
    nodes[1].thaw()
    await network.clock.advance(5)
    assert not any(
        nodes[1].name in node.sees for node in without(nodes, nodes[1])
    )
    network.lost_notices = set()
    await network.clock.advance(5)
    assert all(node.sees == names(nodes) for node in nodes)


async def test_pairs_of_ring_neighbours_killed_at_once_are_removed(network):
    nodes = await start_fleet(network, 10)
    for pair in (nodes[0:2], nodes[4:6]):
        for node in pair:
            await node.kill()
        await network.clock.advance(2 * DETECT_S)
        nodes = [node for node in nodes if node not in pair]
        assert all(node.sees == names(nodes) for node in nodes)


async def test_last_member_removes_all_others_killed_at_once(network):
    nodes = await start_fleet(network, 6)
    for node in nodes[1:]:
        await node.kill()
    await network.clock.advance(4 * DETECT_S)
    assert nodes[0].sees == {"n0"}


async def test_failed_members_are_detected_while_the_store_is_down(network):
    nodes = await start_fleet(network, 8)
    network.store_down = True
    await nodes[1].kill()
    nodes[2].freeze()
    await network.clock.advance(2 * DETECT_S)
    rest = without(nodes, nodes[1], nodes[2])
    assert all(node.sees == names(rest) for node in rest)
    nodes[2].thaw()
    await network.clock.advance(5)
    rest = without(nodes, nodes[1])
    assert all(node.sees == names(rest) for node in rest)
    network.store_down = False
    await network.clock.advance(10)
    directory = network.table.rows["directory/full"].value
    assert all(node.members.me.incarnation in directory for node in rest)
    assert '"n1"' not in directory


async def test_store_outage_alone_removes_no_member(network):
    nodes = await start_fleet(network, 8)
    before = {node.identity for node in nodes}
    network.store_down = True
    await network.clock.advance(120)
    assert all(node.sees == names(nodes) for node in nodes)
    network.store_down = False
    await network.clock.advance(20)
    assert all(node.sees == names(nodes) for node in nodes)
    assert {node.identity for node in nodes} == before


async def test_member_partitioned_from_all_peers_declares_none_gone(network):
    nodes = await start_fleet(network, 8)
    alone = nodes[3]
    network.cut_off(alone)
    await network.clock.advance(60)
    rest = without(nodes, alone)
    assert all(node.sees == names(rest) for node in rest)
    # It follows the directory and removes nobody because of its own probes.
    assert alone.metrics.counts["members.declared_gone"] == 0
    assert alone.sees == names(nodes)
    assert alone.metrics.counts["members.rejoined"] == 0
    network.cuts.clear()
    await network.clock.advance(8)
    assert all(node.sees == names(nodes) for node in nodes)
    assert alone.metrics.counts["members.rejoined"] == 1


async def test_member_partitioned_from_the_store_stays_a_member(network):
    nodes = await start_fleet(network, 8)
    network.no_store.add(nodes[3].name)
    await network.clock.advance(120)
    assert all(node.sees == names(nodes) for node in nodes)
    await nodes[5].kill()
    await network.clock.advance(DETECT_S)
    rest = without(nodes, nodes[5])
    assert all(node.sees == names(rest) for node in rest)
    late = await network.start("late")
    await network.clock.advance(3)
    assert "late" in nodes[3].sees
    assert nodes[3].sees == late.sees


async def test_member_partitioned_from_peers_and_store_recovers(network):
    nodes = await start_fleet(network, 8)
    alone = nodes[3]
    network.cut_off(alone)
    network.no_store.add(alone.name)
    await network.clock.advance(60)
    assert alone.metrics.counts["members.declared_gone"] == 0
    network.cuts.clear()
    network.no_store.clear()
    await network.clock.advance(10)
    assert all(node.sees == names(nodes) for node in nodes)


async def test_partition_between_two_members_removes_neither(network):
    nodes = await start_fleet(network, 8)
    for one in nodes:
        for other in nodes:
            network.cuts = {frozenset((one.name, other.name))}
            await network.clock.advance(3)
    assert all(node.sees == names(nodes) for node in nodes)
    assert sum(n.metrics.counts["members.declared_gone"] for n in nodes) == 0


async def test_both_halves_of_a_partition_keep_their_members(network):
    nodes = await start_fleet(network, 8)
    halves = nodes[:4], nodes[4:]
    network.cuts = {
        frozenset((one.name, other.name))
        for one in halves[0]
        for other in halves[1]
    }
    for _ in range(120):
        await network.clock.advance(1)
        for half in halves:
            assert all(names(half) <= node.sees for node in half)
    # The other half is listed again only for some time after each rejoin.
    assert all(node.metrics.counts["members.rejoined"] < 10 for node in nodes)
    await nodes[1].kill()
    await network.clock.advance(DETECT_S)
    half = without(halves[0], nodes[1])
    assert not any("n1" in node.sees for node in half)
    network.cuts.clear()
    rest = without(nodes, nodes[1])
    await network.clock.advance(40)
    assert all(node.sees == names(rest) for node in rest)


@pytest.mark.parametrize("fault", ["kill", "freeze"])
async def test_directory_is_updated_after_its_writer_fails_with_a_member(
    network, fault
):
    nodes = await start_fleet(network, 8)
    lease = network.table.rows["directory/lease"].value
    writer = next(node for node in nodes if f'"{node.identity}"' in lease)
    other = next(node for node in nodes if node is not writer)
    for node in (writer, other):
        if fault == "kill":
            await node.kill()
        else:
            node.freeze()
    await network.clock.advance(4 * DETECT_S)
    rest = without(nodes, writer, other)
    assert all(node.sees == names(rest) for node in rest)
    directory = network.table.rows["directory/full"].value
    assert writer.members.me.incarnation not in directory
    assert other.members.me.incarnation not in directory
    late = await network.start("late")
    await network.clock.advance(5)
    assert late.sees == names([*rest, late])


async def test_one_of_two_members_needs_the_store_to_remove_a_silent_peer(
    network,
):
    one, other = await start_fleet(network, 2)
    other.freeze()
    network.no_store.add(one.name)
    await network.clock.advance(30)
    assert one.sees == {"n0", "n1"}
    network.no_store.clear()
    await network.clock.advance(12)
    assert one.sees == {"n0"}


async def test_thawed_process_does_not_reclaim_a_reused_name(network):
    nodes = await start_fleet(network, 4)
    old = nodes[1]
    old.freeze()
    await network.clock.advance(DETECT_S)
    again = await network.start("n1")
    await network.clock.advance(5)
    old.thaw()
    await network.clock.advance(20)
    rest = without(nodes, old)
    assert all(node.members.alive(again.identity) for node in rest)
    assert old.metrics.counts["members.name_taken"] == 1


async def test_fleet_recovers_after_all_members_restart_at_once(network):
    nodes = await start_fleet(network, 8)
    for node in nodes:
        await node.kill()
    again = [await network.start(f"new{number}") for number in range(8)]
    await network.clock.advance(40)
    assert all(node.sees == names(again) for node in again)


async def test_leaving_member_is_unlisted_by_all_members_at_once(network):
    nodes = await start_fleet(network, 8)
    network.store_down = True
    await nodes[2].members.leave()
    await network.clock.advance(0.1)
    assert all(nodes[2].name not in node.lists for node in nodes)
    assert all(node.members.alive(nodes[2].identity) for node in nodes)
    await network.clock.advance(30)
    assert nodes[2].members.me.state is MemberState.LEAVING
    assert all(nodes[2].name not in node.lists for node in nodes)


async def test_messages_per_node_do_not_grow_with_the_fleet(network):
    figures = []
    for size in (8, 32):
        fleet = Network()
        nodes = await start_fleet(fleet, size)
        await fleet.clock.advance(10)
        before = sum(node.traffic.messages for node in nodes)
        await fleet.clock.advance(20)
        after = sum(node.traffic.messages for node in nodes)
        figures.append((after - before) / size / 20)
        await fleet.stop()
    small, large = figures
    assert small == pytest.approx(large, rel=0.1)


async def test_late_leaving_presence_does_not_replace_a_newer_process(network):
    nodes = await start_fleet(network, 4)
    old = nodes[1]
    await old.members.leave()
    await network.clock.advance(3)
    leaving = Presence(old.members.me)
    await old.kill()
    again = await network.start("n1")
    await network.clock.advance(DETECT_S)
    for node in without(nodes, old):
        assert not node.members.apply_presence(leaving)
        assert node.members.alive(again.identity)
    directory = Directory(1, [again.members.me])
    changed, _ = apply_presences(directory, [leaving])
    assert changed.members == [again.members.me]
