"""Callers that read slowly, over real sockets."""

import asyncio
import contextlib
import signal
import time

import pytest

from rattanpier._internal.relay.slow_readers import CALLER_LIMIT_BYTES
from tests.lib.platform_site import event_numbers, manifest, platform_site
from tests.lib.platform_site import until as wait_until
from tests.lib.relay_process import start_entry
from tests.lib.slow_callers import FloodWorker, SlowCaller, buffered_bytes

MANY = 200
MAX_EVENT = 65536
STALLED_S = 2.5  # More than the time after which the worker gives up.
UNREAD_LIMIT_S = 1.0


def patient_manifest():
    """Returns a manifest in which streams may take long."""
    document = manifest()
    for route in document["routes"]:
        route["timeoutMs"] = 20000
    return document


@contextlib.asynccontextmanager
async def slow_site(memory_mb=None):
    """Runs a site with one worker of each service."""
    async with platform_site(patient_manifest()) as site:
        for name, service in (("w", "plain"), ("e", "engine")):
            worker = FloodWorker(name)
            await worker.start()
            site.workers[name] = worker
            site.register(name, service)
        await site.add_entry(memory_mb=memory_mb)
        yield site


@pytest.fixture
async def site():
    async with slow_site() as made:
        yield made


def readers_of(site):
    return site.entries["entry-1"].edge.readers


async def begin(site, path="/chat/x", **headers):
    """Returns a caller that has sent a request and reads nothing yet."""
    caller = SlowCaller(str(site.entries["entry-1"].settings.callers))
    site.callers.append(caller)
    await caller.send(site.new_id(), path, **headers)
    return caller


def counts_of(site):
    return site.entries["entry-1"].metrics.counts


async def test_slow_caller_below_its_limit_does_not_delay_its_worker(site):
    """Guards against a worker that gives up on a stream that is not read.

    It does so after a second, which is less than the caller waits. Of the
    1.4 MB, the kernel holds a few 100 KB.
    """
    site.workers["e"].unread_limit_s = UNREAD_LIMIT_S
    caller = await begin(site, events=70, event_bytes=20000)
    await wait_until(lambda: caller.id in site.workers["e"].finished, 1.0)
    await asyncio.sleep(STALLED_S)
    answer = await caller.read_all()
    assert answer.complete
    assert event_numbers(answer.body) == list(range(1, 71))
    assert site.workers["e"].unread == 0
    assert site.runs() == {caller.id: 1}
    await wait_until(lambda: not readers_of(site).connections)
    assert readers_of(site).total == 0


async def test_reading_pauses_at_the_limit_and_goes_on_after_it(site):
    """Guards against holding all of a long answer for a slow caller."""
    caller = await begin(site, events=80, event_bytes=MAX_EVENT)
    await wait_until(lambda: counts_of(site)["relay.slow_reader_paused"])
    await asyncio.sleep(STALLED_S)
    assert not site.workers["e"].finished
    readers_of(site).refresh_all()
    held = readers_of(site).total
    assert held > 0.8 * CALLER_LIMIT_BYTES
    assert held <= CALLER_LIMIT_BYTES + 2 * MAX_EVENT
    answer = await caller.read_all()
    assert answer.complete
    assert event_numbers(answer.body) == list(range(1, 81))
    assert site.runs() == {caller.id: 1}


async def test_whole_answer_is_held_once_and_delivered_late(site):
    """Guards against a second copy, and against throwing it away."""
    size = 3 * 2**20
    caller = await begin(site, "/safe/x", body_bytes=size)
    await wait_until(lambda: buffered_bytes(site.entries["entry-1"]))
    await asyncio.sleep(STALLED_S)
    readers_of(site).refresh_all()
    held = readers_of(site).total
    assert held == buffered_bytes(site.entries["entry-1"])
    assert 0.8 * size < held <= size + 1000
    answer = await caller.read_all()
    assert answer.complete
    assert len(answer.body) == size


async def test_caller_that_disconnects_frees_what_was_held(site):
    """Guards against a sum that only grows."""
    caller = await begin(site, events=80, event_bytes=MAX_EVENT)
    await wait_until(lambda: counts_of(site)["relay.slow_reader_paused"])
    assert readers_of(site).total > 0
    caller.leave()
    await wait_until(lambda: not readers_of(site).connections)
    assert readers_of(site).total == 0
    assert counts_of(site)["relay.caller_left"] == 1
    await wait_until(lambda: not site.workers["e"].connections)


async def test_caller_that_disconnects_after_its_answer_frees_it(site):
    """Guards against counting a connection without a request for ever."""
    caller = await begin(site, events=30, event_bytes=20000)
    await wait_until(lambda: caller.id in site.workers["e"].finished)
    await wait_until(lambda: site.entries["entry-1"].drain.running == 0)
    assert readers_of(site).total > 100_000
    caller.leave()
    await wait_until(lambda: not readers_of(site).connections)
    assert readers_of(site).total == 0


async def test_caller_that_reads_nothing_is_closed_at_its_deadline(site):
    """Guards against holding an answer that nobody reads for ever."""
    began = time.monotonic()
    caller = await begin(site, events=30, event_bytes=20000, deadline_ms=2000)
    await wait_until(
        lambda: counts_of(site)["relay.slow_reader_closed.deadline"]
    )
    assert time.monotonic() - began >= 2.0
    assert readers_of(site).total == 0
    assert not (await caller.read_all()).complete


