"""Builds the dispatcher, which answers the requests of a relay entry."""

from __future__ import annotations

import functools
import random
from collections.abc import Callable, Sequence

from rattanpier._internal.models.relay_settings import RelaySettings
from rattanpier._internal.models.route_table import EngineSpec, RouteTable
from rattanpier._internal.models.upstream_request import AnswerHead
from rattanpier._internal.models.worker import RegisteredWorker
from rattanpier._internal.peers.forward_channels import ForwardChannels
from rattanpier._internal.placement import eligibility
from rattanpier._internal.placement.backoffs import Backoffs
from rattanpier._internal.placement.brittle_workers import BrittleWorkers
from rattanpier._internal.placement.eligibility import Condition
from rattanpier._internal.placement.rate_limits import RateLimits
from rattanpier._internal.placement.shared_rates import SharedRates
from rattanpier._internal.placement.warm_up import WarmUps
from rattanpier._internal.placement.worker_pace import WorkerPaces
from rattanpier._internal.placement.worker_room import WorkerRooms
from rattanpier._internal.platform import upstream
from rattanpier._internal.relay.admission import EntryAdmission
from rattanpier._internal.relay.budgets import ServiceRetryBudgets
from rattanpier._internal.relay.crash_checks import CrashChecks
from rattanpier._internal.relay.dispatch import Dispatcher
from rattanpier._internal.relay.exchange import Sender, WorkerDialect
from rattanpier._internal.relay.fleet import Fleet
from rattanpier._internal.relay.forwarding import Forwarder
from rattanpier._internal.relay.health import Health
from rattanpier._internal.relay.load import Loads
from rattanpier._internal.relay.model_groups import ModelGroups
from rattanpier._internal.relay.model_timings import ModelTimings
from rattanpier._internal.relay.placement import Chooser
from rattanpier._internal.relay.pool import ConnectionPool
from rattanpier._internal.relay.reachability import Reachability
from rattanpier._internal.relay.state import RelayState
from rattanpier._internal.relay.termination_checks import (
    HEARTBEATS_TO_EXPIRY,
    TerminationChecks,
)
from rattanpier._internal.retries.quarantine import Quarantine
from rattanpier._internal.utils.clock import SystemClock
from rattanpier._internal.utils.metrics import Metrics

# Status of a worker that has no room for a request.
REFUSED_STATUS = 503


