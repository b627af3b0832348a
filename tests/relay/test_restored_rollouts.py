"""Roll-out orders as a store shows them that came back from an older copy."""

import attrs
import pytest

from rattanpier._internal.models.rollout_order import (
    RolloutOrder,
    RolloutPhase,
    RolloutRecord,
)
from rattanpier._internal.relay.exposure import ExposureBound
from rattanpier._internal.relay.rollouts import Rollouts
from tests.lib.clock import ManualClock
from tests.lib.relay_parts import at, make_request, make_workers

DEADLINE_S = 24.0
PHASE = RolloutPhase


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def rollouts(clock):
    return make_rollouts(clock)


def make_rollouts(clock):
    made = Rollouts(ExposureBound(0.15), 5.0, clock)
    made.known_orders.note_whole(at(1))
    return made


def order(version, revision):
    return RolloutOrder(revision.number, "s", version, DEADLINE_S)


def record(version, revision, phase, **more):
    return RolloutRecord(revision.number, "s", version, phase, 0.0, 0.0, **more)


def phase(rollouts):
    return rollouts.phase(rollouts.orders["s"])


def versions_for_all(rollouts):
    """Versions that a hundred requests go to first."""
    workers = make_workers(2, version="v1") + make_workers(2, version="v2")
    return {
        worker.version
        for number in range(100)
        for worker in rollouts.split(
            make_request(str(number)), "s", workers
        ).preferred
    }


@pytest.mark.parametrize("final", [PHASE.COMPLETED, PHASE.ROLLED_BACK])
@pytest.mark.parametrize("version", [4, 9, 12])
def test_an_order_that_is_written_again_does_not_begin_again(
    rollouts, version, final
):
    rollouts.apply_order(order("v2", at(9)))
    rollouts.apply_record(record("v2", at(9), final))
    before = versions_for_all(rollouts)
    rollouts.known_orders.note_whole(at(3, 2))
    rollouts.apply_order(order("v2", at(version, 2)))
    assert phase(rollouts) is final
    assert versions_for_all(rollouts) == before


def test_the_same_order_once_more_in_the_new_era_is_another_one(rollouts):
    rollouts.apply_order(order("v2", at(9)))
    rollouts.apply_record(record("v2", at(9), PHASE.ROLLED_BACK))
    rollouts.known_orders.note_whole(at(9, 2))
    rollouts.apply_order(order("v2", at(9, 2)))
    assert phase(rollouts) is PHASE.ROLLED_BACK
    rollouts.apply_order(order("v2", at(12, 2)))
    assert phase(rollouts) is PHASE.TRYING
    rollouts.apply_record(record("v2", at(12, 2), PHASE.WIDENING))
    assert phase(rollouts) is PHASE.WIDENING


def test_an_order_before_the_newest_one_is_none(rollouts):
    rollouts.apply_order(order("v2", at(5)))
    rollouts.apply_record(record("v2", at(5), PHASE.COMPLETED))
    rollouts.apply_order(order("v3", at(9)))
    rollouts.apply_record(record("v3", at(9), PHASE.WIDENING))
    rollouts.known_orders.note_whole(at(6, 2))
    rollouts.apply_order(order("v2", at(5, 2)))
    assert rollouts.orders["s"].version == "v3"
    assert rollouts.known_orders.unconfirmed() == [rollouts.orders["s"]]
    rollouts.apply_order(order("v3", at(8, 2)))
    assert phase(rollouts) is PHASE.WIDENING
    assert rollouts.known_orders.unconfirmed() == []


def test_a_new_order_of_the_new_era_begins(rollouts):
    rollouts.apply_order(order("v2", at(5)))
    rollouts.apply_record(record("v2", at(5), PHASE.COMPLETED))
    rollouts.known_orders.note_whole(at(5, 2))
    rollouts.apply_order(order("v3", at(5, 2)))
    assert rollouts.orders["s"].version == "v3"
    assert phase(rollouts) is PHASE.TRYING


def test_a_newcomer_knows_the_order_by_its_record(clock):
    newcomer = make_rollouts(clock)
    newcomer.known_orders.note_whole(at(8, 2))
    newcomer.apply_order(order("v2", at(8, 2)))
    newcomer.stop(at(8, 2).number, "seen here")
    newcomer.apply_record(record("v2", at(9), PHASE.FULL))
    assert phase(newcomer) is PHASE.FULL
    assert newcomer.orders["s"].id in newcomer.stopped
    # The other way round: the record was known first.
    other = make_rollouts(clock)
    other.apply_record(record("v2", at(9), PHASE.ROLLED_BACK))
    other.apply_order(order("v2", at(8, 2)))
    assert phase(other) is PHASE.ROLLED_BACK


def test_a_newcomer_is_told_of_an_order_that_the_copy_lacks(rollouts, clock):
    rollouts.apply_order(order("v2", at(5)))
    rollouts.apply_order(order("v3", at(9)))
    newcomer = make_rollouts(clock)
    for each in (rollouts, newcomer):
        each.known_orders.note_whole(at(6, 2))
        each.apply_order(order("v2", at(5, 2)))
    assert newcomer.orders["s"].version == "v2"
    digests = [each.known_orders.digest() for each in (rollouts, newcomer)]
    assert digests[0] != digests[1]
    newcomer.apply_unconfirmed(rollouts.known_orders.unconfirmed())
    assert newcomer.orders["s"].version == "v3"
    assert newcomer.known_orders.digest() == rollouts.known_orders.digest()
    newcomer.apply_order(order("v3", at(8, 2)))
    assert newcomer.known_orders.unconfirmed() == []


def test_a_newcomers_first_record_takes_no_order_back(rollouts):
    rollouts.apply_order(order("v2", at(9)))
    rollouts.apply_record(record("v2", at(9), PHASE.FULL))
    rollouts.known_orders.note_whole(at(8, 2))
    newcomers = record("v2", at(8, 2), PHASE.TRYING)
    rollouts.apply_record(newcomers)
    assert phase(rollouts) is PHASE.FULL
    rollouts.apply_order(order("v2", at(8, 2)))
    assert phase(rollouts) is PHASE.FULL
    assert rollouts.records["s"].order == at(8, 2).number
    rollouts.apply_record(attrs.evolve(newcomers, phase=PHASE.ROLLED_BACK))
    assert phase(rollouts) is PHASE.ROLLED_BACK


def test_what_was_counted_goes_on_counting(rollouts):
    rollouts.apply_order(order("v2", at(8, 2)))
    (worker,) = make_workers(1, version="v2")
    for _ in range(3):
        rollouts.record_answer(worker, "r", bad=False, relative_s=None)
    rollouts.apply_record(record("v2", at(9), PHASE.TRYING))
    exposure = rollouts.answer_counts.exposure(rollouts.orders["s"].id)
    assert exposure.exposed == 3
