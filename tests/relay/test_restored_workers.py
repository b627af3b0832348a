"""Registrations in a store that was restored from a backup.

The backup may list workers that were removed, list draining ones as ready, and
lack those that registered later. The sequence of a registration shows which of
two is newer where the versions of the store can't.
"""

import pytest

from rattanpier._internal.relay.deregistrations import RESTORE_MARGIN_S
from rattanpier._internal.relay.directory import (
    DEFAULT_REGISTRATION_TTL_S,
    REREGISTRATION_TIMEOUT_S,
    WorkerDirectory,
)
from tests.lib.clock import ManualClock
from tests.lib.relay_parts import at, make_worker

NEW_ERA = 2  # The era after the restore.


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def directory(clock):
    return WorkerDirectory(clock)


def registration(version, era=1, sequence=1, **more):
    return make_worker(
        "w", revision=at(version, era), sequence=sequence, **more
    )


def full_read(directory, *workers, era=NEW_ERA):
    return directory.replace(workers, after_outage=False, as_of=at(9, era))


def accepting_ids(directory):
    return [worker.id for worker in directory.accepting_workers("s")]


@pytest.mark.parametrize("version", [3, 9, 12])
def test_restored_store_does_not_make_draining_worker_ready(directory, version):
    full_read(directory, registration(9, sequence=4, draining=True), era=1)
    full_read(directory, registration(version, NEW_ERA, sequence=3))
    assert accepting_ids(directory) == []
    assert directory.workers["w"].sequence == 4
    # Nor does a later change from the feed.
    directory.put(registration(version + 1, NEW_ERA, sequence=3))
    assert accepting_ids(directory) == []
    assert directory.leaving_incarnations() == ["w"]


def test_renewal_with_higher_sequence_counts_at_any_version(directory):
    full_read(directory, registration(9, sequence=4), era=1)
    full_read(directory, registration(3, NEW_ERA, sequence=2))
    directory.put(registration(4, NEW_ERA, sequence=5, draining=True))
    assert accepting_ids(directory) == []


def test_deregistered_worker_stays_removed_until_it_registers_again(
    directory,
):
    full_read(directory, registration(5, sequence=4), era=1)
    directory.remove("w", after_outage=False)
    full_read(directory, registration(3, NEW_ERA, sequence=3))
    assert accepting_ids(directory) == []
    full_read(directory, registration(3, NEW_ERA, sequence=3))
    assert accepting_ids(directory) == []
    directory.put(registration(8, NEW_ERA, sequence=5))
    assert accepting_ids(directory) == ["w"]


def test_repeated_removal_drops_pending_registration(directory, clock):
    full_read(directory, registration(5, sequence=4), era=1)
    directory.remove("w", after_outage=False)
    full_read(directory, registration(3, NEW_ERA, sequence=3))
    directory.remove("w", after_outage=False)
    clock.now += DEFAULT_REGISTRATION_TTL_S + RESTORE_MARGIN_S
    directory.drop_missing()
    assert accepting_ids(directory) == []


def test_pending_registration_is_accepted_after_its_ttl(directory, clock):
    """Otherwise it would have expired: its worker was partitioned."""
    full_read(directory, registration(5, sequence=4), era=1)
    directory.remove("w", after_outage=False)
    full_read(directory, registration(3, NEW_ERA, sequence=3))
    clock.now += DEFAULT_REGISTRATION_TTL_S + RESTORE_MARGIN_S - 0.1
    directory.drop_missing()
    assert accepting_ids(directory) == []
    clock.now += 0.2
    directory.drop_missing()
    assert accepting_ids(directory) == ["w"]


def test_worker_that_drained_before_its_removal_is_never_ready(
    directory, clock
):
    full_read(directory, registration(5, sequence=4, draining=True), era=1)
    directory.remove("w", after_outage=False)
    full_read(directory, registration(3, NEW_ERA, sequence=3))
    clock.now += DEFAULT_REGISTRATION_TTL_S + RESTORE_MARGIN_S
    directory.drop_missing()
    assert accepting_ids(directory) == []


def test_worker_missing_from_restored_store_is_kept_until_timeout(
    directory, clock
):
    full_read(directory, registration(9, sequence=1), era=1)
    full_read(directory)
    assert accepting_ids(directory) == ["w"]
    clock.now += REREGISTRATION_TIMEOUT_S - 0.1
    full_read(directory)
    directory.drop_missing()
    assert accepting_ids(directory) == ["w"]
    directory.put(registration(4, NEW_ERA, sequence=2))
    clock.now += REREGISTRATION_TIMEOUT_S
    directory.drop_missing()
    assert accepting_ids(directory) == ["w"]


