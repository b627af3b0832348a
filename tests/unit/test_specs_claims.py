"""The claims specification holds, and each of its mechanisms is needed."""

import pytest

from tests.lib.model_check import check, fault_constants

MECHANISMS = dict.fromkeys(
    [
        "CHECK_EPOCH",
        "CHECK_POSITION",
        "READ_BACK",
        "SAME_POSITION",
        "COMMIT_FIRST",
        "CLAIM_FIRST",
        "SETTLE_FIRST",
        "BILL_BY_CLAIM",
        "RETAKE",
    ],
    True,
)
FAULTS = ["DELAYS", "ENTRY_DIES", "ENTRY_LAPSES", "OWNER_DIES", "TAKEOVER"]
TWO_ANSWERS = 'P<=0 [F "two_answers"]'
TWO_BILLS = 'P<=0 [F "two_bills"]'
TWO_RUNS = 'P<=0 [F "two_runs"]'
LOST_EPOCH = 'P<=0 [F "lost_epoch"]'
ANSWERED = 'Pmax=? [F "answered"]'
# No reachable state from which a caller can't get its final answer.
NEVER_STUCK = 'P<=0 [F P<=0 [F "done"]]'


@pytest.mark.parametrize(
    ("idempotent", "states"), [(True, 251_395), (False, 164_334)]
)
def test_the_protocol_holds_under_all_faults(idempotent, states):
    result = check(
        "claims",
        {
            "IDEMPOTENT": idempotent,
            **MECHANISMS,
            **fault_constants(FAULTS, FAULTS),
        },
        TWO_ANSWERS,
        TWO_BILLS,
        TWO_RUNS,
        LOST_EPOCH,
        ANSWERED,
        NEVER_STUCK,
    )
    print(f"claims, idempotent={idempotent}: {result.states} states explored")
    assert result.holds == [True] * 6
    # Explored whole: a change of the specification changes this figure.
    assert result.states == states


@pytest.mark.parametrize(
    ("switched_off", "faults", "idempotent", "broken"),
    [
        ("CHECK_EPOCH CHECK_POSITION", "TAKEOVER", False, TWO_RUNS),
        ("CHECK_EPOCH", "TAKEOVER OWNER_DIES ENTRY_DIES", True, NEVER_STUCK),
        ("READ_BACK", "TAKEOVER DELAYS", False, LOST_EPOCH),
        ("SAME_POSITION", "DELAYS ENTRY_LAPSES", True, TWO_BILLS),
        ("COMMIT_FIRST", "TAKEOVER", False, TWO_RUNS),
        ("COMMIT_FIRST", "TAKEOVER", False, LOST_EPOCH),
        ("CLAIM_FIRST", "TAKEOVER", False, TWO_RUNS),
        ("SETTLE_FIRST", "TAKEOVER ENTRY_LAPSES", True, TWO_ANSWERS),
        ("BILL_BY_CLAIM", "TAKEOVER ENTRY_LAPSES", True, TWO_BILLS),
        ("RETAKE", "TAKEOVER DELAYS OWNER_DIES", True, NEVER_STUCK),
    ],
)
def test_a_weakened_protocol_fails(switched_off, faults, idempotent, broken):
    weak = dict.fromkeys(switched_off.split(), False)
    faults = fault_constants(FAULTS, faults.split())
    whole = {"IDEMPOTENT": idempotent, **MECHANISMS, **faults}
    assert check("claims", {**whole, **weak}, broken).holds == [False]


@pytest.mark.parametrize("check_off", ["CHECK_EPOCH", "CHECK_POSITION"])
def test_either_half_of_the_fence_keeps_answers_single(check_off):
    faults = fault_constants(FAULTS, ["TAKEOVER", "ENTRY_LAPSES"])
    result = check(
        "claims",
        {"IDEMPOTENT": True, **MECHANISMS, **faults, check_off: False},
        TWO_ANSWERS,
        TWO_BILLS,
    )
    assert result.holds == [True, True]
