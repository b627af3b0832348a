"""Tests of admission to pools, on configurations of any size."""

import attrs
import pytest

from rattanpier._internal.dispatch.pool_admission import PoolAdmission
from rattanpier._internal.models.plan import Plan
from rattanpier._internal.utils.metrics import Metrics
from tests.lib.builders import SMALL, build_request
from tests.lib.clock import ManualClock
from tests.lib.pools import pool_configuration


class CountingDict(dict):
    """A dict of workers that counts how often its values are iterated over."""

    iterations = 0

    def values(self):
        self.iterations += 1
        return super().values()


def with_workers(configuration, workers):
    pool = attrs.evolve(configuration.upstreams["pool"], workers=workers)
    return attrs.evolve(configuration, upstreams={"pool": pool})


def make_admission(current):
    return PoolAdmission(
        lambda: current[0], lambda: 1, ManualClock(), Metrics()
    )


async def admit(admission, request):
    plan = Plan("all", [SMALL])
    async with admission.admit(request, plan) as refusal:
        assert refusal is None


async def test_requests_do_not_iterate_over_all_workers():
    configuration = pool_configuration(600, 1)
    workers = CountingDict(configuration.upstreams["pool"].workers)
    admission = make_admission([with_workers(configuration, workers)])
    request = build_request(deadline=60.0)
    for _ in range(20):
        await admit(admission, request)
    assert workers.iterations == 1


@pytest.mark.parametrize("left", [0, 1, 5])
async def test_draining_worker_lowers_the_limit_at_once(left):
    current = [pool_configuration(20, 1)]
    admission = make_admission(current)
    before = admission.limit("pool")
    workers = {
        name: attrs.evolve(worker, draining=number >= left)
        for number, (name, worker) in enumerate(
            current[0].upstreams["pool"].workers.items()
        )
    }
    current[0] = with_workers(current[0], workers)
    assert admission.current_index().slots["pool"] == 16 * left
    assert admission.limit("pool") < before


async def test_moved_version_is_found_in_its_new_pool():
    current = [pool_configuration(4, 1)]
    admission = make_admission(current)
    assert admission.current_index().by_version[SMALL] == "pool"
    pool = current[0].upstreams["pool"]
    current[0] = attrs.evolve(current[0], upstreams={"other": pool})
    assert admission.current_index().by_version[SMALL] == "other"
    assert admission.limit("pool") <= admission.limit("other")
