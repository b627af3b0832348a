"""Registrations as a store shows them that came back from an older copy."""

import pytest

from rattanpier._internal.relay.deregistrations import RESTORE_MARGIN_S
from rattanpier._internal.relay.directory import (
    DEFAULT_REGISTRATION_TTL_S,
    REREGISTRATION_TIMEOUT_S,
    WorkerDirectory,
)
from tests.lib.clock import ManualClock
from tests.lib.relay_parts import at, make_worker

NEW = 2  # The era that the store came back with.


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def directory(clock):
    return WorkerDirectory(clock)


def registered(version, era=1, sequence=1, **more):
    return make_worker(
        "w", revision=at(version, era), sequence=sequence, **more
    )


def whole(directory, *workers, era=NEW):
    return directory.replace(workers, after_outage=False, as_of=at(9, era))


def takes_work(directory):
    return [worker.id for worker in directory.accepting_workers("s")]


@pytest.mark.parametrize("version", [3, 9, 12])
def test_an_older_copy_does_not_make_a_leaving_worker_ready(directory, version):
    whole(directory, registered(9, sequence=4, draining=True), era=1)
    whole(directory, registered(version, NEW, sequence=3))
    assert takes_work(directory) == []
    assert directory.workers["w"].sequence == 4
    # Nor does what is told after the table.
    directory.put(registered(version + 1, NEW, sequence=3))
    assert takes_work(directory) == []
    assert directory.leaving_incarnations() == ["w"]


def test_what_a_worker_writes_anew_counts_under_any_version(directory):
    whole(directory, registered(9, sequence=4), era=1)
    whole(directory, registered(3, NEW, sequence=2))
    directory.put(registered(4, NEW, sequence=5, draining=True))
    assert takes_work(directory) == []


def test_a_worker_that_left_stays_gone_until_it_writes_anew(directory):
    whole(directory, registered(5, sequence=4), era=1)
    directory.remove("w", after_outage=False)
    whole(directory, registered(3, NEW, sequence=3))
    assert takes_work(directory) == []
    whole(directory, registered(3, NEW, sequence=3))
    assert takes_work(directory) == []
    directory.put(registered(8, NEW, sequence=5))
    assert takes_work(directory) == ["w"]


def test_a_removal_that_is_written_again_ends_the_dispute(directory, clock):
    whole(directory, registered(5, sequence=4), era=1)
    directory.remove("w", after_outage=False)
    whole(directory, registered(3, NEW, sequence=3))
    directory.remove("w", after_outage=False)
    clock.now += DEFAULT_REGISTRATION_TTL_S + RESTORE_MARGIN_S
    directory.drop_missing()
    assert takes_work(directory) == []


def test_a_registration_that_is_renewed_is_believed(directory, clock):
    """It would have run out; its worker was cut off and is not gone."""
    whole(directory, registered(5, sequence=4), era=1)
    directory.remove("w", after_outage=False)
    whole(directory, registered(3, NEW, sequence=3))
    clock.now += DEFAULT_REGISTRATION_TTL_S + RESTORE_MARGIN_S - 0.1
    directory.drop_missing()
    assert takes_work(directory) == []
    clock.now += 0.2
    directory.drop_missing()
    assert takes_work(directory) == ["w"]


def test_one_that_left_after_it_had_said_so_is_never_ready(directory, clock):
    whole(directory, registered(5, sequence=4, draining=True), era=1)
    directory.remove("w", after_outage=False)
    whole(directory, registered(3, NEW, sequence=3))
    clock.now += DEFAULT_REGISTRATION_TTL_S + RESTORE_MARGIN_S
    directory.drop_missing()
    assert takes_work(directory) == []


def test_a_living_worker_that_the_copy_lacks_is_waited_for(directory, clock):
    whole(directory, registered(9, sequence=1), era=1)
    whole(directory)
    assert takes_work(directory) == ["w"]
    clock.now += REREGISTRATION_TIMEOUT_S - 0.1
    whole(directory)
    directory.drop_missing()
    assert takes_work(directory) == ["w"]
    directory.put(registered(4, NEW, sequence=2))
    clock.now += REREGISTRATION_TIMEOUT_S
    directory.drop_missing()
    assert takes_work(directory) == ["w"]


