"""Runs a cascade policy over a generated trace."""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable

import attrs
import numpy as np

from benchmarks.workloads import HOUR_S, HOURS, Trace
from rattanpier._internal.cascade.learned_policy import (
    Sample,
    Sampler,
    learned_policy,
)
from rattanpier._internal.cascade.learner import Learner
from rattanpier._internal.cascade.policy import (
    CascadePolicy,
    CascadeProgress,
    MayServe,
    StepAnswer,
    Verdict,
    escalate,
)
from rattanpier._internal.dispatch.engine import Usage
from rattanpier._internal.models.configuration import Version, Workspace
from rattanpier._internal.models.request import RouteRequest

UNLIMITED = 10**9


@attrs.define
class RunClock:
    """Simulated clock of a run."""

    now: float = 0.0

    def monotonic(self) -> float:
        """Returns seconds since the start of the run."""
        return self.now

    def time(self) -> float:
        """Returns the same as `monotonic`."""
        return self.now

    async def sleep(self, seconds: float) -> None:
        """Must not be called: nothing in a run sleeps."""
        raise AssertionError("nothing sleeps in a run")


@attrs.frozen
class Result:
    """Totals of a run; arrays are by workspace.

    Attributes:
      policy: Name of the policy.
      cost: Credits.
      good: Number of good answers.
      late_good: Number of good answers in the last third of the run.
      count: Number of requests.
      late_count: Number of requests in the last third of the run.
      ratings: Number of paid ratings.
    """

    policy: str
    cost: np.ndarray
    good: np.ndarray
    late_good: np.ndarray
    count: np.ndarray
    late_count: np.ndarray
    ratings: np.ndarray

    def quality(self) -> np.ndarray:
        """Returns the share of good answers of each workspace."""
        return self.good / np.maximum(1, self.count)


@attrs.define
class Rating:
    """A rating that arrives after its delay.

    Attributes:
      workspace: Workspace of the request.
      version: Version that answered.
      sample: What the policy passed to `Run.rate`.
      good: Whether the answer was rated good.
    """

    workspace: str
    version: str
    sample: object
    good: bool


PolicyFactory = Callable[
    ["Run"], tuple[CascadePolicy, Callable[[Rating], None]]
]


@attrs.define
class Run:
    """State of a run.

    Attributes:
      trace: The generated requests and answers.
      clock: Simulated clock.
      pending: Heap of ratings under way, by time of arrival.
      sequence: Numbers that order ratings with the same time of arrival.
      paid: Number of paid ratings, by workspace.
      current: Index of the current request.
    """

    trace: Trace
    clock: RunClock = attrs.Factory(RunClock)
    pending: list = attrs.Factory(list)
    sequence: itertools.count = attrs.Factory(itertools.count)
    paid: dict[str, int] = attrs.Factory(dict)
    current: int = 0

    @property
    def steps(self) -> tuple[str, ...]:
        """Versions from cheap to strong."""
        return tuple(model.name for model in self.trace.workload.models)

    def rate(
        self, workspace: str, version: str, sample: object, prompt: bool = False
    ) -> None:
        """Requests a rating of a version's answer to the current request.

        Args:
          workspace: Workspace that pays.
          version: Version that answered.
          sample: Returned with the rating.
          prompt: Whether the rating arrives without delay.
        """
        step = self.steps.index(version)
        self.paid[workspace] = self.paid.get(workspace, 0) + 1
        delay = 0.0 if prompt else self.trace.delay[self.current, step]
        good = bool(self.trace.good[self.current, step])
        rating = Rating(workspace, version, sample, good)
        item = (self.clock.now + delay, next(self.sequence), rating)
        heapq.heappush(self.pending, item)

    def request(self, index: int) -> RouteRequest:
        """Returns a request as the policy sees it."""
        workload = self.trace.workload
        label = workload.tasks[self.trace.label[index]]
        return RouteRequest(
            workspace=workload.customers[self.trace.customer[index]].name,
            key=str(index),
            model="auto",
            stream=label.stream,
            prompt_tokens=int(self.trace.prompt_tokens[index]),
            max_tokens=2048,
            labels={"task": label.label},
        )

    def versions(self, name: str) -> Version | None:
        """Returns a version as configured."""
        for model in self.trace.workload.models:
            if model.name == name:
                return Version(
                    model.name,
                    input_price=model.input_price,
                    output_price=model.output_price,
                    quality=model.quality,
                )
        return None

    def workspace(self, name: str) -> Workspace | None:
        """Returns a workspace as configured."""
        for customer in self.trace.workload.customers:
            if customer.name == name:
                return Workspace(
                    [],
                    list(self.steps),
                    quality_target=customer.target,
                    rating_budget=customer.budget,
                )
        return None


def any_version(_version: str) -> bool:
    """Returns True: every version may serve in a run."""
    return True


def answer_request(
    run: Run, policy: CascadePolicy, index: int, costs: np.ndarray
) -> tuple[float, int]:
    """Runs one request; returns its credits and the step that answered."""
    trace = run.trace
    request = run.request(index)
    progress = policy.begin(request, run.steps, str(index))
    cost = 0.0
    while True:
        step = progress.step
        cost += costs[index, step]
        usage = Usage(request.prompt_tokens, int(trace.output_tokens[index]))
        answer = StepAnswer(
            "", "stop", usage, float(trace.confidence[index, step])
        )
        if policy.evaluate(progress, answer, any_version) is Verdict.ACCEPT:
            return cost, step


