"""Entries measure the paces of workers and tell each other of them."""

import random
import zlib

import msgpack
import pytest

from rattanpier._internal.models.upstream_request import ReportedLoad
from rattanpier._internal.relay.queue_watch import (
    MAX_PUBLISHED_PACES,
    MAX_SENT_PACES,
    NO_PART,
    PACE_MESSAGES_PER_ROUND,
    PACE_UPDATE_ROUNDS,
    QueueUpdate,
)
from rattanpier._internal.utils.codec import unpack
from tests.lib.clock import ManualClock
from tests.lib.platform_site import platform_site, until
from tests.relay.test_queue_watch import make_watch

NAMES = ("e1", "e2", "e3", "e4")
MANY = [f"worker-of-a-long-name-{number:03}" for number in range(90)]


@pytest.fixture
def clock():
    clock = ManualClock()
    clock.now = 10.0
    return clock


def make_paced_watch(clock, workers, **fields):
    """Makes a watch over engines, of which one has reported a ratio."""
    watch, _, published = make_watch(clock, dict.fromkeys(workers, 0), **fields)
    watch.paces.worker_of = watch.directory.workers.get
    watch.paces.record_report(workers[0], 1.0)
    watch.rng = random.Random(3)
    return watch, published


def measure(watch, slow, rounds=20):
    for _ in range(rounds):
        for id in watch.directory.workers:
            factor = 1.6 if id == slow else 1.0
            watch.paces.record_work(id, "engine", 1.0, factor)


async def publish_paces(watch):
    for _ in range(PACE_UPDATE_ROUNDS):
        await watch.round()


def publisher_of(watch):
    return watch.readers(1)[0]


async def test_measured_paces_reach_the_other_entries(clock):
    sent = []
    watches = {}
    for name in NAMES:
        others = [other for other in NAMES if other != name]
        watches[name] = make_paced_watch(
            clock, ["w1", "w2", "w3"], name=name, others=others, sent=sent
        )
    publisher, published = watches.pop(publisher_of(watches["e1"][0]))
    measuring, receiver = (watch for watch, _ in list(watches.values())[:2])
    measure(measuring, slow="w3", rounds=60)
    for _ in range(20):
        await measuring.round()
    assert {to for to, _ in sent} == {publisher.fleet.me.member.name}
    for _, message in sent:
        publisher.receive_part(message.queue_part)
    assert NO_PART not in publisher.parts
    await publish_paces(publisher)
    assert receiver.paces.factor("w3", "engine") == 1.0
    clock.now += 1.0
    receiver.receive_update(published[-1].queue_news)
    assert receiver.paces.factor("w3", "engine") == pytest.approx(1.55, abs=0.1)
    assert receiver.paces.factor("w1", "engine") == 1.0


@pytest.mark.parametrize("entries", [8, 70, 420])
async def test_entries_send_their_paces_less_often_the_more_there_are(
    clock, entries
):
    """Guards against messages at one entry that grow with the fleet."""
    sent = []
    others = [f"e{number}" for number in range(2, entries + 1)]
    rounds = 30 * entries
    watch, _ = make_paced_watch(clock, ["w1"], others=others, sent=sent)
    if publisher_of(watch) == "e1":
        others.append("e0")
        watch, _ = make_paced_watch(clock, ["w1"], others=others, sent=sent)
    for _ in range(rounds):
        measure(watch, slow="", rounds=1)
        watch.send_paces(publisher_of(watch))
    from_all = len(sent) * entries / rounds
    assert from_all == pytest.approx(PACE_MESSAGES_PER_ROUND, rel=0.4)


async def test_messages_do_not_grow_with_the_number_of_workers(clock):
    watch, published = make_paced_watch(clock, MANY, others=())
    measure(watch, slow=MANY[0])
    assert len(watch.paces.take_pending(MAX_SENT_PACES)) == MAX_SENT_PACES
    measure(watch, slow=MANY[0])
    seen = []
    for _ in range(4 * PACE_UPDATE_ROUNDS):
        await watch.round()
        update = unpack(QueueUpdate, published[-1].queue_news.packed)
        if update.paces:
            assert len(update.paces) <= MAX_PUBLISHED_PACES
            assert len(published[-1].queue_news.packed) < 700
            seen.append(set(update.paces))
    assert len(seen) == 4
    assert set.union(*seen) == set(MANY)


