"""Tests of roll-outs under faults of drivers, the store and notices."""

import pytest

from rattanpier._internal.rollout.status import rollout_status
from rattanpier._internal.routing.plan import make_plan
from tests.lib.builders import SMALL, build_request
from tests.lib.rollouts import (
    CANDIDATE,
    ROLLOUT_NAME,
    RolloutSimulation,
    edit_rollout,
    resume_rollout,
)

CANDIDATE_FAILS = {CANDIDATE: 0.5}


async def start_simulation(**options):
    simulation = RolloutSimulation(**options)
    await simulation.start()
    return simulation


async def test_good_version_reaches_full_share():
    simulation = await start_simulation(share=0.0)
    await simulation.run_steps(200, simulation.is_done, requests=200)
    assert simulation.shares == sorted(simulation.shares)
    assert (await simulation.rollout()).share == 1.0


async def test_share_is_not_widened_without_evidence():
    simulation = await start_simulation(share=0.05)
    await simulation.run_steps(100, requests=0)
    assert set(simulation.shares) == {0.05}


async def test_bad_version_is_halted_and_gets_no_more_requests():
    simulation = await start_simulation()
    simulation.failure_rates = CANDIDATE_FAILS
    await simulation.run_steps(60, simulation.is_halted)
    halted = simulation.clock.now
    await simulation.run_steps(5)
    assert simulation.runs_of(CANDIDATE, halted) == 0
    assert simulation.runs_of(SMALL, halted) == 5 * 3 * 60
    assert simulation.refused == 0


async def test_pinned_session_moves_off_a_halted_candidate_and_is_told():
    simulation = await start_simulation()
    simulation.failure_rates = CANDIDATE_FAILS
    await simulation.run_steps(60, simulation.is_halted)
    entry = simulation.entries[0]
    plan = make_plan(
        entry.follower.configuration,
        build_request(session="s", pinned=CANDIDATE),
        entry.brakes,
    )
    assert (plan.steps, plan.pin_lost) == ([SMALL], CANDIDATE)


@pytest.mark.parametrize("after_effect", [False, True])
@pytest.mark.parametrize("call", range(1, 14))
async def test_candidate_is_halted_when_the_driver_is_killed_at_any_store_call(
    call, after_effect
):
    """Another driver takes over and reaches the same result."""
    simulation = await start_simulation()
    simulation.failure_rates = CANDIDATE_FAILS
    driver = (await find_driving_control(simulation)).table
    driver.kill_at = driver.calls + call
    driver.kill_after_effect = after_effect
    await simulation.run_steps(60, simulation.is_halted)
    assert max(simulation.shares) <= 0.2
    halted = simulation.clock.now
    await simulation.run_steps(3)
    assert simulation.runs_of(CANDIDATE, halted) == 0


async def test_thawed_driver_cannot_write_a_stale_widening():
    """The head row has not changed, so only the lease fences the driver."""
    simulation = await start_simulation(share=0.2)
    driver = await find_driving_control(simulation)
    thaw = await freeze_in_write(simulation, driver)
    await simulation.run_steps(3, requests=0)
    before = await simulation.head_revision()
    await thaw()
    assert await simulation.head_revision() == before


async def test_thawed_driver_does_not_revert_an_operators_resume():
    """It froze before a halt that another driver wrote in its place."""
    simulation = await start_simulation()
    simulation.failure_rates = CANDIDATE_FAILS
    driver = await find_driving_control(simulation)
    thaw = await freeze_in_write(simulation, driver)
    await simulation.run_steps(60, simulation.is_halted)
    simulation.failure_rates = {}
    await simulation.apply_change(edit=resume_rollout)
    await simulation.run_steps(5)
    await thaw()
    simulation.publish_members()
    await simulation.run_steps(30)
    assert not await simulation.is_halted()


@pytest.mark.parametrize("controls", [0, 1, 2])
async def test_bad_version_is_braked_within_a_second_while_the_store_is_down(
    controls,
):
    simulation = await start_simulation(controls=controls)
    await simulation.run_steps(5)
    simulation.set_store(down=True)
    await simulation.run_steps(3)
    simulation.failure_rates = CANDIDATE_FAILS
    first = None
    for _ in range(60):
        await simulation.step()
        if first is None and any(len(e.brakes) for e in simulation.entries):
            first = simulation.clock.now
    assert first is not None
    # No run after the step in which the first entry braked.
    assert simulation.runs_of(CANDIDATE, first + 1) == 0
    assert simulation.refused == 0
    assert all(CANDIDATE in entry.brakes for entry in simulation.entries)


