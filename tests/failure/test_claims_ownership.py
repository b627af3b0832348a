"""Ownership of shards as entries join, leave and fail, in virtual time."""

import asyncio
from types import SimpleNamespace

import attrs
import pytest

from rattanpier._internal.claims import ownership
from rattanpier._internal.claims.book import Ask
from rattanpier._internal.claims.records import (
    ShardLease,
    lease_key,
    log_prefix,
)
from rattanpier._internal.claims.takeover import acquire
from rattanpier._internal.configuration.follow import Follower
from rattanpier._internal.edge.app import Edge
from rattanpier._internal.exceptions import StoreUnavailableError
from rattanpier._internal.models.member import MemberState
from rattanpier._internal.models.outcomes import ClaimOutcome, Uncertain
from rattanpier._internal.models.settings import EdgeSettings
from rattanpier._internal.standin.table import MemoryTable
from rattanpier._internal.store.table import Row
from rattanpier._internal.utils.codec import decode
from tests.lib.fleet import FleetOfNodes
from tests.lib.virtual import run_virtual

REQUESTS = 100


def lease_by_shard(fleet):
    """Returns the lease of each shard as stored in the table."""
    return {
        shard: decode(ShardLease, fleet.table.rows[lease_key(shard)].value)
        for shard in range(fleet.sizes.claim_shards)
    }


async def slowest_answer_s(fleet, event):
    """Sends requests through one entry; triggers an event meanwhile.

    Returns:
      Seconds until the slowest answer.
    """
    node = list(fleet.nodes.values())[-1]
    times = []

    async def one(number):
        started = fleet.now()
        answer = await node.answer(f"k{number}")
        assert isinstance(answer, str)
        times.append(fleet.now() - started)

    callers = []
    for number in range(REQUESTS):
        if number == REQUESTS // 4:
            event(fleet)
        callers.append(fleet.spawn(one(number)))
        await asyncio.sleep(0.05)
    await asyncio.gather(*callers)
    return max(times)


def first_owner(fleet):
    last = list(fleet.nodes)[-1]
    return next(
        node
        for name, node in fleet.nodes.items()
        if name != last and node.claims.ownership.owners
    )


def leave(fleet):
    node = first_owner(fleet)
    node.members.me = attrs.evolve(node.members.me, state=MemberState.LEAVING)
    for other in fleet.nodes.values():
        other.members.look()


def test_planned_stop_delays_no_request():
    async def run():
        fleet = FleetOfNodes(count=4)
        await fleet.settled()
        leaving = first_owner(fleet)
        slowest_s = await slowest_answer_s(fleet, leave)
        assert not leaving.claims.ownership.owners
        names = {lease.owner for lease in lease_by_shard(fleet).values()}
        assert leaving.member.name not in names
        return slowest_s

    assert run_virtual(run()) < 0.5


@pytest.mark.parametrize(
    "event", (lambda node: node.kill(), lambda node: node.freeze())
)
def test_shards_of_dead_or_frozen_owners_are_taken_over_in_seconds(event):
    async def run():
        fleet = FleetOfNodes(count=4)
        await fleet.settled()
        return await slowest_answer_s(
            fleet, lambda fleet: event(first_owner(fleet))
        )

    # A member lapses after 3 s here; the rest is the takeover.
    assert run_virtual(run()) < 5.5


def test_joining_entries_get_their_share_of_shards():
    async def run():
        fleet = FleetOfNodes(count=2, shards=12)
        await fleet.settled()
        for number in range(4):
            fleet.start(f"joined-{number}")
        slowest_s = await slowest_answer_s(fleet, lambda fleet: None)
        await asyncio.sleep(10)
        shares = {}
        for lease in lease_by_shard(fleet).values():
            shares[lease.owner] = shares.get(lease.owner, 0) + 1
        assert len(shares) == 6
        assert max(shares.values()) <= 5
        return slowest_s

    assert run_virtual(run()) < 0.5


def test_concurrent_acquisitions_have_one_winner():
    async def run():
        table = MemoryTable()
        rows = [None]
        wins = 0
        for turn in range(50):
            row = rows[-1]
            taken = await asyncio.gather(
                *(acquire(table, 0, row, f"n{n}", f"{turn}") for n in range(3))
            )
            winners = [one for one in taken if one is not None]
            assert len(winners) == 1
            wins += 1
            rows.append(await table.get(lease_key(0)))
            assert decode(ShardLease, rows[-1].value) == winners[0][0]
        return wins, decode(ShardLease, rows[-1].value).epoch

    assert run_virtual(run()) == (50, 50)


def test_shard_with_unreadable_log_is_acquired_again():
    async def run():
        fleet = FleetOfNodes(count=3)
        scan = fleet.table.scan
        refused = []

        async def no_logs(prefix, after="", limit=500):
            if prefix.startswith(log_prefix(0)[:7]) and len(refused) < 8:
                refused.append(prefix)
                raise StoreUnavailableError("log can't be read")
            return await scan(prefix, after, limit)

        fleet.table.scan = no_logs
        await fleet.settled()
        assert len(refused) == 8
        assert isinstance(await fleet.working()[0].answer("k1"), str)

    run_virtual(run())


def test_lost_acquisition_reply_leaves_no_shard_unowned():
    async def run():
        fleet = FleetOfNodes(count=3)
        get = fleet.table.get
        lost = []

        async def no_lease(key):
            if key.startswith("shard/") and len(lost) < 8:
                lost.append(key)
                raise StoreUnavailableError("row can't be read")
            return await get(key)

        fleet.table.get = no_lease
        fleet.faults.lost = 1.0
        fleet.spawn(stop_losing_answers(fleet))
        await fleet.settled()
        assert len(lost) == 8
        assert isinstance(await fleet.working()[0].answer("k1"), str)

    run_virtual(run())


