"""A failure domain that operators drain gets nothing new until it is back.

What was seen: entries knew nothing of such orders; 798 requests reached the
workers of a drained domain.
"""

import asyncio
import time

import pytest

from rattanpier._internal.models.domain_order import DomainOrder
from rattanpier._internal.placement.drained_domains import (
    REISSUE_GRACE_S,
    DrainedDomains,
)
from rattanpier._internal.programs.relay import close
from rattanpier._internal.standin.platform_store import (
    Door,
    StoredRow,
    StoreFault,
)
from rattanpier._internal.standin.platform_worker import WorkerFault
from tests.lib.clock import ManualClock
from tests.lib.platform_site import events, platform_site, until
from tests.lib.relay_parts import at, make_worker

# Where the entries themselves stand: its workers would be preferred.
DRAIN = "evacuate/zone-a"


# What counts, without a network.


def drained(domain, revision):
    return DomainOrder(domain, True, at(revision))


def test_an_order_counts_until_its_end_was_seen():
    domains = DrainedDomains()
    workers = [make_worker("w1", domain="a"), make_worker("w2", domain="b")]
    assert domains.open_workers(workers) == workers
    domains.apply_order(drained("b", 7), "store")
    assert domains.open_workers(workers) == workers[:1]
    domains.apply_order(DomainOrder("b", False, at(9)), "store")
    assert domains.open_workers(workers) == workers


def test_an_older_end_lifts_no_newer_order():
    domains = DrainedDomains()
    domains.apply_order(drained("b", 9), "peer")
    domains.apply_order(DomainOrder("b", False, at(8)), "snapshot")
    domains.replace([], revision=at(8))
    assert domains.drained == {"b"}


def test_a_peer_that_knows_less_drains_nothing_anew():
    domains = DrainedDomains()
    domains.apply_order(drained("b", 7), "store")
    domains.apply_order(DomainOrder("b", False, at(9)), "store")
    domains.apply_peer_orders([drained("b", 7)])
    assert not domains.drained


def test_a_whole_table_without_an_order_ends_it():
    returned = []
    domains = DrainedDomains(returned.append)
    domains.apply_order(drained("a", 5), "store")
    domains.apply_order(drained("b", 6), "store")
    domains.replace([drained("a", 5)], revision=at(8))
    assert domains.drained == {"a"}
    assert returned == ["b"]


def test_an_order_again_right_after_its_end_counts():
    domains = DrainedDomains()
    for revision, order in enumerate([True, False, True], start=1):
        domains.apply_order(DomainOrder("b", order, at(revision)), "store")
    assert domains.drained == {"b"}


# A store that came back from an older copy.


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def restored(clock):
    """Orders of the first era; the store is about to begin the second."""
    domains = DrainedDomains(clock=clock)
    domains.replace([], at(1))
    return domains


def test_an_order_that_the_copy_lacks_counts_until_it_is_written_again(
    restored, clock
):
    restored.apply_order(drained("b", 9), "store")
    restored.replace([], at(4, era=2))
    assert restored.drained == {"b"}
    clock.now += REISSUE_GRACE_S - 0.1
    restored.apply_order(DomainOrder("b", True, at(6, era=2)), "store")
    clock.now += REISSUE_GRACE_S
    restored.expire_grace_periods()
    assert restored.drained == {"b"}
    restored.apply_order(DomainOrder("b", False, at(7, era=2)), "store")
    assert not restored.drained


def test_an_order_that_is_not_written_again_ends(restored, clock):
    restored.apply_order(drained("b", 9), "store")
    restored.replace([], at(4, era=2))
    clock.now += REISSUE_GRACE_S
    restored.expire_grace_periods()
    assert not restored.drained
    # What a peer still tells of the earlier era brings it back no more.
    restored.apply_peer_orders([drained("b", 9)])
    assert not restored.drained


def test_an_order_that_ended_stays_ended_though_the_copy_shows_it(restored):
    restored.apply_order(drained("b", 3), "store")
    restored.apply_order(DomainOrder("b", False, at(9)), "store")
    restored.replace([DomainOrder("b", True, at(3, era=2))], at(4, era=2))
    assert not restored.drained
    restored.replace([DomainOrder("b", True, at(3, era=2))], at(5, era=2))
    assert not restored.drained
    restored.apply_order(DomainOrder("b", True, at(6, era=2)), "store")
    assert restored.drained == {"b"}