def test_one_that_does_not_come_back_in_time_is_gone(directory, clock):
    whole(directory, registered(9, sequence=1), era=1)
    whole(directory)
    clock.now += REREGISTRATION_TIMEOUT_S
    assert directory.drop_missing() == ["w"]
    assert takes_work(directory) == []


def test_a_copy_does_not_bring_back_the_start_before(directory):
    whole(directory, registered(5, born=1), era=1)
    directory.put(registered(8, born=2))
    assert whole(directory, registered(5, NEW, born=1, sequence=7)) == []
    assert directory.workers["w"].born == 2
    assert directory.put(registered(9, NEW, born=3))


def test_a_peer_of_an_earlier_era_does_not_take_a_word_back(directory):
    whole(directory, registered(3, NEW, sequence=4, draining=True))
    directory.put(registered(9, sequence=3))
    assert takes_work(directory) == []
    # What it knows better counts: the store lost it.
    whole(directory, registered(4, NEW, sequence=5))
    directory.put(registered(9, sequence=6, draining=True))
    assert takes_work(directory) == []
    directory.put(registered(5, NEW, sequence=6, draining=True))
    assert directory.workers["w"].revision == at(5, NEW)


def test_entries_tell_each_other_of_those_that_an_older_copy_shows(clock):
    knows, lacks = WorkerDirectory(clock), WorkerDirectory(clock)
    for each in (knows, lacks):
        whole(each, registered(5, sequence=4), era=1)
    knows.remove("w", after_outage=False)
    for each in (knows, lacks):
        whole(each, registered(3, NEW, sequence=3))
    assert takes_work(lacks) == ["w"]
    assert knows.deregistrations.digest() != lacks.deregistrations.digest()
    assert lacks.apply_deregistrations(knows.deregistrations.disputed()) == [
        "w"
    ]
    assert takes_work(lacks) == []
    assert knows.deregistrations.digest() == lacks.deregistrations.digest()
    # Nothing is told once the worker has written anew.
    for each in (knows, lacks):
        each.put(registered(4, NEW, sequence=5))
        assert takes_work(each) == ["w"]
        assert each.deregistrations.disputed() == []
    assert lacks.apply_deregistrations([]) == []


def test_what_ended_in_the_newest_era_is_registered_again_at_once(directory):
    whole(directory, registered(5, sequence=4), era=1)
    directory.remove("w", after_outage=False)
    directory.put(registered(6, sequence=1))
    assert takes_work(directory) == ["w"]


def test_one_that_left_right_after_a_renewal_that_was_not_heard(directory):
    whole(directory, registered(5, sequence=4), era=1)
    directory.remove("w", after_outage=False, revision=at(8))
    # The copy was made after the renewal and before the removal.
    whole(directory, registered(7, NEW, sequence=5))
    assert takes_work(directory) == []
    # What a feed tells was written in the new era.
    directory.put(registered(7, NEW, sequence=5))
    assert takes_work(directory) == ["w"]


def test_each_era_has_its_own_time_to_write_again(directory, clock):
    whole(directory, registered(5, sequence=4), era=1)
    directory.remove("w", after_outage=False)
    whole(directory, registered(3, NEW, sequence=3))
    clock.now += DEFAULT_REGISTRATION_TTL_S + RESTORE_MARGIN_S - 0.1
    whole(directory, registered(3, NEW + 1, sequence=3), era=NEW + 1)
    clock.now += 0.2
    directory.drop_missing()
    assert takes_work(directory) == []


def test_a_living_worker_has_as_long_in_each_era(directory, clock):
    whole(directory, registered(9, sequence=1), era=1)
    whole(directory)
    clock.now += REREGISTRATION_TIMEOUT_S - 0.1
    whole(directory, era=NEW + 1)
    clock.now += 0.2
    directory.drop_missing()
    assert takes_work(directory) == ["w"]


def test_a_removal_counts_of_one_that_was_dropped_before(directory, clock):
    whole(directory, registered(9, sequence=1), era=1)
    whole(directory)
    clock.now += REREGISTRATION_TIMEOUT_S
    assert directory.drop_missing() == ["w"]
    # It was back meanwhile, which was not heard here, and left.
    directory.remove("w", after_outage=False, revision=at(16, NEW))
    whole(directory, registered(12, NEW + 1, sequence=2), era=NEW + 1)
    assert takes_work(directory) == []
