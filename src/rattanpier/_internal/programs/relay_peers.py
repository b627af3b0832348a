"""Builds the communication between the entries of the relay."""

from __future__ import annotations

import time
from collections.abc import Callable

from rattanpier._internal.kernel import Kernel
from rattanpier._internal.membership.records import new_incarnation
from rattanpier._internal.models.member import Member, Role
from rattanpier._internal.models.relay_settings import RelaySettings
from rattanpier._internal.peers.datagrams import DatagramNotifier
from rattanpier._internal.peers.links import Links
from rattanpier._internal.peers.server import PeerServer
from rattanpier._internal.relay.broadcast import Broadcaster
from rattanpier._internal.relay.dispatch import Dispatcher
from rattanpier._internal.relay.drain import DrainState
from rattanpier._internal.relay.fleet import EntryState, Fleet
from rattanpier._internal.relay.forwarded_requests import ForwardedRequests
from rattanpier._internal.relay.gossip import Gossip
from rattanpier._internal.relay.shared_state import SharedState
from rattanpier._internal.relay.snapshots import Snapshots
from rattanpier._internal.relay.state import RelayState
from rattanpier._internal.utils.clock import SystemClock


def make_fleet(settings: RelaySettings, clock: SystemClock) -> Fleet:
    """Returns the fleet at the start of an entry, with only itself known."""
    member = Member(
        name=settings.name,
        incarnation=new_incarnation(),
        role=Role.ENTRY,
        domain=settings.domain,
        region=settings.region,
        caller_url=str(settings.callers),
        peer_host=settings.peers.host,
        peer_port=settings.peers.port,
        hint_port=settings.hints.port,
    )
    return Fleet(EntryState(member, time.time()), clock)


def add_forwarding(
    kernel: Kernel,
    dispatcher: Dispatcher,
    ready: Callable[[], bool],
    drain: DrainState,
) -> None:
    """Adds the requests that peers forward to this entry, and the reverse.

    Args:
      kernel: Services of the process.
      dispatcher: Sends requests to workers.
      ready: Returns whether requests of peers are served.
      drain: State of a planned stop.
    """
    channels = dispatcher.forwarder.channels
    kernel.add("forward_channels", channels, stop=channels.close)
    served = ForwardedRequests(dispatcher, drain, ready)
    kernel.find("peer_server").forward_handler = served.serve


async def add_peers(
    kernel: Kernel,
    settings: RelaySettings,
    fleet: Fleet,
    state: RelayState,
    shared_state: SharedState,
    clock: SystemClock,
) -> Gossip:
    """Starts the servers for peers and returns the gossip service."""
    server = kernel.add("peer_server", PeerServer())
    kernel.services["peer_server"].stop = server.stop
    links = kernel.add("links", Links(settings.name))
    kernel.services["links"].stop = links.close
    broadcaster = Broadcaster(fleet, links)
    snapshots = Snapshots(
        fleet=fleet,
        links=links,
        clock=clock,
        needed=lambda: (
            not state.health.available
            or state.table is None
            or shared_state.has_older_table()
        ),
        build=state.snapshot,
        restore=state.apply_snapshot,
    )
    gossip = Gossip(
        fleet=fleet,
        shared_state=shared_state,
        links=links,
        broadcaster=broadcaster,
        clock=clock,
        seeds=settings.seeds,
        snapshots=snapshots,
        refresh_own_state=lambda: False,
    )
    server.on_call("beat", gossip.serve_beat)
    server.on_call("summary", gossip.serve_summary)
    server.on_call("spread", broadcaster.serve)
    server.on_notice("spread", broadcaster.handle_notice)
    server.on_call("report", gossip.serve_report)
    server.on_call("snapshot", snapshots.serve)
    broadcaster.handlers["rumors"] = gossip.receive_rumors
    broadcaster.handlers["store_news"] = gossip.receive_store_news
    await server.start(settings.peers.host, settings.peers.port)
    hints = kernel.add(
        "hints", DatagramNotifier(server.handle_notice, kernel.find("metrics"))
    )
    kernel.services["hints"].stop = hints.stop
    await hints.start(settings.hints.host, settings.hints.port)
    return gossip
