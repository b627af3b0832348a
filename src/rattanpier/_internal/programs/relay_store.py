"""Builds the services that read and write the platform's store."""

from __future__ import annotations

import aiohttp

from rattanpier._internal.kernel import Kernel
from rattanpier._internal.models.feed import Page
from rattanpier._internal.models.relay_settings import RelaySettings
from rattanpier._internal.platform import feeds, registrations, rollouts
from rattanpier._internal.platform.rows import (
    IDLE_CONNECTION_S,
    MAX_CONNECTIONS,
    PlatformStore,
)
from rattanpier._internal.programs.relay_listen import RelayEntry
from rattanpier._internal.relay.checkpoints import (
    CheckpointedStore,
    CheckpointWriter,
)
from rattanpier._internal.relay.deregistrations import (
    REGISTRATION_TTL_HEARTBEATS,
    Deregistrations,
)
from rattanpier._internal.relay.directory import WorkerDirectory
from rattanpier._internal.relay.exposure import ExposureBound
from rattanpier._internal.relay.follow_timing import FollowTiming
from rattanpier._internal.relay.history import StoreHistory
from rattanpier._internal.relay.membership import EntryRows
from rattanpier._internal.relay.own_table import OwnTable
from rattanpier._internal.relay.quarantine_rows import QuarantineRows
from rattanpier._internal.relay.restoring import RowRestorer
from rattanpier._internal.relay.rollout_driver import RolloutDriver
from rattanpier._internal.relay.rollouts import Rollouts
from rattanpier._internal.relay.running_time import RunningTime
from rattanpier._internal.relay.state import RelayState
from rattanpier._internal.relay.store import StoreClock, StoreHealth
from rattanpier._internal.relay.updates import StateUpdate
from rattanpier._internal.relay.watch import TableFollower, watch_rank
from rattanpier._internal.utils.clock import Clock


def add_store(kernel: Kernel, settings: RelaySettings) -> None:
    """Adds the client of the store and the services that track its state."""
    clock = kernel.find("clock")
    session = aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(
            limit=MAX_CONNECTIONS, keepalive_timeout=IDLE_CONNECTION_S
        )
    )
    kernel.add("http", session, stop=session.close)
    history = kernel.add("history", StoreHistory(clock, kernel.find("metrics")))
    store = PlatformStore(
        session,
        f"http://{settings.store.address}",
        lambda era: history.record_era(era, "store"),
    )
    kernel.add("store", store)
    running = kernel.add("running_time", RunningTime(clock))
    kernel.add(
        "store_health",
        StoreHealth(clock, settings.heartbeat_s, running=running),
    )
    kernel.add("store_clock", StoreClock(clock))
    kernel.add("own_table", OwnTable(store, clock))


def make_directory(clock: Clock, settings: RelaySettings) -> WorkerDirectory:
    """Returns an empty worker directory."""
    ttl_s = REGISTRATION_TTL_HEARTBEATS * settings.heartbeat_s
    return WorkerDirectory(clock, deregistrations=Deregistrations(clock, ttl_s))


def make_state(kernel: Kernel, settings: RelaySettings) -> RelayState:
    """Returns the state of an entry that has not yet read the store."""
    clock = kernel.find("clock")
    metrics = kernel.find("metrics")
    bounds = settings.bounds
    exposure = ExposureBound(bounds.exposure_ratio, bounds.exposure_slack)
    state = RelayState(
        make_directory(clock, settings),
        Rollouts(exposure, bounds.session_s, clock, settings.policy),
        kernel.find("store_health"),
        feeds.operator_row_decoder(metrics, lambda: state.table_version),
        feeds.worker_row_decoder(metrics),
    )
    return state


def add_own_rows(entry: RelayEntry) -> None:
    """Adds the writers of the system's own table, except the checkpoint's."""
    kernel = entry.kernel
    health = entry.state.health
    quarantine = entry.edge.dispatcher.quarantine
    quarantine_rows = QuarantineRows(
        kernel.find("store"),
        quarantine,
        entry.fleet,
        kernel.find("store_clock"),
        kernel.find("clock"),
        lambda: health.available,
    )
    quarantine.on_change = quarantine_rows.changed.put_nowait
    rows = EntryRows(
        kernel.find("store"),
        kernel.find("own_table"),
        entry.fleet,
        kernel.find("clock"),
        lambda: health.available,
        quarantine_rows.apply_row,
    )
    kernel.spawn_restarting(rows.run, "rows of entries")
    kernel.spawn_restarting(quarantine_rows.run, "quarantine rows")
    quarantine.on_evidence = quarantine_rows.new_evidence.set
    kernel.spawn_restarting(
        quarantine_rows.run_evidence, "evidence on parts of prompts"
    )
    kernel.spawn_restarting(
        quarantine_rows.run_duty_checks, "duties for quarantine rows"
    )
    driver = make_driver(entry)
    restorer = RowRestorer(
        kernel.find("store"),
        kernel.find("own_table"),
        entry.fleet,
        kernel.find("history"),
        kernel.find("clock"),
        lambda: health.available,
        lambda era: entry.gossip.broadcast(StateUpdate(restored=era)),
        (
            rows.find_lost_rows,
            quarantine_rows.find_lost_rows,
            driver.find_lost_rows,
        ),
    )
    kernel.spawn_restarting(driver.run, "roll-out driver")
    kernel.spawn_restarting(restorer.run, "row restorer")


def make_driver(entry: RelayEntry) -> RolloutDriver:
    """Returns the driver that advances roll-outs."""
    kernel, fleet, routes = entry.kernel, entry.fleet, entry.state.rollouts
    return RolloutDriver(
        kernel.find("store"),
        kernel.find("own_table"),
        kernel.find("store_clock"),
        routes,
        rollouts.status_row,
        lambda order: routes.running_old(
            order,
            [entry_state.member.incarnation for entry_state in fleet.live()],
        ),
        fleet.drives,
        entry.state.health,
    )


def add_followers(entry: RelayEntry) -> None:
    """Adds the followers of the operators' and the workers' tables."""
    kernel, state = entry.kernel, entry.state
    writer = CheckpointWriter(
        rollouts.ORDERS,
        kernel.find("store"),
        entry.fleet,
        kernel.find("clock"),
        entry.settings.store,
        lambda: state.health.available,
    )

    def apply_operator_page(page: Page, after_outage: bool) -> None:
        writer.apply_page(page)
        state.apply_operator_page(page, after_outage)

    bounds = entry.settings.bounds
    tables = (
        (rollouts.ORDERS, apply_operator_page, bounds.apply_s),
        (registrations.TABLE, state.apply_worker_page, bounds.drain_s),
    )
    store = CheckpointedStore(
        kernel.find("store"), rollouts.ORDERS, kernel.find("own_table")
    )
    for table, on_page, bound_s in tables:
        follower = TableFollower(
            store=store,
            clock=kernel.find("clock"),
            health=state.health,
            store_clock=kernel.find("store_clock"),
            table=table,
            on_page=on_page,
            rank=lambda: watch_rank(entry.fleet),
            publish=entry.gossip.broadcast_store_news,
            history=kernel.find("history"),
            name=entry.settings.name,
            timing=FollowTiming(bound_s),
        )
        entry.gossip.followers[table] = follower
        kernel.spawn_restarting(follower.run, f"follower of {table}")
    kernel.spawn_restarting(writer.run, "checkpoint writer")