def test_an_order_that_is_shown_for_long_counts(restored, clock):
    """Operators may have ordered anew just before the copy took over."""
    restored.apply_order(drained("b", 3), "store")
    restored.apply_order(DomainOrder("b", False, at(9)), "store")
    restored.replace([DomainOrder("b", True, at(3, era=2))], at(4, era=2))
    clock.now += REISSUE_GRACE_S
    restored.expire_grace_periods()
    assert restored.drained == {"b"}
    restored.replace([], at(5, era=2))
    assert not restored.drained


def test_an_order_that_stands_in_the_copy_ends_by_its_removal(restored):
    restored.apply_order(drained("b", 3), "store")
    restored.replace([DomainOrder("b", True, at(3, era=2))], at(4, era=2))
    assert restored.drained == {"b"}
    restored.replace([], at(5, era=2))
    assert not restored.drained


def test_a_peer_tells_a_newcomer_of_an_order_that_the_copy_lacks(
    restored, clock
):
    restored.replace([], at(4, era=2))
    restored.apply_peer_orders([drained("b", 9)])
    assert restored.drained == {"b"}
    clock.now += REISSUE_GRACE_S
    restored.expire_grace_periods()
    assert not restored.drained


def test_an_order_has_as_long_to_be_written_again_in_each_era(restored, clock):
    restored.apply_order(drained("b", 9), "store")
    restored.replace([], at(4, era=2))
    clock.now += REISSUE_GRACE_S - 0.1
    restored.replace([], at(4, era=3))
    clock.now += 0.2
    restored.expire_grace_periods()
    assert restored.drained == {"b"}


def test_a_second_return_within_seconds_lifts_nothing(restored, clock):
    restored.apply_order(drained("b", 9), "store")
    restored.replace([], at(4, era=2))
    clock.now += REISSUE_GRACE_S / 2
    restored.apply_order(DomainOrder("b", True, at(6, era=2)), "store")
    restored.replace([], at(4, era=3))
    clock.now += REISSUE_GRACE_S - 0.1
    restored.expire_grace_periods()
    assert restored.drained == {"b"}


# Real entries.


@pytest.fixture
async def site():
    async with platform_site() as made:
        for name, domain in (("a1", "zone-a"), ("b1", "zone-b")):
            await made.add_worker(name)
            made.register(name, zone=domain)
            engine = f"e-{name}"
            await made.add_worker(engine, "engine")
            made.register(engine, "engine", zone=domain)
        yield made


def drains(entry, *domains):
    return lambda: entry.state.domains.drained == set(domains)


def forget_runs(site):
    for worker in site.workers.values():
        worker.runs.clear()


def runs_there(site):
    return [
        run
        for name in ("a1", "e-a1")
        for run in site.workers[name].runs
        if not run.target.startswith("/rattanpier/")
    ]


async def ask_much(site, entry="entry-1"):
    """Plain requests and streams; returns their statuses."""
    answers = [await site.ask(entry=entry) for _ in range(8)]
    answers += [await site.ask("/unsafe/x", entry=entry) for _ in range(4)]
    answers += [await site.chat(entry=entry) for _ in range(8)]
    return {answer.status for answer in answers}


async def test_nothing_is_sent_to_a_drained_domain_until_it_is_back(site):
    entry = await site.add_entry()
    await ask_much(site)
    assert runs_there(site)
    site.store.put("op", DRAIN, {})
    await until(drains(entry, "zone-a"))
    forget_runs(site)
    assert await ask_much(site) == {200}
    assert runs_there(site) == []
    site.store.remove("op", DRAIN)
    await until(drains(entry))
    await ask_much(site)
    assert runs_there(site)


async def test_larger_models_and_repeats_go_there_neither(site):
    for name in ("e-a1", "e-b1"):
        site.workers[name].confidence = {"small": 1.0, "large": 90.0}
    # The one outside fails its first answers, so that all are sent again.
    site.workers["b1"].fault = WorkerFault.RESET
    site.workers["b1"].count = 4
    entry = await site.add_entry()
    site.store.put("op", DRAIN, {})
    await until(drains(entry, "zone-a"))
    await ask_much(site)
    assert runs_there(site) == []