async def test_a_message_with_paces_does_no_harm_at_an_older_entry(clock):
    """An older entry adds the result of any part to those of the others."""
    watch, published = make_paced_watch(clock, ["w1"], others=())
    watch.record_part(QueueUpdate(0, {}, NO_PART, {"w1": [1600, 90]}))
    watch.record_part(QueueUpdate(5, {"w1": 3}, 1))
    await watch.round()
    update = unpack(QueueUpdate, published[-1].queue_news.packed)
    assert (update.asked, update.waiting) == (6, {"w1": 3})


async def test_an_impossible_pace_does_not_discard_queue_lengths(clock):
    watch, _ = make_paced_watch(clock, ["w1", "w2"])
    document = {"asked": 2, "waiting": {"w1": 4}, "paces": {"w2": [-7, 0.5]}}
    message = type("QueueNews", (), {})()
    message.packed = zlib.compress(msgpack.packb(document))
    watch.receive_update(message)
    assert watch.loads.workers["w1"].peer_requests(clock.now)[1] > 3.0
    assert watch.paces.factor("w2", "engine") == 1.0


async def test_paces_are_shared_while_no_engine_answers(clock):
    watch, published = make_paced_watch(clock, ["w1", "w2"], others=())

    async def read(_worker, _limit_s):
        return None

    watch.read = read
    measure(watch, slow="w2")
    await publish_paces(watch)
    update = unpack(QueueUpdate, published[-1].queue_news.packed)
    assert update.asked == 0
    assert set(update.paces) == {"w1", "w2"}


async def test_without_reported_ratios_updates_are_as_before(clock):
    watch, _, published = make_watch(clock, {"w1": 3}, others=())
    watch.paces.worker_of = watch.directory.workers.get
    measure(watch, slow="w1")
    await publish_paces(watch)
    updates = [
        unpack(QueueUpdate, message.queue_news.packed) for message in published
    ]
    assert updates == [QueueUpdate(1, {"w1": 3})] * PACE_UPDATE_ROUNDS


async def test_polled_reports_have_no_ratio(clock):
    """The interface for reports has no such field; only answers have it."""
    watch, _ = make_paced_watch(clock, ["w1", "w2"])
    watch.loads.record_report("w2", ReportedLoad(1, 0, 8))
    await watch.round()
    assert set(watch.paces.ratios) == {"w1"}


# A whole entry.


async def test_an_entry_measures_streams_and_plain_answers():
    async with platform_site() as site:
        engine = await site.add_worker("engine", "engine")
        plain = await site.add_worker("plain")
        entry = await site.add_entry()
        paces = entry.edge.dispatcher.chooser.paces
        engine.events, engine.event_gap_s = 30, 0.005
        for _ in range(2):
            assert (await site.chat()).complete
            await site.ask()
        assert not paces.services
        assert not paces.samples
        engine.load = plain.load = "1,0,8,250"
        for _ in range(6):
            assert (await site.chat()).complete
            await site.ask()
        assert paces.services == {"engine", "plain"}
        assert paces.ratios["engine"][0] == paces.ratios["plain"][0] == 2.5
        await until(lambda: paces.samples["engine"].own.weight > 1.0)
        assert paces.samples["plain"].own.weight > 1.0
        assert paces.factor("plain", "plain") > 1.2
        entry.state.notify_deregistered(["plain"])
        assert "plain" not in paces.samples
        assert "plain" not in paces.ratios


async def test_a_plain_request_that_waited_is_not_measured():
    """Guards against taking a full worker for a slow one."""
    async with platform_site() as site:
        plain = await site.add_worker("plain")
        entry = await site.add_entry()
        plain.load = "8,3,8,100"
        for _ in range(3):
            await site.ask()
        paces = entry.edge.dispatcher.chooser.paces
        assert paces.services == {"plain"}
        assert not paces.samples