def make_dispatcher(
    settings: RelaySettings,
    state: RelayState,
    fleet: Fleet,
    clock: SystemClock,
    metrics: Metrics,
) -> Dispatcher:
    """Returns the dispatcher with its conditions for choosing workers."""
    running = state.health.running
    loads = Loads(clock)
    timings = ModelTimings(clock)
    state.tables.subscribe(lambda table: apply_prices(timings, table))

    def running_workers(service: str) -> Sequence[RegisteredWorker]:
        # Crashed workers stay registered for seconds and would look like a
        # path that is interrupted.
        return terminations.running(state.directory.accepting_workers(service))

    reachability = Reachability(
        clock,
        running_workers,
        state.directory.services,
        random.Random(settings.name),
        entries_without_path=fleet.count_without_path,
        on_unreachable=state.rollouts.abandon_running,
        paused_since=running.paused_since,
    )
    forwarder = Forwarder(
        fleet,
        reachability,
        ForwardChannels(fleet.is_live, paused_since=running.paused_since),
        clock,
        metrics,
        random.Random(settings.name),
    )
    pool = ConnectionPool(
        on_connect=reachability.record_connect,
        paused_since=running.paused_since,
    )
    health = Health(clock, settings.policy)
    dialect = WorkerDialect(upstream.encode_request, upstream.decode_answer)
    terminations = TerminationChecks(
        clock,
        HEARTBEATS_TO_EXPIRY * settings.heartbeat_s,
        confirm_failure=reachability.confirm_failure,
    )
    reachability.on_reachable = terminations.check_unconfirmed
    quarantine = Quarantine(
        clock, count_workers=lambda: count_engine_workers(state)
    )
    shares = SharedRates(fleet, clock)
    warm_ups = make_warm_ups(settings, state, shares)
    limits = make_rate_limits(state, shares)
    backoffs = Backoffs(clock, random.Random(settings.name))
    paces = WorkerPaces(
        clock,
        state.directory.workers.get,
        settings.policy,
        on_sample=lambda: metrics.count("relay.pace_sample"),
        on_invalid=lambda: metrics.count("relay.pace_invalid"),
    )
    brittle = BrittleWorkers(
        fleet,
        clock,
        state.directory.accepting_workers,
        lambda worker: len(loads.workers[worker].running),
        state.directory.is_registered,
    )

    rooms = WorkerRooms(loads, engine_lookup(state))

    def open_share(service: str) -> float:
        return rooms.open_share(state.directory.accepting_workers(service))

    def forget(worker: str) -> None:
        loads.forget(worker)
        rooms.forget(worker)
        pool.forget(worker)
        health.forget(worker)
        paces.forget(worker)
        limits.forget(worker)
        brittle.reports.forget(worker)

    def record_answer_head(
        worker: RegisteredWorker, head: AnswerHead, asked_at: float
    ) -> None:
        limits.record_answer(worker, head.rate_per_s, asked_at)
        brittle.reports.record_answer(worker, head.refusals_per_s, asked_at)
        if head.not_run:
            brittle.record_refusal(worker)
        if head.load is not None:
            paces.record_report(worker.id, head.load.work_time_ratio)
        if head.not_run and head.status == REFUSED_STATUS:
            rooms.record_refusal(worker)
        else:
            rooms.record_answer(worker, head.load)
        if head.leaving:
            state.directory.record_leaving(worker)
        if head.rest_s:
            backoffs.record_backoff(worker.incarnation, head.rest_s)

    def available_in_s(worker: RegisteredWorker) -> float:
        return max(
            warm_ups.available_in_s(worker),
            limits.any_entry_available_in_s(worker),
            backoffs.available_in_s(worker.incarnation),
            brittle.available_in_s(worker),
        )

    def record_request_started(worker: RegisteredWorker) -> None:
        warm_ups.record_send(worker)
        limits.record_send(worker)

    state.deregistered.subscribe(forget)
    # Requirements precede preferences: avoidance keeps at least half of the
    # workers that reach it. If it ran first, workers that a later requirement
    # excludes would count towards that half.
    conditions = (
        Condition(
            eligibility.ENDED, lambda _, some: terminations.running(some)
        ),
        Condition(
            eligibility.DRAINED_DOMAIN,
            lambda _, some: state.domains.open_workers(some),
        ),
        Condition(
            eligibility.OTHER_REGION,
            functools.partial(eligibility.in_regions, settings.regions),
        ),
        Condition(eligibility.TRIED, eligibility.untried),
        Condition(
            eligibility.WARMING_UP, lambda _, some: warm_ups.open_workers(some)
        ),
        Condition(
            eligibility.RATE_LIMITED, lambda _, some: limits.open_workers(some)
        ),
        Condition(
            eligibility.RESTING, lambda _, some: backoffs.open_workers(some)
        ),
        Condition(
            eligibility.BRITTLE, lambda _, some: brittle.open_workers(some)
        ),
        Condition(eligibility.AVOIDED, lambda _, some: health.usable(some)),
        Condition(
            eligibility.KEPT_APART,
            functools.partial(
                eligibility.separate_suspects,
                quarantine.is_suspect,
                loads.suspects,
            ),
        ),
    )
    dispatcher = Dispatcher(
        clock=clock,
        metrics=metrics,
        directory=state.directory,
        health=health,
        loads=loads,
        chooser=Chooser(
            loads,
            settings.domain,
            random.Random(settings.name),
            timings,
            ModelGroups(clock),
            settings.policy,
            paces,
        ),
        sender=Sender(
            pool, dialect, loads, record_answer_head, brittle.record_aborted
        ),
        terminations=terminations,
        crashes=CrashChecks(clock, terminations, quarantine, metrics),
        reachability=reachability,
        forwarder=forwarder,
        paused_since=running.paused_since,
        conditions=conditions,
        available_in_s=available_in_s,
        on_request_started=record_request_started,
        limits=limits,
        backoffs=backoffs,
        brittle=brittle,
        quarantine=quarantine,
        rollouts=state.rollouts,
        budgets=ServiceRetryBudgets(
            settings.bounds,
            fleet.size,
            clock,
            joined_at=lambda: fleet.joined_at,
            paused_since=running.paused_since,
        ),
        policy=settings.policy,
        rooms=rooms,
        admission=EntryAdmission(
            clock, random.Random(settings.name), metrics, open_share
        ),
    )
    terminations.on_terminated = dispatcher.crashes.attribute_crash
    return dispatcher


def engine_lookup(state: RelayState) -> Callable[[str], EngineSpec | None]:
    """Returns the function that returns the engines of a service."""

    def engine_of(service: str) -> EngineSpec | None:
        known = None if state.table is None else state.table.services
        found = None if known is None else known.get(service)
        return None if found is None else found.engine

    return engine_of


def count_engine_workers(state: RelayState) -> int:
    """Returns the number of workers whose requests have prompts."""
    engine_of = engine_lookup(state)
    return sum(
        len(state.directory.accepting_workers(service))
        for service in state.directory.services()
        if engine_of(service) is not None
    )


def make_rate_limits(state: RelayState, shares: SharedRates) -> RateLimits:
    """Returns the rate limits of workers that announce one."""
    return RateLimits(shares, shares.clock, state.directory.is_registered)


def make_warm_ups(
    settings: RelaySettings, state: RelayState, shares: SharedRates
) -> WarmUps:
    """Returns the limits on requests to workers that are warming up."""
    bounds = settings.bounds
    warm_ups = WarmUps(
        shares,
        shares.clock,
        state.warm_up_of,
        overshoot=bounds.warm_up_ratio,
        slack=bounds.warm_up_slack,
        heartbeat_s=settings.heartbeat_s,
    )
    directory = state.directory
    directory.on_registered = warm_ups.record_registration
    state.domains.on_undrained = lambda domain: warm_ups.presume_cold(
        directory.workers_in_domain(domain)
    )
    state.rollouts.is_warming_up = warm_ups.is_warming_up
    return warm_ups


def apply_prices(timings: ModelTimings, table: RouteTable) -> None:
    """Applies the prices of the models in a route table."""
    for service in table.services.values():
        if service.engine is not None:
            timings.apply_prices(service.engine.models)
