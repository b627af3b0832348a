"""Entries with retry budgets in virtual time, under kills, pauses and cuts."""

import heapq
import itertools
import math
import random

import attrs

from rattanpier._internal.models.member import Member, Role
from rattanpier._internal.models.relay_settings import Bounds
from rattanpier._internal.relay.budgets import ServiceRetryBudgets
from rattanpier._internal.relay.fleet import EntryState, Fleet
from tests.lib.clock import ManualClock
from tests.lib.repeat_judge import RepeatBound, worst_window

SERVICE = "s"
MAX_SENDS = 3
STARTED_AT_S = -30.0  # Entries start this long before the first request.
DETECTION_S = 3.0  # Until a peer that does not answer is known to be down.


def make_budgets(bounds, entry):
    """Returns the budgets of an entry."""
    return ServiceRetryBudgets(
        bounds,
        entry.fleet.size,
        entry.clock,
        joined_at=lambda: entry.fleet.joined_at,
        paused_since=entry.paused_since,
    )


@attrs.define(eq=False)
class SimulatedEntry:
    """A process of an entry. Its time stands still while it is paused."""

    name: str
    group: int
    clock: ManualClock
    started: float
    fleet: Fleet = None
    budgets: ServiceRetryBudgets = None
    paused_until: float = -math.inf
    pause_ended: float = -math.inf
    alive: bool = True

    def paused_since(self, at):
        return self.pause_ended > at


@attrs.define(eq=False)
class RepeatFleet:
    """Entries before workers of one service, which fail a share of their runs.

    Attributes:
      bounds: What operators allow.
      rng: Source of all that is drawn.
      fails: Share of the runs that fail.
      joins_s: Longest time until a started process and its peers know of each
        other, in seconds.
      sent: Requests as callers sent them, for the judge.
      arrived: Requests as they reached workers, for the judge.
      refused: Repeats that no budget allowed.
      split: Whether groups of entries are cut off from each other.
      run_s: Shortest and longest run at a worker that fails, in seconds.
    """

    bounds: Bounds
    rng: random.Random
    fails: float = 0.9
    joins_s: float = 1.0
    clock: ManualClock = attrs.Factory(ManualClock)
    entries: dict = attrs.Factory(dict)
    sent: list = attrs.Factory(list)
    arrived: list = attrs.Factory(list)
    refused: int = 0
    split: bool = False
    run_s: tuple = (0.005, 0.15)
    events: list = attrs.Factory(list)
    numbers: itertools.count = attrs.Factory(itertools.count)

    def after(self, seconds, step, *arguments):
        at = self.clock.now + seconds
        heapq.heappush(self.events, (at, next(self.numbers), step, arguments))

    def run(self, until):
        while self.events and self.events[0][0] <= until:
            self.clock.now, _, step, arguments = heapq.heappop(self.events)
            step(*arguments)
        self.clock.now = until

    def worst(self):
        bound = RepeatBound(
            self.bounds.retry_ratio,
            self.bounds.retry_slack,
            self.bounds.retry_window_s,
        )
        return worst_window(self.sent, self.arrived, bound)

    # Processes.

    def start(self, name, group=0):
        entry = SimulatedEntry(name, group, self.clock, self.clock.now)
        entry.fleet = Fleet(make_state(entry), self.clock)
        entry.budgets = make_budgets(self.bounds, entry)
        self.entries[name] = entry
        self.after(self.rng.uniform(0.1, self.joins_s), self.introduce, entry)
        return entry

    def introduce(self, entry):
        """Lets a process and those that it reaches know of each other."""
        reached = self.reached_by(entry)
        for other in reached:
            other.fleet.apply_state(entry.fleet.me)
            entry.fleet.apply_state(other.fleet.me)
        for other in reached[:1]:
            entry.fleet.apply_states(other.fleet.all_states())
            other.fleet.record_joined()
        if reached:
            entry.fleet.record_joined()

    def reached_by(self, entry):
        return [
            other
            for other in self.entries.values()
            if other is not entry
            and entry.alive
            and other.alive
            and not (self.split and other.group != entry.group)
        ]

    def kill(self, name, down_s=None):
        """Kills a process; it starts again after `down_s`, or never."""
        entry = self.entries[name]
        if not entry.alive:
            return
        entry.alive = False
        self.after(DETECTION_S, self.find_down, entry)
        if down_s is not None:
            self.after(down_s, self.start, name, entry.group)

    def find_down(self, entry):
        """Lets those that do not reach an entry know that it is down."""
        reached = self.reached_by(entry)
        for other in self.entries.values():
            known = other.fleet.peers.get(entry.name)
            if other in reached or known is None:
                continue
            if known.started == entry.started:
                other.fleet.record_down(entry.name, "test")

    def pause(self, name, seconds):
        entry = self.entries[name]
        entry.paused_until = max(entry.paused_until, self.clock.now + seconds)

    def cut(self, seconds):
        """Cuts the groups off from each other; workers are reached by all."""
        self.split = True
        for entry in list(self.entries.values()):
            self.after(DETECTION_S, self.find_down, entry)
        self.after(seconds, self.heal)

    def heal(self):
        self.split = False
        for entry in list(self.entries.values()):
            refuting = attrs.evolve(
                entry.fleet.me, sequence=entry.fleet.me.sequence + 1
            )
            entry.fleet.set_own_state(refuting)
            for other in self.reached_by(entry):
                other.fleet.apply_state(refuting)
                other.fleet.record_joined()

    def forget_down(self):
        for entry in self.entries.values():
            entry.fleet.forget_down()
        self.after(1.0, self.forget_down)

    # Requests.

    def send_request(self, group=None):
        """Sends a request to any entry, or to any of a group."""
        id = f"r{len(self.sent)}"
        self.sent.append((id, self.clock.now))
        entry = self.rng.choice(
            [
                each
                for each in self.entries.values()
                if group is None or each.group == group
            ]
        )
        self.after(self.rng.uniform(0.001, 0.01), self.receive, entry, id)

    def receive(self, entry, id):
        if self.deferred(entry, self.receive, entry, id) or not entry.alive:
            return
        entry.budgets[SERVICE].record_request()
        self.deliver(entry, id, 1)

    def deliver(self, entry, id, sends):
        self.after(self.rng.uniform(0.0, 0.02), self.arrive, entry, id, sends)

    def arrive(self, entry, id, sends):
        if self.deferred(entry, self.arrive, entry, id, sends):
            return
        if not entry.alive:
            return
        self.arrived.append((id, self.clock.now))
        if self.rng.random() < self.fails:
            run_s = self.rng.uniform(*self.run_s)
            self.after(run_s, self.fail, entry, id, sends)

    def fail(self, entry, id, sends):
        if self.deferred(entry, self.fail, entry, id, sends):
            return
        if not entry.alive or sends == MAX_SENDS:
            return
        if entry.budgets[SERVICE].try_acquire():
            self.deliver(entry, id, sends + 1)
        else:
            self.refused += 1

    def deferred(self, entry, step, *arguments):
        """Repeats a step when its entry runs again; returns whether needed."""
        if entry.paused_until > self.clock.now:
            self.after(entry.paused_until - self.clock.now, step, *arguments)
            entry.pause_ended = entry.paused_until
            return True
        return False


