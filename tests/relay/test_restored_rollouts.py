"""Roll-out orders in a store that was restored from a backup.

Guards against orders that restart, are reversed or get lost because the
restored store shows them at other revisions, again, or not at all.
"""

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
    made.known_orders.record_full_read(at(1))
    return made


def order(version, revision):
    return RolloutOrder(revision.number, "s", version, DEADLINE_S)


def record(version, revision, phase, **more):
    return RolloutRecord(revision.number, "s", version, phase, 0.0, 0.0, **more)


def phase(rollouts):
    return rollouts.phase(rollouts.orders["s"])


def versions_of_requests(rollouts):
    """Returns the preferred versions of a hundred requests."""
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
def test_a_finished_order_written_again_after_a_restore_does_not_restart(
    rollouts, version, final
):
    rollouts.apply_order(order("v2", at(9)))
    rollouts.apply_record(record("v2", at(9), final))
    before = versions_of_requests(rollouts)
    rollouts.known_orders.record_full_read(at(3, 2))
    rollouts.apply_order(order("v2", at(version, 2)))
    assert phase(rollouts) is final
    assert versions_of_requests(rollouts) == before


def test_a_repeated_order_of_the_new_era_starts_a_new_roll_out(rollouts):
    rollouts.apply_order(order("v2", at(9)))
    rollouts.apply_record(record("v2", at(9), PHASE.ROLLED_BACK))
    rollouts.known_orders.record_full_read(at(9, 2))
    rollouts.apply_order(order("v2", at(9, 2)))
    assert phase(rollouts) is PHASE.ROLLED_BACK
    rollouts.apply_order(order("v2", at(12, 2)))
    assert phase(rollouts) is PHASE.TRYING
    rollouts.apply_record(record("v2", at(12, 2), PHASE.WIDENING))
    assert phase(rollouts) is PHASE.WIDENING


def test_a_superseded_order_of_a_restored_store_is_ignored(rollouts):
    rollouts.apply_order(order("v2", at(5)))
    rollouts.apply_record(record("v2", at(5), PHASE.COMPLETED))
    rollouts.apply_order(order("v3", at(9)))
    rollouts.apply_record(record("v3", at(9), PHASE.WIDENING))
    rollouts.known_orders.record_full_read(at(6, 2))
    rollouts.apply_order(order("v2", at(5, 2)))
    assert rollouts.orders["s"].version == "v3"
    assert rollouts.known_orders.unconfirmed() == [rollouts.orders["s"]]
    rollouts.apply_order(order("v3", at(8, 2)))
    assert phase(rollouts) is PHASE.WIDENING
    assert rollouts.known_orders.unconfirmed() == []


def test_a_new_order_of_the_new_era_starts(rollouts):
    rollouts.apply_order(order("v2", at(5)))
    rollouts.apply_record(record("v2", at(5), PHASE.COMPLETED))
    rollouts.known_orders.record_full_read(at(5, 2))
    rollouts.apply_order(order("v3", at(5, 2)))
    assert rollouts.orders["s"].version == "v3"
    assert phase(rollouts) is PHASE.TRYING


def test_a_new_entry_takes_the_id_of_an_order_from_its_record(clock):
    new_entry = make_rollouts(clock)
    new_entry.known_orders.record_full_read(at(8, 2))
    new_entry.apply_order(order("v2", at(8, 2)))
    new_entry.stop(at(8, 2).number, "seen here")
    new_entry.apply_record(record("v2", at(9), PHASE.FULL))
    assert phase(new_entry) is PHASE.FULL
    assert new_entry.orders["s"].id in new_entry.stopped
    # The same if the record is known before the order.
    other = make_rollouts(clock)
    other.apply_record(record("v2", at(9), PHASE.ROLLED_BACK))
    other.apply_order(order("v2", at(8, 2)))
    assert phase(other) is PHASE.ROLLED_BACK


def test_a_new_entry_learns_an_order_that_the_backup_lacks_from_a_peer(
    rollouts, clock
):
    rollouts.apply_order(order("v2", at(5)))
    rollouts.apply_order(order("v3", at(9)))
    new_entry = make_rollouts(clock)
    for each in (rollouts, new_entry):
        each.known_orders.record_full_read(at(6, 2))
        each.apply_order(order("v2", at(5, 2)))
    assert new_entry.orders["s"].version == "v2"
    digests = [each.known_orders.digest() for each in (rollouts, new_entry)]
    assert digests[0] != digests[1]
    new_entry.apply_unconfirmed(rollouts.known_orders.unconfirmed())
    assert new_entry.orders["s"].version == "v3"
    assert new_entry.known_orders.digest() == rollouts.known_orders.digest()
    new_entry.apply_order(order("v3", at(8, 2)))
    assert new_entry.known_orders.unconfirmed() == []


def test_the_first_record_of_a_new_entry_does_not_reset_an_order(rollouts):
    rollouts.apply_order(order("v2", at(9)))
    rollouts.apply_record(record("v2", at(9), PHASE.FULL))
    rollouts.known_orders.record_full_read(at(8, 2))
    new_entrys_record = record("v2", at(8, 2), PHASE.TRYING)
    rollouts.apply_record(new_entrys_record)
    assert phase(rollouts) is PHASE.FULL
    rollouts.apply_order(order("v2", at(8, 2)))
    assert phase(rollouts) is PHASE.FULL
    assert rollouts.records["s"].order == at(8, 2).number
    rollouts.apply_record(
        attrs.evolve(new_entrys_record, phase=PHASE.ROLLED_BACK)
    )
    assert phase(rollouts) is PHASE.ROLLED_BACK


def test_counts_are_kept_when_an_order_takes_the_id_of_its_record(rollouts):
    rollouts.apply_order(order("v2", at(8, 2)))
    (worker,) = make_workers(1, version="v2")
    observations = [rollouts.observe(worker, "r", 1.0) for _ in range(3)]
    rollouts.apply_record(record("v2", at(9), PHASE.TRYING))
    exposure = rollouts.answer_counts.exposure(rollouts.orders["s"].id)
    assert exposure.exposed == 3
    for observation in observations:
        rollouts.end(observation, abandoned=True)
    summary = rollouts.summary(rollouts.orders["s"].id, candidate=True)
    assert summary["abandoned"] == 3
