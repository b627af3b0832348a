"""Puts an entry of the relay together."""

from __future__ import annotations

import asyncio
import random
import signal
import socket
import time
from collections.abc import Callable

import aiohttp
import attrs
import structlog

from rattanpier._internal.kernel import Kernel
from rattanpier._internal.membership.records import new_incarnation
from rattanpier._internal.models.feed import Page
from rattanpier._internal.models.member import Member, MemberState, Role
from rattanpier._internal.models.relay_settings import RelaySettings
from rattanpier._internal.peers.hints import Hints
from rattanpier._internal.peers.links import Links
from rattanpier._internal.peers.server import PeerServer
from rattanpier._internal.platform import (
    caller,
    feeds,
    registrations,
    reports,
    rollouts,
)
from rattanpier._internal.platform.identity import identifier
from rattanpier._internal.platform.rows import (
    KEPT_CONNECTIONS,
    PlatformStore,
)
from rattanpier._internal.programs.relay_dispatch import make_dispatcher
from rattanpier._internal.programs.relay_listen import RelayEntry, listen
from rattanpier._internal.relay.checkpoints import (
    CheckpointedStore,
    CheckpointWriter,
)
from rattanpier._internal.relay.directory import WorkerDirectory
from rattanpier._internal.relay.drain import DrainState
from rattanpier._internal.relay.edge import CallerDialect, RelayEdge
from rattanpier._internal.relay.exposure import ExposureBound
from rattanpier._internal.relay.fleet import Fleet, MemberNews
from rattanpier._internal.relay.gossip import Gossip
from rattanpier._internal.relay.held_rows import HeldRows
from rattanpier._internal.relay.membership import EntryRows
from rattanpier._internal.relay.own_table import OwnTable
from rattanpier._internal.relay.prompt_news import PromptNews
from rattanpier._internal.relay.queue_watch import QueueWatch
from rattanpier._internal.relay.rollout_driver import RolloutDriver
from rattanpier._internal.relay.rollouts import Rollouts
from rattanpier._internal.relay.snapshots import Snapshots
from rattanpier._internal.relay.spread import Spread
from rattanpier._internal.relay.state import RelayState
from rattanpier._internal.relay.store import StoreClock, StoreHealth
from rattanpier._internal.relay.watch import TableFollower, watch_rank
from rattanpier._internal.retries.quarantine import Quarantine
from rattanpier._internal.retries.second_looks import SecondLooks
from rattanpier._internal.utils.clock import SystemClock
from rattanpier._internal.utils.metrics import Metrics

log = structlog.get_logger(part="main")

TICK_S = 0.1  # Of what has to be looked at again and again.
CLOSE_PAUSE_S = 0.05
# Closing is done with before SIGKILL: peers that are cut off answer no close.
CLOSE_LIMIT_S = 0.4


