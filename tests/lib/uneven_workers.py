"""Simulation of workers of different speed whose VMs are slowed down at times.

Entries choose with the real `Chooser`. They know of each other only what the
queue watch sends, packed as on the wire. An engine reads its prompts one after
another and then generates each answer; a plain worker runs as many requests as
it has slots.
"""

import asyncio
import bisect
import heapq
import itertools
import math
import random

import attrs

from rattanpier._internal.models.policy import DEFAULT_POLICY
from rattanpier._internal.models.upstream_request import ReportedLoad
from rattanpier._internal.placement.worker_pace import WorkerPaces
from rattanpier._internal.relay.directory import WorkerDirectory
from rattanpier._internal.relay.fleet import Fleet
from rattanpier._internal.relay.load import Loads
from rattanpier._internal.relay.model_groups import ModelGroups
from rattanpier._internal.relay.model_timings import ModelTimings
from rattanpier._internal.relay.placement import Chooser
from rattanpier._internal.relay.plain_answers import PLAIN_WORK_S
from rattanpier._internal.relay.queue_watch import POLL_INTERVAL_S, QueueWatch
from tests.lib.clock import ManualClock
from tests.lib.relay_parts import make_chat, make_request, make_worker
from tests.relay.test_fleet import make_entry_state

SERVICE = "engine"
MODEL = "small"
SLOWDOWN = 2.5
SLOWED_SHARE = 0.15  # Of the time of each VM.
SLOWED_S = (0.2, 0.6)  # Shortest and longest slowdown.
READ_S_PER_TOKEN = 1e-5
MEAN_PROMPT_TOKENS = 8000
EVENT_S = 0.02  # Between two events of a typical worker.
PLAIN_S = 0.1
ENGINE_SLOTS = 32
PLAIN_SLOTS = 6


@attrs.define(eq=False, repr=False)
class SimulatedVm:
    """Slowdowns of one VM, which are drawn as time goes on.

    Attributes:
      rng: Random source.
      changes: Times at which a slowdown begins or ends, in turn, in seconds.
    """

    rng: random.Random
    changes: list = attrs.Factory(lambda: [0.0])

    def extend(self, until):
        mean_s = sum(SLOWED_S) / 2
        pause_s = mean_s * (1 - SLOWED_SHARE) / SLOWED_SHARE
        while self.changes[-1] <= until:
            self.changes.append(
                self.changes[-1] + self.rng.expovariate(1 / pause_s)
            )
            self.changes.append(self.changes[-1] + self.rng.uniform(*SLOWED_S))

    def ratio(self, at):
        self.extend(at)
        return (1.0, SLOWDOWN)[bisect.bisect(self.changes, at) % 2 == 0]

    def end_of_work(self, start, work_s):
        """Returns when work ends that takes so long without slowdowns."""
        now = start
        while work_s > 0.0:
            ratio = self.ratio(now)
            change = self.changes[bisect.bisect(self.changes, now)]
            done_s = min(work_s, (change - now) / ratio)
            work_s -= done_s
            now = change if work_s > 1e-9 else now + done_s * ratio
        return now


@attrs.define(eq=False, repr=False)
class SimulatedWorker:
    """A worker with a queue.

    Attributes:
      id: Its id.
      factor: Time of its work, relative to a typical worker.
      vm: The VM that it runs on.
      free_at: When each of its servers is free, in seconds, as a heap.
      starts: When the work of each request began or will begin, in seconds.
      sent: Arrival and work of each request, in seconds.
      waits: Seconds that each request waited.
    """

    id: str
    factor: float
    vm: SimulatedVm
    free_at: list
    starts: list = attrs.Factory(list)
    sent: list = attrs.Factory(list)
    waits: list = attrs.Factory(list)

    def run(self, now, work_s):
        """Returns when a request ends that arrives now."""
        start = max(now, heapq.heappop(self.free_at))
        end = self.vm.end_of_work(start, work_s * self.factor)
        heapq.heappush(self.free_at, end)
        self.starts.append(start)
        self.sent.append((now, work_s))
        self.waits.append(start - now)
        return end

    def waiting(self, now):
        return len(self.starts) - bisect.bisect(self.starts, now)

    def report(self, now, running):
        ratio = self.vm.ratio(now)
        return ReportedLoad(
            running, self.waiting(now), len(self.free_at), ratio
        )


