"""Which worker gets a request: the one where it is likely answered first.

Code without a network: it weighs what `Loads` knows. For model engines the
unit is prompt tokens to be read before this request's first token, since that
is what a worker does one after another; running requests share each step and
add little. For plain services it is the share of a worker's slots in use.
"""

from __future__ import annotations

import random
from collections.abc import Sequence

import attrs

from rattanpier._internal.models.relay_request import Prompt, RelayRequest
from rattanpier._internal.models.worker import RegisteredWorker
from rattanpier._internal.relay.load import Loads
from rattanpier._internal.utils.hashing import rendezvous

# A request that another entry has running slows each step a little, and may
# still have its prompt to be read; one that waits surely has.
RUNNING_TOKENS = 250.0
WAITING_TOKENS = 3000.0
# Entries agree on the worker that a shared part belongs to. That it holds the
# part is likely but not known, so it counts for less than a part seen there.
HOME_TRUST = 0.7
# Bytes between failure domains are paid for: worth a detour. On two days of one
# site 0.3 and 300 cost a third fewer such bytes than 0.05 and 100, at no loss.
FAR_TOKENS = 300.0
FAR_SHARE = 0.3
FAR_SLOTS = 0.34  # For plain services: a third of a worker's slots.
JITTER = 0.02  # Breaks ties, so that entries do not all choose alike.


@attrs.frozen
class Choice:
    """A worker and why.

    Attributes:
      worker: The worker.
      cost: In prompt tokens, or slots in use for plain services.
      to_read: Prompt tokens that it has to read for the request.
      candidates: Workers that were weighed.
      report_age_s: Age of its last load report, or None.
    """

    worker: RegisteredWorker
    cost: float
    to_read: float
    candidates: int
    report_age_s: float | None


@attrs.define
class Chooser:
    """Weighs workers.

    Attributes:
      loads: What is known of them.
      domain: This entry's failure domain.
      rng: Breaks ties.
    """

    loads: Loads
    domain: str
    rng: random.Random

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

    def choose_plain(self, workers: Sequence[RegisteredWorker]) -> Choice:
        """Returns the worker with most free slots."""
        now = self.loads.clock.monotonic()

        def weigh(worker: RegisteredWorker) -> Choice:
            load = self.loads.workers[worker.id]
            running, waiting = load.others(now)
            used = (len(load.running) + running + waiting) / worker.slots
            far = 0.0 if worker.domain == self.domain else FAR_SLOTS
            cost = used + far + JITTER * self.rng.random()
            return self.make(worker, cost, 0.0, len(workers), now)

        return min(map(weigh, workers), key=lambda choice: choice.cost)

    def least_waiting(self, workers: Sequence[RegisteredWorker]) -> float:
        """Returns the tokens that the least loaded worker has yet to read."""
        now = self.loads.clock.monotonic()
        waiting = (self.waiting_at(worker, now) for worker in workers)
        return min(waiting, default=0.0)

    def waiting_at(self, worker: RegisteredWorker, now: float) -> float:
        """Returns the tokens that a worker reads before a new request's."""
        load = self.loads.workers[worker.id]
        running, waiting = load.others(now)
        return (
            load.pending_tokens()
            + RUNNING_TOKENS * (len(load.running) + running)
            + WAITING_TOKENS * waiting
        )

    def choose_engine(
        self,
        request: RelayRequest,
        workers: Sequence[RegisteredWorker],
        model: str,
    ) -> Choice:
        """Returns the worker where the prompt is likely read first."""
        now = self.loads.clock.monotonic()
        home = home_of(request.prompt, workers)

        def weigh(worker: RegisteredWorker) -> Choice:
            to_read = self.to_read(worker, model, request.prompt, home)
            cost = to_read + self.waiting_at(worker, now)
            if worker.domain != self.domain:
                cost += FAR_TOKENS + FAR_SHARE * request.prompt.tokens
            cost *= 1.0 + JITTER * self.rng.random()
            return self.make(worker, cost, to_read, len(workers), now)

        return min(map(weigh, workers), key=lambda choice: choice.cost)

    def to_read(
        self,
        worker: RegisteredWorker,
        model: str,
        prompt: Prompt,
        home: str,
    ) -> float:
        """Returns the prompt tokens that a worker would have to read."""
        kept: float = self.loads.kept_tokens(worker.id, model, prompt)
        if worker.id == home:
            shared = sum(part.tokens for part in prompt.parts[:-1])
            kept = max(kept, HOME_TRUST * shared)
        return max(0.0, prompt.tokens - kept)

    def make(
        self,
        worker: RegisteredWorker,
        cost: float,
        to_read: float,
        candidates: int,
        now: float,
    ) -> Choice:
        """Returns a choice with what it was made from."""
        load = self.loads.workers[worker.id]
        age = None if load.report is None else now - load.report_at
        return Choice(worker, cost, to_read, candidates, age)


def home_of(prompt: Prompt, workers: Sequence[RegisteredWorker]) -> str:
    """Returns the worker that a prompt's shared parts belong to, or nothing.

    All entries find the same one without talk; one that comes or goes moves
    few parts.
    """
    if len(prompt.parts) < 2:
        return ""
    deepest = prompt.parts[-2].id
    return rendezvous(deepest, (worker.id for worker in workers))[0]