def make_state(entry):
    name = entry.name
    member = Member(
        name=name,
        incarnation=f"{name}/{entry.started}",
        role=Role.ENTRY,
        domain="a",
        region="r",
        caller_url="",
        peer_host="",
        peer_port=0,
        hint_port=0,
    )
    return EntryState(member, entry.started, ready=True, store=True)


def make_idle_fleet(bounds, seed, count):
    """Returns a fleet that has run for a while without a request."""
    fleet = RepeatFleet(bounds, random.Random(f"repeats/{seed}"), fails=0.02)
    fleet.clock.now = STARTED_AT_S
    for number in range(count):
        fleet.start(f"entry-{number}", group=number % 2)
    fleet.forget_down()
    fleet.run(0.0)
    return fleet


def make_fleet(bounds, seed, count, per_s, fails=0.9, length_s=40.0):
    """Returns a fleet that has run for a while, and its requests to come.

    Args:
      bounds: What operators allow.
      seed: Of all that is drawn.
      count: Number of entries.
      per_s: Requests a second.
      fails: Share of the runs that fail, from a drawn time on.
      length_s: Length of the run in seconds.
    """
    fleet = make_idle_fleet(bounds, seed, count)
    rng = fleet.rng
    fleet.after(rng.uniform(0.0, 15.0), setattr, fleet, "fails", fails)
    for _ in range(int(per_s * length_s)):
        fleet.after(rng.uniform(0.0, length_s), fleet.send_request)
    return fleet
