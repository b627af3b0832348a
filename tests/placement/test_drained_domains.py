"""Drained failure domains get no new requests until they are undrained.

Guards against entries that do not know of drain orders: 798 requests reached
the workers of a drained domain.
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
    StoredRow,
    StoreFault,
    StoreListener,
)
from rattanpier._internal.standin.platform_worker import WorkerFault
from tests.lib.clock import ManualClock
from tests.lib.platform_site import event_numbers, platform_site, until
from tests.lib.relay_parts import at, make_worker

# The domain of the entries themselves, whose workers would be preferred.
DRAIN_KEY = "evacuate/zone-a"


# Orders without a network.


def drained(domain, revision):
    return DomainOrder(domain, True, at(revision))


def test_order_stays_in_force_until_its_removal_is_seen():
    domains = DrainedDomains()
    workers = [make_worker("w1", domain="a"), make_worker("w2", domain="b")]
    assert domains.open_workers(workers) == workers
    domains.apply_order(drained("b", 7), "store")
    assert domains.open_workers(workers) == workers[:1]
    domains.apply_order(DomainOrder("b", False, at(9)), "store")
    assert domains.open_workers(workers) == workers


def test_older_removal_does_not_end_newer_order():
    domains = DrainedDomains()
    domains.apply_order(drained("b", 9), "peer")
    domains.apply_order(DomainOrder("b", False, at(8)), "snapshot")
    domains.replace([], revision=at(8))
    assert domains.drained == {"b"}


def test_outdated_peer_does_not_drain_domain_again():
    domains = DrainedDomains()
    domains.apply_order(drained("b", 7), "store")
    domains.apply_order(DomainOrder("b", False, at(9)), "store")
    domains.apply_peer_orders([drained("b", 7)])
    assert not domains.drained


def test_full_read_without_order_ends_it():
    returned = []
    domains = DrainedDomains(returned.append)
    domains.apply_order(drained("a", 5), "store")
    domains.apply_order(drained("b", 6), "store")
    domains.replace([drained("a", 5)], revision=at(8))
    assert domains.drained == {"a"}
    assert returned == ["b"]


def test_order_right_after_removal_takes_effect():
    domains = DrainedDomains()
    for revision, order in enumerate([True, False, True], start=1):
        domains.apply_order(DomainOrder("b", order, at(revision)), "store")
    assert domains.drained == {"b"}


# A store that was restored from a backup.


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def restored(clock):
    """Orders in the first era of the store, just before the second."""
    domains = DrainedDomains(clock=clock)
    domains.replace([], at(1))
    return domains


def test_order_missing_from_restored_store_stays_until_reissued(
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


def test_order_missing_from_restored_store_ends_after_grace_period(
    restored, clock
):
    restored.apply_order(drained("b", 9), "store")
    restored.replace([], at(4, era=2))
    clock.now += REISSUE_GRACE_S
    restored.expire_grace_periods()
    assert not restored.drained
    # A late report from a peer, of the earlier era, does not restore it.
    restored.apply_peer_orders([drained("b", 9)])
    assert not restored.drained


def test_ended_order_in_restored_store_stays_ended(restored):
    restored.apply_order(drained("b", 3), "store")
    restored.apply_order(DomainOrder("b", False, at(9)), "store")
    restored.replace([DomainOrder("b", True, at(3, era=2))], at(4, era=2))
    assert not restored.drained
    restored.replace([DomainOrder("b", True, at(3, era=2))], at(5, era=2))
    assert not restored.drained
    restored.apply_order(DomainOrder("b", True, at(6, era=2)), "store")
    assert restored.drained == {"b"}


def test_ended_order_in_restored_store_counts_after_grace_period(
    restored, clock
):
    """Operators may have drained it again just before the restore."""
    restored.apply_order(drained("b", 3), "store")
    restored.apply_order(DomainOrder("b", False, at(9)), "store")
    restored.replace([DomainOrder("b", True, at(3, era=2))], at(4, era=2))
    clock.now += REISSUE_GRACE_S
    restored.expire_grace_periods()
    assert restored.drained == {"b"}
    restored.replace([], at(5, era=2))
    assert not restored.drained


def test_order_kept_by_restored_store_ends_with_its_removal(restored):
    restored.apply_order(drained("b", 3), "store")
    restored.replace([DomainOrder("b", True, at(3, era=2))], at(4, era=2))
    assert restored.drained == {"b"}
    restored.replace([], at(5, era=2))
    assert not restored.drained


def test_peer_reports_order_missing_from_restored_store_to_new_entry(
    restored, clock
):
    restored.replace([], at(4, era=2))
    restored.apply_peer_orders([drained("b", 9)])
    assert restored.drained == {"b"}
    clock.now += REISSUE_GRACE_S
    restored.expire_grace_periods()
    assert not restored.drained


def test_each_era_restarts_the_grace_period(restored, clock):
    restored.apply_order(drained("b", 9), "store")
    restored.replace([], at(4, era=2))
    clock.now += REISSUE_GRACE_S - 0.1
    restored.replace([], at(4, era=3))
    clock.now += 0.2
    restored.expire_grace_periods()
    assert restored.drained == {"b"}


def test_second_restore_within_seconds_ends_no_order(restored, clock):
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


def has_drained(entry, *domains):
    return lambda: entry.state.domains.drained == set(domains)


def clear_runs(site):
    for worker in site.workers.values():
        worker.runs.clear()


def runs_in_zone_a(site):
    return [
        run
        for name in ("a1", "e-a1")
        for run in site.workers[name].runs
        if not run.target.startswith("/rattanpier/")
    ]


async def send_requests(site, entry="entry-1"):
    """Sends plain requests and streams; returns their statuses."""
    answers = [await site.ask(entry=entry) for _ in range(8)]
    answers += [await site.ask("/unsafe/x", entry=entry) for _ in range(4)]
    answers += [await site.chat(entry=entry) for _ in range(8)]
    return {answer.status for answer in answers}


async def test_drained_domain_gets_no_requests_until_undrained(site):
    entry = await site.add_entry()
    await send_requests(site)
    assert runs_in_zone_a(site)
    site.store.put("op", DRAIN_KEY, {})
    await until(has_drained(entry, "zone-a"))
    clear_runs(site)
    assert await send_requests(site) == {200}
    assert runs_in_zone_a(site) == []
    site.store.remove("op", DRAIN_KEY)
    await until(has_drained(entry))
    await send_requests(site)
    assert runs_in_zone_a(site)


async def test_drained_domain_gets_no_escalations_or_retries(site):
    for name in ("e-a1", "e-b1"):
        site.workers[name].confidence = {"small": 1.0, "large": 90.0}
    # The worker outside the domain fails its first answers to force retries.
    site.workers["b1"].fault = WorkerFault.RESET
    site.workers["b1"].count = 4
    entry = await site.add_entry()
    site.store.put("op", DRAIN_KEY, {})
    await until(has_drained(entry, "zone-a"))
    await send_requests(site)
    assert runs_in_zone_a(site) == []


async def test_order_with_unreadable_value_takes_effect(site):
    entry = await site.add_entry()
    site.store.version += 1
    # Base64 of bytes that are not JSON.
    site.store.rows["op", DRAIN_KEY] = StoredRow("/wD+", site.store.version)
    site.store.wake_feeds()
    await until(has_drained(entry, "zone-a"))
    assert await send_requests(site) == {200}
    assert runs_in_zone_a(site) == []


async def test_running_streams_finish_when_domain_is_drained(site):
    for name in ("e-a1", "e-b1"):
        site.workers[name].event_gap_s = 0.1
    entry = await site.add_entry()
    streams = [asyncio.ensure_future(site.chat()) for _ in range(6)]
    await until(lambda: runs_in_zone_a(site))
    site.store.put("op", DRAIN_KEY, {})
    await until(has_drained(entry, "zone-a"))
    for answer in await asyncio.gather(*streams):
        assert answer.complete
        assert event_numbers(answer.body) == [1, 2, 3, 4, 5]


async def test_requests_are_refused_at_once_if_all_domains_are_drained(site):
    entry = await site.add_entry()
    site.store.put("op", "evacuate/zone-b", {})
    site.store.put("op", DRAIN_KEY, {})
    await until(has_drained(entry, "zone-a", "zone-b"))
    began = time.monotonic()
    answer = await site.ask()
    assert answer.status == 503
    assert float(answer.headers["Retry-After"]) > 0
    assert time.monotonic() - began < 0.3
    assert (await site.chat()).status == 503
    site.store.remove("op", "evacuate/zone-b")
    await until(has_drained(entry, "zone-a"))
    assert (await site.ask()).status == 200
    assert runs_in_zone_a(site) == []


async def test_store_outage_or_compaction_does_not_end_order(site):
    entry = await site.add_entry()
    site.store.put("op", DRAIN_KEY, {})
    await until(has_drained(entry, "zone-a"))
    site.store.set_fault(StoreFault.BUSY)
    await until(lambda: not entry.state.health.available)
    site.store.compact()
    site.store.set_fault(StoreFault.NONE)
    await until(lambda: entry.state.health.available)
    calls = len(site.store.calls)
    await until(lambda: "rows-get" in site.store.calls[calls:])
    assert entry.state.domains.drained == {"zone-a"}
    assert await send_requests(site) == {200}
    assert runs_in_zone_a(site) == []


async def test_removal_during_store_outage_takes_effect_after_it(site):
    entry = await site.add_entry()
    site.store.put("op", DRAIN_KEY, {})
    await until(has_drained(entry, "zone-a"))
    site.store.set_fault(StoreFault.BUSY)
    await until(lambda: not entry.state.health.available)
    site.store.remove("op", DRAIN_KEY)
    site.store.compact()
    assert entry.state.domains.drained == {"zone-a"}
    site.store.set_fault(StoreFault.NONE)
    await until(has_drained(entry))


async def test_entries_without_store_access_follow_order_and_removal(site):
    door = StoreListener()
    first = await site.add_entry("entry-1")
    address = await site.add_door(door)
    second = await site.add_entry("entry-2", store=address)
    await until(lambda: len(second.fleet.entries()) == 2)
    await until(lambda: len(first.fleet.entries()) == 2)
    door.closed = True
    site.store.wake_feeds()
    await until(lambda: not second.state.health.available)
    site.store.put("op", DRAIN_KEY, {})
    for entry in (first, second):
        await until(has_drained(entry, "zone-a"))
    assert await send_requests(site, "entry-2") == {200}
    assert runs_in_zone_a(site) == []
    site.store.remove("op", DRAIN_KEY)
    for entry in (first, second):
        await until(has_drained(entry))


async def test_entry_started_in_store_outage_learns_of_order_before_serving(
    site,
):
    first = await site.add_entry("entry-1")
    site.store.put("op", DRAIN_KEY, {})
    await until(has_drained(first, "zone-a"))
    site.store.set_fault(StoreFault.BUSY)
    second = await site.add_entry(
        "entry-2", seeds=[str(first.settings.peers)], ready=True
    )
    assert second.state.domains.drained == {"zone-a"}
    clear_runs(site)
    assert await send_requests(site, "entry-2") == {200}
    assert runs_in_zone_a(site) == []
    await close(site.entries.pop("entry-1"))
    assert second.state.domains.drained == {"zone-a"}
