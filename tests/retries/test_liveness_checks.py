"""Workers that are said to have ended are looked at again."""

import asyncio

import aiohttp
import attrs
import pytest

from rattanpier._internal.models.worker_end import QuarantineNews
from rattanpier._internal.platform.identity import identifier
from rattanpier._internal.platform.reports import report_reader
from rattanpier._internal.relay.directory import WorkerDirectory
from rattanpier._internal.retries import liveness_checks as module
from rattanpier._internal.retries.liveness_checks import (
    CHECKERS_PER_WORKER,
    LivenessChecks,
)
from rattanpier._internal.retries.quarantine import (
    CRASHES_TO_QUARANTINE,
    QUARANTINE_S,
    SAME_EVENT_S,
    Quarantine,
)
from rattanpier._internal.standin.platform_worker import (
    HEALTH,
    PlatformWorkerServer,
)
from tests.lib.clock import ManualClock
from tests.lib.relay_parts import make_worker, make_workers
from tests.lib.warm_fleet import make_fleet

CONTENT = "content"
WORKERS = CRASHES_TO_QUARANTINE


class Views:
    """Entries that know the same fleet, workers and ends."""

    def __init__(self, entries=1, living=()):
        self.clock = ManualClock()
        self.living = set(living)
        self.asked = []
        known = range(entries)
        self.looks = [
            self.make_looks(make_fleet(number, known, self.clock))
            for number in known
        ]

    def make_looks(self, fleet):
        directory = WorkerDirectory(self.clock)
        directory.replace(make_workers(WORKERS), after_outage=False)
        return LivenessChecks(
            Quarantine(self.clock),
            directory,
            fleet,
            self.clock,
            self.answers,
            lambda _worker, _at: None,
        )

    async def answers(self, worker, _limit_s):
        self.asked.append(worker.id)
        return worker.incarnation in self.living

    def end_all(self):
        for looks in self.looks:
            for number in range(WORKERS):
                looks.quarantine.record_crash(CONTENT, f"w{number}")

    async def look(self, seconds):
        """Lets all entries look for some seconds."""
        end = self.clock.now + seconds
        while self.clock.now < end:
            self.clock.now += module.CHECK_INTERVAL_S
            await asyncio.gather(*(looks.check_due() for looks in self.looks))

    def held_s(self):
        return [looks.quarantine.remaining_s(CONTENT) for looks in self.looks]


async def test_a_worker_that_answers_has_not_ended():
    views = Views(living=["w0"])
    views.end_all()
    assert views.held_s() == [QUARANTINE_S]
    await views.look(2.0)
    assert views.held_s() == [0.0]
    # The other two ends stand: one more holds it.
    views.looks[0].quarantine.record_crash(CONTENT, "w9")
    assert views.held_s() == [QUARANTINE_S]


async def test_ends_that_were_none_stay_away():
    views = Views(living=["w0", "w1", "w2"])
    views.end_all()
    ends = views.looks[0].quarantine.full_update().ends
    await views.look(2.0)
    other = Quarantine(views.clock)
    other.apply_update(views.looks[0].quarantine.full_update())
    # An entry that was away tells of the same ends, later.
    aged = [attrs.evolve(end, age_s=views.clock.now) for end in ends]
    other.apply_update(QuarantineNews(aged))
    assert other.remaining_s(CONTENT) == 0.0
    assert other.digest() == Quarantine(views.clock).digest()


async def test_a_worker_that_ends_after_it_was_found_alive_counts():
    views = Views(living=["w0", "w1", "w2"])
    views.end_all()
    await views.look(2.0)
    assert views.held_s() == [0.0]
    views.clock.now += 2 * SAME_EVENT_S
    views.living.clear()
    views.end_all()
    await views.look(5.0)
    assert views.held_s()[0] > 0.0


async def test_what_ended_stays_held_and_is_asked_less_and_less_often():
    views = Views()
    views.end_all()
    await views.look(60.0)
    assert views.held_s()[0] > QUARANTINE_S - 61.0
    assert len(views.asked) <= WORKERS * (60.0 / module.MAX_INTERVAL_S + 5)


async def test_a_worker_that_is_no_longer_registered_is_not_asked():
    views = Views(living=["w0", "w1", "w2"])
    views.end_all()
    views.looks[0].directory.replace([], after_outage=False)
    await views.look(2.0)
    assert views.asked == []
    assert views.held_s()[0] > 0.0


@pytest.mark.parametrize("entries", [8, 77, 420])
async def test_few_entries_ask_however_many_there_are(entries):
    views = Views(entries)
    views.end_all()
    await views.look(1.5)
    assert 0 < len(views.asked) <= WORKERS * CHECKERS_PER_WORKER * 2


@pytest.mark.parametrize(
    ("told", "born", "path", "alive"),
    [
        ("w1", None, HEALTH, True),
        ("w1", None, "", False),  # Nobody says where it answers.
        ("w2", None, HEALTH, False),  # Its successor.
        ("w1", 7, HEALTH, True),
        ("w1", 8, HEALTH, False),  # It started again under its id.
    ],
)
async def test_only_the_incarnation_itself_counts(
    http_session, told, born, path, alive
):
    server = PlatformWorkerServer(told, born=7 if born else None)
    await server.start()
    host, _, port = server.address.partition(":")
    worker = make_worker("w1", host=host, port=int(port), born=born)
    answers = identifier(
        http_session, lambda _service: path, report_reader(http_session)
    )
    assert await answers(worker, 1.0) is alive
    await server.stop()
    assert not await answers(worker, 1.0)


@pytest.fixture
async def http_session():
    async with aiohttp.ClientSession() as session:
        yield session
