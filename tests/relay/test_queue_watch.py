"""A few entries read how many requests wait at each engine, for all."""

import collections

import pytest

from rattanpier._internal.models.sending import ReportedLoad
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
from tests.relay.test_fleet import make_news


def make_watch(clock, reports, others=("e2", "e3"), name="e1", sent=None):
    """A watch over engines that answer with these numbers, or not at all."""
    sent = [] if sent is None else sent
    fleet = Fleet(make_news(name, store=True), clock)
    for other in others:
        fleet.apply_state(make_news(other, sequence=1, store=len(others) > 2))
    directory = WorkerDirectory(clock)
    for id in reports:
        directory.put(make_worker(id, service="engine"))
    asked = []

    async def read(worker, _limit_s):
        asked.append(worker.id)
        waiting = reports[worker.id]
        return None if waiting is None else ReportedLoad(1, waiting, 0)

    told = []
    watch = QueueWatch(
        fleet=fleet,
        directory=directory,
        loads=Loads(clock),
        notify_all=told.append,
        notify_one=lambda news, name: sent.append((name, news)),
        clock=clock,
        engines=lambda: ["engine"],
        read=read,
        on_restart=lambda _worker: None,
    )
    return watch, asked, told


@pytest.fixture
def clock():
    return ManualClock()


async def test_all_are_told_who_has_requests_waiting(clock):
    watch, _, told = make_watch(clock, {"w1": 3, "w2": 0, "w3": None})
    clock.now = 10.0
    await watch.round()
    assert len(told) == 1
    other, *_ = make_watch(clock, {"w1": 0, "w2": 0, "w3": 0})
    other.receive_update(told[0].queue_news)
    now = clock.monotonic()
    for each in (watch, other):
        assert each.loads.workers["w1"].others(now)[1] == pytest.approx(3, 0.1)
        assert each.loads.workers["w2"].others(now)[1] == 0.0


async def test_what_is_told_fades(clock):
    watch, *_ = make_watch(clock, {"w1": 4})
    clock.now = 10.0
    watch.apply_update(QueueUpdate(1, {"w1": 4}))
    assert watch.loads.workers["w1"].others(clock.now + 8.0)[1] < 0.1


async def test_own_requests_that_wait_are_not_counted_twice(clock):
    watch, *_ = make_watch(clock, {"w1": 0})
    clock.now = 10.0
    for _ in range(2):
        watch.loads.begin("w1", 0.1)
    watch.apply_update(QueueUpdate(1, {"w1": 3}))
    waiting = watch.loads.workers["w1"].others(clock.now)[1]
    assert waiting == pytest.approx(1, 0.1)


async def test_an_engine_that_answered_just_now_is_not_asked(clock):
    watch, asked, _ = make_watch(clock, {"w1": 0, "w2": 0})
    clock.now = 10.0
    watch.loads.note_report("w1", ReportedLoad(2, 1, 8))
    await watch.round()
    assert asked == ["w2"]
    clock.now += FRESH_REPORT_S + 0.1
    await watch.round()
    assert asked == ["w2", "w1", "w2"]


async def test_where_none_answers_nothing_is_taken_in(clock):
    watch, *_ = make_watch(clock, {"w1": None})
    watch.apply_update(QueueUpdate(1, {"w1": 5}))
    await watch.round()
    assert watch.loads.workers["w1"].others(clock.now)[1] > 1.0


def make_fleet_of_watches(clock, entries, reports):
    """Watches of entries that know each other; who asked what, and told."""
    names = [f"e{number}" for number in range(entries)]
    asked = collections.defaultdict(list)
    told = []
    watches = {}
    for name in names:
        others = [other for other in names if other != name]
        watch, asked[name], _ = make_watch(clock, reports, others, name)
        watch.notify_all = lambda news, name=name: told.append((name, news))
        watch.notify_one = lambda news, to: watches[to].receive_part(
            news.queue_part
        )
        watches[name] = watch
    return watches, asked, told


@pytest.mark.parametrize(
    ("entries", "engines"), [(8, 9), (77, 60), (195, 156), (420, 600)]
)
async def test_engines_are_divided_however_many_there_are(
    clock, entries, engines
):
    reports = {f"w{number:03}": number % 3 for number in range(engines)}
    watches, asked, told = make_fleet_of_watches(clock, entries, reports)
    clock.now = 10.0
    for _ in range(2):
        for watch in watches.values():
            await watch.round()
        clock.now += FRESH_REPORT_S + 0.1
    counts = collections.Counter(id for ids in asked.values() for id in ids)
    assert set(counts) == set(reports)
    # Each is asked once a round, and nobody asks more than its part.
    assert set(counts.values()) == {2}
    assert max(map(len, asked.values())) <= 2 * MAX_ENGINES_PER_READER
    assert len(told) == 2
    assert len({name for name, _ in told}) == 1
    hearing = next(iter(watches.values()))
    hearing.receive_update(told[-1][1].queue_news)
    for id, waiting in reports.items():
        found = hearing.loads.workers[id].others(clock.now)[1]
        assert (found > 0.0) == (waiting > 0)


async def test_a_part_that_is_no_longer_heard_of_tells_nothing(clock):
    reports = dict.fromkeys((f"w{number:03}" for number in range(20)), 4)
    watches, _, told = make_fleet_of_watches(clock, 8, reports)
    clock.now = 10.0
    for watch in watches.values():
        await watch.round()
    first, second = next(iter(watches.values())).readers(len(reports))
    await watches[first].round()
    whole = unpack(QueueUpdate, told[-1][1].queue_news.packed)
    assert (whole.asked, set(whole.waiting)) == (20, set(reports))
    clock.now += PART_TTL_S + 0.1
    await watches[first].round()
    left = unpack(QueueUpdate, told[-1][1].queue_news.packed)
    assert left.asked == 10
    assert second != first


async def test_one_entry_asks_and_another_hears():
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


async def test_a_start_that_a_report_tells_of_counts_before_its_row(clock):
    watch, *_ = make_watch(clock, {"w1": 0})
    again = []
    watch.on_restart = again.append
    born = {"now": 5}

    async def read(_worker, _limit_s):
        return ReportedLoad(1, 0, 0, born["now"])

    watch.read = read
    clock.now = 10.0
    await watch.round()
    assert again == []
    born["now"] = 9
    await watch.round()
    await watch.round()
    assert again == ["w1"]


async def test_an_engine_that_wants_rest_is_not_asked(clock):
    watch, asked, _ = make_watch(clock, {"w1": 0, "w2": 0})
    clock.now = 10.0
    watch.in_backoff = lambda worker: worker.id == "w1"
    await watch.round()
    assert asked == ["w2"]
