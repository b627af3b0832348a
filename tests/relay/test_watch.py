"""Few entries watch the store, and all hear of every change."""

import asyncio

import pytest

from rattanpier._internal.models.feed import FeedRow, Page
from rattanpier._internal.relay.history import StoreHistory
from rattanpier._internal.relay.store import (
    SETTLING_PERIOD_S,
    StoreClock,
    StoreHealth,
)
from rattanpier._internal.relay.watch import (
    ERA_UPDATE_WAIT_S,
    STARTUP_GRACE_S,
    WATCHER_COUNT,
    WATCHER_TIMEOUT_S,
    TableFollower,
    TableUpdate,
    pack_update,
)
from rattanpier._internal.standin.platform_store import Door, StoreFault
from rattanpier._internal.utils.codec import unpack
from rattanpier._internal.utils.metrics import Metrics
from tests.lib.clock import ManualClock
from tests.lib.platform_site import manifest, platform_site, until
from tests.lib.relay_parts import at

ENTRIES = 5


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
async def site():
    async with platform_site() as made:
        await made.add_worker("w1")
        for number in range(ENTRIES):
            await made.add_entry(f"entry-{number}")
        yield made


def followers(site, table="op"):
    return [entry.gossip.followers[table] for entry in site.entries.values()]


def knows_all(entry, count):
    live = entry.fleet.live()
    return len(live) == count and all(news.store for news in live)


async def all_covered(site):
    count = len(site.entries)
    for entry in site.entries.values():
        await until(lambda entry=entry: knows_all(entry, count))
    for table in ("op", "servers"):
        for each in followers(site, table):
            await until(
                lambda each=each: each.is_watcher() or each.is_up_to_date()
            )


async def test_two_watch_and_the_others_make_no_calls(site):
    await all_covered(site)
    watching = [each for each in followers(site) if each.is_watcher()]
    assert len(watching) == WATCHER_COUNT
    resting = [each for each in followers(site) if not each.is_watcher()]
    assert all(each.should_wait() for each in resting)


async def test_a_change_reaches_all(site):
    await all_covered(site)
    site.store.put("op", "config", manifest(version=8))
    site.register("w1", state="draining")
    for entry in site.entries.values():
        await until(lambda entry=entry: entry.state.table_version == 8)
        await until(
            lambda entry=entry: not entry.state.directory.takes_work("w1")
        )


async def test_a_long_row_is_fetched_by_each(site):
    await all_covered(site)
    document = manifest(version=8)
    document["tenants"] += [
        {"name": site.new_id(), "apiKeys": [site.new_id()]} for _ in range(400)
    ]
    site.store.put("op", "config", document)
    for entry in site.entries.values():
        await until(lambda entry=entry: entry.state.table_version == 8)


def test_news_that_are_too_long_say_so_without_their_rows():
    text = "".join(f"{number * 7919:x}" for number in range(9000)).encode()
    news = TableUpdate(
        "t", at(1), at(2), 3.0, [FeedRow("k", text, at(2))], False
    )
    told = unpack(TableUpdate, pack_update(news))
    assert told.rows is None
    assert (told.since, told.revision) == (at(1), at(2))
    short = TableUpdate(
        "t", at(1), at(2), 3.0, [FeedRow("k", b"v", at(2))], False
    )
    assert unpack(TableUpdate, pack_update(short)) == short


async def test_after_the_history_is_gone_all_know_what_is(site):
    await all_covered(site)
    site.store.put("op", "config", manifest(version=8))
    site.store.compact()
    site.store.put("op", "config", manifest(version=9))
    for entry in site.entries.values():
        await until(lambda entry=entry: entry.state.table_version == 9)


async def test_an_entry_that_hears_nothing_watches_for_itself(site):
    await all_covered(site)
    deaf = next(each for each in followers(site) if not each.is_watcher())
    deaf.received_at -= WATCHER_TIMEOUT_S
    assert not deaf.should_wait()


def test_a_whole_table_is_taken_from_a_watcher(clock):
    taken = []
    rows = [FeedRow("w1", b"v", at(4)), FeedRow("w2", b"v", at(9))]
    for since in (None, at(5)):
        follower, _ = make_follower(clock, None, lambda: None, since)
        follower.on_page = lambda page, _settling: taken.append(page)
        follower.apply_update(
            TableUpdate("op", at(9), at(9), 1.0, rows, False, whole=True)
        )
        assert follower.since == at(9)
        assert follower.is_up_to_date()
        assert not follower.fetch_pending
    assert [(page.rows, page.whole) for page in taken] == [(rows, True)] * 2


def test_changes_behind_what_is_known_are_fetched(clock):
    follower, _ = make_follower(clock, None, lambda: None, at(5))
    rows = [FeedRow("w2", b"v", at(9))]
    follower.apply_update(TableUpdate("op", at(7), at(9), 1.0, rows, False))
    assert follower.fetch_pending
    assert follower.since == at(5)


