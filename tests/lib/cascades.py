"""Test harnesses for cascades: a learned policy with fake ratings."""

import random

from rattanpier._internal.cascade.learned_policy import Sampler, learned_policy
from rattanpier._internal.cascade.learner import Learner
from rattanpier._internal.cascade.policy import StepAnswer, Verdict
from rattanpier._internal.cascade.ratings import RatingLoop
from rattanpier._internal.cascade.sharing import RatingSharing
from rattanpier._internal.dispatch.engine import Usage
from rattanpier._internal.exceptions import PlatformUnavailableError
from rattanpier._internal.membership.ring import neighbours
from rattanpier._internal.models.configuration import Version, Workspace
from rattanpier._internal.store.ratings import RatingResult
from rattanpier._internal.utils.metrics import Metrics
from tests.lib.builders import LARGE, SMALL, build_request
from tests.lib.clock import ManualClock

CHAT, LEGAL = "chat", "legal"
STEPS = (SMALL, LARGE)
REQUEST_INTERVAL_S = 1.0  # Time between two requests.


class FakeRatings:
    """In-process rating service; `is_good` decides the ratings."""

    def __init__(self, is_good):
        self.is_good = is_good
        self.items = []
        self.down = False
        self.keep_back = False

    async def submit(self, items):
        if self.down:
            raise PlatformUnavailableError("down")
        self.items.extend(items)

    async def results(self, client, after):
        if self.down:
            raise PlatformUnavailableError("down")
        if self.keep_back:
            return []
        numbered = list(enumerate(self.items, 1))[after:]
        return [
            RatingResult(number, item.id, self.is_good(item))
            for number, item in numbered
        ]


class CascadeHarness:
    """A learned policy and its rating loop, on a manual clock."""

    def __init__(self, is_good, budget=3600, target=0.9):
        self.clock = ManualClock()
        self.metrics = Metrics()
        self.budget = budget
        self.versions = {
            SMALL: Version("small", input_price=1, output_price=1, quality=0.9),
            LARGE: Version(
                "large", input_price=10, output_price=10, quality=0.97
            ),
        }
        self.desk = Workspace([], list(STEPS), quality_target=target)
        self.learner = Learner(
            self.versions.get, lambda name: self.desk, self.clock
        )
        self.sampler = sampler = Sampler(
            self.learner,
            random.Random(1),
            lambda name: self.budget * self.loop.available,
        )
        self.service = FakeRatings(is_good)
        self.loop = RatingLoop(
            self.service,
            self.learner,
            self.clock,
            self.metrics,
            "e1/1",
            self.versions.get,
        )
        self.policy = learned_policy(self.learner, sampler, self.loop.enqueue)
        self.number = 0

    def begin(self, task):
        self.number += 1
        request = build_request(
            key=str(self.number),
            labels={"task": task},
            prompt_tokens=100,
            body={"messages": [{"content": task}]},
        )
        return self.policy.begin(request, STEPS, f"r{self.number}")

    def answer(self, task, may_serve=lambda version: True):
        """Runs one request; returns the versions that ran."""
        progress = self.begin(task)
        ran = []
        while True:
            ran.append(progress.version)
            answer = StepAnswer("text", "stop", Usage(100, 50), 0.8)
            verdict = self.policy.evaluate(progress, answer, may_serve)
            if verdict is Verdict.ACCEPT:
                return ran

    async def run(self, count, tasks=(CHAT, LEGAL)):
        """Runs requests of alternating tasks; returns the versions by task."""
        ran = {task: [] for task in tasks}
        for number in range(count):
            task = tasks[number % len(tasks)]
            ran[task].append(self.answer(task))
            self.clock.now += REQUEST_INTERVAL_S
            await self.loop.step()
        return ran


class SharedHarnesses:
    """Entries that exchange ratings by notices over a faulty network."""

    def __init__(self, names, is_good, loss=0.0, copies=1, reorder=False):
        self.rng = random.Random(3)
        self.loss, self.copies, self.reorder = loss, copies, reorder
        self.harnesses = {name: CascadeHarness(is_good) for name in names}
        self.waiting = []
        self.sharing = {name: self.add(name) for name in names}

    def __getitem__(self, name):
        return self.harnesses[name]

    def add(self, name):
        harness = self.harnesses[name]
        targets = neighbours(self.harnesses, name)

        def send_notice(notice):
            for target in targets:
                if self.rng.random() >= self.loss:
                    self.waiting += [(target, notice)] * self.copies

        sharing = RatingSharing(
            name, harness.learner, send_notice, harness.clock, harness.metrics
        )
        harness.loop.updates.subscribe(sharing.publish)
        return sharing

    def deliver(self):
        """Delivers notices until none is left, on synchronized clocks."""
        now = max(harness.clock.now for harness in self.harnesses.values())
        for harness in self.harnesses.values():
            harness.clock.now = now
        while self.waiting:
            if self.reorder:
                self.rng.shuffle(self.waiting)
            target, notice = self.waiting.pop(0)
            self.sharing[target].receive(notice)


def share_of_runs(runs, ran):
    """Returns the share of requests that ran on exactly these versions."""
    return sum(run == list(ran) for run in runs) / len(runs)


def small_fails_legal(item):
    return item.version == LARGE or item.prompt != LEGAL