def run_policy(name: str, make: PolicyFactory, trace: Trace) -> Result:
    """Runs a policy over a complete trace."""
    run = Run(trace)
    policy, apply_rating = make(run)
    costs = trace.costs()
    total = np.zeros(len(trace.at))
    answered = np.zeros(len(trace.at), int)
    for index, at in enumerate(trace.at):
        while run.pending and run.pending[0][0] <= at:
            due, _, rating = heapq.heappop(run.pending)
            run.clock.now = max(run.clock.now, due)
            apply_rating(rating)
        run.clock.now = at
        run.current = index
        total[index], answered[index] = answer_request(
            run, policy, index, costs
        )
    good = trace.good[np.arange(len(answered)), answered]
    paid = [run.paid.get(c.name, 0) for c in trace.workload.customers]
    return summarise(name, trace, total, good, np.array(paid))


def summarise(
    name: str,
    trace: Trace,
    cost: np.ndarray,
    good: np.ndarray,
    ratings: np.ndarray,
) -> Result:
    """Sums up a run by workspace."""
    size = len(trace.workload.customers)

    def by_workspace(weights: np.ndarray) -> np.ndarray:
        return np.bincount(trace.customer, weights, size)

    late = (trace.at > HOURS * HOUR_S * 2 / 3).astype(float)
    return Result(
        name,
        by_workspace(cost),
        by_workspace(good),
        by_workspace(good * late),
        by_workspace(np.ones(len(good))),
        by_workspace(late),
        ratings,
    )


def make_learned(share: float = 1.0, prompt: bool = False) -> PolicyFactory:
    """Returns the factory of the learned policy.

    Args:
      share: Share of the rating budget that this entry has.
      prompt: Whether to rate without limit and without delay.
    """

    def make(run: Run) -> tuple[CascadePolicy, Callable[[Rating], None]]:
        learner = Learner(run.versions, run.workspace, run.clock)

        def budget(workspace: str) -> int:
            if prompt:
                return UNLIMITED
            known = run.workspace(workspace)
            return int(known.rating_budget * share) if known else 0

        def send(sample: Sample) -> None:
            rated = sample.rated
            run.rate(rated.workspace, rated.version, rated, prompt)

        def apply_rating(rating: Rating) -> None:
            learner.learn(rating.sample, rating.good)

        sampler = Sampler(learner, random.Random(7), budget)
        return learned_policy(learner, sampler, send), apply_rating

    return make


def make_static(policy: CascadePolicy) -> PolicyFactory:
    """Returns the factory of a policy that does not learn."""
    return lambda run: (policy, lambda rating: None)


def make_calibrated() -> PolicyFactory:
    """Returns the factory of a threshold that follows the ratings.

    Ratings of final answers move the threshold of a workspace until the share
    of good ones equals the target. The policy distinguishes no classes and
    always starts at the first step.
    """
    gain, first = 0.02, 0.9

    def make(run: Run) -> tuple[CascadePolicy, Callable[[Rating], None]]:
        thresholds: dict[str, float] = {}
        credit: dict[str, float] = {}
        rng = random.Random(7)

        def begin(
            request: RouteRequest, steps: tuple[str, ...], request_id: str
        ) -> CascadeProgress:
            return CascadeProgress(request, tuple(steps), 0, request_id)

        def evaluate(
            progress: CascadeProgress, answer: StepAnswer, may: MayServe
        ) -> Verdict:
            name = progress.request.workspace
            threshold = thresholds.setdefault(name, first)
            if not progress.is_last and (answer.confidence or 0.0) < threshold:
                return escalate(progress, may)
            customer = next(
                c for c in run.trace.workload.customers if c.name == name
            )
            if rng.random() < customer.budget / (customer.rate * HOUR_S):
                run.rate(name, progress.version, None)
            return Verdict.ACCEPT

        def apply_rating(rating: Rating) -> None:
            known = run.workspace(rating.workspace)
            credit[rating.workspace] = rating.good - known.quality_target
            moved = thresholds[rating.workspace] - gain * (
                rating.good - known.quality_target
            )
            thresholds[rating.workspace] = min(1.01, max(0.0, moved))

        return CascadePolicy(begin, evaluate), apply_rating

    return make


def oracle(trace: Trace) -> Result:
    """Returns the lowest cost of meeting the targets if all ratings are known.

    Each request is sent directly to the cheapest version whose answer is rated
    good, or to the cheapest version if there is none or if the target is met
    without it. Replacing the most expensive requests first is optimal within
    a workspace.
    """
    costs = trace.costs()
    chosen = np.where(trace.good, costs, np.inf).argmin(axis=1)
    rows = np.arange(len(chosen))
    extra = costs[rows, chosen] - costs[:, 0]
    for number, customer in enumerate(trace.workload.customers):
        mine = np.flatnonzero(trace.customer == number)
        good = trace.good[mine].any(axis=1)
        wanted = int(np.ceil(customer.target * len(mine)))
        spare = max(0, int(good.sum()) - wanted)
        mean_max_cost = mine[np.argsort(-extra[mine])][:spare]
        chosen[mean_max_cost] = 0
    return summarise(
        "oracle",
        trace,
        costs[rows, chosen],
        trace.good[rows, chosen],
        np.zeros(len(trace.workload.customers)),
    )
