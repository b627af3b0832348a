"""A few entries poll the queue lengths of engines on behalf of all."""

import collections

import pytest

from rattanpier._internal.models.upstream_request import ReportedLoad
from rattanpier._internal.relay.directory import WorkerDirectory
from rattanpier._internal.relay.fleet import Fleet
from rattanpier._internal.relay.load import Loads
from rattanpier._internal.relay.queue_watch import (
    FRESH_REPORT_S,
    MAX_ENGINES_PER_READER,
    PART_TTL_S,
    QueueUpdate,
    QueueWatch,
)
from rattanpier._internal.utils.codec import unpack
from tests.lib.clock import ManualClock
from tests.lib.platform_site import platform_site, until
from tests.lib.relay_parts import make_worker
from tests.relay.test_fleet import make_entry_state


def make_watch(clock, reports, others=("e2", "e3"), name="e1", sent=None):
    """Makes a watch over engines with these queue lengths; None: no answer."""
    sent = [] if sent is None else sent
    fleet = Fleet(make_entry_state(name, store=True), clock)
    for other in others:
        fleet.apply_state(
            make_entry_state(other, sequence=1, store=len(others) > 2)
        )
    directory = WorkerDirectory(clock)
    for id in reports:
        directory.put(make_worker(id, service="engine"))
    polled = []

    async def read(worker, _limit_s):
        polled.append(worker.id)
        waiting = reports[worker.id]
        return None if waiting is None else ReportedLoad(1, waiting, 0)

    published = []
    watch = QueueWatch(
        fleet=fleet,
        directory=directory,
        loads=Loads(clock),
        notify_all=published.append,
        notify_one=lambda message, name: sent.append((name, message)),
        clock=clock,
        engines=lambda: ["engine"],
        read=read,
        on_restart=lambda _worker: None,
    )
    return watch, polled, published


@pytest.fixture
def clock():
    return ManualClock()


async def test_queue_lengths_are_published_to_all_entries(clock):
    watch, _, published = make_watch(clock, {"w1": 3, "w2": 0, "w3": None})
    clock.now = 10.0
    await watch.round()
    assert len(published) == 1
    other, *_ = make_watch(clock, {"w1": 0, "w2": 0, "w3": 0})
    other.receive_update(published[0].queue_news)
    now = clock.monotonic()
    for each in (watch, other):
        assert each.loads.workers["w1"].peer_requests(now)[1] == pytest.approx(
            3, 0.1
        )
        assert each.loads.workers["w2"].peer_requests(now)[1] == 0.0


async def test_published_queue_length_decays(clock):
    watch, *_ = make_watch(clock, {"w1": 4})
    clock.now = 10.0
    watch.apply_update(QueueUpdate(1, {"w1": 4}))
    assert watch.loads.workers["w1"].peer_requests(clock.now + 8.0)[1] < 0.1


async def test_own_waiting_requests_are_not_counted_twice(clock):
    watch, *_ = make_watch(clock, {"w1": 0})
    clock.now = 10.0
    for _ in range(2):
        watch.loads.begin("w1", 0.1)
    watch.apply_update(QueueUpdate(1, {"w1": 3}))
    waiting = watch.loads.workers["w1"].peer_requests(clock.now)[1]
    assert waiting == pytest.approx(1, 0.1)


async def test_engine_with_fresh_report_is_not_polled(clock):
    watch, polled, _ = make_watch(clock, {"w1": 0, "w2": 0})
    clock.now = 10.0
    watch.loads.record_report("w1", ReportedLoad(2, 1, 8))
    await watch.round()
    assert polled == ["w2"]
    clock.now += FRESH_REPORT_S + 0.1
    await watch.round()
    assert polled == ["w2", "w1", "w2"]


async def test_unanswered_poll_does_not_reset_queue_lengths(clock):
    watch, *_ = make_watch(clock, {"w1": None})
    watch.apply_update(QueueUpdate(1, {"w1": 5}))
    await watch.round()
    assert watch.loads.workers["w1"].peer_requests(clock.now)[1] > 1.0


