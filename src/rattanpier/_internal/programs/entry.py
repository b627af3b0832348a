"""Builds an entry from its services."""

from __future__ import annotations

import asyncio
import random

import aiohttp
import attrs

from rattanpier._internal.cascade.ratings import RatingUpdate
from rattanpier._internal.cascade.services import add_cascade
from rattanpier._internal.cascade.sharing import neighbour_sender
from rattanpier._internal.claims.service import Claims
from rattanpier._internal.dispatch.budget import RetryBudget
from rattanpier._internal.dispatch.claim_manager import ClaimManager
from rattanpier._internal.dispatch.pool_admission import PoolAdmission
from rattanpier._internal.dispatch.quarantining import QuarantineSharing
from rattanpier._internal.dispatch.runner import Runner
from rattanpier._internal.dispatch.service_runner import ServiceRunner
from rattanpier._internal.dispatch.upstream_dispatcher import UpstreamDispatcher
from rattanpier._internal.edge.app import Edge
from rattanpier._internal.edge.chat import ChatHandler
from rattanpier._internal.edge.gate import Gate
from rattanpier._internal.edge.pins import SessionPins
from rattanpier._internal.edge.server import HttpServer
from rattanpier._internal.edge.services import ServiceHandler
from rattanpier._internal.edge.sessions import SessionTokens
from rattanpier._internal.kernel import Kernel
from rattanpier._internal.membership.draining import DrainPhase
from rattanpier._internal.membership.members import Members
from rattanpier._internal.membership.records import incarnation_id
from rattanpier._internal.membership.worker_probe import http_probe
from rattanpier._internal.membership.workers import Workers
from rattanpier._internal.models.member import Member, Role
from rattanpier._internal.models.settings import Settings
from rattanpier._internal.placement.backoffs import Backoffs
from rattanpier._internal.programs.common import add_base, add_membership
from rattanpier._internal.retries.crashing_parts import suppressed_delay_s
from rattanpier._internal.retries.quarantine import Quarantine
from rattanpier._internal.rollout.collect import Collector
from rattanpier._internal.rollout.services import add_collector
from rattanpier._internal.routing.placement import Placement
from rattanpier._internal.store.vms import HttpVms
from rattanpier._internal.trace.record import open_recorder

CLAIM_CALLS = ("claim", "settle", "lookup")


async def build_entry(settings: Settings) -> Kernel:
    """Starts an entry and returns its kernel."""
    kernel = Kernel()
    await add_base(kernel, settings)
    members = await add_membership(kernel, settings, Role.ENTRY, "")
    claims = add_claims(kernel)
    handler = make_handler(kernel, settings, claims)
    add_trace(kernel, settings, handler)
    services = make_service_handler(handler, settings)
    edge = Edge(
        handler, services, kernel.find("follower"), members, settings.edge
    )
    follow_incarnation(members, claims, handler, services)
    gate = add_gate(kernel)
    add_detached_drain(kernel, gate, handler.runner.claim_manager)
    add_workers(kernel, settings, handler.runner.dispatcher)
    server = HttpServer(edge.app(), settings.callers, gate)
    kernel.add("edge", server, stop=server.stop)
    await server.start()
    members.me = attrs.evolve(members.me, caller_url=server.url)
    await members.step()
    kernel.spawn(kernel.find("follower").run(kernel))
    kernel.spawn(members.run(kernel))
    kernel.spawn(claims.run())
    return kernel


def add_trace(kernel: Kernel, settings: Settings, handler: ChatHandler) -> None:
    """Adds the recorder of requests and decisions if a trace path is set."""
    if not settings.trace_path:
        return
    recorder = open_recorder(settings.trace_path, settings.node)
    kernel.add("trace", recorder, stop=recorder.close)
    follower = kernel.find("follower")
    follower.current.subscribe(
        lambda current: recorder.record_revision(current, follower.text)
    )
    handler.runner.observe = recorder.record_plan


def follow_incarnation(
    members: Members,
    claims: Claims,
    chat: ChatHandler,
    services: ServiceHandler,
) -> None:
    """Makes the new incarnation the holder of claims after a rejoin."""

    def apply_incarnation(me: Member) -> None:
        claims.me = me
        chat.runner.holder = incarnation_id(me)
        services.runner.holder = incarnation_id(me)

    members.rejoined.subscribe(apply_incarnation)


def add_workers(
    kernel: Kernel, settings: Settings, dispatcher: UpstreamDispatcher
) -> Workers:
    """Adds the service that excludes leaving and unresponsive workers."""
    follower = kernel.find("follower")
    session = kernel.find("http")
    vms_url = settings.platform.vms_url
    vms = HttpVms(session, vms_url, settings.platform.timeout_s)
    workers = Workers(
        configuration=lambda: follower.configuration,
        members=kernel.find("members"),
        clock=kernel.find("clock"),
        metrics=kernel.find("metrics"),
        probe=http_probe(session),
        spawn=kernel.spawn,
        read_vms=vms.read if vms_url else None,
    )
    dispatcher.leaving = workers
    dispatcher.announced_leaving = workers.leaving
    dispatcher.on_failure = workers.record_failure
    kernel.find("peer_server").on_notice("worker", workers.apply_notice)
    kernel.spawn(workers.run(kernel))
    if vms_url:
        kernel.spawn(workers.follow_vms(kernel))
    return kernel.add("workers", workers)


