"""Simulation of the entries and control processes of a roll-out.

All nodes run in one process. Collector, driver, brakes and planning are the
product's own; table service, network, engines and time are fakes. The versions
that really ran are counted at the engine.
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
ROLLOUT_NAME = "next"


class ProcessKilledError(Exception):
    """The process was killed at this call."""


class FaultyTable:
    """Connection of a process to the table service, with fault injection."""

    def __init__(self, table):
        self.table = table
        self.down = False
        self.lose_answers = 0
        self.calls = 0
        self.kill_at = None
        self.kill_after_effect = False
        self.before_write = None

    async def get(self, key):
        self.begin_call()
        return await self.finish_call(self.table.get(key))

    async def scan(self, prefix, after="", limit=500):
        self.begin_call()
        return await self.finish_call(self.table.scan(prefix, after, limit))

    async def transact(self, transaction):
        if self.down:
            return NotRun("down")
        self.begin_call()
        if self.before_write is not None:
            hook, self.before_write = self.before_write, None
            await hook()
        outcome = await self.finish_call(self.table.transact(transaction))
        if self.lose_answers:
            self.lose_answers -= 1
            return Uncertain("answer lost")
        return outcome

    def begin_call(self):
        if self.down:
            raise StoreUnavailableError("down")
        self.calls += 1
        if self.calls == self.kill_at and not self.kill_after_effect:
            raise ProcessKilledError

    async def finish_call(self, call):
        result = await call
        if self.calls == self.kill_at and self.kill_after_effect:
            raise ProcessKilledError
        return result


class Network:
    """Delivers notices between nodes; may lose, repeat and reorder them."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.nodes = {}
        self.queue = []
        self.loss_rate = 0.0
        self.repeat_rate = 0.0
        self.reorder = False

    def to(self, member):
        network = self

        class Link:
            def notify(self, notice):
                network.queue.append((member.name, notice))

        return Link()

    def deliver(self):
        """Delivers until no notice is in transit."""
        while self.queue:
            queue, self.queue = self.queue, []
            sent = [
                item for item in queue if self.rng.random() >= self.loss_rate
            ]
            for item in list(sent):
                if self.rng.random() < self.repeat_rate:
                    sent.append(item)
            if self.reorder:
                self.rng.shuffle(sent)
            for name, notice in sent:
                if name in self.nodes:
                    self.nodes[name].receive(notice)


class SimulatedNode:
    """Common parts of entries and control processes."""

    def __init__(self, simulation, name, role):
        self.simulation = simulation
        self.name = name
        self.table = FaultyTable(simulation.table)
        self.table.down = simulation.store_down
        simulation.sequence_numbers[name] += 1
        self.member = Member(
            name,
            f"i{simulation.sequence_numbers[name]}",
            role,
            "a",
            "r",
            "",
            name,
            1,
        )
        self.me = self.member
        self.live = BehaviorSubject({})
        self.follower = Follower(self.table, simulation.clock)
        self.metrics = Metrics()
        self.brakes = Brakes(
            configuration=self.follower.current,
            own_name=name,
            peers=lambda: self.live.value,
            links=simulation.network,
            clock=simulation.clock,
            metrics=self.metrics,
            rng=random.Random(name),
        )


class SimulatedEntry(SimulatedNode):
    """An entry that plans requests, counts results and brakes versions."""

    def __init__(self, simulation, name):
        super().__init__(simulation, name, Role.ENTRY)
        self.collector = Collector(
            self.member,
            self.follower.configuration,
            self,
            simulation.network,
            self.brakes,
            simulation.clock,
            self.metrics,
        )
        self.follower.current.subscribe(self.collector.apply_configuration)

    def receive(self, notice):
        if notice.WhichOneof("body") == "brake":
            self.brakes.receive(notice)

    def serve(self, count):
        """Answers requests with the version that the plan names."""
        for _ in range(count):
            self.simulation.requests += 1
            request = build_request(
                key=f"k{self.simulation.requests}",
                session=f"s{self.simulation.requests}",
            )
            plan = make_plan(self.follower.configuration, request, self.brakes)
            if not isinstance(plan, Plan):
                self.simulation.refused += 1
                continue
            self.run_version(plan.steps[0])

    def run_version(self, version):
        simulation = self.simulation
        simulation.runs.append((simulation.clock.now, self.name, version))
        failed = simulation.rng.random() < simulation.failure_rates.get(
            version, 0.01
        )
        outcome = AttemptOutcome.FAILED if failed else AttemptOutcome.COMPLETE
        self.collector.record_attempt(
            AttemptResult("desk", version, outcome, 0.2, 10)
        )