async def test_caller_that_goes_on_reading_gets_all_after_its_deadline(site):
    """Guards against throwing away a late answer that is being read."""
    caller = await begin(site, events=30, event_bytes=20000, deadline_ms=1000)
    while len(caller.body) < 500_000 and await caller.read(8192):
        await asyncio.sleep(0.05)
    answer = await caller.read_all()
    assert answer.complete
    assert event_numbers(answer.body) == list(range(1, 31))


async def test_planned_stop_waits_for_a_slow_caller(site, tmp_path):
    """Guards against an exit that cuts off an answer that is ready."""
    entry = await start_entry(site.store_address, tmp_path, "entry-2")
    try:
        await entry.wait_until_ready(site.session)
        caller = SlowCaller(str(entry.settings.callers))
        site.callers.append(caller)
        await caller.send(site.new_id(), events=30, event_bytes=20000)
        await wait_until(lambda: caller.id in site.workers["e"].finished)
        entry.process.send_signal(signal.SIGTERM)
        await asyncio.sleep(STALLED_S)
        answer = await caller.read_all()
        assert answer.complete
        assert event_numbers(answer.body) == list(range(1, 31))
        async with asyncio.timeout(5.0):
            assert await entry.process.wait() == 0
    finally:
        await entry.kill()


async def test_next_request_on_a_connection_that_was_slow(site):
    """Guards against an account that outlives its answer."""
    caller = await begin(site)
    assert (await caller.read_all()).complete
    for _ in range(3):
        await caller.send(site.new_id(), events=50, event_bytes=20000)
        await wait_until(lambda: caller.id in site.workers["e"].finished)
        assert readers_of(site).total > 100_000
        assert (await caller.read_all()).complete
    await wait_until(lambda: not readers_of(site).connections)
    assert readers_of(site).total == 0


async def test_unread_worker_is_not_blamed_for_a_slow_caller(site):
    """Guards against avoiding a worker that gave up on an unread answer."""
    worker = site.workers["e"]
    worker.unread_limit_s = 0.3
    caller = await begin(site, events=80, event_bytes=MAX_EVENT)
    await wait_until(lambda: worker.unread)
    await caller.read_all()
    assert not caller.complete
    entry = site.entries["entry-1"]
    counts = counts_of(site)
    assert counts["relay.send_failed.may_have_run"] == 1
    assert not entry.edge.dispatcher.health.records


async def test_many_stalled_callers_leave_room_for_the_others():
    """Guards against an entry that callers fill up until it is killed."""
    async with slow_site(memory_mb=64) as site:
        limit = readers_of(site).total_limit
        assert limit == 8_000_000
        worst = await begin(site, events=15, event_bytes=60000)
        await wait_until(lambda: worst.id in site.workers["e"].finished)
        await asyncio.sleep(0.5)
        most = [0]
        sampling = asyncio.create_task(sample(site, most))
        others = asyncio.create_task(ask_on(site, 100))
        callers = []
        for _ in range(MANY):
            callers.append(await begin(site, events=5, event_bytes=60000))
            await asyncio.sleep(0.01)
        answers = await others
        sampling.cancel()
        assert all(each.status == 200 and each.complete for each in answers)
        assert most[0] <= limit + MAX_EVENT
        closed = counts_of(site)["relay.slow_reader_closed.total"]
        async with asyncio.timeout(30):
            got = [await caller.read_all() for caller in callers]
        whole = [each for each in got if each.complete]
        assert 1 <= closed <= MANY
        assert not (await worst.read_all()).complete
        assert len(whole) >= MANY - closed + 1
        for each in whole:
            assert event_numbers(each.body) == [1, 2, 3, 4, 5]
        await wait_until(lambda: not readers_of(site).connections)
        assert readers_of(site).total == 0


async def sample(site, most):
    """Notes the most bytes held in write buffers, every few milliseconds."""
    while True:
        held = buffered_bytes(site.entries["entry-1"])
        most[0] = max(most[0], held)
        await asyncio.sleep(0.002)


async def ask_on(site, count):
    """Sends requests in turn, and returns their answers.

    Each has to be answered within three seconds, the deadline that it sends.
    """
    answers = []
    for number in range(count):
        async with asyncio.timeout(3.0):
            ask = site.chat if number % 2 else site.ask
            answers.append(await ask())
        await asyncio.sleep(0.02)
    return answers


async def test_worker_of_a_closed_caller_stops():
    """Guards against a worker that goes on for a caller that was closed."""
    async with slow_site(memory_mb=16) as site:
        worker = site.workers["e"]
        worker.event_gap_s = 0.01
        callers = [
            await begin(site, events=2000, event_bytes=30000) for _ in range(4)
        ]
        counts = counts_of(site)
        await wait_until(lambda: counts["relay.slow_reader_closed.total"])
        closed = await until_one_is_closed(callers)
        assert not closed.complete
        await wait_until(lambda: closed.id in worker.stopped, 2.0)
        assert counts["relay.caller_left"] == 0


async def until_one_is_closed(callers):
    """Reads all answers at once; returns the caller that is closed first."""
    tasks = {
        asyncio.create_task(caller.read_all()): caller for caller in callers
    }
    done, others = await asyncio.wait(
        tasks, return_when=asyncio.FIRST_COMPLETED
    )
    for task in others:
        task.cancel()
    return tasks[done.pop()]
