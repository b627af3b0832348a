"""Tests of the order of claim, dispatch and settlement, on a manual clock."""

from contextlib import asynccontextmanager

import attrs
import pytest

from rattanpier._internal.cascade.policy import fixed_threshold
from rattanpier._internal.claims.book import Ask
from rattanpier._internal.claims.records import ClaimResult
from rattanpier._internal.dispatch.parts import Completed, Recorded, Refused
from rattanpier._internal.models.configuration import VersionState
from rattanpier._internal.models.outcomes import ClaimOutcome
from rattanpier._internal.models.refusal import Refusal, RefusalCode
from tests.lib.builders import LARGE, SMALL, build_request
from tests.lib.dispatch import make_harness
from tests.lib.raw import RawUpstream

NON_IDEMPOTENT = build_request(idempotent=False, keyed=True)


def suspend_after_claim(harness, seconds, others=True):
    """Suspends the process after its next claim by advancing the clock.

    With `others`, another entry asks for the same claim meanwhile, while the
    holder is taken for dead.
    """

    def after_claim(ask):
        harness.clock.now += seconds
        if others:
            harness.claims.dead.add(ask.holder)
            repeat = attrs.evolve(ask, holder="entry-2/b/r2")
            outcome = harness.claims.decide(repeat).outcome
            assert outcome is ClaimOutcome.UNKNOWN

    harness.claims.after_claim = after_claim


async def test_resumed_process_with_a_lost_claim_does_not_dispatch():
    async with RawUpstream() as upstream, make_harness(upstream) as harness:
        suspend_after_claim(harness, 20.0)
        part = await harness.ask(NON_IDEMPOTENT)
        assert upstream.runs == []
        assert part.refusal.code is RefusalCode.CLAIM_UNAVAILABLE


@pytest.mark.parametrize("others", [False, True])
async def test_process_suspended_while_connecting_sends_no_body(others):
    async with (
        RawUpstream() as upstream,
        make_harness(upstream, upstream) as harness,
    ):
        calls = []

        def current():
            calls.append(harness.clock.now)
            # Called for the plan, before the dispatch and before the body.
            if len(calls) == 3:
                harness.clock.now += 20.0
                ask = next(iter(harness.claims.book.claims.values()))
                if others:
                    harness.claims.dead.add(ask.holder)
                    repeat = Ask("desk", "k1", "entry-2/b/r2", False, "")
                    harness.claims.decide(repeat)
            return True

        harness.runner.dispatcher.current = current
        part = await harness.ask(NON_IDEMPOTENT)
        assert len(upstream.runs) == (0 if others else 1)
        assert isinstance(part, Refused if others else Completed)


async def test_resumed_process_dispatches_if_its_claim_holds():
    async with RawUpstream() as upstream, make_harness(upstream) as harness:
        suspend_after_claim(harness, 20.0, others=False)
        assert isinstance(await harness.ask(NON_IDEMPOTENT), Completed)
        assert len(upstream.runs) == 1
        assert harness.claims.asks == 2


async def test_process_resumed_after_the_deadline_reports_not_run():
    async with RawUpstream() as upstream, make_harness(upstream) as harness:
        suspend_after_claim(harness, 40.0, others=False)
        part = await harness.ask(NON_IDEMPOTENT)
        assert upstream.runs == []
        assert part.refusal.code is RefusalCode.DEADLINE
        assert part.refusal.not_run is True
        await harness.claim_manager.drain()
        claim = harness.claims.book.claims["desk", "k1"]
        assert claim.result is ClaimResult.RELEASED


async def test_non_durable_grant_runs_no_non_idempotent_request():
    async with RawUpstream() as upstream, make_harness(upstream) as harness:
        harness.claims.durable = False
        part = await harness.ask(NON_IDEMPOTENT)
        assert isinstance(part, Refused)
        assert upstream.runs == []


