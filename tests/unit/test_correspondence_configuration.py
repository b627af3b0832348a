"""The real configuration code goes through the specification's steps."""

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import run_state_machine_as_test

from rattanpier._internal.configuration.currency import Currency
from tests.lib.configuration_machine import ConfigurationMachine

EXAMPLES = settings(
    max_examples=200,
    stateful_step_count=30,
    derandomize=True,
    database=None,
    deadline=None,
    print_blob=False,
    report_multiple_bugs=False,
    phases=[Phase.generate],  # Shrinking a failure would take minutes.
    suppress_health_check=list(HealthCheck),
)


def test_the_code_holds():
    run_state_machine_as_test(ConfigurationMachine, settings=EXAMPLES)


def cut_off_while_a_change_comes_into_force():
    """The checker's trace without validity: withdrawn_served."""
    machine = ConfigurationMachine()
    machine.start()
    machine.cut_off(0)
    machine.write()
    machine.tick(5.0)
    machine.tick(5.0)
    in_force = machine.fleet.in_force()
    machine.teardown()
    return in_force


def test_the_code_holds_on_the_trace_of_the_weakened_protocol():
    assert cut_off_while_a_change_comes_into_force() == 2


def test_without_validity_the_code_fails(monkeypatch):
    monkeypatch.setattr(
        Currency, "is_current", lambda self: self.follower.revision > 0
    )
    with pytest.raises(AssertionError):
        cut_off_while_a_change_comes_into_force()
