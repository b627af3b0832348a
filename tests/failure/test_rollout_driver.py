"""Roll-outs while drivers, the store, operators and notices fail."""

import pytest

from rattanpier._internal.rollout.status import rollout_status
from rattanpier._internal.routing.plan import make_plan
from tests.lib.builders import SMALL, build_request
from tests.lib.rollouts import (
    CANDIDATE,
    NAME,
    World,
    edit_rollout,
    resume,
)

BAD = {CANDIDATE: 0.5}


async def start(**options):
    world = World(**options)
    await world.start()
    return world


async def test_a_good_version_gets_to_full_share_by_evidence():
    world = await start(share=0.0)
    await world.steps(200, world.is_done, requests=200)
    assert world.shares == sorted(world.shares)
    assert (await world.rollout()).share == 1.0


async def test_no_evidence_no_widening():
    world = await start(share=0.05)
    await world.steps(100, requests=0)
    assert set(world.shares) == {0.05}


async def test_a_bad_version_is_halted_and_gets_nothing_more():
    world = await start()
    world.failing = BAD
    await world.steps(60, world.is_halted)
    halted = world.clock.now
    await world.steps(5)
    assert world.runs_of(CANDIDATE, halted) == 0
    assert world.runs_of(SMALL, halted) == 5 * 3 * 60
    assert world.refused == 0


async def test_pinned_sessions_leave_a_halted_candidate_and_are_told():
    world = await start()
    world.failing = BAD
    await world.steps(60, world.is_halted)
    entry = world.entries[0]
    plan = make_plan(
        entry.follower.configuration,
        build_request(session="s", pinned=CANDIDATE),
        entry.brakes,
    )
    assert (plan.steps, plan.pin_lost) == ([SMALL], CANDIDATE)


@pytest.mark.parametrize("after_effect", [False, True])
@pytest.mark.parametrize("call", range(1, 14))
async def test_driver_killed_at_each_call_of_the_store(call, after_effect):
    """Whatever the driver was at, another one ends the same way."""
    world = await start()
    world.failing = BAD
    driver = (await find_driver(world)).table
    driver.kill_at = driver.calls + call
    driver.kill_after_effect = after_effect
    await world.steps(60, world.is_halted)
    assert max(world.shares) <= 0.2
    halted = world.clock.now
    await world.steps(3)
    assert world.runs_of(CANDIDATE, halted) == 0


async def test_driver_frozen_before_a_widening_changes_nothing_when_thawed():
    """The head row is untouched meanwhile, so only the lease tells."""
    world = await start(share=0.2)
    driver = await find_driver(world)
    thawed = await freeze_in_write(world, driver)
    await world.steps(3, requests=0)
    before = await world.present()
    await thawed()
    assert await world.present() == before


async def test_thawed_driver_does_not_revert_an_operators_resume():
    """It froze before writing a halt that another wrote in its place."""
    world = await start()
    world.failing = BAD
    driver = await find_driver(world)
    thawed = await freeze_in_write(world, driver)
    await world.steps(60, world.is_halted)
    world.failing = {}
    await world.change(edit=resume)
    await world.steps(5)
    await thawed()
    world.announce()
    await world.steps(30)
    assert not await world.is_halted()


@pytest.mark.parametrize("controls", [0, 1, 2])
async def test_brakes_within_a_second_while_the_store_is_down(controls):
    world = await start(controls=controls)
    await world.steps(5)
    world.set_store(down=True)
    await world.steps(3)
    world.failing = BAD
    first = None
    for _ in range(60):
        await world.step()
        if first is None and any(len(e.brakes) for e in world.entries):
            first = world.clock.now
    assert first is not None
    # The step in which the first entry braked is over: no run since.
    assert world.runs_of(CANDIDATE, first + 1) == 0
    assert world.refused == 0
    assert all(CANDIDATE in entry.brakes for entry in world.entries)


async def test_halt_is_written_once_the_store_is_back():
    world = await start()
    await world.steps(5)
    world.set_store(down=True)
    world.failing = BAD
    await world.steps(30)
    world.set_store(down=False)
    await world.steps(10, world.is_halted)
    braked = [len(entry.brakes) for entry in world.entries]
    assert braked == [0, 0, 0]  # Decided by the revision; the halt stands.
    last = world.clock.now
    await world.steps(5)
    assert world.runs_of(CANDIDATE, last) == 0


@pytest.mark.parametrize(
    "fields",
    [
        {"share": 0.02},
        {"share": 0.9},
        {"state": "halted"},
        {"max_share": 0.2},
    ],
)
async def test_operator_who_changes_it_at_the_same_moment_wins(fields):
    world = await start(share=0.2)
    driver = await find_driver(world)
    raced = []

    async def operator():
        raced.append(await world.change(edit=edit_rollout(**fields)))

    driver.table.before_write = operator
    await world.steps(60, lambda: done(raced))
    present = await world.rollout()
    assert {name: getattr(present, name) for name in fields} == fields


async def test_operators_change_that_the_driver_has_not_seen_yet_wins():
    """It comes right before the step in which the driver widens."""
    twin = await start(share=0.2)
    before = await twin.steps(60, lambda: widened(twin)) - 1
    world = await start(share=0.2)
    await world.steps(before)
    await world.change(edit=edit_rollout(share=0.02))
    await world.step()
    assert (await world.rollout()).share == 0.02


async def test_driver_goes_on_from_an_operators_share():
    world = await start(share=0.2)
    await world.steps(2)
    await world.change(edit=edit_rollout(share=0.02))
    await world.steps(1, requests=0)
    assert (await world.rollout()).share == 0.02
    await world.steps(200, world.is_done, requests=150)


