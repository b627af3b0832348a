"""Puts together what an entry learns of workers beside its own requests."""

from __future__ import annotations

import math
import random

import aiohttp

from rattanpier._internal.kernel import Kernel
from rattanpier._internal.models.worker import RegisteredWorker
from rattanpier._internal.platform import reports
from rattanpier._internal.platform.identity import identity_checker
from rattanpier._internal.platform.reports import OnWorkerStatus, ReadReport
from rattanpier._internal.programs.relay_listen import RelayEntry
from rattanpier._internal.relay.prompt_updates import PromptUpdates
from rattanpier._internal.relay.queue_watch import QueueWatch
from rattanpier._internal.retries.liveness_checks import LivenessChecks


def add_worker_news(entry: RelayEntry) -> None:
    """Adds what asks workers, and what entries tell each other of them."""
    session = add_report_session(entry.kernel)
    read_report = reports.report_reader(session, word_hearer(entry))
    add_second_looks(entry, session, read_report)
    add_queue_watch(entry, read_report)
    add_prompt_news(entry)


def word_hearer(entry: RelayEntry) -> OnWorkerStatus:
    """Returns what takes in the words of workers that are asked for a load."""
    limits = entry.edge.dispatcher.limits
    directory = entry.state.directory

    def hear(
        worker: RegisteredWorker, rate_per_s: float | None, leaving: bool
    ) -> None:
        if rate_per_s is not None:
            # The report is of some time ago: it narrows only.
            limits.record_answer(worker, rate_per_s, -math.inf)
        if leaving:
            directory.record_leaving(worker)

    return hear


def add_report_session(kernel: Kernel) -> aiohttp.ClientSession:
    """Adds a session of its own: questions to workers hold up no store call."""
    connector = aiohttp.TCPConnector(limit=0)  # One connection a worker.
    session = aiohttp.ClientSession(connector=connector)
    return kernel.add("reports", session, stop=session.close)


def add_second_looks(
    entry: RelayEntry, session: aiohttp.ClientSession, read_report: ReadReport
) -> None:
    """Adds the looks at workers that are said to have ended."""
    dispatcher = entry.edge.dispatcher

    def look_at(incarnation: str) -> None:
        for worker in entry.state.directory.workers.values():
            if worker.incarnation == incarnation:
                dispatcher.ends.start_check(worker)

    dispatcher.quarantine.on_peer_crash = look_at
    looks = LivenessChecks(
        dispatcher.quarantine,
        entry.state.directory,
        entry.fleet,
        dispatcher.clock,
        identity_checker(session, entry.state.health_path_of, read_report),
        dispatcher.ends.record_alive,
    )
    entry.kernel.spawn(looks.run())


def add_queue_watch(entry: RelayEntry, read_report: ReadReport) -> None:
    """Adds what reads the engines' queues, and hears of them."""
    state = entry.state
    rests = entry.edge.dispatcher.rests
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
            rests.available_in_s(worker.incarnation) > 0.0
        ),
    )
    state.deregistered.subscribe(
        lambda worker: queues.reported_starts.pop(worker, None)
    )
    entry.gossip.broadcaster.handlers["queue_news"] = queues.receive_update
    entry.gossip.broadcaster.handlers["queue_part"] = queues.receive_part
    if entry.settings.policy.queue_reading:
        entry.kernel.spawn(queues.run())


def add_prompt_news(entry: RelayEntry) -> None:
    """Adds what tells of long prompts, and hears of them."""
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
    server.on_status("prompt_sent", prompts.apply_notice)
    if entry.settings.policy.prompt_news:
        dispatcher.publish_prompt = prompts.publish
