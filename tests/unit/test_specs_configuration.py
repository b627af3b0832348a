"""The configuration specification holds, and its mechanisms are needed."""

import pytest

from tests.lib.model_check import check, fault_constants

MECHANISMS = dict.fromkeys(
    [
        "COMPARE_AND_SET",
        "READ_BACK",
        "MONOTONE",
        "VALIDITY",
        "AGE_FROM_ASKING",
        "PEER_AGE",
        "MAJORITY",
        "VOTE_AFTER_READ",
        "SERVE_AFTER_READ",
        "WAIT_FOR_VOTES",
        "CLOCK_RUNS",
    ],
    True,
)
PARTS = [
    "ENTRIES",
    "RACE",
    "RESTART_PEERS",
    "RESTART_WATCHED",
    "SLOW_POLLS",
    "OUTAGES",
]
WITHDRAWN_SERVED = 'P<=0 [F "withdrawn_served"]'
WENT_BACK = 'P<=0 [F "went_back"]'
CHANGE_LOST = 'P<=0 [F "change_lost"]'
IN_FORCE = 'Pmax=? [F "done"]'
GOES_ON = 'Pmax=? [F "serves_in_outage"]'
SAFE = [WITHDRAWN_SERVED, WENT_BACK, CHANGE_LOST]


@pytest.mark.parametrize(
    ("parts", "properties", "states"),
    [
        ("ENTRIES SLOW_POLLS", [*SAFE, IN_FORCE], 118_868),
        ("ENTRIES RESTART_PEERS RESTART_WATCHED", [*SAFE, IN_FORCE], 354_016),
        ("ENTRIES OUTAGES", [*SAFE, IN_FORCE, GOES_ON], 87_906),
        ("RACE OUTAGES", [CHANGE_LOST], 332),
    ],
)
def test_the_protocol_holds(parts, properties, states):
    constants = {**MECHANISMS, **fault_constants(PARTS, parts.split())}
    result = check("configuration", constants, *properties)
    print(f"configuration, {parts}: {result.states} states explored")
    assert result.holds == [True] * len(properties)
    # Explored whole: a change of the specification changes this figure.
    assert result.states == states


@pytest.mark.parametrize(
    ("switched_off", "parts", "broken"),
    [
        ("COMPARE_AND_SET", "RACE", CHANGE_LOST),
        ("READ_BACK", "RACE", CHANGE_LOST),
        ("MONOTONE", "ENTRIES", WENT_BACK),
        ("VALIDITY", "ENTRIES", WITHDRAWN_SERVED),
        ("AGE_FROM_ASKING", "ENTRIES SLOW_POLLS", WITHDRAWN_SERVED),
        ("PEER_AGE", "ENTRIES", WITHDRAWN_SERVED),
        ("MAJORITY", "ENTRIES", WITHDRAWN_SERVED),
        ("VOTE_AFTER_READ", "ENTRIES RESTART_PEERS", WITHDRAWN_SERVED),
        ("SERVE_AFTER_READ", "ENTRIES RESTART_WATCHED", WENT_BACK),
        ("WAIT_FOR_VOTES", "ENTRIES", WITHDRAWN_SERVED),
        ("CLOCK_RUNS", "ENTRIES", WITHDRAWN_SERVED),
    ],
)
def test_a_weakened_protocol_fails(switched_off, parts, broken):
    parts = fault_constants(PARTS, parts.split())
    constants = {**MECHANISMS, **parts, switched_off: False}
    assert check("configuration", constants, broken).holds == [False]
