"""A relay entry and the HTTP listeners on its addresses."""

from __future__ import annotations

import asyncio
import math
import socket
import time
from collections.abc import Callable, Sequence

import attrs
import structlog
from aiohttp.web_request import BaseRequest
from aiohttp.web_response import Response, json_response

from rattanpier._internal.kernel import Kernel
from rattanpier._internal.models.directory_query import DirectoryQuery
from rattanpier._internal.models.member import Member
from rattanpier._internal.models.relay_settings import Address, RelaySettings
from rattanpier._internal.platform import caller, rollouts
from rattanpier._internal.platform.early_listener import BACKLOG
from rattanpier._internal.relay.drain import DrainState
from rattanpier._internal.relay.edge import RelayEdge
from rattanpier._internal.relay.fleet import Fleet
from rattanpier._internal.relay.gossip import Gossip
from rattanpier._internal.relay.state import RelayState
from rattanpier._internal.utils import http_listener
from rattanpier._internal.utils.http_listener import Handler, HttpListener
from rattanpier._internal.utils.metrics import Metrics

log = structlog.get_logger(part="pauses")

# TTL of the list of entries that callers cache. A short TTL makes them leave a
# terminated entry soon; a query costs an entry well under a millisecond.
LIST_TTL_S = 1.0
# Callers reuse connections for most of the idle time that operators set. It may
# change while connections are open, so they are kept much longer than usual.
KEEPALIVE_S = 90.0
MAX_LINE_BYTES = 65536
# Routes and workers are known within this time after a start, even if a long
# manifest arrives over a slow link. Later, requests are refused until they are.
START_WAIT_S = 1.5
READY_POLL_S = 0.005
# A shorter pause leaves what is known as recent as a late update does.
MIN_STALE_S = 1.0
# Upper limit of the wait for a confirmation after a pause. An answer takes a
# few ms unless the store is away, too.
CONFIRM_WAIT_S = 0.3


@attrs.define(eq=False, repr=False)
class RelayEntry:
    """The components of one entry that other modules access.

    Attributes:
      listening: Whether connections of callers are accepted.
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
        """Returns whether callers may send requests."""
        return self.listening and self.state.ready() and not self.drain.leaving


async def listen(
    entry: RelayEntry, listener: socket.socket | None = None
) -> None:
    """Opens the listeners for callers and for the platform.

    Args:
      entry: The entry.
      listener: Socket that already listens for callers; None opens one.
    """
    settings = entry.settings
    await open_address(entry, settings.callers, entry.edge.handle, listener)
    entry.kernel.spawn(admit_when_ready(entry))
    await open_address(entry, settings.readiness, readiness_handler(entry))
    await open_address(entry, settings.directory, directory_handler(entry))
    if settings.metrics is not None:
        await open_address(entry, settings.metrics, metrics_handler(entry))
    entry.listening = True


async def admit_when_ready(entry: RelayEntry) -> None:
    """Admits requests once they can be served or `START_WAIT_S` has passed.

    After that time the store is presumably unavailable.
    """
    deadline = time.monotonic() + START_WAIT_S
    while not entry.state.ready() and time.monotonic() < deadline:
        await asyncio.sleep(READY_POLL_S)
    entry.edge.admitting.set()


def pause_handler(entry: RelayEntry) -> Callable[[float], None]:
    """Returns the function to call after this process did not run for a time.

    What the entry knows is as old as the pause. After a long one, requests wait
    until the store or a peer has confirmed it.
    """

    def handle(paused_s: float) -> None:
        entry.metrics.timing("relay.paused_s", paused_s)
        entry.state.rollouts.skip_pause(paused_s)
        entry.fleet.record_pause(paused_s)
        if paused_s < MIN_STALE_S or not entry.edge.admitting.is_set():
            return
        entry.edge.admitting.clear()
        entry.kernel.spawn(admit_when_confirmed(entry, time.monotonic()))

    return handle


async def admit_when_confirmed(entry: RelayEntry, resumed_at: float) -> None:
    """Admits requests once the state is confirmed, or `CONFIRM_WAIT_S` passed.

    Args:
      entry: The entry.
      resumed_at: End of the pause, in monotonic seconds.
    """
    followers = entry.gossip.followers.values()

    def is_confirmed() -> bool:
        return all(each.confirmed_at >= resumed_at for each in followers)

    deadline = resumed_at + CONFIRM_WAIT_S
    # At least once, so that closed connections of callers are noticed.
    await asyncio.sleep(READY_POLL_S)
    while not is_confirmed() and time.monotonic() < deadline:
        await asyncio.sleep(READY_POLL_S)
    log.info(
        "Requests are admitted after a pause.",
        confirmed=is_confirmed(),
        waited_s=round(time.monotonic() - resumed_at, 3),
    )
    entry.edge.admitting.set()


async def open_address(
    entry: RelayEntry,
    address: Address,
    handler: Handler,
    listener: socket.socket | None = None,
) -> None:
    """Listens on one address, with the given socket if there is one."""
    opened = await http_listener.listen(
        handler,
        address,
        BACKLOG,
        listener,
        handler_cancellation=True,
        auto_decompress=False,  # Bodies are forwarded as received.
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
    """Returns the handler of callers' queries for the entries to use."""

    async def handle(request: BaseRequest) -> Response:
        query = caller.decode_directory_query(request.query)
        answer = directory_answer(entry, query)
        if answer is None:
            return Response(status=503)
        return json_response(answer)

    return handle


