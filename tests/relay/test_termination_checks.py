"""Detection of terminated workers after an answer broke off."""

import asyncio

import attrs
import pytest

from rattanpier._internal.models.route_table import Workspace
from rattanpier._internal.relay.termination_checks import TerminationChecks
from rattanpier._internal.standin.platform_worker import PlatformWorkerServer
from tests.lib.clock import ManualClock
from tests.lib.relay_parts import make_request, make_route, make_worker

EXPIRY_S = 3.6  # Three heartbeats.


def make_checks(**more):
    return TerminationChecks(ManualClock(), EXPIRY_S, **more)


async def make_listener():
    server = PlatformWorkerServer("w1")
    await server.start()
    host, _, port = server.address.partition(":")
    return server, make_worker("w1", host=host, port=int(port))


async def test_worker_that_listens_has_not_terminated():
    server, worker = await make_listener()
    checks = make_checks()
    assert not await checks.has_terminated(worker)
    assert checks.terminated_at == {}
    await server.stop()
    # A negative result is not cached.
    assert await checks.has_terminated(worker)


async def test_answers_that_break_off_together_share_one_check():
    asked = []

    async def listens(host, port, timeout_s):
        asked.append(port)
        await asyncio.sleep(0)
        return True

    checks = make_checks(listens=listens)
    results = [checks.has_terminated(make_worker("w1")) for _ in range(12)]
    assert await asyncio.gather(*results) == [False] * 12
    assert asked == [1]


async def test_unreachable_worker_may_be_running():
    async def listens(host, port, timeout_s):
        return None

    checks = make_checks(listens=listens)
    assert not await checks.has_terminated(make_worker("w1"))


async def test_cancelled_caller_does_not_cancel_check_of_others():
    server, worker = await make_listener()
    await server.stop()
    checks = make_checks()
    leaving = asyncio.ensure_future(checks.has_terminated(worker))
    staying = asyncio.ensure_future(checks.has_terminated(worker))
    await asyncio.sleep(0)
    leaving.cancel()
    assert await staying


async def test_terminated_worker_is_excluded_until_its_next_incarnation():
    server, worker = await make_listener()
    await server.stop()
    checks = make_checks()
    other = make_worker("w2")
    assert await checks.has_terminated(worker)
    assert checks.running([worker, other]) == [other]
    restarted = attrs.evolve(worker, born=8)
    assert checks.running([restarted]) == [restarted]
    # A worker that restarts under its id and reports no start time is excluded
    # only until the old registration would have expired.
    checks.clock.now += EXPIRY_S
    assert checks.running([worker]) == [worker]
    checks.record_terminated("w2")
    assert list(checks.terminated_at) == ["w2"]


ACME, OTHER = Workspace("acme"), Workspace("other")


@pytest.mark.parametrize(
    ("more", "same"),
    [
        ({"id": "2"}, True),
        ({"session": "s2"}, True),
        ({"deadline": 5.0}, True),
        ({"body": b"other"}, False),
        ({"target": "/r/other"}, False),
        ({"method": "GET"}, False),
        ({"workspace": OTHER}, False),
        ({"route": make_route(host="other")}, False),
    ],
)
def test_content_key_is_same_for_each_attempt(more, same):
    fields = {"method": "POST", "workspace": ACME, "body": b"text"}
    first = make_request(**fields)
    restarted = make_request(**{**fields, **more})
    assert (restarted.content == first.content) is same


async def test_crash_is_found_once_another_worker_can_be_reached():
    reachable = False

    async def confirm(_worker, _listens):
        return reachable

    async def refuses(host, port, timeout_s):
        return False

    found = []
    checks = make_checks(
        listens=refuses, confirm_failure=confirm, on_terminated=found.append
    )
    worker = make_worker("w1")
    assert await checks.is_running(worker) is None
    assert found == []
    reachable = True
    checks.check_unconfirmed("other")
    assert not checks.checks
    checks.check_unconfirmed(worker.service)
    assert await checks.has_terminated(worker)
    assert found == [worker.incarnation]
    assert checks.unconfirmed == {}
