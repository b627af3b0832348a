"""Entries and workers in virtual time, and prompt parts that crash them."""

import heapq
import itertools
import random

import attrs

from rattanpier._internal.models.worker_crash import QuarantineUpdate
from rattanpier._internal.retries.crashing_parts import suppressed_delay_s
from rattanpier._internal.retries.quarantine import STOOD_S, Quarantine

CONTACT_S = 3.0
CRASHES = 5
MAX_SENDS = 3
BATCH_S = 0.01  # Of updates before they are published.
RESTART_S = (2.0, 4.0)
CRASH_S = (0.05, 0.25)  # From the start of an answer to the crash.
ROUTES = 3
DOCUMENTS = 40
RARE_SHARE = 0.1  # Of sound requests with a part that no other one has.


class EventClock:
    """Time that jumps from event to event."""

    def __init__(self):
        self.now = 0.0
        self.events = []
        self.ids = itertools.count()

    def monotonic(self):
        return self.now

    def call_later(self, delay_s, call):
        heapq.heappush(self.events, (self.now + delay_s, next(self.ids), call))

    def run(self, until):
        while self.events and self.events[0][0] <= until:
            self.now, _, call = heapq.heappop(self.events)
            call()
        self.now = until


@attrs.define
class SimulatedRequest:
    """A request at one entry; `sends` is how often it reached a worker."""

    id: int
    entry: int
    parts: tuple
    at: float
    bad: bool
    sends: int = 0
    began_at: float | None = None
    held: bool = False


@attrs.define(eq=False)
class SimulatedWorker:
    """One incarnation of a worker and the requests under way there."""

    name: str
    domain: int
    bad_version: bool = False
    running: dict = attrs.Factory(dict)