def directory_answer(
    entry: RelayEntry, query: DirectoryQuery
) -> dict[str, object] | None:
    """Returns the body with the entries to use, None if none is known."""
    members = entry.fleet.entries()
    table = entry.state.table
    regions = frozenset() if table is None else table.regions_of(query.host)
    if regions:
        members = members_in_regions(members, regions | {query.region})
    addresses = [member.caller_url for member in members]
    if not addresses:
        return None
    ttl_s = min(LIST_TTL_S, entry.settings.bounds.address_ttl_s)
    return caller.directory_body(addresses, ttl_s)


def members_in_regions(
    members: Sequence[Member], regions: frozenset[str]
) -> Sequence[Member]:
    """Returns the entries in the given regions, or all if there are none.

    A request whose body may not leave its regions is sent to an entry there, or
    in the caller's own region.
    """
    in_regions = [member for member in members if member.region in regions]
    return in_regions or members


def record_table_age(entry: RelayEntry) -> None:
    """Exports the version of the routes and when the store confirmed it."""
    entry.metrics.gauge("relay.table_version", entry.state.table_version)
    follower = entry.gossip.followers[rollouts.ORDERS]
    age_s = follower.confirmed_age_s()
    if math.isfinite(age_s):
        entry.metrics.gauge("relay.table_age_s", age_s)


def record_reachability(entry: RelayEntry) -> None:
    """Exports how many services this entry can't reach, and since when."""
    reachability = entry.edge.dispatcher.reachability
    count = len(reachability.unreachable_services())
    entry.metrics.gauge("relay.unreachable_services", count)
    entry.metrics.gauge(
        "relay.unreachable_for_s", reachability.unreachable_for_s()
    )
    cut_off = sum(
        state.partitioned
        for state in entry.fleet.live()
        if state is not entry.fleet.me
    )
    entry.metrics.gauge("relay.peers_without_path", cut_off)


def record_paces(entry: RelayEntry) -> None:
    """Exports how far the paces of workers differ."""
    paces = entry.edge.dispatcher.chooser.paces
    fastest, slowest = paces.extremes()
    entry.metrics.gauge("relay.pace_fastest", fastest)
    entry.metrics.gauge("relay.pace_slowest", slowest)
    entry.metrics.gauge("relay.pace_slowed", len(paces.slowed))


def metrics_handler(entry: RelayEntry) -> Handler:
    """Returns the handler of the metrics address."""

    async def handle(request: BaseRequest) -> Response:
        # Imported here so that it does not delay the start.
        from rattanpier._internal.relay.exposition import render

        entry.metrics.gauge("relay.running", entry.drain.running)
        record_table_age(entry)
        record_reachability(entry)
        record_paces(entry)
        entry.edge.readers.record_gauges()
        return Response(body=render(entry.metrics), content_type="text/plain")

    return handle
