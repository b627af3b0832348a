"""Liveness checks of workers that were reported as crashed."""

import asyncio

import aiohttp
import attrs
import pytest

from rattanpier._internal.models.worker_crash import QuarantineUpdate
from rattanpier._internal.platform.identity import identity_checker
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


class CheckingFleet:
    """Entries that know the same fleet, workers and crashes."""

    def __init__(self, entries=1, alive_ids=()):
        self.clock = ManualClock()
        self.alive_ids = set(alive_ids)
        self.asked = []
        known = range(entries)
        self.checks = [
            self.make_checks(make_fleet(number, known, self.clock))
            for number in known
        ]

    def make_checks(self, fleet):
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
        return worker.incarnation in self.alive_ids

    def crash_all(self):
        for checks in self.checks:
            for number in range(WORKERS):
                checks.quarantine.record_crash(CONTENT, f"w{number}")

    async def run_checks(self, seconds):
        """Runs the checks of all entries for some seconds."""
        end = self.clock.now + seconds
        while self.clock.now < end:
            self.clock.now += module.CHECK_INTERVAL_S
            await asyncio.gather(
                *(checks.check_due() for checks in self.checks)
            )

    def remaining_s(self):
        return [
            checks.quarantine.remaining_s(CONTENT) for checks in self.checks
        ]


async def test_crash_of_worker_that_answers_is_refuted():
    fleet = CheckingFleet(alive_ids=["w0"])
    fleet.crash_all()
    assert fleet.remaining_s() == [QUARANTINE_S]
    await fleet.run_checks(2.0)
    assert fleet.remaining_s() == [0.0]
    # The other two crashes remain, so one more quarantines it.
    fleet.checks[0].quarantine.record_crash(CONTENT, "w9")
    assert fleet.remaining_s() == [QUARANTINE_S]


async def test_refuted_crashes_do_not_come_back():
    fleet = CheckingFleet(alive_ids=["w0", "w1", "w2"])
    fleet.crash_all()
    ends = fleet.checks[0].quarantine.full_update().ends
    await fleet.run_checks(2.0)
    other = Quarantine(fleet.clock)
    other.apply_update(fleet.checks[0].quarantine.full_update())
    # An entry that was unreachable reports the same crashes later.
    aged = [attrs.evolve(end, age_s=fleet.clock.now) for end in ends]
    other.apply_update(QuarantineUpdate(aged))
    assert other.remaining_s(CONTENT) == 0.0
    assert other.digest() == Quarantine(fleet.clock).digest()


async def test_crash_after_worker_was_found_alive_counts():
    fleet = CheckingFleet(alive_ids=["w0", "w1", "w2"])
    fleet.crash_all()
    await fleet.run_checks(2.0)
    assert fleet.remaining_s() == [0.0]
    fleet.clock.now += 2 * SAME_EVENT_S
    fleet.alive_ids.clear()
    fleet.crash_all()
    await fleet.run_checks(5.0)
    assert fleet.remaining_s()[0] > 0.0


async def test_crashed_worker_stays_suspect_and_is_checked_less_often():
    fleet = CheckingFleet()
    fleet.crash_all()
    await fleet.run_checks(60.0)
    assert fleet.remaining_s()[0] > QUARANTINE_S - 61.0
    assert len(fleet.asked) <= WORKERS * (60.0 / module.MAX_INTERVAL_S + 5)


async def test_deregistered_worker_is_not_checked():
    fleet = CheckingFleet(alive_ids=["w0", "w1", "w2"])
    fleet.crash_all()
    fleet.checks[0].directory.replace([], after_outage=False)
    await fleet.run_checks(2.0)
    assert fleet.asked == []
    assert fleet.remaining_s()[0] > 0.0


@pytest.mark.parametrize("entries", [8, 77, 420])
async def test_few_entries_check_a_worker_in_any_fleet(entries):
    fleet = CheckingFleet(entries)
    fleet.crash_all()
    await fleet.run_checks(1.5)
    assert 0 < len(fleet.asked) <= WORKERS * CHECKERS_PER_WORKER * 2


@pytest.mark.parametrize(
    ("told", "born", "path", "alive"),
    [
        ("w1", None, HEALTH, True),
        ("w1", None, "", False),  # Its health path is unknown.
        ("w2", None, HEALTH, False),  # Its successor.
        ("w1", 7, HEALTH, True),
        ("w1", 8, HEALTH, False),  # It restarted under the same id.
    ],
)
async def test_only_the_registered_incarnation_counts_as_alive(
    http_session, told, born, path, alive
):
    server = PlatformWorkerServer(told, born=7 if born else None)
    await server.start()
    host, _, port = server.address.partition(":")
    worker = make_worker("w1", host=host, port=int(port), born=born)
    answers = identity_checker(
        http_session, lambda _service: path, report_reader(http_session)
    )
    assert await answers(worker, 1.0) is alive
    await server.stop()
    assert not await answers(worker, 1.0)


@pytest.fixture
async def http_session():
    async with aiohttp.ClientSession() as session:
        yield session
