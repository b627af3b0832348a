"""Entries and workers in virtual time, and prompt parts that crash them."""

import heapq
import itertools
import random

import attrs

from rattanpier._internal.models.worker_crash import QuarantineUpdate
from rattanpier._internal.relay.quarantine_rows import older, row_crash
from rattanpier._internal.retries.crashing_parts import suppressed_delay_s
from rattanpier._internal.retries.quarantine import STOOD_S, Quarantine
from tests.lib.part_judge import late_sends

MAX_SENDS = 3  # Of one request.
CUT_S = (0.3, 2.5)  # How long an entry is cut off from its peers.
EVIDENCE_WRITERS = (0, 1)  # Entries that write evidence to the store.
WRITE_S = (0.01, 0.35)  # Until they have written it.
START_S = (0.5, 1.5)  # From the kill of an entry to its next start.
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
      cuts_per_s: Cuts of an entry from all of its peers.
      kills_per_s: Kills of entries, which start again.
      all_killed_s: When all entries are killed at once, or None.
      part_crashes: When workers crashed that had begun to answer a request with
        a bad part, by part and worker.
      part_sends: When requests with a bad part reached workers, by part.
      updates: Number of broadcasts of all entries.
      away: Entries that are cut off or not running.
      rows: Rows of holds in the store, by key.
      evidence: Row of the evidence: when it was written, and its update.
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
    cuts_per_s: float = 0.0
    kills_per_s: float = 0.0
    all_killed_s: float | None = None
    requests: list = attrs.Factory(list)
    part_crashes: dict = attrs.Factory(dict)
    part_sends: dict = attrs.Factory(dict)
    updates: int = 0
    away: set = attrs.Factory(set)
    down: set = attrs.Factory(set)
    rows: dict = attrs.Factory(dict)
    evidence: tuple = (0.0, QuarantineUpdate())
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
            count_workers=lambda: self.workers,
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
        quarantine.on_change = lambda key: self.write_row(quarantine, key)
        if number in EVIDENCE_WRITERS:
            quarantine.on_evidence = lambda: self.clock.call_later(
                self.rng.uniform(*WRITE_S),
                lambda: self.write_evidence(number, quarantine),
            )
        return quarantine

    def write_evidence(self, number, quarantine):
        if number not in self.away:
            self.evidence = self.clock.now, quarantine.evidence()

    def write_row(self, quarantine, key):
        hold = quarantine.holds.get(key)
        if hold is not None and hold.remaining_s(self.clock.now):
            self.rows[key] = hold

    def read_rows(self, quarantine):
        """Applies the rows of holds as an entry does that starts."""
        for key, hold in self.rows.items():
            age_s = self.clock.now - hold.last_crash
            parts = tuple(sorted(hold.parts))
            ends = [row_crash(key, each, age_s, parts) for each in hold.workers]
            quarantine.apply_update(QuarantineUpdate(ends))
        at, update = self.evidence
        age_s = self.clock.now - at
        ends = [older(each, age_s) for each in update.ends]
        proven = [older(each, age_s) for each in update.proven]
        quarantine.apply_update(QuarantineUpdate(ends, proven=proven))

    def cut(self):
        """Cuts an entry off; it compares with a peer when it is back."""
        number = self.rng.randrange(self.entries)
        if number in self.away:
            return
        self.away.add(number)
        self.clock.call_later(
            self.rng.uniform(*CUT_S), lambda: self.come_back(number)
        )

    def kill(self, number=None):
        """Kills an entry, which loses all that it knows."""
        if number is None:
            number = self.rng.randrange(self.entries)
        if number in self.away:
            return
        self.away.add(number)
        self.down.add(number)
        for worker in self.alive:
            # Workers stop what they run for it.
            worker.running = {
                id: request
                for id, request in worker.running.items()
                if request.entry != number
            }
        self.clock.call_later(
            self.rng.uniform(*START_S), lambda: self.start(number)
        )

    def start(self, number):
        self.quarantines[number] = self.make_quarantine(number)
        self.read_rows(self.quarantines[number])
        self.down.discard(number)
        self.come_back(number)

    def come_back(self, number):
        self.away.discard(number)
        peers = set(range(self.entries)) - self.away - {number}
        if not peers:
            return
        peer = self.quarantines[self.rng.choice(sorted(peers))]
        own = self.quarantines[number]
        theirs, mine = peer.full_update(), own.full_update()
        own.apply_update(theirs)
        self.broadcast(number, peer.apply_update(mine))

    def broadcast(self, sender, update):
        if update == QuarantineUpdate():
            return
        self.updates += 1
        if sender in self.away:
            return
        for number in range(self.entries):
            if number != sender and number not in self.away:
                self.clock.call_later(
                    self.rng.uniform(0.003, 0.04),
                    lambda each=number: self.receive(each, update),
                )

    def receive(self, number, update):
        if number not in self.away:
            self.quarantines[number].apply_update(update)

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
        if request.entry in self.down:
            return  # Its caller's request is lost with it.
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
            # Those of entries that are out of touch don't count.
            if request.entry not in self.away:
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
        running = sorted(set(range(self.entries)) - self.down)
        if not running:
            return
        request = SimulatedRequest(
            next(self.ids),
            self.rng.choice(running) if self.down else self.draw_entry(),
            parts,
            self.clock.now,
            bad,
        )
        self.requests.append(request)
        self.send(request)

    def draw_entry(self):
        return self.rng.randrange(self.entries)

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
        self.repeat(self.cuts_per_s, 2.0, seconds, self.cut)
        self.repeat(self.kills_per_s, 2.0, seconds, self.kill)
        if self.all_killed_s is not None:
            for number in range(self.entries):
                self.clock.call_later(
                    self.all_killed_s, lambda each=number: self.kill(each)
                )
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
        return max(
            (
                len(late_sends(crashes.values(), self.part_sends.get(part, ())))
                for part, crashes in self.part_crashes.items()
            ),
            default=0,
        )

    def sound(self):
        return [request for request in self.requests if not request.bad]

    def held_sound(self):
        return [request for request in self.sound() if request.held]
