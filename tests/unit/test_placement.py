"""Subsets of workers that an entry uses."""

import collections

import attrs
import pytest

from rattanpier._internal.models.configuration import UpstreamKind
from rattanpier._internal.routing.placement import SUBSET_SIZE, Placement
from tests.lib.builders import SMALL
from tests.lib.pools import DOMAINS, pool_configuration


class CountingSet(set):
    """A set of leaving workers that counts its membership tests."""

    asked = 0

    def __contains__(self, name):
        self.asked += 1
        return super().__contains__(name)


def names(targets):
    return {target.name for target in targets}


def in_domain(configuration, *domains):
    workers = configuration.upstreams["pool"].workers
    return {name for name, it in workers.items() if it.domain in domains}


def test_small_pool_is_used_completely():
    found = Placement("e1").of_version(pool_configuration(9, 8), SMALL, ())
    assert len(found) == 9


@pytest.mark.parametrize("workers", [120, 600])
def test_work_per_request_does_not_grow_with_the_pool(workers):
    placement = Placement("e1")
    configuration = pool_configuration(workers, 420)
    leaving = CountingSet()
    found = placement.of_version(configuration, SMALL, leaving)
    assert len(found) == SUBSET_SIZE
    assert leaving.asked == SUBSET_SIZE
    counts = collections.Counter(target.worker.domain for target in found)
    assert counts == dict.fromkeys(DOMAINS, SUBSET_SIZE // len(DOMAINS))


@pytest.mark.parametrize(
    ("entries", "workers"), [(2, 40), (8, 120), (60, 600), (420, 600)]
)
def test_every_worker_is_used_by_some_entry(entries, workers):
    configuration = pool_configuration(workers, entries)
    used = set()
    for number in range(entries):
        placement = Placement(f"entry-{number}")
        used |= names(placement.of_version(configuration, SMALL, ()))
    assert len(used) == workers


def test_leaving_worker_is_excluded_at_once():
    placement = Placement("e1")
    configuration = pool_configuration(600, 420)
    before = names(placement.of_version(configuration, SMALL, ()))
    gone = set(sorted(before)[:3])
    assert names(placement.of_version(configuration, SMALL, gone)) == (
        before - gone
    )
    assert names(placement.of_version(configuration, SMALL, ())) == before


def test_lost_subset_is_replaced_and_used_again_later():
    placement = Placement("e1")
    configuration = pool_configuration(600, 420)
    before = names(placement.of_version(configuration, SMALL, ()))
    leaving = CountingSet(before)
    spare = names(placement.of_version(configuration, SMALL, leaving))
    assert len(spare) == SUBSET_SIZE
    assert not spare & before
    # The replacement is stored; the pool is not searched for each request.
    leaving.asked = 0
    assert names(placement.of_version(configuration, SMALL, leaving)) == spare
    assert leaving.asked == 2 * SUBSET_SIZE
    # The replacement is replaced as well.
    leaving |= spare
    third = names(placement.of_version(configuration, SMALL, leaving))
    assert len(third) == SUBSET_SIZE
    assert not third & leaving
    assert names(placement.of_version(configuration, SMALL, ())) == before


def test_last_domain_replaces_three_lost_domains():
    configuration = pool_configuration(600, 420)
    lost = in_domain(configuration, "a", "b", "c")
    found = Placement("e1").of_version(configuration, SMALL, lost)
    assert len(found) == SUBSET_SIZE
    assert names(found) <= in_domain(configuration, "d")


def test_last_remaining_worker_of_a_large_pool_is_found():
    configuration = pool_configuration(600, 420)
    for left in ("w0", "w599"):
        leaving = in_domain(configuration, *DOMAINS) - {left}
        found = Placement("e1").of_version(configuration, SMALL, leaving)
        assert names(found) == {left}


def test_tried_worker_is_not_returned_again():
    placement = Placement("e1")
    configuration = pool_configuration(600, 420)
    tried = set()
    for _ in range(40):
        found = names(placement.of_version(configuration, SMALL, (), tried))
        assert found
        assert not found & tried
        tried.add(min(found))


def test_new_configuration_takes_effect_at_once():
    placement = Placement("e1")
    configuration = pool_configuration(600, 420)
    before = placement.of_version(configuration, SMALL, ())
    pool = configuration.upstreams["pool"]
    drained = before[0].name
    workers = dict(pool.workers)
    workers[drained] = attrs.evolve(workers[drained], draining=True)
    new = attrs.evolve(
        configuration,
        revision=2,
        upstreams={"pool": attrs.evolve(pool, workers=workers)},
    )
    found = names(placement.of_version(new, SMALL, ()))
    assert drained not in found
    assert len(found & names(before)) == SUBSET_SIZE - 1
    whole = attrs.evolve(
        new, upstreams={"pool": attrs.evolve(pool, draining=True)}
    )
    assert not placement.of_version(whole, SMALL, ())


def test_services_and_versions_do_not_share_workers():
    placement = Placement("e1")
    plain = pool_configuration(200, 420, kind=UpstreamKind.PLAIN)
    assert len(placement.of_service(plain, "pool", ())) == SUBSET_SIZE
    assert not placement.of_version(plain, SMALL, ())
    engines = pool_configuration(200, 420)
    assert not placement.of_service(engines, "pool", ())
    assert not placement.of_service(engines, "other", ())
