"""What every answer needs: a worker, leave to send again, what was learned."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping, Sequence

import attrs
import structlog

from rattanpier._internal.models.policy import USUAL, Policy
from rattanpier._internal.models.relay_answer import (
    AnswerRefused,
    WholeAnswer,
)
from rattanpier._internal.models.relay_request import Prompt, RelayRequest
from rattanpier._internal.models.sending import Sending
from rattanpier._internal.models.worker import RegisteredWorker
from rattanpier._internal.placement.eligibility import (
    DRAINED_DOMAIN,
    LEAVING,
    OWN_WORDS,
    TIMED,
    Condition,
    Eligible,
    eligible,
    soonest_s,
)
from rattanpier._internal.placement.rate_limits import RateLimits
from rattanpier._internal.placement.rests import Rests
from rattanpier._internal.relay.budgets import ServiceRetryBudget
from rattanpier._internal.relay.directory import WorkerDirectory
from rattanpier._internal.relay.exchange import (
    Sender,
    SendError,
)
from rattanpier._internal.relay.health import Health
from rattanpier._internal.relay.load import InFlight, Loads
from rattanpier._internal.relay.placement import Choice, Chooser
from rattanpier._internal.relay.request_progress import (
    MIN_TIME_LEFT_S,
    RequestProgress,
    final_answer,
    round_for_log,
)
from rattanpier._internal.relay.rollouts import Rollouts
from rattanpier._internal.relay.worker_ends import WorkerEnds
from rattanpier._internal.retries.quarantine import Quarantine
from rattanpier._internal.utils.clock import Clock
from rattanpier._internal.utils.metrics import Metrics

log = structlog.get_logger(part="dispatch")

# Nobody knows when operators take a failure domain back. Those who come again
# within a second or two are served if it was for a moment.
DRAINED_RETRY_AFTER_S = 2.0
MAX_ANSWER_BYTES = 16 * 2**20  # Of an answer that is not a stream.


@attrs.define(eq=False, repr=False)
class Dispatcher:
    """What answers need of this entry, and where they leave what they show.

    `answering.answer` begins one; `plain_answers`, `stream_answers` and
    `escalation` carry it out.

    Attributes:
      conditions: What keeps requests from workers, one after the other.
      available_in_s: Returns the seconds until a worker takes one; 0: now.
      on_request_started: Told of each worker that a send is begun to.
      limits: What workers say that they take.
      rests: Which want nothing from this entry for a while.
      budgets: Sends beyond the first of each request, by service.
      policy: Mechanisms that are on.
      publish_prompt: Told of each prompt that is sent: the worker's id, the
        model, the prompt and the seconds in which it is likely read.
    """

    clock: Clock
    metrics: Metrics
    directory: WorkerDirectory
    health: Health
    loads: Loads
    chooser: Chooser
    sender: Sender
    ends: WorkerEnds
    conditions: Sequence[Condition]
    available_in_s: Callable[[RegisteredWorker], float]
    on_request_started: Callable[[RegisteredWorker], None]
    limits: RateLimits
    rests: Rests
    quarantine: Quarantine
    rollouts: Rollouts
    budgets: Mapping[str, ServiceRetryBudget]
    policy: Policy = USUAL
    publish_prompt: Callable[[str, str, Prompt, float], None] = attrs.field(
        default=lambda _worker, _model, _prompt, _read_s: None
    )

    def pick_service(self, request: RelayRequest) -> str:
        """Returns the service that a request goes to, by weight."""
        shares = request.route.shares
        if len(shares) == 1:
            return shares[0].service
        weights = [share.weight for share in shares]
        names = [share.service for share in shares]
        return self.chooser.rng.choices(names, weights)[0]

    # Choosing.

    def choose(self, progress: RequestProgress) -> Choice | None:
        """Returns the worker for the next send, which begins now, or None."""
        choice = self.find_worker(progress, progress.model)
        if choice is not None:
            self.on_request_started(choice.worker)
        return choice

    def find_worker(
        self, progress: RequestProgress, model: str
    ) -> Choice | None:
        """Returns the worker that a model would be asked of now, or None.

        The version goes before all else: that its workers are left out is no
        reason for a wider exposure, or to move a session.
        """
        request = progress.request
        workers = self.directory.of_service(progress.service)
        split = self.rollouts.split(request, progress.service, workers)
        progress.excluded = {}
        leaving = self.directory.leaving_of_service(progress.service)
        if leaving:
            self.count_excluded(progress, LEAVING, leaving)
        for group in (split.first, split.otherwise):
            found = eligible(self.conditions, progress, group)
            self.record_excluded(progress, group, found)
            choice = self.chooser.choose(request, found.workers, model)
            if choice is not None:
                return choice
            if request.session and not OWN_WORDS.isdisjoint(found.left_out):
                # The session's version is back before long.
                return None
        return None

    def record_excluded(
        self,
        progress: RequestProgress,
        group: Sequence[RegisteredWorker],
        found: Eligible,
    ) -> None:
        """Takes in what kept a request from the workers of a version."""
        for name, count in found.left_out.items():
            self.count_excluded(progress, name, count)
        if not TIMED.isdisjoint(found.left_out):
            progress.available_in_s = self.retry_after_s(group)
        elif DRAINED_DOMAIN in found.left_out:
            progress.available_in_s = DRAINED_RETRY_AFTER_S

    def count_excluded(
        self, progress: RequestProgress, name: str, count: int
    ) -> None:
        """Takes in that a condition kept a request from some workers."""
        self.metrics.count(f"relay.left_out.{name}")
        progress.excluded[name] = progress.excluded.get(name, 0) + count

    def retry_after_s(
        self, workers: Sequence[RegisteredWorker]
    ) -> float | None:
        """Returns when to come back for one of some closed workers.

        Callers that are refused at the same moment are spread over as long
        again as the soonest of them has to wait.
        """
        wait_s = soonest_s(self.available_in_s, workers)
        if wait_s is None:
            return None
        return wait_s * (1.0 + self.chooser.rng.random())

    def add_in_flight(
        self, progress: RequestProgress, worker: RegisteredWorker, read_s: float
    ) -> InFlight:
        """Counts a request in at a worker."""
        suspect = self.quarantine.suspects(progress.request.content)
        return self.loads.begin(worker.id, read_s, suspect)

    def may_send(self, progress: RequestProgress) -> bool:
        """Says whether a request may be sent to one more worker."""
        request = progress.request
        progress.quarantined_s = self.quarantine.held_s(request.content)
        if progress.quarantined_s:
            self.metrics.count("relay.held")
            progress.reason = "workers ended under this request"
            return False
        if progress.next_send_allowed:
            progress.next_send_allowed = False
            return True
        if progress.sent >= request.route.max_workers:
            return False
        if progress.may_have_run and not request.route.repeatable:
            return False
        if self.left_s(progress) <= MIN_TIME_LEFT_S:
            return False
        if progress.sent and not self.budgets[progress.service].try_acquire():
            self.metrics.count("relay.budget_spent")
            progress.reason = progress.reason or "retry budget spent"
            return False
        return True

    def left_s(self, progress: RequestProgress) -> float:
        """Returns the seconds until the caller or the route gives up."""
        return progress.loop_deadline - asyncio.get_running_loop().time()

    def record_upstream_request(
        self, progress: RequestProgress, choice: Choice
    ) -> Sending:
        """Counts a send and returns what the worker is told."""
        request = progress.request
        progress.sent += 1
        progress.tried.add(choice.worker.id)
        self.metrics.count("relay.sent")
        log.info(
            "Sent.",
            request=request.id,
            content=request.content,
            route=request.route.name,
            worker=choice.worker.id,
            version=choice.worker.version,
            model=progress.model,
            send=progress.sent,
            cost=round(choice.cost, 2),
            to_read=round(choice.to_read),
            candidates=choice.candidates,
            left_out=progress.excluded,
            session=request.session,
            report_age_s=round_for_log(choice.report_age_s),
            left_s=round(self.left_s(progress), 3),
        )
        return Sending(
            worker=choice.worker,
            left_s=self.left_s(progress),
            model=progress.model,
            urgency=request.priority if request.route.streaming else None,
            after_event=progress.order.last,
        )

    def refuse(self, progress: RequestProgress) -> WholeAnswer | AnswerRefused:
        """Returns the final answer to a request that nobody answered."""
        found = final_answer(progress, self.left_s(progress))
        if isinstance(found, AnswerRefused):
            self.metrics.count(f"relay.refused.{found.refusal.code.value}")
        return found

    # Judging.

    def record_send_error(
        self,
        progress: RequestProgress,
        worker: RegisteredWorker,
        error: SendError,
    ) -> None:
        """Takes in that a send failed."""
        progress.reason = str(error)
        progress.retry_after_s = error.retry_after_s
        if not error.not_run:
            progress.may_have_run = True
            self.record_result(progress, worker, bad=True, relative_s=None)
        elif error.misdirected or not error.connected:
            # A worker that started anew at the same address has another id:
            # the one that was asked for is gone, though still registered.
            self.health.record_unreachable(worker)
        reason = "not_run" if error.not_run else "may_have_run"
        self.metrics.count(f"relay.send_failed.{reason}")
        log.info(
            "Send failed.",
            request=progress.request.id,
            content=progress.request.content,
            worker=worker.id,
            reason=progress.reason,
            not_run=error.not_run,
            connected=error.connected,
        )

    async def handle_send_error(
        self,
        progress: RequestProgress,
        worker: RegisteredWorker,
        error: SendError,
    ) -> None:
        """Takes in that a send failed, and looks whether its worker ended."""
        if not error.not_run:
            # A caller that leaves meanwhile does not undo the end.
            await asyncio.shield(self.check_for_crash(progress.request, worker))
        self.record_send_error(progress, worker, error)

    async def check_for_crash(
        self, request: RelayRequest, worker: RegisteredWorker
    ) -> None:
        """Counts a worker's end against a request, if it ended."""
        if not await self.ends.has_ended(worker):
            return
        self.metrics.count("relay.worker_ended")
        log.info(
            "Worker ended under a request.",
            request=request.id,
            content=request.content,
            worker=worker.id,
        )
        self.quarantine.note_end(request.content, worker.incarnation)

    def record_result(
        self,
        progress: RequestProgress,
        worker: RegisteredWorker,
        bad: bool,
        relative_s: float | None,
    ) -> None:
        """Lets health and roll-outs learn from an answer."""
        peers = self.directory.of_service(worker.service)
        self.health.record_result(worker, bad, peers)
        if bad and self.quarantine.explains(worker.incarnation):
            # A version is not worse for a request that ends all workers.
            return
        self.rollouts.note(worker, progress.request.route.name, bad, relative_s)

    def record_worker_failure(
        self,
        progress: RequestProgress,
        worker: RegisteredWorker,
        answer: WholeAnswer,
    ) -> None:
        """Takes in that a worker ran a request and failed."""
        progress.may_have_run = True
        progress.failure = answer
        progress.reason = f"worker failed with {answer.status}"
        self.metrics.count("relay.worker_failed")
        log.info(
            "Worker failed.",
            request=progress.request.id,
            worker=worker.id,
            status=answer.status,
        )

    def record_timeout(
        self, progress: RequestProgress, worker: RegisteredWorker
    ) -> None:
        """Takes in that the time ran out at a worker."""
        progress.may_have_run = True
        progress.reason = "time ran out at the worker"
        self.record_result(progress, worker, bad=True, relative_s=None)
        self.metrics.count("relay.late")
