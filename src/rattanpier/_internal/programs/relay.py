"""Builds, runs and shuts down an entry of the relay."""

from __future__ import annotations

import asyncio
import random
import signal
import socket
from collections.abc import Callable

import attrs
import structlog

from rattanpier._internal.kernel import Kernel
from rattanpier._internal.models.member import MemberState
from rattanpier._internal.models.relay_settings import RelaySettings
from rattanpier._internal.platform import caller
from rattanpier._internal.programs.relay_dispatch import make_dispatcher
from rattanpier._internal.programs.relay_listen import (
    RelayEntry,
    listen,
    pause_handler,
)
from rattanpier._internal.programs.relay_peers import (
    add_forwarding,
    add_peers,
    make_fleet,
)
from rattanpier._internal.programs.relay_store import (
    add_followers,
    add_own_rows,
    add_store,
    make_state,
)
from rattanpier._internal.programs.relay_workers import add_worker_updates
from rattanpier._internal.relay.caller_writes import check_readers
from rattanpier._internal.relay.drain import (
    DrainState,
    ExitPhase,
    OpenConnections,
)
from rattanpier._internal.relay.edge import CallerDialect, RelayEdge
from rattanpier._internal.relay.fleet import Fleet
from rattanpier._internal.relay.gossip import Gossip
from rattanpier._internal.relay.running_time import READ_INTERVAL_S
from rattanpier._internal.relay.shared_state import SharedState
from rattanpier._internal.relay.slow_readers import (
    SlowReaders,
    total_limit_bytes,
)
from rattanpier._internal.retries.crashing_parts import suppressed_delay_s
from rattanpier._internal.retries.quarantine import Quarantine
from rattanpier._internal.utils.clock import Clock, SystemClock
from rattanpier._internal.utils.http_listener import ConnectionUse
from rattanpier._internal.utils.metrics import Metrics

log = structlog.get_logger(part="main")

# Interval of the checks for waiting times that have passed.
DROP_MISSING_INTERVAL_S = 0.1
DRAIN_POLL_INTERVAL_S = 0.025
# Partitioned peers don't answer a close; the timeout lets the process exit
# before SIGKILL.
CLOSE_TIMEOUT_S = 0.4


async def build_relay(
    settings: RelaySettings, listener: socket.socket | None = None
) -> RelayEntry:
    """Starts an entry.

    Args:
      settings: Settings of the entry.
      listener: Socket that already listens for callers; None opens one.
    """
    kernel = Kernel()
    clock = kernel.add("clock", SystemClock())
    metrics = kernel.add("metrics", Metrics())
    add_store(kernel, settings)
    state = make_state(kernel, settings)
    fleet = make_fleet(settings, clock)
    dispatcher = make_dispatcher(settings, state, fleet, clock, metrics)
    readers = make_readers(settings, clock, metrics)
    drain = DrainState(
        clock,
        settings.bounds.grace_s,
        holds_unread=lambda: bool(readers.slow),
        on_begin=dispatcher.admission.stop,
    )
    edge = RelayEdge(
        dispatcher,
        CallerDialect(
            caller.decode_headers, caller.NOT_FORWARDED, caller.refusal_headers
        ),
        lambda: state.table,
        drain,
        clock,
        metrics,
        readers,
        others_serve=lambda: others_serve(fleet),
        running=state.health.running,
    )
    dispatcher.admission.others_serve = edge.others_serve
    shared_state = SharedState(
        state.rollouts,
        dispatcher.quarantine,
        state.domains,
        dispatcher.limits,
        dispatcher.brittle,
        state.directory,
        kernel.find("history"),
        lambda: state.table_version,
        on_deregistered=state.deregistered.on_next,
    )
    gossip = await add_peers(
        kernel, settings, fleet, state, shared_state, clock
    )
    add_forwarding(
        kernel,
        dispatcher,
        lambda: state.ready() and edge.admitting.is_set(),
        drain,
    )
    connect_quarantine(dispatcher.quarantine, gossip, fleet)
    shared_state.limits.publish = gossip.broadcast_limit
    shared_state.brittle.reports.publish = gossip.broadcast_brittle
    shared_state.brittle.publish_full = gossip.broadcast_full
    shared_state.rollouts.on_stopped = gossip.broadcast_stop
    shared_state.directory.broadcast_leaving = gossip.broadcast_leaving
    dispatcher.reachability.on_change = gossip.broadcast_changes
    entry = RelayEntry(
        kernel, settings, state, fleet, drain, metrics, edge, gossip
    )
    gossip.refresh_own_state = own_state_refresher(entry)
    add_followers(entry)
    add_own_rows(entry)
    add_worker_updates(entry)
    kernel.spawn_restarting(gossip.run, "gossip")
    kernel.spawn_restarting(dispatcher.reachability.run, "path probes")
    kernel.spawn_restarting(
        lambda: call_periodically(
            READ_INTERVAL_S, state.health.running.seconds
        ),
        "running time",
    )
    kernel.spawn_restarting(
        lambda: call_periodically(DROP_MISSING_INTERVAL_S, state.drop_missing),
        "expiry of registrations",
    )
    state.health.running.on_pause = pause_handler(entry)
    await listen(entry, listener)
    return entry


