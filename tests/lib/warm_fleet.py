"""Entries that share the bound of workers that warm up, in virtual time."""

import collections
import random

import attrs

from rattanpier._internal.models.member import Member, Role
from rattanpier._internal.models.route_table import WarmUp
from rattanpier._internal.placement.shared_rates import SharedRates
from rattanpier._internal.placement.warm_up import WarmUps
from rattanpier._internal.relay.fleet import Fleet, MemberNews
from tests.lib.clock import ManualClock

WARM_UP = WarmUp(start_s=3.0, rate_per_s=9.0)
OVERSHOOT, SLACK = 1.5, 5.0
HEARTBEAT_S = 1.2
STEP_S = 0.01
WINDOW_S = 1.0
SERVICE = "s"


def make_news(number, **more):
    """An entry's state."""
    name = f"entry-{number:03}"
    member = Member(name, "i", Role.ENTRY, f"zone-{number % 4}", "r", "", "", 0)
    return MemberNews(member, 1.0, **{"ready": True, "store": True, **more})


def make_fleet(number, known, clock, down=()):
    """What an entry knows of some others."""
    fleet = Fleet(make_news(number), clock)
    fleet.take_all(
        make_news(other, down=other in down)
        for other in known
        if other != number
    )
    return fleet


def make_warm_ups(fleet, clock, warm_up=WARM_UP):
    """What bounds the sends of one entry, which started long ago."""
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
    """Entries, each with its own view, before workers that are all cold.

    Attributes:
      entries: By number.
      sends: When each worker was sent a request, by its id.
      refused: Requests for which no worker was open.
    """

    clock: ManualClock = attrs.Factory(ManualClock)
    rng: random.Random = attrs.Factory(lambda: random.Random(1))
    entries: dict = attrs.Factory(dict)
    sends: dict = attrs.Factory(lambda: collections.defaultdict(list))
    refused: int = 0

    def add(self, number, known, down=()):
        fleet = make_fleet(number, known, self.clock, down)
        self.entries[number] = make_warm_ups(fleet, self.clock)

    def play(self, workers, requests_per_s, seconds):
        """Each entry gets requests at random and would use any cold worker."""
        for entry in self.entries.values():
            for worker in workers:
                entry.note_registered(worker, appeared=True)
        chance = requests_per_s * STEP_S
        for _ in range(round(seconds / STEP_S)):
            self.clock.now += STEP_S
            for entry in self.entries.values():
                if self.rng.random() < chance:
                    self.ask(entry, workers)

    def ask(self, entry, workers):
        open_ones = entry.open(workers)
        if not open_ones:
            self.refused += 1
            return
        worker = self.rng.choice(open_ones)
        entry.note_send(worker)
        self.sends[worker.id].append(self.clock.now)

    def most_in_a_second(self):
        """The most requests that reached one worker within any second."""
        return max(map(most_within, self.sends.values()), default=0)

    def rate_per_s(self, workers, seconds):
        """Mean requests a second at one worker."""
        total = sum(map(len, self.sends.values()))
        return total / seconds / len(workers)


def most_within(times, window_s=WINDOW_S):
    """The most of some ordered times within any window."""
    recent = collections.deque()
    most = 0
    for at in times:
        recent.append(at)
        while recent[0] < at - window_s:
            recent.popleft()
        most = max(most, len(recent))
    return most
