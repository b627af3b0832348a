"""The real claim code goes through the specification's steps and holds."""

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import run_state_machine_as_test

from rattanpier._internal.claims import owner
from rattanpier._internal.claims.owner import FlushResult, ShardOwner
from rattanpier._internal.platform.table import Transaction
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


def test_without_read_back_the_code_fails(monkeypatch):
    monkeypatch.setattr(ShardOwner, "read_back", believe)
    with pytest.raises(AssertionError):
        run_state_machine_as_test(ClaimMachine, settings=EXAMPLES)


def test_without_the_fence_the_code_fails(monkeypatch):
    monkeypatch.setattr(owner, "Transaction", blind)
    with pytest.raises(AssertionError):
        run_state_machine_as_test(ClaimMachine, settings=EXAMPLES)
