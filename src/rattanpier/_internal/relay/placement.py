"""Selects the worker that is expected to answer a request first.

Free of I/O: costs are computed from `Loads` and `ModelTimings`. For model
engines the cost is the expected seconds to the request's first event. Most of
it is prompt reading, which is sequential; running requests share each step and
add little. For plain services the cost is the share of a worker's slots in use.

Where workers report how long work takes, both are multiplied by the worker's
pace. All entries know the same paces but not each other's latest requests, so
that all would send to the fastest worker. Faster workers are therefore expected
to have more requests of peers that are not known yet: as many as make a request
without cached parts take equally long everywhere. Of such workers, each is
chosen with a probability in proportion to its speed.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Sequence

import attrs

from rattanpier._internal.models.policy import DEFAULT_POLICY, Policy
from rattanpier._internal.models.relay_request import Prompt, RelayRequest
from rattanpier._internal.models.worker import RegisteredWorker
from rattanpier._internal.placement.worker_pace import (
    NO_PACES,
    CurrentPaces,
    WorkerPaces,
)
from rattanpier._internal.relay.load import Loads, part_sizes
from rattanpier._internal.relay.model_groups import ModelGroups
from rattanpier._internal.relay.model_timings import ModelTimings
from rattanpier._internal.relay.prompt_updates import MIN_PUBLISHED_READ_S
from rattanpier._internal.utils.hashing import most_preferred
from rattanpier._internal.utils.record import Record

# Each running request, of any entry, slows each step a little.
RUNNING_REQUEST_COST_S = 0.008
# All entries compute the same home worker for a shared part. It probably has
# the part cached, but this is not known, so the part counts for less than one
# that this entry has seen there.
HOME_HIT_PROBABILITY = 0.7
# Traffic between failure domains is charged for: equivalent seconds for each
# request, and for each token of its prompt.
CROSS_DOMAIN_COST_S = 0.01
CROSS_DOMAIN_TOKEN_COST_S = 1e-5
# For plain services the equivalent is a third of a worker's slots.
CROSS_DOMAIN_COST_SLOTS = 0.34
# By how much a worker of the other group has to be better. A large model's
# prompt delays all streams of the smallest model beside it, while a small
# model's request among large ones delays only itself.
LARGE_IN_SMALL_GROUP_COST_S = 0.8
SMALL_IN_LARGE_GROUP_COST_S = 0.25
COST_JITTER = 0.02  # Breaks ties, so that entries choose differently.


@attrs.frozen(eq=False, repr=False)
class Choice(Record):
    """The selected worker and the figures behind the selection.

    Attributes:
      worker: The worker.
      cost: Expected seconds to the first event plus the equivalents of costs
        for traffic and groups; for plain services, the share of slots in use,
        with paces including this request.
      to_read: Tokens of the prompt that it has not cached.
      candidates: Number of workers that were compared.
      report_age_s: Age of its last load report in seconds, or None.
      read_s: Expected seconds in which a typical worker reads `to_read` tokens.
      wait_s: Expected seconds until other prompts there have been read.
      pace: Expected time on the worker, relative to a typical worker.
      ratio_age_s: Age of the worker's last report of how long work takes, in
        seconds, or None.
    """

    worker: RegisteredWorker
    cost: float
    to_read: float
    candidates: int
    report_age_s: float | None
    read_s: float = 0.0
    wait_s: float = 0.0
    pace: float = 1.0
    ratio_age_s: float | None = None


@attrs.define(eq=False, repr=False)
class Chooser:
    """Compares workers by cost.

    Attributes:
      loads: Load of each worker.
      domain: This entry's failure domain.
      rng: Random source that breaks ties.
      timings: Durations of each model.
      groups: Division of workers between small and large models.
      policy: Enabled mechanisms.
      paces: How long work takes on each worker.
    """

    loads: Loads
    domain: str
    rng: random.Random
    timings: ModelTimings
    groups: ModelGroups
    policy: Policy = DEFAULT_POLICY
    paces: WorkerPaces = attrs.field(
        default=attrs.Factory(
            lambda self: WorkerPaces(self.loads.clock), takes_self=True
        )
    )

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
        """Returns whether a worker is in another domain, if that has a cost."""
        return self.policy.domain_cost and worker.domain != self.domain

    def choose_plain(self, workers: Sequence[RegisteredWorker]) -> Choice:
        """Returns the worker with the smallest share of slots in use."""
        now = self.loads.clock.monotonic()
        paces = self.current_paces(workers, now)
        paced = self.pacer(paces, 1.0)

        def cost_of(worker: RegisteredWorker) -> float:
            load = self.loads.workers[worker.id]
            running, waiting = load.peer_requests(now)
            used = (len(load.running) + running + waiting) / worker.slots
            cost = CROSS_DOMAIN_COST_SLOTS * self.is_cross_domain(worker)
            if paces is NO_PACES:
                return used + cost + COST_JITTER * self.rng.random()
            own = 1.0 / worker.slots
            return cost + paced(worker.id, used + own, own)

        cost, worker = self.lowest_cost(workers, cost_of)
        return self.make_choice(worker, cost, 0.0, len(workers), now, paces)

    def current_paces(
        self, workers: Sequence[RegisteredWorker], now: float
    ) -> CurrentPaces:
        """Returns the paces of some workers of one service.

        Args:
          workers: The workers.
          now: Monotonic seconds.

        Returns:
          `NO_PACES` if they do not report how long work takes.
        """
        if not self.policy.worker_pace:
            return NO_PACES
        return self.paces.current(workers[0].service, now)

    def pacer(
        self, paces: CurrentPaces, jitter_cost: float
    ) -> Callable[[str, float, float], float]:
        """Returns the function that multiplies costs by the pace of a worker.

        Its arguments are the id of a worker, the cost on a typical worker with
        the same load, and the part of it that the request itself causes on a
        worker that has none of its parts cached.

        The cost of a request without cached parts is the same on all workers
        that are not slowed down, since the faster ones are expected to have
        more requests of peers that are not known yet. The jitter is exponential
        with a mean in proportion to the pace: of workers with equal costs, each
        is chosen with a probability in proportion to its speed.

        Args:
          paces: Paces of the workers.
          jitter_cost: Cost of which the jitter is a share of `COST_JITTER`.
        """
        intrinsic, momentary = paces.intrinsic, paces.momentary
        jitter = COST_JITTER * jitter_cost
        draw, log = self.rng.random, math.log

        def paced(worker_id: str, cost: float, own_cost: float) -> float:
            pace = intrinsic.get(worker_id, 1.0)
            if worker_id in momentary:
                cost *= momentary[worker_id]
            return own_cost + pace * (
                cost - own_cost - jitter * log(1.0 - draw())
            )

        return paced

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
        """Returns the expected wait of a request for other prompts.

        Args:
          worker: Where it would wait.
          typical_read_s: Seconds to read a typical prompt seen by this entry.
            Requests of peers that wait at the worker are assumed to take as
            long, unless peers have published more work.
          now: Monotonic seconds.

        Returns:
          Seconds.
        """
        load = self.loads.workers[worker.id]
        running, waiting = load.peer_requests(now)
        return (
            load.pending_read_s()
            + RUNNING_REQUEST_COST_S * (len(load.running) + running)
            + max(waiting * typical_read_s, load.peer_prompts_until - now)
        )

    def choose_engine(
        self,
        request: RelayRequest,
        workers: Sequence[RegisteredWorker],
        model: str,
    ) -> Choice:
        """Returns the worker that is expected to answer first.

        Values common to all workers are computed once, which shortens the
        latency of requests on a slow VM.
        """
        now = self.loads.clock.monotonic()
        small = is_smallest(request, model)
        preferred = workers
        if small is not None and self.policy.groups:
            preferred = self.groups.workers_for(workers, small)
        preferred_ids = {worker.id for worker in preferred}
        paces = self.current_paces(workers, now)
        prompt = request.prompt
        home = home_of(prompt, preferred) if self.policy.homes else ""
        parts = part_sizes(model, prompt)
        token_s = self.timings.token_read_s(model)
        typical_read_s = self.timings.typical_read_s(model)
        whole_read_s = token_s * prompt.tokens
        paced = self.pacer(paces, max(whole_read_s, typical_read_s))
        own_domain = self.domain if self.policy.domain_cost else None
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
            return max(0.0, prompt.tokens - cached) if cached else prompt.tokens

        def cost_of(worker: RegisteredWorker) -> float:
            cost = token_s * to_read(worker)
            cost += self.queue_wait_s(worker, typical_read_s, now)
            other = 0.0
            if own_domain is not None and worker.domain != own_domain:
                other = domain_cost_s
            if worker.id not in preferred_ids:
                other += group_cost_s
            if paces is NO_PACES:
                cost += other
                return cost * (1.0 + COST_JITTER * self.rng.random())
            return other + paced(worker.id, cost, whole_read_s)

        cost, worker = self.lowest_cost(workers, cost_of)
        tokens = to_read(worker)
        wait_s = self.queue_wait_s(worker, typical_read_s, now)
        return self.make_choice(
            worker,
            cost,
            tokens,
            len(workers),
            now,
            paces,
            read_s=token_s * tokens,
            wait_s=wait_s * paces.factor(worker.id),
        )

    def record_upstream_request(
        self, request: RelayRequest, model: str, choice: Choice
    ) -> None:
        """Records the expected prompt reading of an upstream request."""
        self.timings.record_upstream_request(model, choice.read_s)
        small = is_smallest(request, model)
        if small is not None:
            self.groups.record_upstream_request(small, choice.read_s)

    def record_run(
        self, request: RelayRequest, model: str, seconds: float, slots: int
    ) -> None:
        """Records how long a request occupied a worker.

        Args:
          request: The request.
          model: Model that it was sent to.
          seconds: Time in which it ran or waited.
          slots: Slots of the worker.
        """
        small = is_smallest(request, model)
        if small is not None:
            self.groups.record_run(small, seconds, slots)

    def home_hit_probability(self, read_s: float) -> float:
        """Returns the probability that a home has unpublished parts cached.

        Args:
          read_s: Seconds to read the parts. Peers publish long prompts, so
            that a long part that was not published is not cached.
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
        paces: CurrentPaces,
        **times: float,
    ) -> Choice:
        """Returns a choice with the figures behind it."""
        load = self.loads.workers[worker.id]
        age = None if load.report is None else now - load.report_at
        return Choice(
            worker,
            cost,
            to_read,
            candidates,
            age,
            pace=paces.factor(worker.id),
            ratio_age_s=self.paces.report_age_s(worker.id, now),
            **times,
        )


def is_smallest(request: RelayRequest, model: str) -> bool | None:
    """Returns whether a model is the smallest of its route.

    Returns:
      None if the route does not offer several models including this one.
    """
    models = request.route.models
    if len(models) < 2 or model not in models:
        return None
    return model == models[0]


def home_of(prompt: Prompt, workers: Sequence[RegisteredWorker]) -> str:
    """Returns the id of the home worker of a prompt's shared parts.

    All entries compute the same one without communication; a worker that joins
    or leaves moves few parts.

    Returns:
      An empty string if the prompt has no shared part.
    """
    if len(prompt.parts) < 2:
        return ""
    deepest = prompt.parts[-2].id
    return most_preferred(deepest, (worker.id for worker in workers))
