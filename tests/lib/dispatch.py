"""Test harness for dispatch: a runner with in-memory claims."""

import asyncio
import random

import aiohttp
import attrs

from rattanpier._internal.claims.book import ClaimBook
from rattanpier._internal.claims.records import SettleOp
from rattanpier._internal.claims.service import ClaimReply
from rattanpier._internal.dispatch.budget import RetryBudget
from rattanpier._internal.dispatch.claim_manager import ClaimManager
from rattanpier._internal.dispatch.runner import Runner
from rattanpier._internal.dispatch.upstream_dispatcher import UpstreamDispatcher
from rattanpier._internal.models.configuration import (
    Upstream,
    UpstreamKind,
    Worker,
)
from rattanpier._internal.models.outcomes import ClaimOutcome, SettleOutcome
from rattanpier._internal.placement.backoffs import Backoffs
from rattanpier._internal.retries.quarantine import Quarantine
from rattanpier._internal.routing.placement import Placement
from rattanpier._internal.utils.metrics import Metrics
from tests.lib.builders import LARGE, SMALL, build_configuration
from tests.lib.clock import ManualClock


class InMemoryClaims:
    """Claims service backed by a single claim book, without a network.

    `after_claim` is called once, after the next claim was decided.
    """

    def __init__(self):
        self.book = ClaimBook()
        self.dead = set()
        self.after_claim = None
        self.durable = True
        self.lose_replies = False
        self.asks = 0

    def decide(self, ask):
        decision = self.book.ask(ask, lambda holder: holder not in self.dead)
        if decision.op is not None:
            self.book.apply(decision.op)
        return decision

    async def claim(self, ask, timeout_s):
        self.asks += 1
        decision = self.decide(ask)
        hook, self.after_claim = self.after_claim, None
        if hook is not None:
            hook(ask)
        if self.lose_replies:
            return ClaimReply(ClaimOutcome.UNAVAILABLE)
        claim = self.book.claims[ask.workspace, ask.key]
        return ClaimReply(
            decision.outcome,
            claim.attempt,
            claim.holder,
            claim.answer,
            self.durable,
            decision.not_run,
        )

    async def settle(self, op, holder, timeout_s):
        decision = self.book.settle(op)
        if decision.op is not None:
            self.book.apply(decision.op)
        return SettleOutcome(decision.outcome)

    def disown(self, ask, result):
        op = SettleOp(ask.workspace, ask.key, 0, result)
        decision = self.book.disown(op, ask.holder)
        if decision.op is not None:
            self.book.apply(decision.op)


class DispatchHarness:
    """A runner with its clock, claims and HTTP session."""

    def __init__(self, configuration):
        self.configuration = configuration
        self.clock = ManualClock()
        self.claims = InMemoryClaims()
        self.metrics = Metrics()
        self.tasks = set()

    def spawn(self, work):
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def __aenter__(self):
        self.session = aiohttp.ClientSession()
        self.claim_manager = ClaimManager(
            self.claims, self.clock, self.metrics, self.spawn
        )
        dispatcher = UpstreamDispatcher(
            quarantine=Quarantine(self.clock),
            backoffs=Backoffs(self.clock, random.Random(1)),
            session=self.session,
            unpooled_session=self.session,
            configuration=lambda: self.configuration,
            clock=self.clock,
            metrics=self.metrics,
            domain="a",
            rng=random.Random(1),
            spawn=self.spawn,
            confirm=self.claim_manager.confirm,
            budget=RetryBudget(self.clock),
            placement=Placement("entry-1"),
        )
        self.runner = Runner(
            configuration=lambda: self.configuration,
            claims=self.claims,
            dispatcher=dispatcher,
            claim_manager=self.claim_manager,
            clock=self.clock,
            metrics=self.metrics,
            holder="entry-1/a",
            spawn=self.spawn,
        )
        return self

    async def __aexit__(self, *_):
        await self.claim_manager.drain()
        while self.tasks:
            await asyncio.wait(list(self.tasks))
        await self.session.close()

    async def ask(self, request, request_id="r1"):
        """Runs a request and returns the last part of its answer."""
        request = attrs.evolve(
            request, deadline=min(request.deadline, self.clock.now + 30.0)
        )
        parts = [p async for p in self.runner.answer(request, request_id)]
        return parts[-1]


def make_harness(*upstreams, **changes):
    """Returns a harness with one pool, whose workers are these upstreams."""
    workers = {
        f"w{number}": Worker(upstream.url, "a", [SMALL, LARGE])
        for number, upstream in enumerate(upstreams)
    }
    pools = {"pool": Upstream(UpstreamKind.ENGINE, workers)}
    return DispatchHarness(build_configuration(upstreams=pools, **changes))