def test_worker_that_does_not_register_again_in_time_is_removed(
    directory, clock
):
    full_read(directory, registration(9, sequence=1), era=1)
    full_read(directory)
    clock.now += REREGISTRATION_TIMEOUT_S
    assert directory.drop_missing() == ["w"]
    assert accepting_ids(directory) == []


def test_restored_store_does_not_revive_earlier_incarnation(directory):
    full_read(directory, registration(5, born=1), era=1)
    directory.put(registration(8, born=2))
    assert (
        full_read(directory, registration(5, NEW_ERA, born=1, sequence=7)) == []
    )
    assert directory.workers["w"].born == 2
    assert directory.put(registration(9, NEW_ERA, born=3))


def test_earlier_era_counts_only_with_higher_sequence(directory):
    full_read(directory, registration(3, NEW_ERA, sequence=4, draining=True))
    directory.put(registration(9, sequence=3))
    assert accepting_ids(directory) == []
    # A higher sequence counts: the store lost that registration.
    full_read(directory, registration(4, NEW_ERA, sequence=5))
    directory.put(registration(9, sequence=6, draining=True))
    assert accepting_ids(directory) == []
    directory.put(registration(5, NEW_ERA, sequence=6, draining=True))
    assert directory.workers["w"].revision == at(5, NEW_ERA)


def test_disputed_deregistrations_are_shared_with_peers(clock):
    informed, uninformed = WorkerDirectory(clock), WorkerDirectory(clock)
    for each in (informed, uninformed):
        full_read(each, registration(5, sequence=4), era=1)
    informed.remove("w", after_outage=False)
    for each in (informed, uninformed):
        full_read(each, registration(3, NEW_ERA, sequence=3))
    assert accepting_ids(uninformed) == ["w"]
    assert (
        informed.deregistrations.digest() != uninformed.deregistrations.digest()
    )
    assert uninformed.apply_deregistrations(
        informed.deregistrations.disputed()
    ) == ["w"]
    assert accepting_ids(uninformed) == []
    assert (
        informed.deregistrations.digest() == uninformed.deregistrations.digest()
    )
    # Nothing is shared once the worker has registered again.
    for each in (informed, uninformed):
        each.put(registration(4, NEW_ERA, sequence=5))
        assert accepting_ids(each) == ["w"]
        assert each.deregistrations.disputed() == []
    assert uninformed.apply_deregistrations([]) == []


def test_registration_in_era_of_removal_counts_at_once(directory):
    full_read(directory, registration(5, sequence=4), era=1)
    directory.remove("w", after_outage=False)
    directory.put(registration(6, sequence=1))
    assert accepting_ids(directory) == ["w"]


def test_removal_right_after_missed_renewal_is_not_undone(directory):
    full_read(directory, registration(5, sequence=4), era=1)
    directory.remove("w", after_outage=False, revision=at(8))
    # The backup was made after the renewal and before the removal.
    full_read(directory, registration(7, NEW_ERA, sequence=5))
    assert accepting_ids(directory) == []
    # Changes from a feed were written in the new era.
    directory.put(registration(7, NEW_ERA, sequence=5))
    assert accepting_ids(directory) == ["w"]


def test_pending_time_starts_anew_in_each_era(directory, clock):
    full_read(directory, registration(5, sequence=4), era=1)
    directory.remove("w", after_outage=False)
    full_read(directory, registration(3, NEW_ERA, sequence=3))
    clock.now += DEFAULT_REGISTRATION_TTL_S + RESTORE_MARGIN_S - 0.1
    full_read(
        directory, registration(3, NEW_ERA + 1, sequence=3), era=NEW_ERA + 1
    )
    clock.now += 0.2
    directory.drop_missing()
    assert accepting_ids(directory) == []


def test_reregistration_timeout_starts_anew_in_each_era(directory, clock):
    full_read(directory, registration(9, sequence=1), era=1)
    full_read(directory)
    clock.now += REREGISTRATION_TIMEOUT_S - 0.1
    full_read(directory, era=NEW_ERA + 1)
    clock.now += 0.2
    directory.drop_missing()
    assert accepting_ids(directory) == ["w"]


def test_removal_of_worker_that_was_already_removed_counts(directory, clock):
    full_read(directory, registration(9, sequence=1), era=1)
    full_read(directory)
    clock.now += REREGISTRATION_TIMEOUT_S
    assert directory.drop_missing() == ["w"]
    # It registered again, which this entry missed, and was removed.
    directory.remove("w", after_outage=False, revision=at(16, NEW_ERA))
    full_read(
        directory, registration(12, NEW_ERA + 1, sequence=2), era=NEW_ERA + 1
    )
    assert accepting_ids(directory) == []
