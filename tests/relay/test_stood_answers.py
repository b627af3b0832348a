"""When an entry takes an answer that goes on for a proof of its parts."""

import types

import pytest

from rattanpier._internal.relay.stream_answers import record_if_stood
from rattanpier._internal.retries.quarantine import STOOD_S, Quarantine
from tests.lib.clock import ManualClock


@pytest.mark.parametrize("paused", [False, True])
def test_events_that_are_read_after_a_pause_prove_no_part(paused):
    clock = ManualClock()
    quarantine = Quarantine(clock)
    dispatcher = types.SimpleNamespace(
        clock=clock, quarantine=quarantine, paused_since=lambda _at: paused
    )
    in_flight = types.SimpleNamespace(
        stood=False, body_began_at=None, answer_began_at=clock.now
    )
    prompt = types.SimpleNamespace(shared_parts=("a",))
    request = types.SimpleNamespace(prompt=prompt)
    record_if_stood(dispatcher, request, in_flight)
    clock.now += STOOD_S
    record_if_stood(dispatcher, request, in_flight)
    assert ("a" in quarantine.proven_here) is not paused
