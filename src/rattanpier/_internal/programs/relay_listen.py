"""An entry of the relay and the addresses on which it is found."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Sequence

import attrs
from aiohttp.web_request import BaseRequest
from aiohttp.web_response import Response, json_response

from rattanpier._internal.kernel import Kernel
from rattanpier._internal.models.directory_query import DirectoryQuery
from rattanpier._internal.models.member import Member
from rattanpier._internal.models.relay_settings import Address, RelaySettings
from rattanpier._internal.platform import caller
from rattanpier._internal.platform.early_listener import BACKLOG
from rattanpier._internal.relay.drain import DrainState
from rattanpier._internal.relay.edge import RelayEdge
from rattanpier._internal.relay.fleet import Fleet
from rattanpier._internal.relay.gossip import Gossip
from rattanpier._internal.relay.state import RelayState
from rattanpier._internal.utils import http_listener
from rattanpier._internal.utils.http_listener import Handler, HttpListener
from rattanpier._internal.utils.metrics import Metrics

# How long callers may keep the list. The shorter, the sooner they leave an
# entry that is gone; asking costs an entry well under a millisecond.
LIST_TTL_S = 1.0
# Callers reuse connections for most of the operators' idle time, which may
# change while they are open: they are kept for much longer than usual ones.
KEEPALIVE_S = 90.0
MAX_LINE_BYTES = 65536
# Within this time of a start routes and workers are known, also where a long
# manifest comes over a slow link; after it requests are refused until they are.
START_WAIT_S = 1.5
READY_POLL_S = 0.005


@attrs.define(eq=False, repr=False)
class RelayEntry:
    """The parts of one entry that other parts need by name.

    Attributes:
      listening: Callers' connections are taken.
    """

    kernel: Kernel
    settings: RelaySettings
    state: RelayState
    fleet: Fleet
    drain: DrainState
    metrics: Metrics
    edge: RelayEdge
    gossip: Gossip
    listeners: list[HttpListener] = attrs.Factory(list)
    listening: bool = False

    def ready(self) -> bool:
        """Says whether callers may come."""
        return self.listening and self.state.ready() and not self.drain.leaving


async def listen(
    entry: RelayEntry, listener: socket.socket | None = None
) -> None:
    """Opens the addresses that callers and the platform know.

    Args:
      entry: The entry.
      listener: Listens for callers already; None: it is to be opened.
    """
    settings = entry.settings
    await open_address(entry, settings.callers, entry.edge.handle, listener)
    entry.kernel.spawn(begin(entry))
    await open_address(entry, settings.readiness, readiness_handler(entry))
    await open_address(entry, settings.directory, directory_handler(entry))
    if settings.metrics is not None:
        await open_address(entry, settings.metrics, metrics_handler(entry))
    entry.listening = True


async def begin(entry: RelayEntry) -> None:
    """Lets requests in once they can be served, or the store seems away."""
    until = time.monotonic() + START_WAIT_S
    while not entry.state.ready() and time.monotonic() < until:
        await asyncio.sleep(READY_POLL_S)
    entry.edge.startup_done.set()


async def open_address(
    entry: RelayEntry,
    address: Address,
    handler: Handler,
    listener: socket.socket | None = None,
) -> None:
    """Listens on one address, unless something does already."""
    opened = await http_listener.listen(
        handler,
        address,
        BACKLOG,
        listener,
        handler_cancellation=True,
        keepalive_timeout=KEEPALIVE_S,
        max_line_size=MAX_LINE_BYTES,
        max_field_size=MAX_LINE_BYTES,
        access_log=None,
    )
    entry.listeners.append(opened)


def readiness_handler(entry: RelayEntry) -> Handler:
    """Returns the handler of the platform's readiness check."""

    async def handle(request: BaseRequest) -> Response:
        return Response(status=200 if entry.ready() else 503)

    return handle


def directory_handler(entry: RelayEntry) -> Handler:
    """Returns the handler that tells callers which entries to use."""

    async def handle(request: BaseRequest) -> Response:
        question = caller.decode_directory_query(request.query)
        answer = directory_answer(entry, question)
        if answer is None:
            return Response(status=503)
        return json_response(answer)

    return handle


def directory_answer(
    entry: RelayEntry, question: DirectoryQuery
) -> dict[str, object] | None:
    """Returns the entries to use, None if this one knows of none."""
    members = entry.fleet.entries()
    table = entry.state.table
    regions = frozenset() if table is None else table.regions_of(question.host)
    if regions:
        members = in_reach(members, regions | {question.region})
    addresses = [member.caller_url for member in members]
    if not addresses:
        return None
    ttl_s = min(LIST_TTL_S, entry.settings.bounds.address_ttl_s)
    return caller.directory_body(addresses, ttl_s)


def in_reach(
    members: Sequence[Member], regions: frozenset[str]
) -> Sequence[Member]:
    """Returns the entries in some regions, or all where there is none.

    A request whose body may not leave its regions is sent to an entry there, or
    in the caller's own region.
    """
    near = [member for member in members if member.region in regions]
    return near or members


def metrics_handler(entry: RelayEntry) -> Handler:
    """Returns the handler of the metrics address."""

    async def handle(request: BaseRequest) -> Response:
        # Only here: an import that a start need not wait for.
        from rattanpier._internal.relay.exposition import render

        entry.metrics.gauge("relay.running", entry.drain.running)
        return Response(body=render(entry.metrics), content_type="text/plain")

    return handle
