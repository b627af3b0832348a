"""The keeper of claims: a claim is ended however long the store is down."""

import asyncio

import attrs

from rattanpier._internal.claims.book import Ask
from rattanpier._internal.claims.records import ClaimResult
from rattanpier._internal.claims.service import ClaimReply
from rattanpier._internal.dispatch.attempt import Attempt
from rattanpier._internal.dispatch.keeper import ClaimKeeper
from rattanpier._internal.models.outcomes import ClaimOutcome, SettleOutcome
from rattanpier._internal.utils.metrics import Metrics
from tests.lib.builders import build_request
from tests.lib.clock import ManualClock, settle

OUTAGE_S = 300.0


@attrs.define
class ClaimsInOutage:
    """Refuses settlements at once until the outage is over."""

    clock: ManualClock
    settled: list = attrs.Factory(list)

    async def settle(self, op, holder, timeout_s):
        if self.clock.now < OUTAGE_S:
            return SettleOutcome.UNAVAILABLE
        self.settled.append(op)
        return SettleOutcome.SETTLED


async def test_claim_is_ended_after_a_long_outage():
    clock = ManualClock()
    claims = ClaimsInOutage(clock)
    spawn = asyncio.get_running_loop().create_task
    keeper = ClaimKeeper(claims, clock, Metrics(), spawn)
    ask = Ask("desk", "k1", "entry-1/i/r", True, "digest")
    attempt = Attempt(build_request(), ask)
    attempt.task = spawn(granted())
    await settle()
    outcome = await keeper.end(attempt, ClaimResult.UNKNOWN)
    assert outcome is SettleOutcome.UNAVAILABLE
    await clock.advance(OUTAGE_S + 10.0)
    assert [op.key for op in claims.settled] == ["k1"]


async def granted():
    return ClaimReply(ClaimOutcome.GRANTED, 1)