async def test_one_that_read_all_waits_for_what_watchers_tell(clock):
    page = Page([FeedRow("w1", b"v", at(9))], at(9), 1.0, whole=True)
    follower, _ = make_follower(clock, page, lambda: None, None)
    follower.health.record_answer()
    follower.store.answer.set()
    await follower.step()
    assert follower.should_wait()
    clock.now += WATCHER_TIMEOUT_S
    assert not follower.should_wait()


async def test_one_that_reads_all_again_does_not_wait_for_watchers(clock):
    page = Page([FeedRow("w1", b"v", at(9))], at(9), 1.0, whole=True)
    follower, _ = make_follower(clock, page, lambda: None, None)
    follower.health.record_answer()
    follower.store.answer.set()
    await follower.step()
    clock.now += WATCHER_TIMEOUT_S
    # The store lost its history, and nobody tells anything.
    follower.since = None
    await follower.step()
    assert not follower.should_wait()


async def test_one_that_starts_does_not_watch_before_it_knows_the_others(clock):
    page = Page([FeedRow("w1", b"v", at(9))], at(9), 1.0, whole=True)
    # It knows of no other that reaches the store.
    follower, _ = make_follower(clock, page, lambda: 0, None)
    follower.store.answer.set()
    step = asyncio.create_task(follower.step())
    await until(lambda: follower.since == at(9))
    assert follower.should_wait()
    clock.now += STARTUP_GRACE_S
    assert not follower.should_wait()
    step.cancel()


async def test_a_lost_history_costs_the_watchers_calls_alone(site):
    await all_covered(site)
    await asyncio.sleep(STARTUP_GRACE_S)
    site.store.calls.clear()
    site.store.put("op", "config", manifest(version=8))
    site.store.compact()
    site.store.put("op", "config", manifest(version=9))
    for entry in site.entries.values():
        await until(lambda entry=entry: entry.state.table_version == 9)
    assert len([call for call in site.store.calls if "get" in call]) <= 4


class SlowStore:
    """Answers one call when it is told to."""

    def __init__(self, page):
        self.page = page
        self.asked = asyncio.Event()
        self.answer = asyncio.Event()

    async def changes(self, _table, _since, _wait_s):
        self.asked.set()
        await self.answer.wait()
        return self.page

    async def scan(self, _table):
        return await self.changes(_table, 0, 0.0)


def later(follower, count):
    """A revision some versions after the one that a follower knows."""
    since = follower.since
    return at(since.version + count, since.era)


def make_follower(clock, page, rank, since):
    """A follower, and what it tells."""
    told = []
    follower = TableFollower(
        store=SlowStore(page),
        clock=clock,
        health=StoreHealth(clock),
        store_clock=StoreClock(clock),
        table="op",
        on_page=lambda _page, _settling: None,
        rank=rank,
        publish=told.append,
        history=StoreHistory(clock, Metrics()),
        since=since,
    )
    return follower, told


@pytest.mark.parametrize(
    ("whole", "since", "told_since"),
    [(False, at(5), at(5)), (True, None, at(9))],
)
async def test_one_that_watches_from_the_middle_of_a_call_tells_what_it_got(
    clock, whole, since, told_since
):
    rows = [FeedRow("config", b"v", at(9))]
    ranks = [None]
    follower, told = make_follower(
        clock, Page(rows, at(9), 1.0, whole), lambda: ranks[-1], since
    )
    step = asyncio.create_task(follower.step())
    await follower.store.asked.wait()
    ranks.append(0)
    follower.store.answer.set()
    await until(lambda: told)
    (news,) = told
    assert (news.since, news.revision) == (told_since, at(9))
    assert (news.rows, news.whole) == (rows, whole)
    step.cancel()


async def test_one_that_does_not_watch_tells_nothing(clock):
    follower, told = make_follower(
        clock, Page([], at(9), 1.0, False), lambda: None, at(5)
    )
    follower.store.answer.set()
    await follower.step()
    assert told == []


async def test_one_that_hears_of_more_than_it_knows_asks_at_once(site):
    await all_covered(site)
    for each in followers(site):
        if each.is_watcher():
            continue
        # It lost the store, missed a change, and hears that there was one.
        each.health.available = False
        each.requested_at = each.clock.monotonic()
        assert each.should_wait()
        each.apply_update(
            TableUpdate("op", later(each, 5), later(each, 6), 1.0, [], False)
        )
        assert not each.should_wait()
        assert not each.is_up_to_date()


