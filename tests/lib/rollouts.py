"""Entries and control processes of a roll-out in one process.

The parts are the product's own; table service, network, engines and time are
fakes. What versions really ran is counted at the engine.
"""

import asyncio
import collections
import contextlib
import random

from reactivex.subject import BehaviorSubject

from rattanpier._internal.configuration.edit import set_fields
from rattanpier._internal.configuration.follow import Follower
from rattanpier._internal.configuration.store import Revision, propose
from rattanpier._internal.dispatch.attempts import (
    AttemptOutcome,
    AttemptResult,
)
from rattanpier._internal.exceptions import StoreUnavailableError
from rattanpier._internal.models.member import Member, Role
from rattanpier._internal.models.outcomes import NotRun, Uncertain
from rattanpier._internal.models.plan import Plan
from rattanpier._internal.rollout.collect import Collector
from rattanpier._internal.rollout.driver import Driver
from rattanpier._internal.routing.brakes import Brakes
from rattanpier._internal.routing.plan import make_plan
from rattanpier._internal.standin.table import MemoryTable
from rattanpier._internal.utils.metrics import Metrics
from tests.lib.builders import SMALL, build_request, configuration_text
from tests.lib.clock import SkippingClock

CANDIDATE = "small@2"
NAME = "next"


class ProcessKilledError(Exception):
    """The process ended at this call."""


class FaultyTable:
    """A process's way to the table service, with faults."""

    def __init__(self, table):
        self.table = table
        self.down = False
        self.lose_answers = 0
        self.calls = 0
        self.kill_at = None
        self.kill_after_effect = False
        self.before_write = None

    async def get(self, key):
        self.enter()
        return await self.finish(self.table.get(key))

    async def scan(self, prefix, after="", limit=500):
        self.enter()
        return await self.finish(self.table.scan(prefix, after, limit))

    async def transact(self, transaction):
        if self.down:
            return NotRun("down")
        self.enter()
        if self.before_write is not None:
            hook, self.before_write = self.before_write, None
            await hook()
        outcome = await self.finish(self.table.transact(transaction))
        if self.lose_answers:
            self.lose_answers -= 1
            return Uncertain("answer lost")
        return outcome

    def enter(self):
        if self.down:
            raise StoreUnavailableError("down")
        self.calls += 1
        if self.calls == self.kill_at and not self.kill_after_effect:
            raise ProcessKilledError

    async def finish(self, call):
        result = await call
        if self.calls == self.kill_at and self.kill_after_effect:
            raise ProcessKilledError
        return result