async def test_halt_is_written_when_the_store_is_back():
    simulation = await start_simulation()
    await simulation.run_steps(5)
    simulation.set_store(down=True)
    simulation.failure_rates = CANDIDATE_FAILS
    await simulation.run_steps(30)
    simulation.set_store(down=False)
    await simulation.run_steps(10, simulation.is_halted)
    braked = [len(entry.brakes) for entry in simulation.entries]
    assert braked == [0, 0, 0]  # The written halt replaces the brakes.
    last = simulation.clock.now
    await simulation.run_steps(5)
    assert simulation.runs_of(CANDIDATE, last) == 0


@pytest.mark.parametrize(
    "fields",
    [
        {"share": 0.02},
        {"share": 0.9},
        {"state": "halted"},
        {"max_share": 0.2},
    ],
)
async def test_concurrent_change_of_an_operator_takes_precedence(fields):
    simulation = await start_simulation(share=0.2)
    driver = await find_driving_control(simulation)
    outcomes = []

    async def operator():
        outcomes.append(
            await simulation.apply_change(edit=edit_rollout(**fields))
        )

    driver.table.before_write = operator
    await simulation.run_steps(60, lambda: was_called(outcomes))
    rollout = await simulation.rollout()
    assert {name: getattr(rollout, name) for name in fields} == fields


async def test_operators_change_unseen_by_the_driver_takes_precedence():
    """The change comes right before the step in which the driver widens."""
    reference_simulation = await start_simulation(share=0.2)
    steps_before_widening = (
        await reference_simulation.run_steps(
            60, lambda: is_widened(reference_simulation)
        )
        - 1
    )
    simulation = await start_simulation(share=0.2)
    await simulation.run_steps(steps_before_widening)
    await simulation.apply_change(edit=edit_rollout(share=0.02))
    await simulation.step()
    assert (await simulation.rollout()).share == 0.02


async def test_driver_continues_from_an_operators_share():
    simulation = await start_simulation(share=0.2)
    await simulation.run_steps(2)
    await simulation.apply_change(edit=edit_rollout(share=0.02))
    await simulation.run_steps(1, requests=0)
    assert (await simulation.rollout()).share == 0.02
    await simulation.run_steps(200, simulation.is_done, requests=150)


async def test_operator_can_restart_a_halted_roll_out():
    simulation = await start_simulation()
    simulation.failure_rates = CANDIDATE_FAILS
    await simulation.run_steps(60, simulation.is_halted)
    simulation.failure_rates = {}
    await simulation.apply_change(edit=resume_rollout)
    await simulation.run_steps(200, simulation.is_done, requests=150)


@pytest.mark.parametrize("lost", [1, 2, 5])
async def test_lost_write_answers_do_not_widen_twice(lost):
    simulation = await start_simulation(share=0.05)
    driver = await find_driving_control(simulation)
    driver.table.lose_answers = lost
    await simulation.run_steps(200, simulation.is_done, requests=150)
    distinct_shares = sorted(set(simulation.shares))
    assert distinct_shares == [0.05, 0.125, 0.3125, 0.78125, 1.0]


@pytest.mark.parametrize("seed", range(5))
async def test_evidence_may_be_lost_repeated_and_reordered(seed):
    simulation = await start_simulation(seed=seed)
    simulation.network.loss_rate = 0.4
    simulation.network.repeat_rate = 0.4
    simulation.network.reorder = True
    await simulation.run_steps(40)
    assert not await simulation.is_halted()
    counted = (
        simulation.driving_control()
        .driver.ledgers[ROLLOUT_NAME]
        .totals(SMALL, CANDIDATE)
    )
    attempts = counted["desk"].stable.attempts
    assert attempts + counted["desk"].candidate.attempts <= len(simulation.runs)
    simulation.failure_rates = CANDIDATE_FAILS
    await simulation.run_steps(40, simulation.is_halted)


async def test_repeated_evidence_is_counted_once():
    simulation = await start_simulation()
    simulation.network.repeat_rate = 1.0
    await simulation.run_steps(20)
    await simulation.run_steps(3, requests=0)
    counted = (
        simulation.driving_control()
        .driver.ledgers[ROLLOUT_NAME]
        .totals(SMALL, CANDIDATE)
    )
    assert counted["desk"].stable.attempts == simulation.runs_of(SMALL)
    assert counted["desk"].candidate.attempts == simulation.runs_of(CANDIDATE)