async def test_operator_may_begin_a_halted_roll_out_anew():
    world = await start()
    world.failing = BAD
    await world.steps(60, world.is_halted)
    world.failing = {}
    await world.change(edit=resume)
    await world.steps(200, world.is_done, requests=150)


@pytest.mark.parametrize("lost", [1, 2, 5])
async def test_lost_answers_of_writes_change_the_share_once(lost):
    world = await start(share=0.05)
    driver = await find_driver(world)
    driver.table.lose_answers = lost
    await world.steps(200, world.is_done, requests=150)
    steps = sorted(set(world.shares))
    assert steps == [0.05, 0.125, 0.3125, 0.78125, 1.0]


@pytest.mark.parametrize("seed", range(5))
async def test_lost_repeated_and_reordered_evidence(seed):
    world = await start(seed=seed)
    world.network.lose = 0.4
    world.network.repeat = 0.4
    world.network.shuffle = True
    await world.steps(40)
    assert not await world.is_halted()
    counted = world.driving().driver.ledgers[NAME].totals(SMALL, CANDIDATE)
    attempts = counted["desk"].stable.attempts
    assert attempts + counted["desk"].candidate.attempts <= len(world.runs)
    world.failing = BAD
    await world.steps(40, world.is_halted)


async def test_evidence_that_comes_twice_is_not_counted_twice():
    world = await start()
    world.network.repeat = 1.0
    await world.steps(20)
    await world.steps(3, requests=0)
    counted = world.driving().driver.ledgers[NAME].totals(SMALL, CANDIDATE)
    assert counted["desk"].stable.attempts == world.runs_of(SMALL)
    assert counted["desk"].candidate.attempts == world.runs_of(CANDIDATE)


async def test_half_done_roll_out_after_a_restart_of_all_nodes():
    world = await start(share=0.2)
    await world.steps(4)
    half = (await world.rollout()).share
    assert half < 1.0
    for name in world.names + world.control_names:
        world.kill(name)
    for name in world.names + world.control_names:
        world.add(name)
    await world.poll()
    await world.steps(3, requests=0)
    assert (await world.rollout()).share == half
    await world.steps(100, world.is_done)
    assert world.shares == sorted(world.shares)


async def test_halted_roll_out_stays_halted_after_a_restart_of_all_nodes():
    world = await start()
    world.failing = BAD
    await world.steps(60, world.is_halted)
    for name in world.names + world.control_names:
        world.kill(name)
    for name in world.names + world.control_names:
        world.add(name)
    await world.poll()
    last = world.clock.now
    await world.steps(5)
    assert await world.is_halted()
    assert world.runs_of(CANDIDATE, last) == 0


async def test_version_that_turns_bad_after_full_roll_out():
    world = await start(share=0.2)
    await world.steps(100, world.is_done)
    await world.steps(5)
    world.failing = BAD
    await world.steps(60, world.is_halted)


async def test_version_turns_bad_after_full_roll_out_and_driver_change():
    """The new driver reads the past that the old one stored."""
    world = await start(share=0.2)
    await world.steps(100, world.is_done)
    await world.steps(5)
    world.kill((await find_driver(world)).name)
    await world.steps(3)
    world.failing = BAD
    await world.steps(60, world.is_halted)


async def test_turns_bad_after_full_roll_out_and_restart_of_all_nodes():
    """What entries counted is gone; the past is in the store."""
    world = await start(share=0.2)
    await world.steps(100, world.is_done)
    await world.steps(5)
    for name in world.names + world.control_names:
        world.kill(name)
    for name in world.names + world.control_names:
        world.add(name)
    await world.poll()
    world.failing = BAD
    await world.steps(60, world.is_halted)


async def test_turns_bad_after_full_roll_out_while_the_store_is_down():
    world = await start(share=0.2)
    await world.steps(100, world.is_done)
    await world.steps(5)
    world.set_store(down=True)
    world.failing = BAD
    await world.steps(30)
    last = world.clock.now
    await world.steps(3)
    assert world.runs_of(CANDIDATE, last) == 0


async def test_each_state_has_one_next_step():
    world = await start()
    entry = world.entries[0]

    def status():
        return rollout_status(
            NAME, entry.follower.configuration, entry.brakes.active
        )

    assert status().state == "running"
    world.set_store(down=True)
    world.failing = BAD
    await world.steps(30)
    assert status().state == "halting"
    world.set_store(down=False)
    await world.steps(10, world.is_halted)
    assert status().state == "halted"
    assert "begin anew" in status().next_step


async def find_driver(world):
    """The control process that drives, once one does."""
    await world.step(requests=0)
    return world.driving()


async def done(events):
    return bool(events)


async def widened(world):
    return (await world.rollout()).share > 0.2


async def freeze_in_write(world, driver):
    """Freezes a driver right before its next change reaches the store.

    Returns a coroutine function that thaws it and lets the write go on.
    """
    held = []
    real = driver.table.table.transact

    async def hold(transaction):
        if any(put.key.startswith("config/") for put in transaction.puts):
            held.append(transaction)
            driver.table.table = world.table
            raise FrozenError
        return await real(transaction)

    class Holding:
        get = staticmethod(world.table.get)
        scan = staticmethod(world.table.scan)
        transact = staticmethod(hold)

    driver.table.table = Holding
    while not held:
        try:
            await world.step()
        except FrozenError:
            world.freeze(driver.name)

    async def thaw():
        world.thaw(driver.name)
        await world.table.transact(held[0])

    return thaw


class FrozenError(Exception):
    """The process stands still here."""
