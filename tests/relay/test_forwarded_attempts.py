"""Upstream requests that peers sent count at the entry that forwarded."""

import asyncio

import attrs
import pytest

from rattanpier._internal.programs.relay import close
from rattanpier._internal.standin.platform_worker import (
    PlatformWorkerServer,
    WorkerFault,
)
from tests.lib.cut_site import cut_site, lose_path
from tests.lib.platform_site import until
from tests.lib.worker_cuts import Cut, cut_off

MAX_ATTEMPTS = 3  # Of the route.


@pytest.fixture
async def site():
    async with cut_site(plain=6, engines=0) as made:
        yield made


def arrivals(site, request_id):
    """Returns the ids of the workers that a request reached, in any order."""
    return [
        worker.id
        for worker in site.workers.values()
        for run in worker.runs
        if run.id == request_id
    ]


async def test_a_peer_that_dies_has_used_the_attempts_that_it_made(site):
    (cut,) = cut_off(site, "entry-0")
    await lose_path(site, cut, kind=Cut.REFUSED, services=1)
    for worker in site.workers.values():
        worker.fault, worker.work_s = WorkerFault.FAIL, 0.05
    request_id = "a" * 16
    asking = asyncio.ensure_future(
        site.ask(entry="entry-0", headers={"X-Attempt-Id": request_id})
    )
    await until(lambda: len(arrivals(site, request_id)) == 2)
    peers = list(site.entries.items())[1:]
    sender = next(
        name
        for name, peer in peers
        if peer.metrics.counts["relay.received_from_peer"]
        and peer.metrics.counts["relay.sent"]
    )
    await close(site.entries.pop(sender))
    assert (await asking).status == 500
    assert len(arrivals(site, request_id)) <= MAX_ATTEMPTS


async def test_a_peer_that_loses_its_path_tells_what_it_sent():
    bounds = {"retryBudgetRatio": 0.0, "budgetSlack": 0}
    async with cut_site(plain=0, engines=0, **bounds) as site:
        cuts = cut_off(site, *site.entries)
        for number in range(4):
            await add_refusing_worker(site, f"r{number}", cuts[1:])
        directories = [each.state.directory for each in site.entries.values()]
        await until(
            lambda: all(
                len(each.accepting_workers("plain")) == 4
                for each in directories
            )
        )
        await lose_path(site, cuts[0], kind=Cut.REFUSED, services=1)
        for worker in site.workers.values():
            worker.fault = WorkerFault.SHED
        await site.ask(entry="entry-0")
        # No request may be sent more than once.
        assert sum(worker.shed for worker in site.workers.values()) == 1
        assert site.entries["entry-0"].metrics.counts["relay.forwarded"] >= 2


@attrs.define
class RefusingWorker(PlatformWorkerServer):
    """A worker whose callers lose their paths before it refuses them."""

    cuts: list = attrs.Factory(list)

    async def take(self, run, writer):
        port = writer.get_extra_info("peername")[1]
        for cut in self.cuts:
            if self.fault is WorkerFault.SHED and port in ports_of(cut):
                cut.set(Cut.HALF)
                reachability = cut.entry.edge.dispatcher.reachability
                reachability.start_check("plain")
                await reachability.settle("plain")
        return await super().take(run, writer)


async def add_refusing_worker(site, name, cuts):
    worker = RefusingWorker(name, cuts=cuts)
    await worker.start()
    site.workers[name] = worker
    site.register(name)


def ports_of(cut):
    return [
        connection.transport.get_extra_info("sockname")[1]
        for connection in cut.open
        if not connection.closed
    ]


async def test_a_sender_of_an_older_version_is_told_no_attempts(site):
    (cut,) = cut_off(site, "entry-0")
    await lose_path(site, cut, kind=Cut.REFUSED, services=1)
    kinds = []
    for entry in site.entries.values():
        server = entry.kernel.find("peer_server")
        server.forward_handler = as_older_sender(server.forward_handler, kinds)
    assert (await site.ask(entry="entry-0")).status == 200
    assert kinds == ["accepted", "whole"]


def as_older_sender(handler, kinds):
    """Returns a handler of forwarded requests as an older version sends them.

    It adds the kinds of the parts of the answers to `kinds`.
    """

    async def handle(stream):
        recv_message, send_message = stream.recv_message, stream.send_message

        async def receive():
            message = await recv_message()
            message.ClearField("tell_attempts")
            return message

        async def send(message):
            kinds.append(message.WhichOneof("part"))
            await send_message(message)

        stream.recv_message, stream.send_message = receive, send
        await handler(stream)

    return handle