async def test_an_order_whose_value_is_spoiled_is_obeyed(site):
    entry = await site.add_entry()
    site.store.version += 1
    # Base64 of bytes that are no JSON text.
    site.store.rows["op", DRAIN] = StoredRow("/wD+", site.store.version)
    site.store.tell()
    await until(drains(entry, "zone-a"))
    assert await ask_much(site) == {200}
    assert runs_there(site) == []


async def test_a_stream_that_runs_there_ends_whole(site):
    for name in ("e-a1", "e-b1"):
        site.workers[name].event_gap_s = 0.1
    entry = await site.add_entry()
    streams = [asyncio.ensure_future(site.chat()) for _ in range(6)]
    await until(lambda: runs_there(site))
    site.store.put("op", DRAIN, {})
    await until(drains(entry, "zone-a"))
    for answer in await asyncio.gather(*streams):
        assert answer.whole
        assert events(answer.body) == [1, 2, 3, 4, 5]


async def test_with_all_domains_drained_requests_are_refused_at_once(site):
    entry = await site.add_entry()
    site.store.put("op", "evacuate/zone-b", {})
    site.store.put("op", DRAIN, {})
    await until(drains(entry, "zone-a", "zone-b"))
    began = time.monotonic()
    answer = await site.ask()
    assert answer.status == 503
    assert float(answer.headers["Retry-After"]) > 0
    assert time.monotonic() - began < 0.3
    assert (await site.chat()).status == 503
    site.store.remove("op", "evacuate/zone-b")
    await until(drains(entry, "zone-a"))
    assert (await site.ask()).status == 200
    assert runs_there(site) == []


async def test_a_store_that_is_away_or_forgets_lifts_nothing(site):
    entry = await site.add_entry()
    site.store.put("op", DRAIN, {})
    await until(drains(entry, "zone-a"))
    site.store.set_fault(StoreFault.BUSY)
    await until(lambda: not entry.state.health.available)
    site.store.compact()
    site.store.set_fault(StoreFault.NONE)
    await until(lambda: entry.state.health.available)
    calls = len(site.store.calls)
    await until(lambda: "rows-get" in site.store.calls[calls:])
    assert entry.state.domains.drained == {"zone-a"}
    assert await ask_much(site) == {200}
    assert runs_there(site) == []


async def test_an_end_during_an_outage_is_seen_after_it(site):
    entry = await site.add_entry()
    site.store.put("op", DRAIN, {})
    await until(drains(entry, "zone-a"))
    site.store.set_fault(StoreFault.BUSY)
    await until(lambda: not entry.state.health.available)
    site.store.remove("op", DRAIN)
    site.store.compact()
    assert entry.state.domains.drained == {"zone-a"}
    site.store.set_fault(StoreFault.NONE)
    await until(drains(entry))


async def test_entries_that_the_store_turns_away_obey_and_end_it(site):
    door = Door()
    first = await site.add_entry("entry-1")
    address = await site.add_door(door)
    second = await site.add_entry("entry-2", store=address)
    await until(lambda: len(second.fleet.entries()) == 2)
    await until(lambda: len(first.fleet.entries()) == 2)
    door.closed = True
    site.store.tell()
    await until(lambda: not second.state.health.available)
    site.store.put("op", DRAIN, {})
    for entry in (first, second):
        await until(drains(entry, "zone-a"))
    assert await ask_much(site, "entry-2") == {200}
    assert runs_there(site) == []
    site.store.remove("op", DRAIN)
    for entry in (first, second):
        await until(drains(entry))


async def test_a_start_in_an_outage_learns_of_it_before_callers_come(site):
    first = await site.add_entry("entry-1")
    site.store.put("op", DRAIN, {})
    await until(drains(first, "zone-a"))
    site.store.set_fault(StoreFault.BUSY)
    second = await site.add_entry(
        "entry-2", seeds=[str(first.settings.peers)], ready=True
    )
    assert second.state.domains.drained == {"zone-a"}
    forget_runs(site)
    assert await ask_much(site, "entry-2") == {200}
    assert runs_there(site) == []
    await close(site.entries.pop("entry-1"))
    assert second.state.domains.drained == {"zone-a"}
