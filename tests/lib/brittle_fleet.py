"""Simulated entries before brittle workers, in virtual time."""

import collections
import heapq
import itertools
import random

import attrs

from rattanpier._internal.placement.brittle_workers import BrittleWorkers
from tests.lib.clock import ManualClock
from tests.lib.relay_parts import make_worker
from tests.lib.warm_fleet import make_fleet

SERVICE = "s"
WINDOW_S = 1.0
TELL_S = 0.05  # Until all peers know of a refusal.
DOWN_S = 4.0  # A worker that fell over is back after this.
FORWARDS = 3  # Peers that a request is forwarded to at most.


@attrs.define(eq=False)
class SimulatedWorker:
    """A worker without a queue that stands so many refusals a second."""

    worker: object
    refusals: int
    running: int = 0
    refused: collections.deque = attrs.Factory(collections.deque)
    down_until: float = 0.0
    falls: int = 0

    def take(self, now):
        """Takes a request, or refuses it and may fall over."""
        if self.running < self.worker.slots:
            self.running += 1
            return True
        self.refused.append(now)
        while self.refused[0] <= now - WINDOW_S:
            self.refused.popleft()
        if len(self.refused) > self.refusals:
            self.falls += 1
            self.refused.clear()
            self.down_until = now + DOWN_S
        return False


@attrs.define(eq=False)
class BrittleFleet:
    """Entries, brittle workers and random requests.

    Attributes:
      sharing: Whether entries keep to their parts of the slots.
      work_s: Mean seconds of work of a request.
    """

    sharing: bool
    work_s: float
    clock: ManualClock = attrs.Factory(ManualClock)
    rng: random.Random = attrs.Factory(lambda: random.Random(1))
    entries: list = attrs.Factory(list)
    in_flight: list = attrs.Factory(list)
    workers: list = attrs.Factory(list)
    due: list = attrs.Factory(list)
    order: object = attrs.Factory(itertools.count)
    served: int = 0
    asked: int = 0

    def add_workers(self, count, slots, refusals):
        self.workers = [
            SimulatedWorker(
                make_worker(f"w{number}", SERVICE, slots=slots), refusals
            )
            for number in range(count)
        ]

    def add_entries(self, count, lost=0):
        """Adds entries; the last `lost` are down, known to half of the rest."""
        known = range(count)
        for number in range(count - lost):
            down = set(range(count - lost, count)) if number % 2 else set()
            flights = collections.Counter()
            brittle = BrittleWorkers(
                make_fleet(number, known, self.clock, down),
                self.clock,
                lambda _service: [each.worker for each in self.workers],
                flights.__getitem__,
                started_at=-100.0,
            )
            for each in self.workers if self.sharing else ():
                brittle.reports.record_answer(
                    each.worker, each.refusals, self.clock.now
                )
            brittle.publish_full = self.tell_all
            self.entries.append(brittle)
            self.in_flight.append(flights)

    def tell_all(self, incarnation):
        self.later(TELL_S, lambda: self.apply_full(incarnation))

    def apply_full(self, incarnation):
        for entry in self.entries:
            entry.apply_full([incarnation])

    def later(self, seconds, work):
        item = (self.clock.now + seconds, next(self.order), work)
        heapq.heappush(self.due, item)

    def run(self, requests_per_s, seconds):
        """Sends random requests, each to a random entry."""
        self.later(0.0, lambda: self.arrive(requests_per_s))
        end = self.clock.now + seconds
        while self.due and self.due[0][0] < end:
            self.clock.now, _, work = heapq.heappop(self.due)
            work()

    def arrive(self, requests_per_s):
        self.later(
            self.rng.expovariate(requests_per_s),
            lambda: self.arrive(requests_per_s),
        )
        self.asked += 1
        number = self.rng.randrange(len(self.entries))
        for _ in range(1 + FORWARDS):
            if self.send(number):
                self.served += 1
                return
            if not self.sharing:
                return
            number = self.next_entry(number)

    def next_entry(self, number):
        """Returns the entry that a request without room is forwarded to."""
        names = self.entries[number].entries_with_share(SERVICE)
        able = [
            other
            for other, entry in enumerate(self.entries)
            if entry.fleet.me.member.name in names and other != number
        ]
        return self.rng.choice(able)

    def send(self, number):
        """Sends a request to the least used worker; returns whether it ran."""
        entry, flights = self.entries[number], self.in_flight[number]
        up = [
            each for each in self.workers if each.down_until <= self.clock.now
        ]
        by_id = {each.worker.id: each for each in up}
        open_workers = entry.open_workers([each.worker for each in up])
        if not open_workers:
            return False
        chosen = min(
            open_workers,
            key=lambda each: (flights[each.id], self.rng.random()),
        )
        worker = by_id[chosen.id]
        if not worker.take(self.clock.now):
            entry.record_refusal(chosen)
            return False
        flights[chosen.id] += 1
        work_s = self.rng.expovariate(1 / self.work_s)
        self.later(work_s, lambda: self.end(worker, flights))
        return True

    def end(self, worker, flights):
        worker.running -= 1
        flights[worker.worker.id] -= 1

    def falls(self):
        return sum(each.falls for each in self.workers)

    def served_share(self):
        return self.served / self.asked