async def build_relay(
    settings: RelaySettings, listener: socket.socket | None = None
) -> RelayEntry:
    """Starts an entry.

    Args:
      settings: Of the entry.
      listener: Listens for callers already; None: it is to be opened.
    """
    kernel = Kernel()
    clock = kernel.add("clock", SystemClock())
    metrics = kernel.add("metrics", Metrics())
    bounds = settings.bounds
    session = aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=KEPT_CONNECTIONS)
    )
    kernel.add("http", session, stop=session.close)
    store = kernel.add(
        "store", PlatformStore(session, f"http://{settings.store.address}")
    )
    health = StoreHealth(clock, settings.heartbeat_s)
    store_clock = StoreClock(clock)
    exposure = ExposureBound(bounds.exposure_ratio, bounds.exposure_slack)
    policy = settings.policy
    routes = Rollouts(exposure, bounds.session_s, clock, policy)
    state = RelayState(
        WorkerDirectory(clock),
        routes,
        health,
        feeds.operator_news(metrics, lambda: state.table_version),
        feeds.worker_news(metrics),
    )
    fleet = make_fleet(settings, clock)
    dispatcher = make_dispatcher(settings, state, fleet, clock, metrics)
    drain = DrainState(clock, bounds.grace_s)
    edge = RelayEdge(
        dispatcher,
        CallerDialect(
            caller.decode_headers, caller.NOT_PASSED_ON, caller.refusal_headers
        ),
        lambda: state.table,
        drain,
        clock,
        metrics,
    )
    quarantine = dispatcher.quarantine
    gossip = await add_peers(kernel, settings, fleet, state, quarantine, clock)
    quarantine.tell = gossip.tell_quarantine

    def look_at(incarnation: str) -> None:
        for worker in state.directory.workers.values():
            if worker.incarnation == incarnation:
                dispatcher.ends.begin_check(worker)

    quarantine.heard = look_at
    entry = RelayEntry(
        kernel, settings, state, fleet, drain, metrics, edge, gossip
    )
    gossip.renew = renewal(entry)
    own_table = OwnTable(store, clock)
    driver = RolloutDriver(
        store,
        own_table,
        store_clock,
        routes,
        rollouts.status_row,
        lambda order: routes.all_running_old(
            order, [news.member.incarnation for news in fleet.live()]
        ),
        fleet.drives,
        health,
    )
    held = HeldRows(
        store,
        quarantine,
        fleet,
        store_clock,
        clock,
        lambda: health.available,
    )
    quarantine.changed = held.changed.put_nowait
    rows = EntryRows(
        store,
        own_table,
        fleet,
        clock,
        lambda: health.available,
        held.take,
    )
    writer = CheckpointWriter(
        rollouts.ORDERS,
        store,
        fleet,
        clock,
        settings.store,
        lambda: health.available,
    )

    def take_operator_page(page: Page, after_outage: bool) -> None:
        writer.note(page)
        state.take_operator_page(page, after_outage)

    follow = {
        rollouts.ORDERS: take_operator_page,
        registrations.TABLE: state.take_worker_page,
    }
    for table, take in follow.items():
        follower = TableFollower(
            store=CheckpointedStore(store, rollouts.ORDERS, own_table),
            clock=clock,
            health=health,
            store_clock=store_clock,
            table=table,
            take=take,
            rank=lambda: watch_rank(fleet),
            tell=gossip.tell_store_news,
        )
        gossip.followers[table] = follower
        kernel.spawn(follower.run())
    read_report = reports.report_reader(add_report_session(kernel))
    looks = SecondLooks(
        quarantine,
        state.directory,
        fleet,
        clock,
        identifier(kernel.find("reports"), state.health_path_of, read_report),
        dispatcher.ends.note_alive,
    )
    queues = QueueWatch(
        fleet=fleet,
        directory=state.directory,
        loads=dispatcher.loads,
        hint_all=gossip.spread.hint_all,
        clock=clock,
        engines=state.engines,
        read=read_report,
        restarted=lambda worker: state.forget([worker]),
        open=state.domains.open,
    )
    state.gone.subscribe(lambda worker: queues.born.pop(worker, None))
    gossip.spread.takers["queue_news"] = queues.take_told
    prompts = PromptNews(
        fleet=fleet,
        directory=state.directory,
        loads=dispatcher.loads,
        send=kernel.find("hints").send,
        clock=clock,
        rng=random.Random(settings.name),
    )
    kernel.find("peer_server").on_notice("prompt_sent", prompts.take_notice)
    if policy.prompt_news:
        dispatcher.tell_prompt = prompts.tell
    if policy.queue_reading:
        kernel.spawn(queues.run())
    kernel.spawn(gossip.run())
    kernel.spawn(rows.run())
    kernel.spawn(held.run())
    kernel.spawn(writer.run())
    kernel.spawn(looks.run())
    kernel.spawn(every(TICK_S, state.drop_missing))
    kernel.spawn(driver.run())
    await listen(entry, listener)
    return entry


def add_report_session(kernel: Kernel) -> aiohttp.ClientSession:
    """Adds a session of its own: questions to workers hold up no store call."""
    connector = aiohttp.TCPConnector(limit=0)  # One connection a worker.
    session = aiohttp.ClientSession(connector=connector)
    return kernel.add("reports", session, stop=session.close)