async def test_a_store_that_turned_one_entry_away_was_not_away(clock):
    health = StoreHealth(clock)
    health.record_answer()
    health.record_failure(TimeoutError())
    for _ in range(5):
        # Watchers' news go on coming.
        await clock.advance(2.0)
        health.record_reachable()
    health.record_answer()
    assert not health.settling()


async def test_after_an_outage_for_all_registrations_may_come_back(clock):
    health = StoreHealth(clock)
    health.record_answer()
    health.record_failure(TimeoutError())
    await clock.advance(4.0)
    # Another entry sees it first, and tells.
    health.record_reachable()
    await clock.advance(0.3)
    health.record_answer()
    assert health.settling()
    await clock.advance(SETTLING_PERIOD_S)
    assert not health.settling()


async def test_a_removal_is_believed_though_its_teller_was_turned_away(site):
    await all_covered(site)
    hearer = next(
        entry
        for entry in site.entries.values()
        if not entry.gossip.followers["servers"].is_watcher()
    )
    follower = hearer.gossip.followers["servers"]
    since, then = follower.since, later(follower, 1)
    gone = FeedRow("w1", b"", then, deleted=True)
    follower.apply_update(
        TableUpdate("servers", since, then, 1.0, [gone], settling=True)
    )
    assert not hearer.state.directory.workers


async def test_one_that_the_store_turns_away_does_not_watch():
    async with platform_site() as site:
        await site.add_worker("w1")
        doors = {}
        for number in range(3):
            name = f"entry-{number}"
            doors[name] = Door()
            address = await site.add_door(doors[name])
            await site.add_entry(name, store=address)
        await all_covered(site)
        first = next(
            name
            for name, entry in site.entries.items()
            if entry.gossip.followers["op"].is_watcher()
        )
        doors[first].closed = True
        site.store.tell()
        entry = site.entries[first]
        await until(lambda: not entry.gossip.followers["op"].is_watcher())
        site.store.put("op", "config", manifest(version=8))
        for other in site.entries.values():
            await until(lambda other=other: other.state.table_version == 8)


async def test_in_an_outage_few_look_for_the_store(site):
    await all_covered(site)
    site.store.set_fault(StoreFault.BUSY)
    for entry in site.entries.values():
        await until(lambda entry=entry: not entry.state.health.available)
    await asyncio.sleep(1.5)  # Until the entries know of each other's loss.
    site.store.calls.clear()
    await asyncio.sleep(2.0)
    # Two that look for it at most four times a second and table, and three
    # that ask once in two seconds.
    assert len(site.store.calls) <= 2 * 2 * 2 * 4 + 3 * 2 * 2
    site.store.set_fault(StoreFault.NONE)
    for entry in site.entries.values():
        await until(lambda entry=entry: entry.state.health.available)


async def test_only_the_first_watcher_tells_while_it_lives(site):
    await all_covered(site)
    told = {0: 0, 1: 0}
    for each in followers(site):
        rank = each.rank()
        if rank is None:
            continue

        def count(news, rank=rank, tell=each.publish):
            told[rank] += 1
            tell(news)

        each.publish = count
    for version in (8, 9, 10):
        site.store.put("op", "config", manifest(version=version))
        for entry in site.entries.values():
            await until(
                lambda entry=entry: entry.state.table_version == version  # noqa: B023
            )
    assert told[0] >= 3
    assert told[1] == 0


async def test_changes_in_quick_succession_are_told_together(site):
    await all_covered(site)
    site.store.calls.clear()
    for version in range(8, 28):
        site.store.put("op", "config", manifest(version=version))
        await asyncio.sleep(0.02)
    for entry in site.entries.values():
        await until(lambda entry=entry: entry.state.table_version == 27)
    # Two watchers, a call each 0.3 s, in about half a second.
    assert len(site.store.calls) <= 2 * 2 * 6


async def test_entries_that_start_in_an_outage_leave_the_store_alone():
    async with platform_site() as site:
        await site.add_worker("w1")
        site.store.set_fault(StoreFault.BUSY)
        first = await site.add_entry("entry-0", ready=False)
        seeds = [str(first.settings.peers)]
        for number in range(1, 6):
            await site.add_entry(f"entry-{number}", ready=False, seeds=seeds)
        for entry in site.entries.values():
            await until(lambda entry=entry: len(entry.fleet.live()) == 6)
        site.store.calls.clear()
        await asyncio.sleep(2.0)
        # Two that look for it at most four times a second and table, and four
        # that ask once in two seconds; no writes and no other reads.
        assert len(site.store.calls) <= 2 * 2 * 2 * 4 + 4 * 2 * 2
        site.store.set_fault(StoreFault.NONE)
        for entry in site.entries.values():
            await until(entry.ready)


# A new era: the store came back from an older copy.


def new_era_news(rows, whole=False, version=3):
    since = at(version - 1, era=2)
    return TableUpdate("op", since, at(version, 2), 1.0, rows, False, whole)