@attrs.define(eq=False, repr=False)
class SimulatedEntry:
    """One entry.

    Attributes:
      chooser: Its choice of workers.
      watch: Its part in the queue watch.
    """

    chooser: Chooser
    watch: QueueWatch


@attrs.define(eq=False, repr=False, slots=False)
class UnevenWorkers:
    """A simulated fleet.

    Attributes:
      factors: Time of work on each worker, relative to a typical worker.
      entries: Number of entries.
      policy: Enabled mechanisms.
      plain: Whether the workers are those of a plain service.
      utilization: Offered work, as a share of what all workers can do.
      queues_known: Whether entries learn how many requests wait at a worker.
      gaps: Least number of events after the first of a stream, and a number
        that is not reached.
      reporting: Whether workers report how long work takes at the moment.
      versions: Version of each worker.
      seed: Seed of arrivals, prompts and slowdowns.
    """

    factors: tuple
    entries: int = 8
    policy: object = DEFAULT_POLICY
    plain: bool = False
    utilization: float = 0.7
    queues_known: bool = True
    gaps: tuple = (20, 120)
    reporting: bool = True
    versions: tuple = ()
    seed: int = 1
    clock: ManualClock = attrs.Factory(ManualClock)

    def __attrs_post_init__(self):
        self.rng = random.Random(self.seed)
        slots = PLAIN_SLOTS if self.plain else ENGINE_SLOTS
        versions = self.versions or ("v1",) * len(self.factors)
        self.pool = [
            make_worker(f"w{number:02}", SERVICE, version, slots=slots)
            for number, version in enumerate(versions)
        ]
        self.workers = {
            worker.id: SimulatedWorker(
                worker.id,
                factor,
                SimulatedVm(random.Random(f"{self.seed}/{worker.id}")),
                [0.0] * (PLAIN_SLOTS if self.plain else 1),
            )
            for worker, factor in zip(self.pool, self.factors, strict=True)
        }
        self.directory = WorkerDirectory(self.clock)
        for worker in self.pool:
            self.directory.put(worker)
        self.running = dict.fromkeys(self.workers, 0)
        names = [f"e{number:02}" for number in range(self.entries)]
        self.by_name = {name: self.make_entry(name, names) for name in names}
        self.messages = 0
        self.bytes = 0
        self.ids = itertools.count()
        self.pending = []
        self.failed = 0

    def make_entry(self, name, names):
        fleet = Fleet(make_entry_state(name, store=True), self.clock)
        for other in names:
            if other != name:
                fleet.apply_state(
                    make_entry_state(other, sequence=1, store=True)
                )
        paces = WorkerPaces(self.clock, self.directory.workers.get, self.policy)
        chooser = Chooser(
            Loads(self.clock),
            "a",
            random.Random(f"{self.seed}/{name}"),
            ModelTimings(self.clock),
            ModelGroups(self.clock),
            self.policy,
            paces,
        )

        async def read(worker, _limit_s):
            return self.report(worker.id)

        watch = QueueWatch(
            fleet=fleet,
            directory=self.directory,
            loads=chooser.loads,
            notify_all=lambda message: self.notify_all(name, message),
            notify_one=self.notify_one,
            clock=self.clock,
            engines=lambda: [] if self.plain else [SERVICE],
            read=read,
            on_restart=lambda _worker: None,
            paces=paces,
            rng=random.Random(f"{self.seed}/{name}"),
        )
        return SimulatedEntry(chooser, watch)

    def notify_all(self, sender, message):
        for name, entry in self.by_name.items():
            if name != sender:
                entry.watch.receive_update(message.queue_news)
        self.count_message(message)

    def notify_one(self, message, name):
        self.by_name[name].watch.receive_part(message.queue_part)
        self.count_message(message)

    def count_message(self, message):
        self.messages += 1
        self.bytes += message.ByteSize()

    @property
    def capacities(self):
        """Share of the total work that each worker can do, by id."""
        total = sum(1 / factor for factor in self.factors)
        return {
            worker.id: 1 / worker.factor / total
            for worker in self.workers.values()
        }

    @property
    def rate_per_s(self):
        """Arrivals per second."""
        slowed = 1 + SLOWED_SHARE * (SLOWDOWN - 1)
        servers = PLAIN_SLOTS if self.plain else 1
        work_s = PLAIN_S
        if not self.plain:
            work_s = MEAN_PROMPT_TOKENS * READ_S_PER_TOKEN
        capacity = servers * sum(1 / factor for factor in self.factors)
        return self.utilization * capacity / slowed / work_s

    def after(self, at, callback):
        heapq.heappush(self.pending, (at, next(self.ids), callback))

    async def run(self, requests):
        """Sends requests at random times to random entries."""
        next_round = POLL_INTERVAL_S
        names = list(self.by_name)
        at = self.clock.now
        for _ in range(requests):
            at += self.rng.expovariate(self.rate_per_s)
            while True:
                first = self.pending[0][0] if self.pending else math.inf
                if min(first, next_round) > at:
                    break
                if next_round <= first:
                    self.clock.now = next_round
                    for entry in self.by_name.values():
                        await entry.watch.round()
                    next_round += POLL_INTERVAL_S
                else:
                    self.clock.now, _, callback = heapq.heappop(self.pending)
                    callback()
            self.clock.now = at
            entry = self.by_name[self.rng.choice(names)]
            if self.plain:
                self.send_plain(entry.chooser)
            else:
                self.send_stream(entry.chooser)

    def report(self, id):
        report = self.workers[id].report(self.clock.now, self.running[id])
        if not self.queues_known:
            report = attrs.evolve(report, running=0, waiting=0)
        return report

    def record_head(self, chooser, id):
        report = self.report(id)
        chooser.loads.record_report(id, report)
        if self.reporting:
            chooser.paces.record_report(id, report.work_time_ratio)
        return report

    def send_plain(self, chooser):
        choice = chooser.choose(make_request(), self.pool, "")
        id, sent = choice.worker.id, self.clock.now
        flight = chooser.loads.begin(id, 0.0)
        self.running[id] += 1

        def end():
            self.running[id] -= 1
            report = self.record_head(chooser, id)
            chooser.loads.end(id, flight)
            if not report.waiting:
                chooser.paces.record_work(
                    id, SERVICE, PLAIN_WORK_S, self.clock.now - sent
                )

        work_s = PLAIN_S * self.rng.lognormvariate(-0.045, 0.3)
        self.after(self.workers[id].run(sent, work_s), end)

    def send_stream(self, chooser):
        tokens = int(MEAN_PROMPT_TOKENS * self.rng.lognormvariate(-0.125, 0.5))
        gaps = self.rng.randrange(*self.gaps)
        request = make_chat(parts=((f"p{next(self.ids)}", tokens),))
        route = attrs.evolve(request.route, models=(MODEL,))
        request = attrs.evolve(request, route=route)
        choice = chooser.choose(request, self.pool, MODEL)
        chooser.record_upstream_request(request, MODEL, choice)
        id, sent = choice.worker.id, self.clock.now
        worker = self.workers[id]
        flight = chooser.loads.begin(id, choice.read_s)
        self.running[id] += 1

        def first_event():
            flight.first_event_received = True
            now = self.clock.now
            chooser.timings.record_first_event(
                MODEL, 0, choice.to_read, now - sent
            )
            self.record_head(chooser, id)
            work_s = gaps * EVENT_S * worker.factor
            self.after(worker.vm.end_of_work(now, work_s), lambda: end(now))

        def end(first_at):
            self.running[id] -= 1
            chooser.loads.end(id, flight)
            measured_s = self.clock.now - first_at
            expected_s = chooser.timings.events_s(MODEL, gaps)
            chooser.timings.record_events(MODEL, gaps, measured_s)
            if expected_s:
                chooser.paces.record_work(id, SERVICE, expected_s, measured_s)

        self.after(worker.run(sent, tokens * READ_S_PER_TOKEN), first_event)

    # Results.

    def shares(self, start=0.0, end=math.inf):
        """Returns the share of the work that each worker got, by id."""
        work = {
            worker.id: sum(s for at, s in worker.sent if start <= at < end)
            for worker in self.workers.values()
        }
        total = sum(work.values())
        return {id: each / total for id, each in work.items()}

    def greatest_deviation(self, start=0.0, end=math.inf):
        """Returns by how much a worker's load differs from its capacity."""
        shares = self.shares(start, end)
        return max(
            abs(shares[id] - capacity)
            for id, capacity in self.capacities.items()
        )


def simulate(requests, **fields):
    """Returns a fleet after some requests."""
    fleet = UnevenWorkers(**fields)
    asyncio.run(fleet.run(requests))
    return fleet