@attrs.define
class PartFleet:
    """The fleet; `bad` are tuples of parts, one crashes each worker.

    Attributes:
      crash_per_s: Crashes that no request causes.
      domain_loss_s: When a third of the workers crash at once, or None.
      bad_version_share: Share of the workers that crash under any request.
      turned: Part that workers stand until `bad_from_s`, or empty.
      part_crashes: When workers crashed that had begun to answer a request with
        a bad part, by part and worker.
      part_sends: When requests with a bad part reached workers, by part.
      updates: Number of broadcasts of all entries.
    """

    seed: int
    entries: int
    workers: int
    sound_per_s: float
    bad: list = attrs.Factory(list)
    bad_per_s: float = 6.0
    bad_from_s: float = 3.0
    crash_per_s: float = 0.0
    domain_loss_s: float | None = None
    bad_version_share: float = 0.0
    turned: str = ""
    requests: list = attrs.Factory(list)
    part_crashes: dict = attrs.Factory(dict)
    part_sends: dict = attrs.Factory(dict)
    updates: int = 0
    clock: EventClock = attrs.Factory(EventClock)
    alive: list = attrs.Factory(list)
    quarantines: list = attrs.Factory(list)
    ids: itertools.count = attrs.Factory(itertools.count)
    rng: random.Random = None

    def __attrs_post_init__(self):
        self.rng = random.Random(self.seed)
        for number in range(self.workers):
            self.add_worker(number % 3)
        for number in range(self.entries):
            self.quarantines.append(self.make_quarantine(number))

    # Entries.

    def make_quarantine(self, number):
        quarantine = Quarantine(
            self.clock,
            call_later=self.clock.call_later,
            proof_delay_s=lambda: suppressed_delay_s(
                self.entries, self.rng.random()
            ),
        )
        scheduled = []

        def publish():
            scheduled.clear()
            self.broadcast(number, quarantine.pop_unsent())

        def on_update():
            if not scheduled:
                scheduled.append(True)
                self.clock.call_later(BATCH_S, publish)

        quarantine.on_update = on_update
        return quarantine

    def broadcast(self, sender, update):
        if update == QuarantineUpdate():
            return
        self.updates += 1
        for number, quarantine in enumerate(self.quarantines):
            if number != sender:
                self.clock.call_later(
                    self.rng.uniform(0.003, 0.04),
                    lambda each=quarantine: each.apply_update(update),
                )

    # Workers.

    def add_worker(self, domain):
        bad_version = self.rng.random() < self.bad_version_share
        name = f"w{next(self.ids)}"
        self.alive.append(SimulatedWorker(name, domain, bad_version))

    def crash(self, worker):
        if worker not in self.alive:
            return
        self.alive.remove(worker)
        now = self.clock.now
        for request in worker.running.values():
            for part in set(request.parts) & self.bad_parts():
                if request.began_at is not None:
                    self.part_crashes.setdefault(part, {})[worker.name] = now
            answering_s = None
            if request.began_at is not None:
                answering_s = now - request.began_at
            self.clock.call_later(
                self.rng.uniform(0.002, 0.03),
                lambda r=request, a=answering_s: self.broke(r, worker, a, now),
            )
        worker.running.clear()
        self.clock.call_later(
            self.rng.uniform(*RESTART_S),
            lambda: self.add_worker(worker.domain),
        )

    def broke(self, request, worker, answering_s, at):
        quarantine = self.quarantines[request.entry]
        quarantine.record_crash(
            f"c{request.id}",
            worker.name,
            request.parts,
            answering_s,
            self.clock.now - at,
        )
        self.send(request)

    def bad_parts(self):
        if self.turned:
            turned = self.clock.now >= self.bad_from_s
            return {self.turned} if turned else set()
        return {
            part
            for parts in self.bad
            for part in parts
            if part.startswith("bad")
        }

    # Requests.

    def send(self, request):
        if request.sends >= MAX_SENDS:
            return
        quarantine = self.quarantines[request.entry]
        if quarantine.remaining_s(f"c{request.id}", request.parts):
            request.held = True
            return
        if not self.alive:
            return
        request.sends += 1
        request.began_at = None
        now = self.clock.now
        for part in set(request.parts) & self.bad_parts():
            self.part_sends.setdefault(part, []).append(now)
        worker = self.rng.choice(self.alive)
        worker.running[request.id] = request
        wait_s = self.rng.expovariate(1 / 0.1) + 0.02 * len(worker.running)
        self.clock.call_later(wait_s, lambda: self.begin(request, worker))

    def begin(self, request, worker):
        if worker.running.get(request.id) is not request:
            return
        request.began_at = self.clock.now
        bad = not self.bad_parts().isdisjoint(request.parts)
        if bad or worker.bad_version:
            self.clock.call_later(
                self.rng.uniform(*CRASH_S), lambda: self.crash(worker)
            )
            return
        duration_s = self.rng.uniform(0.2, 4.0)
        if duration_s > STOOD_S:
            self.clock.call_later(STOOD_S, lambda: self.stand(request, worker))
        self.clock.call_later(duration_s, lambda: self.end(request, worker))

    def stand(self, request, worker):
        if worker.running.get(request.id) is request:
            self.quarantines[request.entry].record_stood(
                request.parts, request.began_at
            )

    def end(self, request, worker):
        if worker.running.get(request.id) is not request:
            return
        del worker.running[request.id]
        self.quarantines[request.entry].record_answer(
            f"c{request.id}", request.parts, request.began_at
        )

    def arrive(self, parts):
        bad = not self.bad_parts().isdisjoint(parts)
        request = SimulatedRequest(
            next(self.ids),
            self.rng.randrange(self.entries),
            parts,
            self.clock.now,
            bad,
        )
        self.requests.append(request)
        self.send(request)

    def sound_parts(self):
        route = self.rng.choices(range(ROUTES), (3, 2, 1))[0]
        document = f"document {self.rng.randrange(DOCUMENTS)}"
        if self.rng.random() < RARE_SHARE:
            document = f"rare {next(self.ids)}"
        return f"route {route}", document

    # Schedule.

    def run(self, seconds):
        self.repeat(
            self.sound_per_s,
            0.0,
            seconds,
            lambda: self.arrive(self.sound_parts()),
        )
        if self.bad:
            self.repeat(
                self.bad_per_s,
                self.bad_from_s,
                seconds,
                lambda: self.arrive(self.rng.choice(self.bad)),
            )
        self.repeat(self.crash_per_s, 2.0, seconds, self.crash_one)
        if self.domain_loss_s is not None:
            self.clock.call_later(self.domain_loss_s, self.lose_domain)
        self.clock.run(seconds + 6.0)
        return self

    def repeat(self, per_s, since, until, call):
        if not per_s:
            return

        def step():
            if self.clock.now < until:
                call()
                self.clock.call_later(self.rng.expovariate(per_s), step)

        self.clock.call_later(since, step)

    def crash_one(self):
        if self.alive:
            self.crash(self.rng.choice(self.alive))

    def lose_domain(self):
        for worker in list(self.alive):
            if worker.domain == 0:
                self.clock.call_later(
                    self.rng.uniform(0.0, 0.05),
                    lambda each=worker: self.crash(each),
                )

    # Results.

    def late_sends(self):
        """The most requests with one bad part that came too late."""
        most = 0
        for part, crashes in self.part_crashes.items():
            times = sorted(crashes.values())
            if len(times) >= CRASHES:
                since = times[CRASHES - 1] + CONTACT_S
                late = sum(at > since for at in self.part_sends[part])
                most = max(most, late)
        return most

    def sound(self):
        return [request for request in self.requests if not request.bad]

    def held_sound(self):
        return [request for request in self.sound() if request.held]