async def test_claim_whose_reply_was_lost_is_released():
    async with RawUpstream() as upstream, make_harness(upstream) as harness:
        harness.claims.lose_replies = True
        part = await harness.ask(NON_IDEMPOTENT)
        await harness.claim_manager.drain()
        assert part.refusal.code is RefusalCode.CLAIM_UNAVAILABLE
        claim = harness.claims.book.claims["desk", "k1"]
        assert claim.result is ClaimResult.RELEASED
        assert upstream.runs == []


async def test_version_withdrawn_after_a_run_is_not_reported_as_not_run():
    async with (
        RawUpstream("fail") as upstream,
        make_harness(upstream, upstream) as harness,
    ):
        stopped = {
            name: attrs.evolve(version, state=VersionState.WITHDRAWN)
            for name, version in harness.configuration.versions.items()
        }
        withdrawn = attrs.evolve(harness.configuration, versions=stopped)
        answer = upstream.answer

        async def withdraw_then_answer(*arguments):
            harness.configuration = withdrawn
            return await answer(*arguments)

        upstream.answer = withdraw_then_answer
        part = await harness.ask(build_request())
        assert len(upstream.runs) == 1
        assert part.refusal.code is RefusalCode.VERSION_WITHDRAWN
        assert part.refusal.not_run is False


def withdraw(harness, *names):
    """Puts a configuration in force that withdraws the given versions."""
    versions = {
        name: attrs.evolve(version, state=VersionState.WITHDRAWN)
        if name in names
        else version
        for name, version in harness.configuration.versions.items()
    }
    harness.configuration = attrs.evolve(
        harness.configuration, versions=versions
    )


async def test_version_withdrawn_before_dispatch_is_replanned():
    async with RawUpstream() as upstream, make_harness(upstream) as harness:
        pinned = attrs.evolve(NON_IDEMPOTENT, pinned=SMALL)
        harness.claims.after_claim = lambda _ask: withdraw(harness, SMALL)
        part = await harness.ask(pinned)
        assert isinstance(part, Completed)
        assert len(upstream.runs) == 1
        assert part.bill.version == LARGE


async def test_request_is_not_run_if_all_versions_are_withdrawn():
    async with RawUpstream() as upstream, make_harness(upstream) as harness:
        harness.claims.after_claim = lambda _ask: withdraw(
            harness, SMALL, LARGE
        )
        part = await harness.ask(NON_IDEMPOTENT)
        assert upstream.runs == []
        assert part.refusal.code is RefusalCode.NO_VERSION
        assert part.refusal.not_run is True


async def test_retry_may_use_a_worker_that_missed_a_probe():
    async with (
        RawUpstream("fail") as one,
        RawUpstream() as two,
        make_harness(one, two) as harness,
    ):
        harness.runner.dispatcher.leaving = {"w1"}
        part = await harness.ask(build_request())
        assert isinstance(part, Completed)
        assert (len(one.runs), len(two.runs)) == (1, 1)


async def test_retry_never_uses_a_worker_announced_as_leaving():
    async with (
        RawUpstream("fail") as one,
        RawUpstream() as two,
        make_harness(one, two) as harness,
    ):
        harness.runner.dispatcher.leaving = {"w1"}
        harness.runner.dispatcher.announced_leaving = lambda: {"w1"}
        part = await harness.ask(build_request())
        assert part.refusal.code is RefusalCode.UPSTREAM_FAILED
        assert two.runs == []


async def test_first_dispatch_is_refused_if_all_workers_missed_a_probe():
    async with RawUpstream() as upstream, make_harness(upstream) as harness:
        harness.runner.dispatcher.leaving = {"w0"}
        part = await harness.ask(build_request())
        assert part.refusal.code is RefusalCode.NO_WORKER
        assert part.refusal.not_run is True
        assert upstream.runs == []


async def test_repeat_gets_its_recorded_answer_without_a_matching_rule():
    async with RawUpstream() as upstream, make_harness(upstream) as harness:
        request = build_request(keyed=True)
        assert isinstance(await harness.ask(request), Completed)
        harness.configuration = attrs.evolve(harness.configuration, rules=[])
        assert isinstance(await harness.ask(request, "r2"), Recorded)
        assert len(upstream.runs) == 1


