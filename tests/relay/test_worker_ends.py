"""Whether a broken answer was the end of its worker."""

import asyncio

import pytest

from rattanpier._internal.models.route_table import Workspace
from rattanpier._internal.relay.pool import ConnectionPool
from rattanpier._internal.relay.worker_ends import WorkerEnds
from rattanpier._internal.standin.platform_worker import PlatformWorkerServer
from tests.lib.relay_parts import make_request, make_route, make_worker


async def make_listener():
    server = PlatformWorkerServer("w1")
    await server.start()
    host, _, port = server.address.partition(":")
    return server, make_worker("w1", host=host, port=int(port))


async def test_a_worker_that_listens_has_not_ended():
    server, worker = await make_listener()
    ends = WorkerEnds(ConnectionPool())
    assert not await ends.has_ended(worker)
    assert ends.ended == set()
    await server.stop()
    # What held a moment ago is looked at again.
    assert await ends.has_ended(worker)


async def test_answers_that_break_together_share_one_check():
    server, worker = await make_listener()
    ends = WorkerEnds(ConnectionPool())
    asked = [ends.has_ended(worker) for _ in range(12)]
    assert await asyncio.gather(*asked) == [False] * 12
    assert ends.pool.opened == 1
    await server.stop()


async def test_a_worker_that_cannot_be_reached_may_live():
    class CutPool(ConnectionPool):
        async def open(self, worker, timeout_s):
            raise TimeoutError

    ends = WorkerEnds(CutPool())
    assert not await ends.has_ended(make_worker("w1"))


async def test_a_caller_that_leaves_does_not_end_the_check_of_others():
    server, worker = await make_listener()
    await server.stop()
    ends = WorkerEnds(ConnectionPool())
    leaving = asyncio.ensure_future(ends.has_ended(worker))
    staying = asyncio.ensure_future(ends.has_ended(worker))
    await asyncio.sleep(0)
    leaving.cancel()
    assert await staying


async def test_a_worker_that_is_registered_anew_is_looked_at_anew():
    server, worker = await make_listener()
    await server.stop()
    ends = WorkerEnds(ConnectionPool())
    assert await ends.has_ended(worker)
    ends.forget("w1")
    assert ends.ended == set()


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
