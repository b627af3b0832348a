"""Services and the run loop that all processes of the system share.

Each `add_*` function builds one service and registers it with the kernel.
"""

from __future__ import annotations

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable

import aiohttp
import structlog

from rattanpier._internal.configuration.broadcast import RevisionBroadcaster
from rattanpier._internal.configuration.currency import Currency
from rattanpier._internal.configuration.follow import Follower
from rattanpier._internal.kernel import Kernel
from rattanpier._internal.membership.draining import Drain, add_leaving_steps
from rattanpier._internal.membership.members import Members
from rattanpier._internal.membership.records import new_incarnation
from rattanpier._internal.membership.serving import serve_peers
from rattanpier._internal.models.member import Member, Role
from rattanpier._internal.models.settings import PlatformSettings, Settings
from rattanpier._internal.peers.links import Links
from rattanpier._internal.peers.server import PeerServer
from rattanpier._internal.peers.tls import (
    peer_client_context,
    peer_server_context,
)
from rattanpier._internal.routing.brakes import Brakes
from rattanpier._internal.store.http_objects import HttpObjects
from rattanpier._internal.store.objects import Objects, TableObjects
from rattanpier._internal.store.table import HttpTable, Table
from rattanpier._internal.utils.clock import SystemClock
from rattanpier._internal.utils.metrics import Metrics

log = structlog.get_logger(part="main")

Build = Callable[[Settings], Awaitable[Kernel]]


async def add_base(kernel: Kernel, settings: Settings) -> None:
    """Adds the services of every process and reads the configuration once."""
    clock = kernel.add("clock", SystemClock())
    kernel.add("settings", settings)
    kernel.add("metrics", Metrics(settings.metrics.host, settings.metrics.port))
    session = aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0),
    )
    kernel.add("http", session, stop=session.close)
    table = kernel.add(
        "table",
        HttpTable(
            session,
            settings.platform.table_url,
            settings.platform.timeout_s,
        ),
    )
    kernel.add("objects", make_objects(settings.platform, session, table))
    server = kernel.add("peer_server", PeerServer())
    kernel.services["peer_server"].stop = server.stop
    links = kernel.add(
        "links", Links(settings.node.name, peer_client_context(settings.peers))
    )
    kernel.services["links"].stop = links.close
    follower = kernel.add("follower", Follower(table, clock))
    await follower.poll()


def make_objects(
    platform: PlatformSettings, session: aiohttp.ClientSession, table: Table
) -> Objects:
    """Returns the object store; without one, objects are rows of the table."""
    if not platform.objects_url:
        return TableObjects(table)
    return HttpObjects(session, platform.objects_url, platform.timeout_s)


async def add_membership(
    kernel: Kernel, settings: Settings, role: Role, caller_url: str
) -> Members:
    """Starts the server for peers and joins the cluster."""
    server = kernel.find("peer_server")
    await server.start(
        settings.peers.host,
        settings.peers.port,
        peer_server_context(settings.peers),
    )
    me = Member(
        name=settings.node.name,
        incarnation=new_incarnation(),
        role=role,
        domain=settings.node.domain,
        region=settings.node.region,
        caller_url=caller_url,
        peer_host=settings.peers.advertise or settings.peers.host,
        peer_port=server.port,
    )
    members = Members(
        me,
        kernel.find("table"),
        kernel.find("clock"),
        kernel.find("links"),
        kernel.find("metrics"),
    )
    kernel.add("members", members)
    serve_peers(members, server)
    add_drain(kernel, settings, members)
    await members.step()
    add_brakes(kernel, members)
    await add_currency(kernel, members)
    return members


async def add_currency(kernel: Kernel, members: Members) -> Currency:
    """Adds the service that keeps the node's configuration current.

    It also answers the peers' calls about the configuration.
    """
    follower = kernel.find("follower")
    links = kernel.find("links")
    metrics = kernel.find("metrics")
    server = kernel.find("peer_server")
    currency = Currency(
        follower=follower,
        members=members,
        links=links,
        clock=kernel.find("clock"),
        metrics=metrics,
        rng=random.Random(members.me.name),
    )
    broadcaster = RevisionBroadcaster(follower, members, links, metrics)
    server.on_call("currency", currency.serve)
    server.on_call("config_push", broadcaster.serve)
    kernel.add("currency", currency)
    kernel.add("spreader", broadcaster)
    follower.me = members.me
    members.rejoined.subscribe(lambda me: setattr(follower, "me", me))
    await follower.poll()
    kernel.spawn(currency.run(kernel))
    return currency


def add_drain(kernel: Kernel, settings: Settings, members: Members) -> None:
    """Adds graceful shutdown and the steps that all processes have."""
    clock = kernel.find("clock")
    follower = kernel.find("follower")
    drain = kernel.add("drain", Drain(clock, settings.edge.drain_limit_s))

    def serve_after_leave_s() -> float:
        if members.me.role is not Role.ENTRY:
            return 0.0
        # Peers hand out this address until the last one has learned of the
        # leave; callers then cache it for the TTL.
        cached = follower.configuration.fleet.entries_ttl_s
        return cached + settings.edge.drain_s

    add_leaving_steps(
        drain, clock, members.leave, serve_after_leave_s, members.remove
    )


def add_brakes(kernel: Kernel, members: Members) -> Brakes:
    """Adds the brakes and subscribes them to the notices of peers."""
    brakes = Brakes(
        configuration=kernel.find("follower").current,
        own_name=members.me.name,
        peers=lambda: members.live.value,
        links=kernel.find("links"),
        clock=kernel.find("clock"),
        metrics=kernel.find("metrics"),
        rng=random.Random(members.me.name),
    )
    kernel.find("peer_server").on_notice("brake", brakes.receive)
    kernel.spawn(brakes.run(kernel))
    return kernel.add("brakes", brakes)


async def run_until_signal(build: Build, settings: Settings) -> None:
    """Runs a program until SIGTERM or SIGINT, then drains and stops it."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    kernel = await build(settings)
    log.info("Started.", name=settings.node.name)
    await stop.wait()
    log.info("Stopping.", name=settings.node.name)
    if "drain" in kernel.services:
        await kernel.find("drain").run()
    await kernel.stop()
    log.info("Stopped.", name=settings.node.name)
