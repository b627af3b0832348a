"""Entries before full workers, in virtual time.

Each case fails without the part, as the same load with the switch off shows.
"""

import asyncio
import random

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rattanpier._internal.models.policy import DEFAULT_POLICY
from rattanpier._internal.models.refusal import RefusalCode
from rattanpier._internal.models.upstream_request import ReportedLoad
from tests.lib.full_fleet import FullFleet, served_share
from tests.lib.virtual import run_virtual

WITHOUT = attrs.evolve(DEFAULT_POLICY, admission=False)
# Size of each workspace relative to the others; t0 is the largest.
SIZES = {f"t{number}": 1 / (number + 2) for number in range(12)}
FLOODING = "t0"
USUAL_LOAD = 0.7  # Of what workers can serve.


@attrs.frozen
class Site:
    """Numbers of entries, workers and slots, and the work of a request."""

    entries: int
    workers: int
    slots: int
    work_s: float
    timeout_s: float
    seconds: float

    @property
    def per_s(self):
        return self.workers * self.slots / self.work_s


SMALL_SITE = Site(8, 8, 8, 1.0, 6.0, 40.0)
LARGE_SITE = Site(100, 16, 32, 5.0, 25.0, 50.0)


def make_fleet(site, policy, **more):
    fleet = FullFleet(
        policy=policy, work_s=lambda _request: site.work_s, **more
    )
    fleet.add_workers(site.workers, site.slots)
    fleet.add_entries(site.entries)
    return fleet


async def flood(site, policy, factor):
    """One workspace sends `factor` times its usual; returns the fleet."""
    fleet = make_fleet(site, policy)
    news = asyncio.ensure_future(fleet.share_queues())
    unit = USUAL_LOAD * site.per_s / sum(SIZES.values())
    await asyncio.gather(
        *(
            fleet.arrive(
                unit * size * (factor if name == FLOODING else 1),
                site.seconds,
                lambda name=name: fleet.make(
                    name, timeout_s=site.timeout_s, tokens=800
                ),
            )
            for name, size in SIZES.items()
        )
    )
    await asyncio.sleep(site.timeout_s + 1.0)
    news.cancel()
    return fleet


def small_share(fleet):
    """Returns which share of the other workspaces' requests was served."""
    return served_share(
        each for each in fleet.results if each.workspace != FLOODING
    )


def check_ends(fleet):
    """Every request ended, refusals are true, and nothing is left over."""
    assert all(each.ended_at >= each.at for each in fleet.results)
    assert not [each for each in fleet.refused() if fleet.runs_of(each.id)]
    assert fleet.queued() == fleet.in_flight() == 0
    for entry in fleet.entries:
        state = entry.admission.services["s"]
        assert state.running == 0
        assert state.running_cost == pytest.approx(0.0)
    assert all(each.running == 0 for each in fleet.engines.values())


@pytest.mark.parametrize("site", [SMALL_SITE, LARGE_SITE])
def test_a_flood_of_one_workspace_leaves_the_others_served(site):
    usual = run_virtual(flood(site, DEFAULT_POLICY, 1))
    flooded = run_virtual(flood(site, DEFAULT_POLICY, 7))
    check_ends(flooded)
    assert small_share(flooded) >= 0.9 * small_share(usual)
    without = run_virtual(flood(site, WITHOUT, 7))
    assert small_share(without) < 0.9 * small_share(usual)


BURST_S = 4.0
URGENT, RELAXED = 1, 7


async def burst(policy):
    """Twice the room for 4 s, then half of it; returns fleet and queue."""
    site = Site(8, 8, 8, 0.5, 3.0, BURST_S)
    fleet = make_fleet(site, policy)
    news = asyncio.ensure_future(fleet.share_queues())
    rng = random.Random(5)

    def make():
        priority = rng.choice((URGENT, RELAXED))
        return fleet.make("a", priority, timeout_s=site.timeout_s, tokens=800)

    await fleet.arrive(0.5 * site.per_s, 3.0, make)
    began = fleet.clock.monotonic()
    await fleet.arrive(2.0 * site.per_s, BURST_S, make)
    after = asyncio.ensure_future(fleet.arrive(0.5 * site.per_s, 4.0, make))
    await asyncio.sleep(2.0)
    left = fleet.queued()
    await after
    await asyncio.sleep(site.timeout_s + 1.0)
    news.cancel()
    return fleet, began, left