def make_fleet(settings: RelaySettings, clock: SystemClock) -> Fleet:
    """Returns the fleet as an entry knows it at its start."""
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
    return Fleet(MemberNews(member, time.time()), clock)


async def add_peers(
    kernel: Kernel,
    settings: RelaySettings,
    fleet: Fleet,
    state: RelayState,
    quarantine: Quarantine,
    clock: SystemClock,
) -> Gossip:
    """Listens for peers and returns what talks to them."""
    server = kernel.add("peer_server", PeerServer())
    kernel.services["peer_server"].stop = server.stop
    links = kernel.add("links", Links(settings.name))
    kernel.services["links"].stop = links.close
    spread = Spread(fleet, links)
    snapshots = Snapshots(
        fleet=fleet,
        links=links,
        clock=clock,
        needed=lambda: not state.health.available or state.table is None,
        make=state.snapshot,
        restore=state.restore,
    )
    gossip = Gossip(
        fleet=fleet,
        rollouts=state.rollouts,
        quarantine=quarantine,
        domains=state.domains,
        links=links,
        spread=spread,
        clock=clock,
        seeds=settings.seeds,
        snapshots=snapshots,
        renew=lambda: False,
    )
    server.on_call("beat", gossip.serve_beat)
    server.on_call("summary", gossip.serve_summary)
    server.on_call("spread", spread.serve)
    server.on_notice("spread", spread.take_hint)
    server.on_call("report", gossip.serve_report)
    server.on_call("snapshot", snapshots.serve)
    spread.takers["rumors"] = gossip.take_rumors
    spread.takers["store_news"] = gossip.take_store_news
    await server.start(settings.peers.host, settings.peers.port)
    hints = kernel.add(
        "hints", Hints(server.take_notice, kernel.find("metrics"))
    )
    kernel.services["hints"].stop = hints.stop
    await hints.start(settings.hints.host, settings.hints.port)
    return gossip


def renewal(entry: RelayEntry) -> Callable[[], bool]:
    """Returns what brings an entry's own news up to date."""

    def renew() -> bool:
        leaving = entry.drain.leaving
        state = MemberState.LEAVING if leaving else MemberState.LIVE
        me = entry.fleet.me
        return entry.fleet.change_me(
            member=attrs.evolve(me.member, state=state),
            ready=entry.ready(),
            store=entry.state.health.available,
        )

    return renew


async def every(seconds: float, act: Callable[[], None]) -> None:
    """Calls something again and again."""
    while True:
        act()
        await asyncio.sleep(seconds)


async def run_relay(
    settings: RelaySettings,
    reload: Callable,
    listener: socket.socket | None = None,
) -> None:
    """Runs an entry until SIGTERM, then drains and stops it.

    Args:
      settings: Of the entry.
      reload: Reads the settings again; called at SIGHUP.
      listener: Listens for callers already; None: it is to be opened.
    """
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGINT, stop.set)
    entry = await build_relay(settings, listener)
    loop.add_signal_handler(signal.SIGHUP, reload, entry)
    log.info(
        "Started.",
        incarnation=entry.fleet.me.member.incarnation,
        callers=str(settings.callers),
        store=str(settings.store.address),
    )
    await stop.wait()
    await leave(entry)


async def leave(entry: RelayEntry) -> None:
    """Takes the entry out of the list, ends what runs, and stops."""
    log.info("Stopping.", running=entry.drain.running)
    entry.drain.begin()
    await entry.gossip.round()
    await entry.drain.finished()
    try:
        async with asyncio.timeout(CLOSE_LIMIT_S):
            await close(entry)
    except TimeoutError:
        log.info("Closing took too long.", limit_s=CLOSE_LIMIT_S)
    log.info("Stopped.", running=entry.drain.running)


async def close(entry: RelayEntry) -> None:
    """Stops listening, ends the connections, and stops all services."""
    for listener in entry.listeners:
        listener.stop_accepting()
    # What reached the listener just before is answered or closed unread.
    await asyncio.sleep(CLOSE_PAUSE_S)
    for listener in entry.listeners:
        await listener.close()
    await entry.kernel.stop()