async def test_roll_out_continues_after_a_restart_of_all_nodes():
    simulation = await start_simulation(share=0.2)
    await simulation.run_steps(4)
    half = (await simulation.rollout()).share
    assert half < 1.0
    for name in simulation.entry_names + simulation.control_names:
        simulation.kill(name)
    for name in simulation.entry_names + simulation.control_names:
        simulation.add(name)
    await simulation.poll()
    await simulation.run_steps(3, requests=0)
    assert (await simulation.rollout()).share == half
    await simulation.run_steps(100, simulation.is_done)
    assert simulation.shares == sorted(simulation.shares)


async def test_halted_roll_out_stays_halted_after_a_restart_of_all_nodes():
    simulation = await start_simulation()
    simulation.failure_rates = CANDIDATE_FAILS
    await simulation.run_steps(60, simulation.is_halted)
    for name in simulation.entry_names + simulation.control_names:
        simulation.kill(name)
    for name in simulation.entry_names + simulation.control_names:
        simulation.add(name)
    await simulation.poll()
    last = simulation.clock.now
    await simulation.run_steps(5)
    assert await simulation.is_halted()
    assert simulation.runs_of(CANDIDATE, last) == 0


async def test_regression_after_full_roll_out_is_halted():
    simulation = await start_simulation(share=0.2)
    await simulation.run_steps(100, simulation.is_done)
    await simulation.run_steps(5)
    simulation.failure_rates = CANDIDATE_FAILS
    await simulation.run_steps(60, simulation.is_halted)


async def test_regression_is_halted_after_a_change_of_driver():
    """The new driver reads the reference rates that the old one stored."""
    simulation = await start_simulation(share=0.2)
    await simulation.run_steps(100, simulation.is_done)
    await simulation.run_steps(5)
    simulation.kill((await find_driving_control(simulation)).name)
    await simulation.run_steps(3)
    simulation.failure_rates = CANDIDATE_FAILS
    await simulation.run_steps(60, simulation.is_halted)


async def test_regression_is_halted_after_a_restart_of_all_nodes():
    """The counters of entries are lost; the reference rates are stored."""
    simulation = await start_simulation(share=0.2)
    await simulation.run_steps(100, simulation.is_done)
    await simulation.run_steps(5)
    for name in simulation.entry_names + simulation.control_names:
        simulation.kill(name)
    for name in simulation.entry_names + simulation.control_names:
        simulation.add(name)
    await simulation.poll()
    simulation.failure_rates = CANDIDATE_FAILS
    await simulation.run_steps(60, simulation.is_halted)


async def test_regression_is_braked_while_the_store_is_down():
    simulation = await start_simulation(share=0.2)
    await simulation.run_steps(100, simulation.is_done)
    await simulation.run_steps(5)
    simulation.set_store(down=True)
    simulation.failure_rates = CANDIDATE_FAILS
    await simulation.run_steps(30)
    last = simulation.clock.now
    await simulation.run_steps(3)
    assert simulation.runs_of(CANDIDATE, last) == 0


async def test_each_state_has_one_next_step():
    simulation = await start_simulation()
    entry = simulation.entries[0]

    def status():
        return rollout_status(
            ROLLOUT_NAME, entry.follower.configuration, entry.brakes.active
        )

    assert status().state == "running"
    simulation.set_store(down=True)
    simulation.failure_rates = CANDIDATE_FAILS
    await simulation.run_steps(30)
    assert status().state == "halting"
    simulation.set_store(down=False)
    await simulation.run_steps(10, simulation.is_halted)
    assert status().state == "halted"
    assert "begin anew" in status().next_step


async def find_driving_control(simulation):
    """Runs a step and returns the control process that drives."""
    await simulation.step(requests=0)
    return simulation.driving_control()


async def was_called(events):
    return bool(events)


async def is_widened(simulation):
    return (await simulation.rollout()).share > 0.2


async def freeze_in_write(simulation, driver):
    """Freezes a driver right before its next change reaches the store.

    Returns a coroutine function that thaws it and lets the write continue.
    """
    held = []
    real = driver.table.table.transact

    async def hold(transaction):
        if any(put.key.startswith("config/") for put in transaction.puts):
            held.append(transaction)
            driver.table.table = simulation.table
            raise FrozenError
        return await real(transaction)

    class HoldingTable:
        get = staticmethod(simulation.table.get)
        scan = staticmethod(simulation.table.scan)
        transact = staticmethod(hold)

    driver.table.table = HoldingTable
    while not held:
        try:
            await simulation.step()
        except FrozenError:
            simulation.freeze(driver.name)

    async def thaw():
        simulation.thaw(driver.name)
        await simulation.table.transact(held[0])

    return thaw


class FrozenError(Exception):
    """The process is frozen at this call."""