def add_gate(kernel: Kernel) -> Gate:
    """Adds the gate for callers' requests and its steps of the drain."""
    gate = kernel.add("gate", Gate(kernel.find("metrics")))
    drain = kernel.find("drain")

    async def leave() -> None:
        gate.leave()

    async def close() -> None:
        gate.close()

    async def finish() -> None:
        await gate.idle.wait()

    drain.add(DrainPhase.ANNOUNCE, "let callers go", leave)
    drain.add(DrainPhase.CLOSE, "close", close)
    drain.add(DrainPhase.FINISH, "requests in flight", finish)
    return gate


def add_detached_drain(
    kernel: Kernel, gate: Gate, claim_manager: ClaimManager
) -> None:
    """Makes the drain wait for requests whose caller has disconnected."""

    async def finish() -> None:
        await gate.idle.wait()
        await claim_manager.drain()

    kernel.find("drain").add(
        DrainPhase.FINISH, "requests without a caller", finish
    )


def add_claims(kernel: Kernel) -> Claims:
    """Adds the claims service and its handlers for peers."""
    members = kernel.find("members")
    claims = Claims(
        me=members.me,
        fleet=kernel.find("follower").configuration.fleet,
        table=kernel.find("table"),
        clock=kernel.find("clock"),
        metrics=kernel.find("metrics"),
        members=members,
        links=kernel.find("links"),
        kernel=kernel,
        objects=kernel.find("objects"),
    )
    server = kernel.find("peer_server")
    for kind in CLAIM_CALLS:
        server.on_call(kind, claims.serve_call)
    server.on_call("hold", claims.serve_hold)
    server.on_notice("shard_free", claims.ownership.on_shard_free)
    kernel.find("drain").add(
        DrainPhase.HAND_OVER, "claim shards", claims.hand_over
    )
    return kernel.add("claims", claims)


def add_fresh_session(kernel: Kernel) -> aiohttp.ClientSession:
    """Adds the HTTP session that opens a new connection for each request."""
    session = aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0, force_close=True)
    )
    return kernel.add("http_fresh", session, stop=session.close)


def make_handler(
    kernel: Kernel, settings: Settings, claims: Claims
) -> ChatHandler:
    """Returns the handler of chat completions."""
    follower = kernel.find("follower")
    clock = kernel.find("clock")
    metrics = kernel.find("metrics")
    claim_manager = ClaimManager(claims, clock, metrics, kernel.spawn)
    dispatcher = UpstreamDispatcher(
        session=kernel.find("http"),
        unpooled_session=add_fresh_session(kernel),
        configuration=lambda: follower.configuration,
        clock=clock,
        metrics=metrics,
        domain=settings.node.domain,
        rng=random.Random(settings.node.name),
        spawn=kernel.spawn,
        confirm=claim_manager.confirm,
        budget=RetryBudget(clock),
        placement=Placement(settings.node.name),
        quarantine=add_quarantine(kernel, settings),
        backoffs=Backoffs(clock, random.Random(settings.node.name)),
        current=kernel.find("currency").is_current,
    )
    runner = Runner(
        configuration=lambda: follower.configuration,
        claims=claims,
        dispatcher=dispatcher,
        claim_manager=claim_manager,
        clock=clock,
        metrics=metrics,
        holder=f"{claims.me.name}/{claims.me.incarnation}",
        spawn=kernel.spawn,
        braked=kernel.find("brakes"),
        policy=add_cascade(kernel),
    )
    add_admission(kernel, runner)
    collector = add_collector(kernel, runner.attempts)
    forward_ratings(kernel, collector)
    tokens = SessionTokens(settings.secrets.session_key)
    pins = SessionPins(
        kernel.find("table"), clock, metrics, lambda: follower.configuration
    )
    return ChatHandler(runner, tokens, pins, settings.edge, clock, metrics)


def add_quarantine(kernel: Kernel, settings: Settings) -> Quarantine:
    """Adds the quarantine, which keeps requests that crash workers from others.

    It is shared with the neighbour entries.
    """
    quarantine = Quarantine(kernel.find("clock"))
    entries = kernel.find("members").entries
    links = kernel.find("links")
    sharing = QuarantineSharing(
        quarantine, neighbour_sender(settings.node.name, entries, links)
    )
    quarantine.on_update = sharing.schedule_publish
    quarantine.call_later = asyncio.get_running_loop().call_later
    rng = random.Random(settings.node.name)
    quarantine.proof_delay_s = lambda: suppressed_delay_s(
        len(entries()), rng.random()
    )
    kernel.find("peer_server").on_notice("spread", sharing.receive)
    return quarantine


def add_admission(kernel: Kernel, runner: Runner) -> None:
    """Adds admission and subscribes it to the results of attempts."""
    members = kernel.find("members")
    pool_admission = PoolAdmission(
        runner.configuration,
        lambda: len(members.entries()),
        kernel.find("clock"),
        kernel.find("metrics"),
    )
    runner.admit = pool_admission.admit
    runner.attempts.subscribe(pool_admission.record_result)
    kernel.add("gates", pool_admission)
    kernel.spawn(pool_admission.admission.run())


def forward_ratings(kernel: Kernel, collector: Collector) -> None:
    """Forwards ratings, if there are any, to the evidence of roll-outs."""
    if "ratings" not in kernel.services:
        return

    def record_rating(update: RatingUpdate) -> None:
        collector.record_rating(update.workspace, update.version, update.good)

    kernel.find("ratings").updates.subscribe(record_rating)


def make_service_handler(
    chat: ChatHandler, settings: Settings
) -> ServiceHandler:
    """Returns the handler of calls to plain services."""
    runner = ServiceRunner(
        configuration=chat.runner.configuration,
        dispatcher=chat.runner.dispatcher,
        claim_manager=chat.runner.claim_manager,
        holder=chat.runner.holder,
    )
    return ServiceHandler(runner, settings.edge, chat.clock, chat.metrics)
