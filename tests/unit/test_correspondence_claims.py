"""The real claim code goes through the specification's steps and holds."""

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import run_state_machine_as_test

from rattanpier._internal.claims import shard_log
from rattanpier._internal.claims.owner import ShardOwner
from rattanpier._internal.claims.shard_log import FlushResult
from rattanpier._internal.store.table import Transaction
from tests.lib.claim_machine import ClaimMachine

EXAMPLES = settings(
    max_examples=300,
    stateful_step_count=50,
    derandomize=True,
    database=None,
    deadline=None,
    print_blob=False,
    report_multiple_bugs=False,
    phases=[Phase.generate],  # Shrinking a failure would take minutes.
    suppress_health_check=list(HealthCheck),
)


def test_the_code_holds():
    run_state_machine_as_test(ClaimMachine, settings=EXAMPLES)


async def believe(_self, _batch):
    return FlushResult.DURABLE


def blind(checks, puts):
    return Transaction([], puts)


@pytest.fixture
def machine():
    machine = ClaimMachine()
    machine.start(idempotent=False)
    yield machine
    machine.teardown()


def paused_owner_writes_late(machine):
    """The checker's trace without the fence: two_runs."""
    machine.ask(0, 0)
    machine.acquire("land")
    machine.write(0, "land")
    machine.ask(0 if not machine.idle("granted") else 1, 1)
    machine.write(0, "land")
    for _ in machine.runnable():
        machine.dispatch(0)
    machine.never_two_runs()
    assert any(entry.ran for entry in machine.entries.values())


def late_write_after_takeover(machine):
    """The checker's trace without the read-back: lost_epoch."""
    machine.ask(0, 0)
    machine.acquire("land")
    machine.write(0, "delay")
    machine.nothing_released_under_a_lost_epoch()
    assert machine.logged() is None


@pytest.mark.parametrize(
    "trace", [paused_owner_writes_late, late_write_after_takeover]
)
def test_the_code_holds_on_the_traces_of_weakened_protocols(machine, trace):
    trace(machine)


def test_without_read_back_the_code_fails(machine, monkeypatch):
    monkeypatch.setattr(ShardOwner, "read_back", believe)
    with pytest.raises(AssertionError, match="unlogged"):
        late_write_after_takeover(machine)


def test_without_the_fence_the_code_fails(machine, monkeypatch):
    monkeypatch.setattr(shard_log, "Transaction", blind)
    with pytest.raises(AssertionError, match="ran"):
        paused_owner_writes_late(machine)
