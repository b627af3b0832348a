"""Builds the services that learn about workers other than by requests."""

from __future__ import annotations

import math
import random

import aiohttp

from rattanpier._internal.kernel import Kernel
from rattanpier._internal.models.worker import RegisteredWorker
from rattanpier._internal.platform import reports
from rattanpier._internal.platform.identity import identity_checker
from rattanpier._internal.platform.reports import (
    OnWorkerStatus,
    ReadReport,
    WorkerStatus,
)
from rattanpier._internal.programs.relay_listen import RelayEntry
from rattanpier._internal.relay.prompt_updates import PromptUpdates
from rattanpier._internal.relay.queue_watch import QueueWatch
from rattanpier._internal.retries.liveness_checks import LivenessChecks


def add_worker_updates(entry: RelayEntry) -> None:
    """Adds queries to workers and the updates that entries share about them."""
    session = add_report_session(entry.kernel)
    read_report = reports.report_reader(session, report_recorder(entry))
    add_liveness_checks(entry, session, read_report)
    add_queue_watch(entry, read_report)
    add_prompt_updates(entry)


def report_recorder(entry: RelayEntry) -> OnWorkerStatus:
    """Returns the callback that records the load reports of workers."""
    limits = entry.edge.dispatcher.limits
    brittle = entry.edge.dispatcher.brittle
    directory = entry.state.directory

    def record_report(worker: RegisteredWorker, status: WorkerStatus) -> None:
        # The report may be out of date, so it may only lower a limit.
        if status.rate_per_s is not None:
            limits.record_answer(worker, status.rate_per_s, -math.inf)
        if status.refusals_per_s is not None:
            brittle.reports.record_answer(
                worker, status.refusals_per_s, -math.inf
            )
        if status.leaving:
            directory.record_leaving(worker)

    return record_report


def add_report_session(kernel: Kernel) -> aiohttp.ClientSession:
    """Adds a separate session, so that queries don't delay store calls."""
    connector = aiohttp.TCPConnector(limit=0)  # One connection per worker.
    session = aiohttp.ClientSession(connector=connector)
    return kernel.add("reports", session, stop=session.close)


def add_liveness_checks(
    entry: RelayEntry, session: aiohttp.ClientSession, read_report: ReadReport
) -> None:
    """Adds liveness checks of workers that were reported as terminated."""
    dispatcher = entry.edge.dispatcher

    def check_incarnation(incarnation: str) -> None:
        for worker in entry.state.directory.workers.values():
            if worker.incarnation == incarnation:
                dispatcher.terminations.start_check(worker)

    dispatcher.quarantine.on_peer_crash = check_incarnation
    checks = LivenessChecks(
        dispatcher.quarantine,
        entry.state.directory,
        entry.fleet,
        dispatcher.clock,
        identity_checker(session, entry.state.health_path_of, read_report),
        dispatcher.terminations.record_alive,
    )
    entry.kernel.spawn_restarting(checks.run, "termination checks")


def add_queue_watch(entry: RelayEntry, read_report: ReadReport) -> None:
    """Adds the reader of engine queues and the handlers of peers' updates."""
    state = entry.state
    backoffs = entry.edge.dispatcher.backoffs
    queues = QueueWatch(
        fleet=entry.fleet,
        directory=state.directory,
        loads=entry.edge.dispatcher.loads,
        notify_all=entry.gossip.broadcaster.notify_all,
        notify_one=entry.gossip.broadcaster.notify_one,
        clock=entry.edge.dispatcher.clock,
        engines=state.engine_services,
        read=read_report,
        on_restart=lambda worker: state.notify_deregistered([worker]),
        open_workers=state.domains.open_workers,
        in_backoff=lambda worker: (
            backoffs.available_in_s(worker.incarnation) > 0.0
        ),
        paces=entry.edge.dispatcher.chooser.paces,
        rng=random.Random(entry.settings.name),
    )
    state.deregistered.subscribe(
        lambda worker: queues.reported_starts.pop(worker, None)
    )
    entry.gossip.broadcaster.handlers["queue_news"] = queues.receive_update
    entry.gossip.broadcaster.handlers["queue_part"] = queues.receive_part
    if entry.settings.policy.queue_reading:
        entry.kernel.spawn_restarting(queues.run, "queue watch")


def add_prompt_updates(entry: RelayEntry) -> None:
    """Adds publishing and receiving of updates about long prompts."""
    dispatcher = entry.edge.dispatcher
    prompts = PromptUpdates(
        fleet=entry.fleet,
        directory=entry.state.directory,
        loads=dispatcher.loads,
        send=entry.kernel.find("hints").send,
        clock=dispatcher.clock,
        rng=random.Random(entry.settings.name),
    )
    server = entry.kernel.find("peer_server")
    server.on_notice("prompt_sent", prompts.apply_notice)
    if entry.settings.policy.prompt_news:
        dispatcher.publish_prompt = prompts.publish