@pytest.mark.parametrize("keyed", [False, True])
async def test_refused_admission_dispatches_nothing(keyed):
    @asynccontextmanager
    async def refuse(_request, _plan):
        yield Refusal(RefusalCode.QUEUE_FULL, "Full.", True, 3.0)

    async with RawUpstream() as upstream, make_harness(upstream) as harness:
        harness.runner.admit = refuse
        part = await harness.ask(build_request(keyed=keyed))
        await harness.claim_manager.drain()
        assert part.refusal.code is RefusalCode.QUEUE_FULL
        assert part.refusal.not_run is True
        assert part.refusal.retry_after_s == 3.0
        assert upstream.runs == []
        claims = list(harness.claims.book.claims.values())
        results = [claim.result for claim in claims]
        assert results == [ClaimResult.RELEASED] * keyed


async def test_repeated_key_is_not_reported_as_not_run():
    async with RawUpstream() as upstream, make_harness(upstream) as harness:
        lost = Ask("desk", "k1", "entry-9/z/r0", True, "")
        harness.claims.decide(lost)
        harness.claims.dead.add(lost.holder)
        harness.configuration = attrs.evolve(harness.configuration, rules=[])
        part = await harness.ask(build_request(keyed=True))
        assert part.refusal.code is RefusalCode.NO_RULE
        assert part.refusal.not_run is False


async def test_cascade_steps_share_one_bill():
    async with RawUpstream() as upstream, make_harness(upstream) as harness:
        harness.runner.policy = fixed_threshold(0.5)
        part = await harness.ask(build_request())
        assert len(upstream.runs) == 2
        assert part.bill.version == LARGE
        # Each run uses 1 prompt token and generates 3.
        assert (part.bill.prompt_tokens, part.bill.output_tokens) == (2, 6)
        cost = (1 * 1 + 3 * 2) + (1 * 10 + 3 * 20)
        assert part.bill.credits == pytest.approx(cost / 1_000_000)


async def test_non_idempotent_request_runs_one_step():
    async with RawUpstream() as upstream, make_harness(upstream) as harness:
        harness.runner.policy = fixed_threshold(0.5)
        part = await harness.ask(NON_IDEMPOTENT)
        assert part.bill.version == LARGE
        assert len(upstream.runs) == 1


async def test_braked_step_is_not_run():
    async with RawUpstream() as upstream, make_harness(upstream) as harness:
        harness.runner.policy = fixed_threshold(0.5)
        answer = upstream.answer

        async def brake_then_answer(*arguments):
            harness.runner.braked = {LARGE}
            return await answer(*arguments)

        upstream.answer = brake_then_answer
        part = await harness.ask(build_request())
        assert part.bill.version == SMALL
        assert len(upstream.runs) == 1


async def test_retries_are_limited_to_a_share_of_the_requests():
    async with (
        RawUpstream("fail") as upstream,
        make_harness(upstream, upstream) as harness,
    ):
        codes = set()
        for number in range(100):
            request = build_request(key=f"k{number}")
            part = await harness.ask(request, f"r{number}")
            assert part.refusal.not_run is False
            assert part.refusal.retry_after_s > 0
            codes.add(part.refusal.code)
        assert codes == {
            RefusalCode.UPSTREAM_FAILED,
            RefusalCode.RETRY_BUDGET,
        }
        assert 100 + 20 <= len(upstream.runs) <= 100 + 20 + 10


async def test_worker_in_backoff_gets_no_requests():
    async with (
        RawUpstream("tired") as one,
        RawUpstream() as two,
        make_harness(one, two) as harness,
    ):
        for number in range(20):
            part = await harness.ask(
                build_request(key=f"k{number}"), f"r{number}"
            )
            assert isinstance(part, Completed)
        assert one.request_count <= 1
        two.mode = "tired"
        await harness.ask(build_request(key="last"), "last")
        part = await harness.ask(build_request(key="again"), "again")
        assert part.refusal.code is RefusalCode.NO_WORKER
        assert two.request_count == 20 + 1