def make_fleet_of_watches(clock, entries, reports):
    """Makes connected watches; returns them, their polls and messages."""
    names = [f"e{number}" for number in range(entries)]
    polled = collections.defaultdict(list)
    published = []
    watches = {}
    for name in names:
        others = [other for other in names if other != name]
        watch, polled[name], _ = make_watch(clock, reports, others, name)
        watch.notify_all = lambda message, name=name: published.append(
            (name, message)
        )
        watch.notify_one = lambda message, to: watches[to].receive_part(
            message.queue_part
        )
        watches[name] = watch
    return watches, polled, published


@pytest.mark.parametrize(
    ("entries", "engines"), [(8, 9), (77, 60), (195, 156), (420, 600)]
)
async def test_each_engine_is_polled_once_at_any_fleet_size(
    clock, entries, engines
):
    reports = {f"w{number:03}": number % 3 for number in range(engines)}
    watches, polled, published = make_fleet_of_watches(clock, entries, reports)
    clock.now = 10.0
    for _ in range(2):
        for watch in watches.values():
            await watch.round()
        clock.now += FRESH_REPORT_S + 0.1
    counts = collections.Counter(id for ids in polled.values() for id in ids)
    assert set(counts) == set(reports)
    # Each engine is polled once a round, and no entry polls beyond its part.
    assert set(counts.values()) == {2}
    assert max(map(len, polled.values())) <= 2 * MAX_ENGINES_PER_READER
    assert len(published) == 2
    assert len({name for name, _ in published}) == 1
    receiver = next(iter(watches.values()))
    receiver.receive_update(published[-1][1].queue_news)
    for id, waiting in reports.items():
        found = receiver.loads.workers[id].peer_requests(clock.now)[1]
        assert (found > 0.0) == (waiting > 0)


async def test_expired_part_is_not_published(clock):
    reports = dict.fromkeys((f"w{number:03}" for number in range(20)), 4)
    watches, _, published = make_fleet_of_watches(clock, 8, reports)
    clock.now = 10.0
    for watch in watches.values():
        await watch.round()
    first, second = next(iter(watches.values())).readers(len(reports))
    await watches[first].round()
    whole = unpack(QueueUpdate, published[-1][1].queue_news.packed)
    assert (whole.asked, set(whole.waiting)) == (20, set(reports))
    clock.now += PART_TTL_S + 0.1
    await watches[first].round()
    left = unpack(QueueUpdate, published[-1][1].queue_news.packed)
    assert left.asked == 10
    assert second != first


async def test_entry_receives_queue_lengths_polled_by_a_peer():
    async with platform_site() as site:
        await site.add_worker("engine", "engine")
        for name in ("entry-1", "entry-2"):
            await site.add_entry(name)
        for entry in site.entries.values():
            await until(lambda entry=entry: len(entry.fleet.live()) == 2)
        loads = [
            entry.edge.dispatcher.loads.workers["engine"]
            for entry in site.entries.values()
        ]
        for load in loads:
            await until(lambda load=load: load.waiting_at > 0.0)


async def test_reported_restart_counts_before_new_registration(clock):
    watch, *_ = make_watch(clock, {"w1": 0})
    restarted = []
    watch.on_restart = restarted.append
    born = {"now": 5}

    async def read(_worker, _limit_s):
        return ReportedLoad(1, 0, 0, born=born["now"])

    watch.read = read
    clock.now = 10.0
    await watch.round()
    assert restarted == []
    born["now"] = 9
    await watch.round()
    await watch.round()
    assert restarted == ["w1"]


async def test_engine_in_backoff_is_not_polled(clock):
    watch, polled, _ = make_watch(clock, {"w1": 0, "w2": 0})
    clock.now = 10.0
    watch.in_backoff = lambda worker: worker.id == "w1"
    await watch.round()
    assert polled == ["w2"]
