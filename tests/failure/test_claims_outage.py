"""Guarantees of claims while the store is down, in virtual time."""

import asyncio

import attrs

from rattanpier._internal.claims import kept_bills, owner, pending
from rattanpier._internal.claims.book import Ask
from rattanpier._internal.models.outcomes import ClaimOutcome
from tests.lib.fleet import FleetOfNodes
from tests.lib.virtual import run_virtual

KEYS = [f"k{number}" for number in range(20)]


async def fleet_in_outage(**changes):
    """Returns a fleet after its nodes have detected that the store is down."""
    fleet = FleetOfNodes(count=4, **changes)
    await fleet.settled()
    fleet.faults.silent = True
    await asyncio.sleep(6)
    return fleet


async def ask_each(fleet, idempotent):
    return [
        await node.answer(key, idempotent)
        for key in KEYS
        for node in fleet.working()[:1]
    ]


async def repeat_after_owner_death(fleet):
    """Repeats requests of an outage after the owner of one shard died.

    Returns:
      Answers during the outage, answers to the repeats, and bills by key.
    """
    answers = dict(zip(KEYS, await ask_each(fleet, True), strict=True))
    assert all(isinstance(answer, str) for answer in answers.values())
    for node in fleet.nodes.values():
        node.claims.flush_after_s = 8.0  # A new owner collects the bills first.
    (fleet.owner_of(KEYS[0])).kill()
    fleet.faults.silent = False
    await fleet.settled()
    repeats = {}
    for key in KEYS:
        reply = await fleet.working()[-1].answer(key)
        repeats[key] = reply if isinstance(reply, str) else reply.answer.body
    await asyncio.sleep(10)
    return answers, repeats, fleet.bills()


def test_repeat_after_owner_death_gets_the_released_answer():
    async def run():
        return await repeat_after_owner_death(await fleet_in_outage())

    answers, repeats, bills = run_virtual(run())
    assert repeats == answers
    assert bills == dict.fromkeys(KEYS, 1)


def test_non_idempotent_request_is_refused_without_running():
    async def run():
        fleet = await fleet_in_outage()
        started = fleet.now()
        replies = await ask_each(fleet, False)
        elapsed_s = fleet.now() - started
        assert all(
            reply.outcome is ClaimOutcome.UNAVAILABLE for reply in replies
        )
        assert all(reply.not_run for reply in replies)
        assert all(reply.retry_after_s > 0 for reply in replies)
        assert not fleet.runs
        # Twenty sequential requests: none may wait for the store.
        assert elapsed_s < 1.0
        fleet.faults.silent = False
        await asyncio.sleep(10)
        # No operation of a refused request may become durable; its key is
        # free.
        assert all(
            isinstance(answer, str) for answer in await ask_each(fleet, False)
        )
        assert fleet.runs == dict.fromkeys(KEYS, 1)
        assert fleet.bills() == dict.fromkeys(KEYS, 1)

    run_virtual(run())


def test_asks_queued_when_the_store_fails_are_released():
    async def run():
        fleet = FleetOfNodes(count=4)
        await fleet.settled()
        fleet.faults.lost = 1.0  # Logged, but the reply is lost.
        node = fleet.working()[0]
        asks = [
            Ask("desk", key, f"entry-0/i0/{key}", False, "d") for key in KEYS
        ]
        claims = [fleet.spawn(node.claims.claim(ask, 8.0)) for ask in asks]
        await asyncio.sleep(0.004)
        fleet.faults.silent = True
        replies = await asyncio.gather(*claims)
        assert {reply.outcome for reply in replies} == {
            ClaimOutcome.UNAVAILABLE
        }
        fleet.faults.lost = 0.0
        fleet.faults.silent = False
        await asyncio.sleep(15)
        answers = [
            await node.claims.claim(
                attrs.evolve(ask, holder=f"{ask.holder}-2"), 8.0
            )
            for ask in asks
        ]
        # Later asks are granted, also those whose first claim had been
        # logged and was released: these get attempt 2.
        assert {reply.outcome for reply in answers} == {ClaimOutcome.GRANTED}
        assert any(reply.attempt == 2 for reply in answers)

    run_virtual(run())


def test_full_queue_refuses_at_once_and_recovers(monkeypatch):
    monkeypatch.setattr(owner, "MAX_PENDING_BYTES", 5 * pending.OP_BYTES)

    async def run():
        fleet = await fleet_in_outage(shards=1)
        started = fleet.now()
        replies = await ask_each(fleet, True)
        refused = [reply for reply in replies if not isinstance(reply, str)]
        assert 15 <= len(refused) < len(KEYS)
        assert all(reply.retry_after_s for reply in refused)
        assert fleet.now() - started < 3.0
        fleet.faults.silent = False
        await asyncio.sleep(20)
        for key in KEYS:
            await fleet.working()[0].answer(key)
        assert fleet.bills() == dict.fromkeys(KEYS, 1)
        assert all(len(set(fleet.released[key])) <= 1 for key in KEYS)

    run_virtual(run())