class Network:
    """Carries notices between nodes; may lose, repeat and reorder them."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.nodes = {}
        self.queue = []
        self.lose = 0.0
        self.repeat = 0.0
        self.shuffle = False

    def to(self, member):
        network = self

        class Link:
            def notify(self, notice):
                network.queue.append((member.name, notice))

        return Link()

    def deliver(self):
        """Delivers until nothing is under way."""
        while self.queue:
            queue, self.queue = self.queue, []
            sent = [item for item in queue if self.rng.random() >= self.lose]
            for item in list(sent):
                if self.rng.random() < self.repeat:
                    sent.append(item)
            if self.shuffle:
                self.rng.shuffle(sent)
            for name, notice in sent:
                if name in self.nodes:
                    self.nodes[name].receive(notice)


class Node:
    """What entries and control processes have in common."""

    def __init__(self, world, name, role):
        self.world = world
        self.name = name
        self.table = FaultyTable(world.table)
        self.table.down = world.store_down
        world.starts[name] += 1
        self.member = Member(
            name, f"i{world.starts[name]}", role, "a", "r", "", name, 1
        )
        self.me = self.member
        self.live = BehaviorSubject({})
        self.follower = Follower(self.table, world.clock)
        self.metrics = Metrics()
        self.brakes = Brakes(
            configuration=self.follower.current,
            own_name=name,
            peers=lambda: self.live.value,
            links=world.network,
            clock=world.clock,
            metrics=self.metrics,
            rng=random.Random(name),
        )


class Entry(Node):
    """An entry: plans requests, counts results, brakes."""

    def __init__(self, world, name):
        super().__init__(world, name, Role.ENTRY)
        self.collector = Collector(
            self.member,
            self.follower.configuration,
            self,
            world.network,
            self.brakes,
            world.clock,
            self.metrics,
        )
        self.follower.current.subscribe(self.collector.follow)

    def receive(self, notice):
        if notice.WhichOneof("body") == "brake":
            self.brakes.receive(notice)

    def serve(self, count):
        """Answers requests, by the version that the plan names."""
        for _ in range(count):
            self.world.requests += 1
            request = build_request(
                key=f"k{self.world.requests}",
                session=f"s{self.world.requests}",
            )
            plan = make_plan(self.follower.configuration, request, self.brakes)
            if not isinstance(plan, Plan):
                self.world.refused += 1
                continue
            self.run(plan.steps[0])

    def run(self, version):
        world = self.world
        world.runs.append((world.clock.now, self.name, version))
        failed = world.rng.random() < world.failing.get(version, 0.01)
        outcome = AttemptOutcome.FAILED if failed else AttemptOutcome.COMPLETE
        self.collector.take_attempt(
            AttemptResult("desk", version, outcome, 0.2, 10)
        )


class Control(Node):
    """A control process with its driver."""

    def __init__(self, world, name):
        super().__init__(world, name, Role.CONTROL)
        self.driver = Driver(
            me=self.member,
            table=self.table,
            clock=world.clock,
            follower=self.follower,
            members=self,
            brakes=self.brakes,
            metrics=self.metrics,
            accepted=lambda revision: self.follower.apply_revision(
                revision.revision, revision.text
            ),
        )

    def receive(self, notice):
        match notice.WhichOneof("body"):
            case "brake":
                self.brakes.receive(notice)
            case "evidence":
                self.driver.receive(notice)


class World:
    """Nodes around one table service."""

    def __init__(self, seed=1, entries=3, controls=2, share=0.2):
        self.clock = SkippingClock()
        self.table = MemoryTable()
        self.network = Network(seed)
        self.rng = random.Random(seed)
        self.starts = collections.Counter()
        self.store_down = False
        self.failing = {}
        self.runs = []
        self.requests = 0
        self.refused = 0
        self.shares = []
        self.share = share
        self.names = [f"entry-{n}" for n in range(entries)]
        self.control_names = [f"control-{n}" for n in range(controls)]
        self.frozen = set()

    async def start(self):
        await self.change(rollout_text(self.share))
        for name in self.names + self.control_names:
            self.add(name)
        await self.poll()

    def add(self, name):
        kind = Entry if name in self.names else Control
        self.network.nodes[name] = kind(self, name)
        self.announce()

    def kill(self, name):
        del self.network.nodes[name]
        self.announce()

    def announce(self):
        """Tells every node who is alive; the frozen are not seen."""
        live = {
            name: node.member
            for name, node in self.network.nodes.items()
            if name not in self.frozen
        }
        for name, node in self.network.nodes.items():
            if name not in self.frozen:
                node.live.on_next(live)

    def freeze(self, name):
        self.frozen.add(name)
        self.announce()

    def thaw(self, name):
        self.frozen.discard(name)

    @property
    def entries(self):
        return [n for n in self.awake() if isinstance(n, Entry)]

    @property
    def controls(self):
        return [n for n in self.awake() if isinstance(n, Control)]

    def awake(self):
        return [
            node
            for name, node in sorted(self.network.nodes.items())
            if name not in self.frozen
        ]

    def set_store(self, down):
        self.store_down = down
        for node in self.network.nodes.values():
            node.table.down = down

    async def change(self, text=None, edit=None):
        """An operator's change; returns the outcome."""
        head = await self.present()
        text = text if text is not None else edit(head.text)
        self.starts["change"] += 1
        return await propose(
            self.table,
            Revision(
                head.revision + 1,
                text,
                "operator",
                f"op{self.starts['change']}",
                0.0,
            ),
        )

    async def present(self):
        """The newest revision, as it is in the table."""
        rows = await self.table.scan("config/revision/")
        if not rows:
            return Revision(0, "", "", "", 0.0)
        from rattanpier._internal.utils.codec import decode

        return decode(Revision, rows[-1].value)

    async def rollout(self):
        """The roll-out as it is in the table."""
        from rattanpier._internal.configuration.parse import (
            parse_configuration,
        )

        text = (await self.present()).text
        return parse_configuration(text).rollouts[NAME]

    async def poll(self):
        for node in self.awake():
            await self.alive_or_killed(node, node.follower.poll())

    async def alive_or_killed(self, node, work):
        """Runs a part of a node, unless its end comes in it."""
        try:
            await work
        except ProcessKilledError:
            self.kill(node.name)

    async def step(self, requests=60):
        """One second."""
        self.clock.now += 1.0
        for entry in self.entries:
            entry.serve(requests)
            entry.collector.step()
        self.network.deliver()
        for control in self.controls:
            await self.alive_or_killed(control, control.driver.step())
        self.network.deliver()
        await self.poll()
        if not self.store_down:
            self.shares.append((await self.rollout()).share)

    async def steps(self, count, until=None, requests=60):
        """Steps until a condition holds; returns how many it took."""
        for number in range(count):
            if until is not None and await until():
                return number
            await self.step(requests)
        assert until is None or await until(), "the condition never held"
        return count

    async def is_halted(self):
        return (await self.rollout()).state == "halted"

    async def is_done(self):
        return (await self.rollout()).state == "done"

    def runs_of(self, version, since=0.0):
        return sum(
            1 for time, _, ran in self.runs if ran == version and time > since
        )

    def driving(self):
        """The control process that drives now."""
        return next(c for c in self.controls if c.driver.drives)


def rollout_text(
    share, url="http://127.0.0.1:1", candidate_url="http://127.0.0.1:2"
):
    """A configuration with one roll-out."""
    text = configuration_text([url])
    text = text.replace(
        f'versions = ["{SMALL}", "large@1"]',
        f'versions = ["{SMALL}", "{CANDIDATE}", "large@1"]',
    )
    return f"""{text}
[versions."{CANDIDATE}"]
model = "small"
[upstreams.next]
kind = "engine"
[upstreams.next.workers.n0]
url = "{candidate_url}"
domain = "a"
versions = ["{CANDIDATE}"]
[rollouts.{NAME}]
stable = "{SMALL}"
candidate = "{CANDIDATE}"
share = {share}
"""


def edit_rollout(**fields):
    """An operator's edit of the roll-out."""
    return lambda text: set_fields(text, ["rollouts", NAME], fields)


def resume(text):
    """An operator's edit that begins a halted roll-out anew."""
    text = set_fields(text, ["versions", CANDIDATE], {"state": "serving"})
    return set_fields(
        text, ["rollouts", NAME], {"state": "running", "share": 0.2}
    )


@contextlib.asynccontextmanager
async def start_world(**options):
    """A started world."""
    world = World(**options)
    await world.start()
    yield world
    await asyncio.sleep(0)