def test_a_burst_is_refused_at_once_or_served_in_time():
    fleet, began, left = run_virtual(burst(DEFAULT_POLICY))
    check_ends(fleet)
    assert left == 0
    shares = {
        priority: served_share(
            each
            for each in fleet.results
            if each.priority == priority and began <= each.at < began + BURST_S
        )
        for priority in (URGENT, RELAXED)
    }
    assert shares[URGENT] >= shares[RELAXED]
    waits = sorted(each.took_s for each in fleet.refused())
    assert waits[len(waits) // 2] <= 0.25 * 3.0
    without, _, _ = run_virtual(burst(WITHOUT))
    assert not without.refused()
    assert served_share(without.results) < served_share(fleet.results)
    # Those that workers, which go by priority, hold to their deadlines.
    assert count_late(fleet) <= 0.5 * count_late(without)


def count_late(fleet):
    return sum(each.outcome == "504" for each in fleet.results)


def test_entries_without_any_load_figures_refuse_nothing():
    """Peers are cut off and workers report no load."""

    async def load():
        site = Site(8, 8, 8, 1.0, 6.0, 10.0)
        fleet = make_fleet(site, DEFAULT_POLICY, reports=False)
        await fleet.arrive(
            USUAL_LOAD * site.per_s,
            site.seconds,
            lambda: fleet.make("a", timeout_s=site.timeout_s, tokens=800),
        )
        await asyncio.sleep(site.timeout_s)
        return fleet

    fleet = run_virtual(load())
    check_ends(fleet)
    assert served_share(fleet.results) == 1.0
    for entry in fleet.entries:
        assert entry.metrics.counts["relay.queued"] == 0


def test_old_load_figures_refuse_nothing():
    """The last report of each worker said that it is full; then it idles."""

    async def load():
        site = Site(2, 4, 8, 1.0, 3.0, 0.0)
        fleet = make_fleet(site, DEFAULT_POLICY, reports=False)
        for entry in fleet.entries:
            for id in fleet.engines:
                entry.loads.record_report(id, ReportedLoad(8, 17, 8))
        tasks = []
        for _ in range(60):
            await asyncio.sleep(0.1)
            request = fleet.make("a", timeout_s=site.timeout_s, tokens=800)
            tasks.append(fleet.start(request, fleet.entries[0]))
        await asyncio.gather(*tasks)
        return fleet

    fleet = run_virtual(load())
    check_ends(fleet)
    assert served_share(fleet.results) == 1.0


def test_a_stopping_entry_refuses_its_queue_at_once():
    async def load(policy):
        site = Site(1, 1, 1, 1.0, 9.0, 0.0)
        fleet = make_fleet(site, policy)
        for _ in range(8):
            request = fleet.make("a", timeout_s=site.timeout_s)
            fleet.start(request, fleet.entries[0])
        await asyncio.sleep(0.5)
        queued = fleet.queued()
        fleet.entries[0].admission.stop()
        await asyncio.sleep(0.01)
        codes = [each.refusal.code for each in fleet.refused()]
        await asyncio.sleep(site.timeout_s)
        return fleet, queued, codes

    fleet, queued, codes = run_virtual(load(DEFAULT_POLICY))
    check_ends(fleet)
    assert queued == 5
    assert codes == [RefusalCode.DRAINING] * 5
    assert served_share(fleet.results) == 3 / 8
    assert run_virtual(load(WITHOUT))[1:] == (0, [])


def test_a_request_larger_than_a_cache_is_refused_at_once():
    async def load():
        fleet = make_fleet(
            Site(1, 2, 4, 1.0, 3.0, 0.0), DEFAULT_POLICY, kv_tokens=10000
        )
        entry = fleet.entries[0]
        await fleet.start(fleet.make("a", tokens=9900), entry)
        await fleet.start(fleet.make("a", tokens=9901), entry)
        return fleet

    fleet = run_virtual(load())
    check_ends(fleet)
    served, refused = fleet.results
    assert served.served
    assert refused.outcome == "503"
    assert refused.took_s == 0.0


def test_requests_queue_for_the_tokens_of_a_cache():
    async def load(policy):
        fleet = make_fleet(
            Site(1, 1, 8, 1.0, 9.0, 0.0), policy, kv_tokens=10000
        )
        entry = fleet.entries[0]
        for _ in range(3):
            request = fleet.make("a", tokens=4800, timeout_s=9.0)
            fleet.start(request, entry)
        await asyncio.sleep(0.01)
        held = fleet.in_flight()
        await asyncio.sleep(9.0)
        return fleet, held

    fleet, held = run_virtual(load(DEFAULT_POLICY))
    check_ends(fleet)
    assert held == 2
    assert served_share(fleet.results) == 1.0
    assert run_virtual(load(WITHOUT))[1] == 3


CALLS = st.lists(
    st.tuples(
        st.floats(0.0, 0.6),  # Seconds after the one before.
        st.sampled_from([1, 5]),  # Priority.
        st.floats(0.3, 4.0),  # Time-out.
        st.none() | st.floats(0.0, 3.0),  # When the caller leaves.
    ),
    max_size=30,
)


@settings(max_examples=60, deadline=None, derandomize=True)
@given(CALLS, st.sampled_from([None, 0, 2]), st.booleans())
def test_no_slot_leaks(calls, queue, streaming):
    """Any arrivals, ends and cancellations, with and without refusals."""

    async def load():
        rng = random.Random(1)
        fleet = FullFleet(work_s=lambda _request: rng.uniform(0.1, 1.5))
        fleet.add_workers(2, 1, queue)
        fleet.add_entries(1)
        loop = asyncio.get_running_loop()
        for gap_s, priority, timeout_s, leaves_s in calls:
            await asyncio.sleep(gap_s)
            request = fleet.make(
                "a",
                priority,
                timeout_s,
                streaming=streaming,
                idempotent=not streaming,
            )
            task = fleet.start(request, fleet.entries[0])
            if leaves_s is not None:
                loop.call_later(leaves_s, task.cancel)
        await asyncio.sleep(10.0)
        return fleet

    fleet = run_virtual(load())
    check_ends(fleet)
