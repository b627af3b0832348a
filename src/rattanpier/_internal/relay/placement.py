"""Which worker gets a request: the one where it is likely answered first.

Code without a network: it weighs what `Loads` and `ModelTimings` know. For
model engines the unit is seconds until this request's first event, most of
which go into reading prompts, one after another; running requests share each
step and add little. For plain services it is the share of a worker's slots in
use.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence

import attrs

from rattanpier._internal.models.policy import USUAL, Policy
from rattanpier._internal.models.relay_request import Prompt, RelayRequest
from rattanpier._internal.models.worker import RegisteredWorker
from rattanpier._internal.relay.load import Loads, part_sizes
from rattanpier._internal.relay.model_groups import ModelGroups
from rattanpier._internal.relay.model_timings import ModelTimings
from rattanpier._internal.relay.prompt_updates import MIN_PUBLISHED_READ_S
from rattanpier._internal.utils.hashing import most_preferred

# A request that another entry has running slows each step a little.
RUNNING_REQUEST_COST_S = 0.008
# Entries agree on the worker that a shared part belongs to. That it holds the
# part is likely but not known, so it counts for less than a part seen there.
HOME_HIT_PROBABILITY = 0.7
# Bytes between failure domains are paid for: worth a detour of so many seconds,
# and for each token of the prompt.
CROSS_DOMAIN_COST_S = 0.01
CROSS_DOMAIN_TOKEN_COST_S = 1e-5
# For plain services: a third of a worker's slots.
CROSS_DOMAIN_COST_SLOTS = 0.34
# What a worker of the other group has to be better by. A large model's prompt
# among the smallest one's streams holds them all up, the reverse only itself.
LARGE_IN_SMALL_GROUP_COST_S = 0.8
SMALL_IN_LARGE_GROUP_COST_S = 0.25
COST_JITTER = 0.02  # Breaks ties, so that entries do not all choose alike.


@attrs.frozen
class Choice:
    """A worker and why.

    Attributes:
      worker: The worker.
      cost: Seconds to the first event and what stands for prices, or slots in
        use for plain services.
      to_read: Prompt tokens that it has to read for the request.
      read_s: Seconds in which it reads them.
      wait_s: Seconds that other requests are read before.
      candidates: Workers that were weighed.
      report_age_s: Age of its last load report, or None.
    """

    worker: RegisteredWorker
    cost: float
    to_read: float
    candidates: int
    report_age_s: float | None
    read_s: float = 0.0
    wait_s: float = 0.0


@attrs.define(eq=False, repr=False)
class Chooser:
    """Weighs workers.

    Attributes:
      loads: What is known of them.
      domain: This entry's failure domain.
      rng: Breaks ties.
      timings: How long each model takes.
      groups: Which workers are for which models.
      policy: Mechanisms that are on.
    """

    loads: Loads
    domain: str
    rng: random.Random
    timings: ModelTimings
    groups: ModelGroups
    policy: Policy = USUAL

    def choose(
        self,
        request: RelayRequest,
        workers: Sequence[RegisteredWorker],
        model: str,
    ) -> Choice | None:
        """Returns the best worker for a request; None if there is none."""
        if not workers:
            return None
        if request.prompt.tokens or request.route.streaming:
            return self.choose_engine(request, workers, model)
        return self.choose_plain(workers)

    def is_cross_domain(self, worker: RegisteredWorker) -> bool:
        """Says whether bytes to a worker cross failure domains, and count."""
        return self.policy.domain_cost and worker.domain != self.domain

    def choose_plain(self, workers: Sequence[RegisteredWorker]) -> Choice:
        """Returns the worker with most free slots."""
        now = self.loads.clock.monotonic()

        def cost_of(worker: RegisteredWorker) -> float:
            load = self.loads.workers[worker.id]
            running, waiting = load.peer_requests(now)
            used = (len(load.running) + running + waiting) / worker.slots
            domain_cost = (
                CROSS_DOMAIN_COST_SLOTS if self.is_cross_domain(worker) else 0.0
            )
            return used + domain_cost + COST_JITTER * self.rng.random()

        cost, worker = self.lowest_cost(workers, cost_of)
        return self.make_choice(worker, cost, 0.0, len(workers), now)

    def lowest_cost(
        self,
        workers: Sequence[RegisteredWorker],
        cost_of: Callable[[RegisteredWorker], float],
    ) -> tuple[float, RegisteredWorker]:
        """Returns the lowest cost and the worker that has it."""
        costs = [cost_of(worker) for worker in workers]
        cost = min(costs)
        return cost, workers[costs.index(cost)]

    def queue_wait_s(
        self, worker: RegisteredWorker, typical_read_s: float, now: float
    ) -> float:
        """Returns the seconds for which others are read before a request.

        Args:
          worker: Where it would wait.
          typical_read_s: What others have waiting there is taken to be such as
            was seen here, unless they told of more.
          now: Monotonic seconds.
        """
        load = self.loads.workers[worker.id]
        running, waiting = load.peer_requests(now)
        published_s = max(0.0, load.peer_prompts_until - now)
        return (
            load.pending_read_s()
            + RUNNING_REQUEST_COST_S * (len(load.running) + running)
            + max(waiting * typical_read_s, published_s)
        )

    def choose_engine(
        self,
        request: RelayRequest,
        workers: Sequence[RegisteredWorker],
        model: str,
    ) -> Choice:
        """Returns the worker where the request is likely answered first.

        What is the same for all workers is found once, so that callers wait
        less on a slow VM.
        """
        now = self.loads.clock.monotonic()
        small = is_smallest(request, model)
        preferred = workers
        if small is not None and self.policy.groups:
            preferred = self.groups.workers_for(workers, small)
        preferred_ids = {worker.id for worker in preferred}
        prompt = request.prompt
        home = home_of(prompt, preferred) if self.policy.homes else ""
        parts = part_sizes(model, prompt)
        token_s = self.timings.token_read_s(model)
        typical_read_s = self.timings.typical_read_s(model)
        domain_cost_s = (
            CROSS_DOMAIN_COST_S + CROSS_DOMAIN_TOKEN_COST_S * prompt.tokens
        )
        group_cost_s = (
            SMALL_IN_LARGE_GROUP_COST_S
            if small
            else LARGE_IN_SMALL_GROUP_COST_S
        )

        def to_read(worker: RegisteredWorker) -> float:
            cached: float = self.loads.cached_tokens(worker.id, parts, now)
            if worker.id == home:
                shared = sum(part.tokens for part in prompt.parts[:-1])
                probability = self.home_hit_probability(token_s * shared)
                cached = max(cached, probability * shared)
            return max(0.0, prompt.tokens - cached)

        def cost_of(worker: RegisteredWorker) -> float:
            cost = token_s * to_read(worker)
            cost += self.queue_wait_s(worker, typical_read_s, now)
            if self.is_cross_domain(worker):
                cost += domain_cost_s
            if worker.id not in preferred_ids:
                cost += group_cost_s
            return cost * (1.0 + COST_JITTER * self.rng.random())

        cost, worker = self.lowest_cost(workers, cost_of)
        tokens = to_read(worker)
        return self.make_choice(
            worker,
            cost,
            tokens,
            len(workers),
            now,
            read_s=token_s * tokens,
            wait_s=self.queue_wait_s(worker, typical_read_s, now),
        )

    def record_upstream_request(
        self, request: RelayRequest, model: str, choice: Choice
    ) -> None:
        """Takes in the work that a send is."""
        self.timings.record_upstream_request(model, choice.read_s)
        small = is_smallest(request, model)
        if small is not None:
            self.groups.record_upstream_request(small, choice.read_s)

    def record_run(
        self, request: RelayRequest, model: str, seconds: float, slots: int
    ) -> None:
        """Takes in how long a request ran, or waited, at a worker."""
        small = is_smallest(request, model)
        if small is not None:
            self.groups.record_run(small, seconds, slots)

    def home_hit_probability(self, read_s: float) -> float:
        """Returns how likely a home holds shared parts nobody told of.

        Args:
          read_s: Seconds in which they are read.
        """
        published = self.policy.prompt_news and read_s >= MIN_PUBLISHED_READ_S
        return 0.0 if published else HOME_HIT_PROBABILITY

    def make_choice(
        self,
        worker: RegisteredWorker,
        cost: float,
        to_read: float,
        candidates: int,
        now: float,
        **times: float,
    ) -> Choice:
        """Returns a choice with what it was made from."""
        load = self.loads.workers[worker.id]
        age = None if load.report is None else now - load.report_at
        return Choice(worker, cost, to_read, candidates, age, **times)


def is_smallest(request: RelayRequest, model: str) -> bool | None:
    """Says whether a model is the smallest of its route; None: no choice."""
    models = request.route.models
    if len(models) < 2 or model not in models:
        return None
    return model == models[0]


def home_of(prompt: Prompt, workers: Sequence[RegisteredWorker]) -> str:
    """Returns the worker that a prompt's shared parts belong to, or nothing.

    All entries find the same one without talk; one that comes or goes moves
    few parts.
    """
    if len(prompt.parts) < 2:
        return ""
    deepest = prompt.parts[-2].id
    return most_preferred(deepest, (worker.id for worker in workers))