class SimulatedControl(SimulatedNode):
    """A control process with its roll-out driver."""

    def __init__(self, simulation, name):
        super().__init__(simulation, name, Role.CONTROL)
        self.driver = Driver(
            me=self.member,
            table=self.table,
            clock=simulation.clock,
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


class RolloutSimulation:
    """Nodes that share one table service."""

    def __init__(self, seed=1, entries=3, controls=2, share=0.2):
        self.clock = SkippingClock()
        self.table = MemoryTable()
        self.network = Network(seed)
        self.rng = random.Random(seed)
        self.sequence_numbers = collections.Counter()
        self.store_down = False
        self.failure_rates = {}
        self.runs = []
        self.requests = 0
        self.refused = 0
        self.shares = []
        self.share = share
        self.entry_names = [f"entry-{n}" for n in range(entries)]
        self.control_names = [f"control-{n}" for n in range(controls)]
        self.frozen = set()

    async def start(self):
        await self.apply_change(rollout_text(self.share))
        for name in self.entry_names + self.control_names:
            self.add(name)
        await self.poll()

    def add(self, name):
        kind = SimulatedEntry if name in self.entry_names else SimulatedControl
        self.network.nodes[name] = kind(self, name)
        self.publish_members()

    def kill(self, name):
        del self.network.nodes[name]
        self.publish_members()

    def publish_members(self):
        """Publishes the live members to every node that is not frozen."""
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
        self.publish_members()

    def thaw(self, name):
        self.frozen.discard(name)

    @property
    def entries(self):
        return [
            n for n in self.unfrozen_nodes() if isinstance(n, SimulatedEntry)
        ]

    @property
    def controls(self):
        return [
            n for n in self.unfrozen_nodes() if isinstance(n, SimulatedControl)
        ]

    def unfrozen_nodes(self):
        return [
            node
            for name, node in sorted(self.network.nodes.items())
            if name not in self.frozen
        ]

    def set_store(self, down):
        self.store_down = down
        for node in self.network.nodes.values():
            node.table.down = down

    async def apply_change(self, text=None, edit=None):
        """Proposes an operator's change and returns the outcome."""
        head = await self.head_revision()
        text = text if text is not None else edit(head.text)
        self.sequence_numbers["change"] += 1
        return await propose(
            self.table,
            Revision(
                head.revision + 1,
                text,
                "operator",
                f"op{self.sequence_numbers['change']}",
                0.0,
            ),
        )

    async def head_revision(self):
        """Returns the newest revision in the table."""
        rows = await self.table.scan("config/revision/")
        if not rows:
            return Revision(0, "", "", "", 0.0)
        from rattanpier._internal.utils.codec import decode

        return decode(Revision, rows[-1].value)

    async def rollout(self):
        """Returns the roll-out of the newest revision in the table."""
        from rattanpier._internal.configuration.parse import (
            parse_configuration,
        )

        text = (await self.head_revision()).text
        return parse_configuration(text).rollouts[ROLLOUT_NAME]

    async def poll(self):
        for node in self.unfrozen_nodes():
            await self.run_unless_killed(node, node.follower.poll())

    async def run_unless_killed(self, node, work):
        """Awaits work of a node; removes the node if it is killed in it."""
        try:
            await work
        except ProcessKilledError:
            self.kill(node.name)

    async def step(self, requests=60):
        """Simulates one second."""
        self.clock.now += 1.0
        for entry in self.entries:
            entry.serve(requests)
            entry.collector.step()
        self.network.deliver()
        for control in self.controls:
            await self.run_unless_killed(control, control.driver.step())
        self.network.deliver()
        await self.poll()
        if not self.store_down:
            self.shares.append((await self.rollout()).share)

    async def run_steps(self, count, until=None, requests=60):
        """Runs steps until a condition holds; returns their number."""
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

    def driving_control(self):
        """Returns the control process that drives a roll-out."""
        return next(c for c in self.controls if c.driver.driven_rollouts)


def rollout_text(
    share, url="http://127.0.0.1:1", candidate_url="http://127.0.0.1:2"
):
    """Returns a configuration with one roll-out."""
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
[rollouts.{ROLLOUT_NAME}]
stable = "{SMALL}"
candidate = "{CANDIDATE}"
share = {share}
"""


def edit_rollout(**fields):
    """Returns an operator's edit of the roll-out."""
    return lambda text: set_fields(text, ["rollouts", ROLLOUT_NAME], fields)


def resume_rollout(text):
    """Returns the text after an operator restarted a halted roll-out."""
    text = set_fields(text, ["versions", CANDIDATE], {"state": "serving"})
    return set_fields(
        text, ["rollouts", ROLLOUT_NAME], {"state": "running", "share": 0.2}
    )


@contextlib.asynccontextmanager
async def started_simulation(**options):
    """Yields a started simulation."""
    simulation = RolloutSimulation(**options)
    await simulation.start()
    yield simulation
    await asyncio.sleep(0)