async def stop_losing_answers(fleet):
    await asyncio.sleep(2)
    fleet.faults.lost = 0.0


def test_invalid_lease_row_affects_no_other_shard():
    async def run():
        fleet = FleetOfNodes(count=3)
        await fleet.settled()
        key = lease_key(2)
        row = fleet.table.rows[key]
        fleet.table.rows[key] = Row(key, row.version + 1, "{nonsense")
        await asyncio.sleep(3)
        node = fleet.working()[0]
        keys = [f"k{number}" for number in range(40)]
        others = [k for k in keys if node.claims.shard_of("desk", k) != 2]
        assert len(others) > 20
        for key in others:
            assert isinstance(await node.answer(key), str)

    run_virtual(run())


def test_late_release_of_a_shard_keeps_its_new_owner():
    async def run():
        fleet = FleetOfNodes(count=3)
        await fleet.settled()
        node = first_owner(fleet)
        shard = next(iter(node.claims.ownership.owners))
        version = fleet.table.rows[lease_key(shard)].version
        lease = node.claims.ownership.owners[shard].lease
        node.freeze()
        await asyncio.sleep(8)
        node.thaw()
        await node.claims.ownership.free_shard(shard, lease, version)
        assert lease_by_shard(fleet)[shard].owner not in ("", node.member.name)

    run_virtual(run())


def test_resumed_owner_does_not_confirm_its_stale_grant():
    async def run():
        fleet = FleetOfNodes(count=3)
        await fleet.settled()
        node = first_owner(fleet)
        shards = node.claims.ownership.owners
        keys = (f"k{number}" for number in range(100))
        key = next(
            key for key in keys if node.claims.shard_of("desk", key) in shards
        )
        holder = f"{node.member.name}/{node.member.incarnation}/1"
        ask = Ask("desk", key, holder, False, "digest")
        first = await node.claims.claim(ask, 5.0)
        assert first.outcome is ClaimOutcome.GRANTED
        node.freeze()
        await asyncio.sleep(8)
        other = fleet.working()[0]
        reply = await other.answer(key, False)
        assert reply.outcome is ClaimOutcome.UNKNOWN
        again = fleet.spawn(node.claims.claim(ask, 5.0))
        node.thaw()
        return (await again).outcome

    assert run_virtual(run()) is ClaimOutcome.UNKNOWN


def test_shard_preferred_by_no_entry_is_acquired(monkeypatch):
    async def run():
        fleet = FleetOfNodes(count=3)
        await fleet.settled()

    # Entries may disagree on the preferred owner of a shard.
    monkeypatch.setattr(
        ownership.Ownership, "preferred", lambda self, shard: "somebody"
    )
    run_virtual(run())


def test_acquisition_with_uncertain_write_reads_its_outcome():
    class Silent(MemoryTable):
        async def transact(self, transaction):
            await super().transact(transaction)
            return Uncertain("no answer")

    async def run():
        return await acquire(Silent(), 0, None, "n", "i")

    lease, version = run_virtual(run())
    assert (lease.owner, lease.epoch, version) == ("n", 1, 1)


def test_entry_without_known_owners_is_not_ready():
    """Guards against an entry that is ready without known owners of shards.

    An entry started 37 ms before its first read of the lease rows failed. It
    reported ready and then refused all requests until the store was back.
    """

    async def run():
        fleet = FleetOfNodes(count=2)
        await fleet.settled()
        fleet.faults.down = True
        late = fleet.start("entry-late")
        await asyncio.sleep(4.0)
        assert not late.claims.ownership.owners_known
        fleet.faults.down = False
        await asyncio.sleep(4.0)
        assert late.claims.ownership.owners_known
        fleet.faults.down = True
        await asyncio.sleep(4.0)
        assert late.claims.ownership.owners_known
        assert isinstance(await late.answer("k"), str)

    run_virtual(run())


def test_claim_is_settled_at_new_owner_just_after_an_outage():
    """Guards against a stream that ends with an error after a takeover.

    An entry was declared gone while frozen, and another entry acquired its
    shard. It resumed and finished an answer just as the store was reachable
    again, but before its own next read of the lease rows. So it assumed that
    the store was still down, and tried only itself, the previous owner.
    """

    async def run():
        fleet = FleetOfNodes(count=3)
        await fleet.settled()
        before = fleet.owner_of("k")
        after = next(n for n in fleet.nodes.values() if n is not before)
        answer = fleet.spawn(before.answer("k"))
        while not fleet.runs["k"]:
            await asyncio.sleep(0.001)
        before.claims.ownership.reachable = False
        await after.claims.ownership.acquire_shard(
            after.claims.shard_of("desk", "k")
        )
        assert isinstance(await answer, str)
        assert fleet.runs["k"] == 1

    run_virtual(run())


@pytest.mark.parametrize("owners_known", [False, True])
async def test_entry_is_ready_once_it_knows_the_owners(owners_known):
    ownership = SimpleNamespace(owners_known=owners_known)
    runner = SimpleNamespace(
        claims=SimpleNamespace(ownership=ownership),
        dispatcher=SimpleNamespace(current=lambda: True),
    )
    edge = Edge(
        chat=SimpleNamespace(runner=runner),
        services=None,
        follower=Follower(table=None, clock=None),
        members=SimpleNamespace(
            me=SimpleNamespace(state=MemberState.LIVE),
        ),
        settings=EdgeSettings(),
    )
    answer = await edge.ready(None)
    assert answer.status == (200 if owners_known else 503)