def test_answer_is_withheld_when_peers_have_no_room_for_its_bill(monkeypatch):
    monkeypatch.setattr(kept_bills, "MAX_KEPT_BYTES", 1500)

    async def run():
        fleet = await fleet_in_outage()
        answers = await ask_each(fleet, True)
        released = [one for one in answers if isinstance(one, str)]
        kept = [
            record
            for node in fleet.nodes.values()
            for record in node.claims.kept_bills.kept
        ]
        assert 0 < len(released) == len(kept) < len(KEYS)
        assert all(
            node.claims.kept_bills.size_bytes <= 1500
            for node in fleet.nodes.values()
        )

    run_virtual(run())


def test_peers_confirm_a_silent_store_within_one_more_read():
    async def run(offset):
        fleet = FleetOfNodes(count=6)
        await fleet.settled()
        await asyncio.sleep(offset)
        fleet.faults.silent = True
        started = fleet.now()
        while not all(n.claims.outage.confirmed for n in fleet.working()):
            await asyncio.sleep(0.02)
        return fleet.now() - started

    # A node detects the outage after a pause and a read that times out (2.5 s).
    # This holds for the last node too; none waits for a second timeout.
    waits = [run_virtual(run(0.07 * number)) for number in range(8)]
    assert max(waits) <= 3.8


def test_partitioned_entry_releases_no_answers():
    async def run():
        fleet = FleetOfNodes(count=4)
        await fleet.settled()
        node = fleet.owner_of(KEYS[0])
        node.cut_store()
        replies = []
        for _ in range(10):
            for key in KEYS:
                replies.append(fleet.spawn(node.answer(key)))
            await asyncio.sleep(1)
        await asyncio.gather(*replies)
        others = [other for other in fleet.working() if other is not node]
        for key in KEYS:
            await others[0].answer(key)
        assert all(len(set(fleet.released[key])) == 1 for key in KEYS)
        assert fleet.bills() == dict.fromkeys(KEYS, 1)
        assert not node.claims.outage.confirmed

    run_virtual(run())


def test_dead_owner_in_an_outage_fails_claims_fast():
    async def run():
        fleet = await fleet_in_outage()
        fleet.owner_of(KEYS[0]).kill()
        await asyncio.sleep(1)
        node = fleet.working()[0]
        ask = Ask("desk", KEYS[0], "h/i/1", False, "digest")
        started = fleet.now()
        reply = await node.claims.claim(ask, 8.0)
        assert reply.outcome is ClaimOutcome.UNAVAILABLE
        assert reply.retry_after_s > 0
        return fleet.now() - started

    # Two calls to the dead owner, not the timeout of 8 s.
    assert run_virtual(run()) <= 2.2


def test_flush_by_owner_and_peer_bills_once():
    async def run():
        fleet = await fleet_in_outage()
        await ask_each(fleet, True)
        for node in fleet.nodes.values():
            # No release is sent, so each bill is flushed twice.
            node.claims.outage.bill_locations.clear()
        fleet.faults.silent = False
        await asyncio.sleep(15)
        flushed = sum(
            node.metrics.counts["claims.kept_flushed"]
            for node in fleet.nodes.values()
        )
        assert flushed == len(KEYS)
        assert fleet.bills() == dict.fromkeys(KEYS, 1)
        assert all(
            not node.claims.kept_bills.kept for node in fleet.nodes.values()
        )

    run_virtual(run())


def test_bills_are_kept_only_in_another_failure_domain():
    async def run():
        fleet = await fleet_in_outage(domains=("a", "b"))
        await ask_each(fleet, True)
        for node in fleet.nodes.values():
            for member, _ in node.claims.outage.bill_locations.values():
                assert member.domain != node.member.domain
        return sum(
            len(node.claims.outage.bill_locations)
            for node in fleet.nodes.values()
        )

    assert run_virtual(run()) == len(KEYS)


def test_single_failure_domain_releases_no_answers_in_an_outage():
    async def run():
        fleet = await fleet_in_outage(domains=("a",))
        replies = await ask_each(fleet, True)
        assert not fleet.released
        return [attrs.astuple(reply)[0] for reply in replies]

    assert set(run_virtual(run())) == {ClaimOutcome.UNAVAILABLE}
