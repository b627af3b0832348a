"""Tests of the claim manager while the store is unavailable."""

import asyncio

import attrs

from rattanpier._internal.claims.book import Ask
from rattanpier._internal.claims.records import ClaimResult
from rattanpier._internal.claims.service import ClaimReply
from rattanpier._internal.dispatch.attempt import Attempt
from rattanpier._internal.dispatch.claim_manager import (
    SETTLE_DRAIN_S,
    ClaimManager,
)
from rattanpier._internal.models.outcomes import ClaimOutcome, SettleOutcome
from rattanpier._internal.utils.metrics import Metrics
from tests.lib.builders import build_request
from tests.lib.clock import ManualClock, settle

OUTAGE_S = 300.0


@attrs.define
class ClaimsInOutage:
    """Claims service whose settlements fail at once until the outage ends."""

    clock: ManualClock
    settled: list = attrs.Factory(list)

    async def settle(self, op, holder, timeout_s):
        if self.clock.now < OUTAGE_S:
            return SettleOutcome.UNAVAILABLE
        self.settled.append(op)
        return SettleOutcome.SETTLED


async def settle_in_outage(clock, claims):
    """Settles a claim while the store is unavailable; returns its manager."""
    spawn = asyncio.get_running_loop().create_task
    manager = ClaimManager(claims, clock, Metrics(), spawn)
    ask = Ask("desk", "k1", "entry-1/i/r", True, "digest")
    attempt = Attempt(build_request(), ask)
    attempt.claim_task = spawn(grant())
    await settle()
    outcome = await manager.settle(attempt, ClaimResult.UNKNOWN)
    assert outcome is SettleOutcome.UNAVAILABLE
    return manager


async def test_claim_is_settled_after_a_long_outage():
    clock = ManualClock()
    claims = ClaimsInOutage(clock)
    await settle_in_outage(clock, claims)
    await clock.advance(OUTAGE_S + 10.0)
    assert [op.key for op in claims.settled] == ["k1"]


async def test_planned_stop_does_not_wait_for_the_end_of_an_outage():
    clock = ManualClock()
    manager = await settle_in_outage(clock, ClaimsInOutage(clock))
    stop = asyncio.create_task(manager.drain())
    await clock.advance(SETTLE_DRAIN_S - 1.0)
    assert not stop.done()
    await clock.advance(2.0)
    assert stop.done()


async def grant():
    return ClaimReply(ClaimOutcome.GRANTED, 1)
