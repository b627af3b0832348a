"""Simulated entries that share the bounds of workers, in virtual time."""

import collections
import math
import random

import attrs

from rattanpier._internal.models.member import Member, Role
from rattanpier._internal.models.route_table import WarmUp
from rattanpier._internal.placement.rate_limits import RateLimits
from rattanpier._internal.placement.shared_rates import SharedRates
from rattanpier._internal.placement.warm_up import WarmUps
from rattanpier._internal.relay.fleet import EntryState, Fleet
from tests.lib.clock import ManualClock

WARM_UP = WarmUp(start_s=3.0, rate_per_s=9.0)
OVERSHOOT, SLACK = 1.5, 5.0
HEARTBEAT_S = 1.2
STEP_S = 0.01
WINDOW_S = 1.0
SERVICE = "s"
INFORMED_AFTER_S = 0.5  # Delay until an answer counts as known.


def make_state(number, **more):
    """An entry's state."""
    name = f"entry-{number:03}"
    member = Member(name, "i", Role.ENTRY, f"zone-{number % 4}", "r", "", "", 0)
    return EntryState(member, 1.0, **{"ready": True, "store": True, **more})


def make_fleet(number, known, clock, down=()):
    """The fleet as one entry knows it."""
    fleet = Fleet(make_state(number), clock)
    fleet.apply_states(
        make_state(other, down=other in down)
        for other in known
        if other != number
    )
    return fleet


def make_warm_ups(fleet, clock, warm_up=WARM_UP):
    """The warm-up bounds of one entry that started long ago."""
    return WarmUps(
        SharedRates(fleet, clock, started_at=-100.0),
        clock,
        lambda service: warm_up if service == SERVICE else None,
        overshoot=OVERSHOOT,
        slack=SLACK,
        heartbeat_s=HEARTBEAT_S,
    )


@attrs.define
class WarmFleet:
    """Entries with their own views, and workers that are all cold.

    Attributes:
      entries: By number.
      clock: Virtual time, shared by all entries.
      rng: Source of the load and of the choices.
      sends: Times of the requests to each worker, by its id.
      refused: Number of requests for which no worker was available.
    """

    clock: ManualClock = attrs.Factory(ManualClock)
    rng: random.Random = attrs.Factory(lambda: random.Random(1))
    entries: dict = attrs.Factory(dict)
    sends: dict = attrs.Factory(lambda: collections.defaultdict(list))
    refused: int = 0

    def add(self, number, known, down=()):
        fleet = make_fleet(number, known, self.clock, down)
        self.entries[number] = make_warm_ups(fleet, self.clock)

    def run(self, workers, requests_per_s, seconds):
        """Sends random requests to each entry, which may use any worker."""
        for entry in self.entries.values():
            for worker in workers:
                entry.record_registration(worker, appeared=True)
        chance = requests_per_s * STEP_S
        for _ in range(round(seconds / STEP_S)):
            self.clock.now += STEP_S
            for entry in self.entries.values():
                if self.rng.random() < chance:
                    self.ask(entry, workers)

    def ask(self, entry, workers):
        open_workers = entry.open_workers(workers)
        if not open_workers:
            self.refused += 1
            return
        worker = self.rng.choice(open_workers)
        entry.record_send(worker)
        self.sends[worker.id].append(self.clock.now)

    def max_in_a_second(self):
        """The most requests that reached one worker within any second."""
        return max(map(max_within, self.sends.values()), default=0)

    def rate_per_s(self, workers, seconds):
        """Mean requests per second at one worker."""
        total = sum(map(len, self.sends.values()))
        return total / seconds / len(workers)


def max_within(times, window_s=WINDOW_S):
    """The highest number of ordered times within any window."""
    recent = collections.deque()
    highest = 0
    for at in times:
        recent.append(at)
        while recent[0] < at - window_s:
            recent.popleft()
        highest = max(highest, len(recent))
    return highest


def make_limits(fleet, clock):
    """The rate limits of one entry that started long ago."""
    shares = SharedRates(fleet, clock, started_at=-100.0)
    return RateLimits(shares, clock)


@attrs.define
class LimitedFleet(WarmFleet):
    """Entries, and workers that name a limit in their answers.

    Attributes:
      informed_at: When each entry first got a limit from each worker.
      sends_by_informed: Times of the requests to each worker, by its id, from
        entries that it had informed at least `INFORMED_AFTER_S` before.
      publishing: Whether entries publish limits to each other.
      variation: Range in which a worker's limit varies between answers.
    """

    informed_at: dict = attrs.Factory(dict)
    sends_by_informed: dict = attrs.Factory(
        lambda: collections.defaultdict(list)
    )
    publishing: bool = True
    variation: float = 0.0

    def add(self, number, known, down=()):
        entry = make_limits(
            make_fleet(number, known, self.clock, down), self.clock
        )
        entry.publish = lambda limit: self.publish(entry, limit)
        self.entries[number] = entry

    def publish(self, sender, limit):
        if self.publishing:
            for entry in self.entries.values():
                if entry is not sender:
                    entry.apply_limits([limit])

    def inform_all(self, workers, rate_per_s):
        """Gives each entry an answer of each worker at the same moment."""
        publishing, self.publishing = self.publishing, False
        for entry in self.entries.values():
            for worker in workers:
                entry.record_answer(worker, rate_per_s, self.clock.now)
        self.publishing = publishing

    def run(self, workers, requests_per_s, seconds, rate_per_s=None):
        """Sends random requests to each entry, which may use any worker.

        Args:
          rate_per_s: Limit in the workers' answers from now on.
        """
        chance = requests_per_s * STEP_S
        for _ in range(round(seconds / STEP_S)):
            self.clock.now += STEP_S
            for entry in self.entries.values():
                if self.rng.random() < chance:
                    worker = self.ask(entry, workers)
                    if worker is not None:
                        self.answer(entry, worker, rate_per_s)

    def ask(self, entry, workers):
        open_workers = entry.open_workers(workers)
        if not open_workers:
            self.refused += 1
            return None
        worker = self.rng.choice(open_workers)
        entry.record_send(worker)
        self.sends[worker.id].append(self.clock.now)
        return worker

    def answer(self, entry, worker, rate_per_s):
        """Gives an entry the answer to the request that it just sent."""
        key = id(entry), worker.id
        informed_at = self.informed_at.get(key, math.inf)
        if self.clock.now - informed_at >= INFORMED_AFTER_S:
            self.sends_by_informed[worker.id].append(self.clock.now)
        if rate_per_s is not None:
            self.informed_at.setdefault(key, self.clock.now)
            rate_per_s -= self.rng.uniform(0.0, self.variation)
        entry.record_answer(worker, rate_per_s, self.clock.now)

    def max_from_informed(self, window_s):
        """The most requests to a worker in a window from informed entries."""
        counts = (
            max_within(at, window_s) for at in self.sends_by_informed.values()
        )
        return max(counts, default=0)