def others_serve(fleet: Fleet) -> bool:
    """Returns whether another entry is offered to callers."""
    me = fleet.me.member.name
    return any(member.name != me for member in fleet.entries())


def connect_quarantine(
    quarantine: Quarantine, gossip: Gossip, fleet: Fleet
) -> None:
    """Connects the quarantine to the timers of the loop and to the peers."""
    rng = random.Random(fleet.me.member.name)
    quarantine.on_update = gossip.schedule_quarantine_broadcast
    quarantine.call_later = asyncio.get_running_loop().call_later
    quarantine.proof_delay_s = lambda: suppressed_delay_s(
        fleet.size(), rng.random()
    )


def make_readers(
    settings: RelaySettings, clock: Clock, metrics: Metrics
) -> SlowReaders:
    """Returns the accounting of the bytes held for callers."""
    limit = total_limit_bytes(settings.memory_bytes)
    readers = SlowReaders(clock, metrics, limit)
    readers.start_checks = check_readers(readers)
    return readers


def own_state_refresher(entry: RelayEntry) -> Callable[[], bool]:
    """Returns the function that updates the entry's own published state."""
    reachability = entry.edge.dispatcher.reachability

    def refresh() -> bool:
        leaving = entry.drain.leaving
        state = MemberState.LEAVING if leaving else MemberState.LIVE
        me = entry.fleet.me
        return entry.fleet.update_own_state(
            member=attrs.evolve(me.member, state=state),
            ready=entry.ready(),
            store=entry.state.health.available,
            unreachable=tuple(reachability.unreachable_services()),
            partitioned=reachability.is_partitioned(),
        )

    return refresh


async def call_periodically(
    interval_s: float, callback: Callable[[], object]
) -> None:
    """Calls a function forever, with a pause after each call."""
    while True:
        callback()
        await asyncio.sleep(interval_s)


async def run_relay(
    settings: RelaySettings,
    reload: Callable,
    listener: socket.socket | None = None,
) -> None:
    """Runs an entry until SIGTERM, then drains and stops it.

    Args:
      settings: Settings of the entry.
      reload: Reads the settings again; called with the entry on SIGHUP.
      listener: Socket that already listens for callers; None opens one.
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
    await shut_down(entry)


async def shut_down(entry: RelayEntry) -> None:
    """Announces the leave, waits for running requests and stops the entry."""
    log.info("Stopping.", running=entry.drain.running)
    entry.drain.begin()
    # Not waited for: partitioned peers don't answer, and an error must not end
    # the process.
    entry.kernel.spawn(entry.gossip.round())
    await drain(entry)
    try:
        async with asyncio.timeout(CLOSE_TIMEOUT_S):
            await close(entry)
    except TimeoutError:
        log.info("Closing took too long.", limit_s=CLOSE_TIMEOUT_S)
    log.info("Stopped.", running=entry.drain.running)


async def drain(entry: RelayEntry) -> None:
    """Waits until the process may end; see `relay.drain`."""
    while True:
        match entry.drain.advance(open_connections(entry)):
            case ExitPhase.DONE:
                return
            case ExitPhase.REFUSING:
                stop_accepting(entry)
            case ExitPhase.CLOSING:
                for listener in entry.listeners:
                    listener.close_idle()
        await asyncio.sleep(DRAIN_POLL_INTERVAL_S)


def open_connections(entry: RelayEntry) -> OpenConnections:
    """Returns what the open connections of callers are used for."""

    def count(use: ConnectionUse) -> int:
        return sum(listener.count(use) for listener in entry.listeners)

    return OpenConnections(
        busy=count(ConnectionUse.BUSY), reading=count(ConnectionUse.READING)
    )


def stop_accepting(entry: RelayEntry) -> None:
    """Accepts no more connections; open ones continue."""
    for listener in entry.listeners:
        listener.stop_accepting()


async def close(entry: RelayEntry) -> None:
    """Closes all connections and stops all services."""
    stop_accepting(entry)
    for listener in entry.listeners:
        await listener.close()
    await entry.kernel.stop()
