"""Whether a broken answer was the end of its worker."""

import asyncio

import attrs
import pytest

from rattanpier._internal.models.route_table import Workspace
from rattanpier._internal.relay import termination_checks as module
from rattanpier._internal.relay.termination_checks import TerminationChecks
from rattanpier._internal.standin.platform_worker import PlatformWorkerServer
from tests.lib.clock import ManualClock
from tests.lib.relay_parts import make_request, make_route, make_worker

EXPIRY_S = 3.6  # Three heartbeats.


def make_ends():
    return TerminationChecks(ManualClock(), EXPIRY_S)


async def make_listener():
    server = PlatformWorkerServer("w1")
    await server.start()
    host, _, port = server.address.partition(":")
    return server, make_worker("w1", host=host, port=int(port))


async def test_a_worker_that_listens_has_not_ended():
    server, worker = await make_listener()
    ends = make_ends()
    assert not await ends.has_terminated(worker)
    assert ends.terminated_at == {}
    await server.stop()
    # What held a moment ago is looked at again.
    assert await ends.has_terminated(worker)


async def test_answers_that_break_together_share_one_check(monkeypatch):
    asked = []

    async def listens(host, port, timeout_s):
        asked.append(port)
        await asyncio.sleep(0)
        return True

    monkeypatch.setattr(module, "listens", listens)
    ends = make_ends()
    checks = [ends.has_terminated(make_worker("w1")) for _ in range(12)]
    assert await asyncio.gather(*checks) == [False] * 12
    assert asked == [1]


async def test_a_worker_that_cannot_be_reached_may_live(monkeypatch):
    async def listens(host, port, timeout_s):
        return None

    monkeypatch.setattr(module, "listens", listens)
    assert not await make_ends().has_terminated(make_worker("w1"))


async def test_a_caller_that_leaves_does_not_end_the_check_of_others():
    server, worker = await make_listener()
    await server.stop()
    ends = make_ends()
    leaving = asyncio.ensure_future(ends.has_terminated(worker))
    staying = asyncio.ensure_future(ends.has_terminated(worker))
    await asyncio.sleep(0)
    leaving.cancel()
    assert await staying


async def test_a_worker_that_ended_is_passed_over_until_it_starts_anew():
    server, worker = await make_listener()
    await server.stop()
    ends = make_ends()
    other = make_worker("w2")
    assert await ends.has_terminated(worker)
    assert ends.running([worker, other]) == [other]
    again = attrs.evolve(worker, born=8)
    assert ends.running([again]) == [again]
    # One that starts under its id and tells no birth is not shut out for good.
    ends.clock.now += EXPIRY_S
    assert ends.running([worker]) == [worker]
    ends.record_terminated("w2")
    assert list(ends.terminated_at) == ["w2"]


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
def test_the_content_of_a_request_outlives_its_attempt(more, same):
    fields = {"method": "POST", "workspace": ACME, "body": b"text"}
    first = make_request(**fields)
    again = make_request(**{**fields, **more})
    assert (again.content == first.content) is same
