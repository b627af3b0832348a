"""Division of the slots of brittle workers among entries."""

import pytest

from rattanpier._internal.platform.upstream import decode_brittleness
from tests.lib.brittle_fleet import BrittleFleet

# Entries, workers and slots of deployments from 6 to 420 entries.
SIZES = [(6, 4, 6), (8, 3, 6), (77, 4, 6), (195, 6, 6), (420, 40, 6)]
WORK_S = 0.09
RUN_S = 3.0


def make_site(entries, workers, slots, sharing=True, refusals=1, lost=0):
    site = BrittleFleet(sharing, WORK_S)
    site.add_workers(workers, slots, refusals)
    site.add_entries(entries, lost)
    return site


def capacity_per_s(workers, slots):
    return workers * slots / WORK_S


def max_falls(workers):
    return 2 + workers // 10


@pytest.mark.parametrize(("entries", "workers", "slots"), SIZES)
@pytest.mark.parametrize("load", [0.9, 2.0])
@pytest.mark.parametrize("refusals", [0, 3])
def test_workers_do_not_fall_at_any_load(
    entries, workers, slots, load, refusals
):
    site = make_site(entries, workers, slots, refusals=refusals)
    site.run(load * capacity_per_s(workers, slots), RUN_S)
    assert site.falls() <= max_falls(workers)


@pytest.mark.parametrize(("entries", "workers", "slots"), SIZES)
def test_without_shares_workers_fall(entries, workers, slots):
    site = make_site(entries, workers, slots, sharing=False)
    site.run(0.9 * capacity_per_s(workers, slots), RUN_S)
    assert site.falls() > max_falls(workers)


@pytest.mark.parametrize(("entries", "workers", "slots"), SIZES)
def test_usual_load_is_served(entries, workers, slots):
    site = make_site(entries, workers, slots)
    site.run(0.2 * capacity_per_s(workers, slots), RUN_S)
    assert site.served_share() > 0.99


@pytest.mark.parametrize(("entries", "workers", "slots"), SIZES)
def test_workers_do_not_fall_while_entries_disagree(entries, workers, slots):
    lost = entries // 3
    site = make_site(entries, workers, slots, refusals=2, lost=lost)
    site.run(2.0 * capacity_per_s(workers, slots), 2.0)
    assert site.falls() <= max_falls(workers)


def test_parts_of_all_entries_are_the_slots_of_a_worker():
    site = make_site(8, 3, 6)
    for worker in (each.worker for each in site.workers):
        assert sum(entry.share(worker) for entry in site.entries) == 6


def test_refusal_pauses_the_worker_at_all_entries():
    site = make_site(6, 4, 6)
    worker = site.workers[0].worker
    site.entries[0].record_refusal(worker)
    site.run(1e-6, 0.1)
    assert not any(entry.has_room(worker) for entry in site.entries)


def test_aborted_request_occupies_its_slot_for_a_moment():
    site = make_site(6, 1, 6)
    (worker,) = (each.worker for each in site.workers)
    entry = site.entries[0]
    assert entry.has_room(worker)
    entry.record_aborted(worker)
    assert not entry.has_room(worker)
    site.clock.now += 0.5
    assert entry.has_room(worker)


@pytest.mark.parametrize(
    ("texts", "found"),
    [([], None), (["3"], 3.0), (["3", "2"], 2.0), (["-1"], 0.0), (["x"], 0.0)],
)
def test_malformed_words_are_read_safely(texts, found):
    assert decode_brittleness(texts) == found