def test_a_lower_version_of_a_new_era_is_news(clock):
    taken = []
    follower, _ = make_follower(clock, None, lambda: None, at(9))
    follower.on_page = lambda page, _settling: taken.append(page)
    rows = [FeedRow("w1", b"v", at(3, era=2))]
    follower.apply_update(new_era_news(rows, whole=True))
    assert follower.since == at(3, era=2)
    assert follower.is_up_to_date()
    assert [page.rows for page in taken] == [rows]


@pytest.mark.parametrize("version", [3, 10, 12])
def test_changes_of_a_new_era_follow_nothing_of_the_one_before(clock, version):
    follower, _ = make_follower(clock, None, lambda: None, at(9))
    follower.received_at = clock.monotonic()
    assert follower.is_up_to_date()
    follower.apply_update(new_era_news([], version=version))
    assert follower.since == at(9)
    assert not follower.is_up_to_date()
    assert not follower.should_wait()


def test_what_is_told_of_an_era_before_counts_for_nothing(clock):
    follower, _ = make_follower(clock, None, lambda: None, at(3, era=2))
    follower.history.record_era(2, "store")
    rows = [FeedRow("w1", b"v", at(10))]
    follower.apply_update(TableUpdate("op", at(9), at(10), 1.0, rows, False))
    follower.apply_update(
        TableUpdate("op", at(9), at(10), 1.0, rows, False, whole=True)
    )
    assert follower.since == at(3, era=2)
    assert not follower.is_up_to_date()
    assert not follower.accept(Page(rows, at(10), 1.0, whole=True), False)


async def test_a_feed_that_waits_in_an_era_that_ended_is_given_up(clock):
    page = Page([], at(4, era=2), 1.0, whole=True)
    follower, _ = make_follower(clock, page, lambda: 0, at(9))
    follower.health.record_answer()
    follower.history.record_era(1, "store")
    step = asyncio.create_task(follower.step())
    await follower.store.asked.wait()
    follower.history.record_era(2, "peer")
    await step
    assert follower.since == at(9)
    assert not follower.should_wait()
    follower.store.answer.set()
    step = asyncio.create_task(follower.step())
    await until(lambda: follower.since == at(4, era=2))
    step.cancel()


async def test_an_answer_that_a_new_era_overtook_is_left_out(clock):
    page = Page([FeedRow("w1", b"v", at(10))], at(10), 1.0, whole=False)
    follower, told = make_follower(clock, page, lambda: 0, at(9))
    follower.history.record_era(2, "peer")
    assert not follower.accept(page, False)
    assert follower.since == at(9)
    assert told == []


def test_changes_that_a_store_of_a_new_era_tells_are_left_out(clock):
    follower, _ = make_follower(clock, None, lambda: 0, at(9))
    rows = [FeedRow("w1", b"v", at(10, era=2))]
    assert not follower.accept(Page(rows, at(12, era=2), 1.0, False), False)
    assert follower.since == at(9)


async def test_those_that_do_not_watch_wait_for_those_that_do(clock):
    follower, _ = make_follower(clock, None, lambda: None, at(9))
    follower.health.record_answer()
    follower.history.record_era(1, "store")
    follower.history.record_era(2, "peer")
    assert follower.should_wait()
    clock.now += ERA_UPDATE_WAIT_S
    assert not follower.should_wait()
    # One that the store turns away does not ask it again and again.
    follower.health.record_failure(TimeoutError())
    follower.requested_at = clock.monotonic()
    assert follower.should_wait()


async def test_all_know_a_new_era_by_the_calls_of_those_that_watch(site):
    await all_covered(site)
    await asyncio.sleep(STARTUP_GRACE_S)
    kept = site.store.keep_copy()
    site.store.put("op", "config", manifest(version=8))
    for each in followers(site):
        await until(lambda each=each: each.since.version > kept.version)
    site.store.calls.clear()
    site.store.come_back(kept)
    site.store.put("op", "config", manifest(version=9))
    for entry in site.entries.values():
        await until(lambda entry=entry: entry.state.table_version == 9)
    tables = len(site.entries["entry-0"].gossip.followers)
    readings = [call for call in site.store.calls if "get" in call]
    assert len(readings) <= WATCHER_COUNT * tables


@pytest.mark.parametrize("step_ms", [-7000.0, 0.0, 30_000.0])
async def test_the_stores_clock_goes_on_over_a_new_era(clock, step_ms):
    store_clock = StoreClock(clock)
    store_clock.record_time(50_000.0, 1)
    for second in range(1, 4):
        clock.now += 1.0
        store_clock.record_time(50_000.0 + step_ms + 1000.0 * second, 2)
        assert store_clock.now_ms() == 50_000.0 + 1000.0 * second
