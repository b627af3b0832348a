"""Shared steps of answering a request.

Selects the worker of each upstream request, decides whether another one is
allowed, and records what the answers showed.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator, Callable, Mapping, Sequence

import attrs
import structlog

from rattanpier._internal.models.policy import DEFAULT_POLICY, Policy
from rattanpier._internal.models.relay_answer import (
    AnswerPart,
    AnswerRefused,
    CompleteAnswer,
)
from rattanpier._internal.models.relay_request import Prompt, RelayRequest
from rattanpier._internal.models.upstream_request import (
    AnswerHead,
    UpstreamRequest,
)
from rattanpier._internal.models.worker import RegisteredWorker
from rattanpier._internal.placement.backoffs import Backoffs
from rattanpier._internal.placement.brittle_workers import BrittleWorkers
from rattanpier._internal.placement.eligibility import (
    DRAINED_DOMAIN,
    LEAVING,
    TEMPORARY,
    WORKER_REPORTED,
    Condition,
    EligibleWorkers,
    filter_eligible,
    min_wait_s,
)
from rattanpier._internal.placement.fair_queue import request_cost
from rattanpier._internal.placement.rate_limits import RateLimits
from rattanpier._internal.placement.worker_room import (
    WorkerRooms,
    request_tokens,
)
from rattanpier._internal.relay.admission import EntryAdmission
from rattanpier._internal.relay.budgets import ServiceRetryBudget
from rattanpier._internal.relay.crash_checks import CrashChecks
from rattanpier._internal.relay.directory import WorkerDirectory
from rattanpier._internal.relay.exchange import (
    Sender,
    SendError,
)
from rattanpier._internal.relay.forwarding import (
    Forwarder,
    forward,
    may_forward,
)
from rattanpier._internal.relay.health import Health
from rattanpier._internal.relay.load import InFlight, Loads
from rattanpier._internal.relay.placement import Choice, Chooser
from rattanpier._internal.relay.reachability import Reachability
from rattanpier._internal.relay.request_progress import (
    MIN_TIME_LEFT_S,
    RequestProgress,
    final_answer,
    round_for_log,
)
from rattanpier._internal.relay.rollouts import Rollouts
from rattanpier._internal.relay.termination_checks import TerminationChecks
from rattanpier._internal.retries.quarantine import Quarantine
from rattanpier._internal.utils.clock import Clock
from rattanpier._internal.utils.metrics import Metrics

log = structlog.get_logger(part="dispatch")

# It is not known when operators return a drained failure domain to service.
# Callers that retry within a second or two are served if the drain was brief.
DRAINED_RETRY_AFTER_S = 2.0
# Attempts whose connection failed reach no worker and are not limited by the
# route. Each may take half a second.
MAX_UNCONNECTED = 3
MAX_ANSWER_BYTES = 16 * 2**20  # Limit of an answer that is not streamed.
# Workers with room that are compared while others are full.
COMPARED_WORKERS = 2
NO_PATH_REASON = "no worker can be reached, from here or by a peer"


@attrs.define(eq=False, repr=False)
class Dispatcher:
    """The components of this entry that answering a request depends on.

    `answering.answer` starts an answer; `plain_answers`, `stream_answers` and
    `escalation` carry it out.

    Attributes:
      clock: Source of monotonic time.
      metrics: Counters and timings.
      directory: Registered workers.
      health: Recent failures of workers.
      loads: Load of each worker.
      chooser: Selects among eligible workers.
      sender: Sends requests to workers.
      terminations: Which worker processes have ended.
      crashes: Whether answers that broke off show that their worker crashed.
      reachability: Which services this entry can connect to.
      forwarder: Selects peers that answer requests for this entry.
      conditions: Filters of eligible workers, applied in this order.
      available_in_s: Returns the seconds until a worker accepts a request; 0
        if it does now.
      on_request_started: Called with the worker of each upstream request when
        it starts.
      limits: Rate limits that workers have declared.
      backoffs: Workers that asked this entry to back off.
      brittle: Workers that fall over if they have to refuse too much.
      quarantine: Requests under which workers crashed.
      rollouts: Roll-outs of versions.
      budgets: Upstream requests beyond the first of each request, by service.
      rooms: What each worker has room for.
      admission: Requests whose eligible workers are all full.
      policy: Enabled mechanisms.
      paused_since: Returns whether this process did not run for a while since
        a time in monotonic seconds.
      publish_prompt: Called for each prompt that is sent, with the worker's
        id, the model, the prompt and the estimated seconds to read it.
    """

    clock: Clock
    metrics: Metrics
    directory: WorkerDirectory
    health: Health
    loads: Loads
    chooser: Chooser
    sender: Sender
    terminations: TerminationChecks
    crashes: CrashChecks
    reachability: Reachability
    forwarder: Forwarder
    conditions: Sequence[Condition]
    available_in_s: Callable[[RegisteredWorker], float]
    on_request_started: Callable[[RegisteredWorker], None]
    limits: RateLimits
    backoffs: Backoffs
    brittle: BrittleWorkers
    quarantine: Quarantine
    rollouts: Rollouts
    budgets: Mapping[str, ServiceRetryBudget]
    rooms: WorkerRooms
    admission: EntryAdmission
    policy: Policy = DEFAULT_POLICY
    paused_since: Callable[[float], bool] = lambda _at: False
    publish_prompt: Callable[[str, str, Prompt, float], None] = attrs.field(
        default=lambda _worker, _model, _prompt, _read_s: None
    )

    def pick_service(self, request: RelayRequest) -> str:
        """Returns a service of the request's route, drawn by weight."""
        shares = request.route.shares
        if len(shares) == 1:
            return shares[0].service
        weights = [share.weight for share in shares]
        names = [share.service for share in shares]
        return self.chooser.rng.choices(names, weights)[0]

    # Selecting a worker.

    def choose(self, progress: RequestProgress) -> Choice | None:
        """Returns the worker of the next upstream request, or None.

        The request counts as started. Queued requests go first.
        """
        if not self.admission.is_empty(progress.service):
            self.admission.release(progress.service)
        choice = self.find_worker(progress, progress.model)
        if choice is None or not self.acquire_retry(progress):
            return None
        self.on_request_started(choice.worker)
        return choice

    def find_worker(
        self, progress: RequestProgress, model: str
    ) -> Choice | None:
        """Returns the worker that would run a model now, or None.

        None also if all workers that are eligible are full, see
        `RequestProgress.no_room`.
        """
        return self.find_in_versions(progress, model, queued=False)

    def find_room(self, progress: RequestProgress, model: str) -> Choice | None:
        """Returns a worker that has room for a queued request, or None."""
        return self.find_in_versions(progress, model, queued=True)

    def find_in_versions(
        self, progress: RequestProgress, model: str, queued: bool
    ) -> Choice | None:
        """Returns a worker of the version that a request belongs to, or None.

        The version is decided first: if the workers of a version are excluded
        by a condition, this neither widens the exposure of the other version
        nor moves a session.

        Args:
          progress: The request.
          model: Model to run.
          queued: Whether only workers that a queued request may be sent to are
            considered.
        """
        progress.no_room = None
        request = progress.request
        workers = self.directory.accepting_workers(progress.service)
        split = self.rollouts.split(request, progress.service, workers)
        progress.excluded = {}
        leaving = self.directory.count_leaving(progress.service)
        if leaving:
            self.count_excluded(progress, LEAVING, leaving)
        for group in (split.preferred, split.fallback):
            found = filter_eligible(self.conditions, progress, group)
            self.record_excluded(progress, group, found)
            candidates = prefer_answered(progress, found.workers)
            choice = self.choose_by_room(progress, candidates, model, queued)
            if choice is not None or progress.no_room is not None:
                return choice
            if request.session and not WORKER_REPORTED.isdisjoint(
                found.excluded
            ):
                # The session's version accepts requests again soon.
                return None
        return None

    def choose_by_room(
        self,
        progress: RequestProgress,
        workers: Sequence[RegisteredWorker],
        model: str,
        queued: bool,
    ) -> Choice | None:
        """Returns one of some workers that is not full, or None.

        While no worker of the service is full, it is the best one. Otherwise
        it is the better of two with room: all entries learn of room at the same
        time, and would all choose the same worker. Whether all of them are full
        is recorded in the request's progress. A request that may have run can't
        be refused any more and is not queued.

        Args:
          progress: The request.
          workers: The workers that are eligible for it.
          model: Model to run.
          queued: Whether it is queued.
        """
        request = progress.request
        tokens = request_tokens(request)
        if not self.policy.admission or progress.may_have_run:
            return self.chooser.choose(request, workers, model)
        contended = self.rooms.is_contended(
            progress.service,
            self.directory.accepting_workers(progress.service),
        )
        if not queued and not contended:
            choice = self.chooser.choose(request, workers, model)
            if choice is None or self.rooms.has_room(choice.worker, tokens):
                return choice
        eligible = self.rooms.open_workers(workers, tokens, queued)
        if workers and not eligible:
            progress.no_room = self.rooms.why_full(workers, tokens)
            return None
        if contended:
            eligible = workers if not queued else eligible
            count = min(COMPARED_WORKERS, len(eligible))
            eligible = self.chooser.rng.sample(eligible, count)
        return self.chooser.choose(request, eligible, model)

    def record_excluded(
        self,
        progress: RequestProgress,
        group: Sequence[RegisteredWorker],
        found: EligibleWorkers,
    ) -> None:
        """Records which conditions excluded workers of a version."""
        for name, count in found.excluded.items():
            self.count_excluded(progress, name, count)
        if not TEMPORARY.isdisjoint(found.excluded):
            progress.available_in_s = self.retry_after_s(group)
        elif DRAINED_DOMAIN in found.excluded:
            progress.available_in_s = DRAINED_RETRY_AFTER_S

    def count_excluded(
        self, progress: RequestProgress, name: str, count: int
    ) -> None:
        """Counts workers that a condition excluded."""
        self.metrics.count(f"relay.left_out.{name}")
        progress.excluded[name] = progress.excluded.get(name, 0) + count

    def retry_after_s(
        self, workers: Sequence[RegisteredWorker]
    ) -> float | None:
        """Returns the seconds until a caller should retry.

        The result is jittered to up to twice the wait for the first of these
        workers to accept requests, so that callers refused at the same moment
        do not return together.

        Returns:
          None if all workers accept requests now.
        """
        wait_s = min_wait_s(self.available_in_s, workers)
        if wait_s is None:
            return None
        return wait_s * (1.0 + self.chooser.rng.random())

    def add_in_flight(
        self,
        progress: RequestProgress,
        worker: RegisteredWorker,
        read_s: float,
        queued: bool = False,
    ) -> InFlight:
        """Adds a request to those in flight at a worker.

        Room that was reserved when it left the queue is used.

        Args:
          progress: The request.
          worker: Where it is sent.
          read_s: Estimated seconds in which the worker reads its prompt.
          queued: Whether the request just left the queue.
        """
        if progress.reserved is not None:
            flight, progress.reserved = progress.reserved, None
            return flight
        request = progress.request
        suspect = self.quarantine.is_suspect(request.content)
        tokens = request_tokens(request)
        flight = self.loads.begin(worker.id, read_s, suspect, tokens)
        flight.cost = cost_of(request)
        if request.workspace is not None:
            flight.workspace = request.workspace.name
        self.rooms.record_sent(worker.service, tokens)
        self.admission.record_sent(worker.service, flight, queued)
        return flight

    def end_in_flight(self, worker: RegisteredWorker, flight: InFlight) -> None:
        """Removes a request from those in flight; further calls do nothing."""
        if flight.ended:
            return
        flight.ended = True
        self.loads.end(worker.id, flight)
        if not flight.not_run:
            self.rooms.record_ended(worker)
        self.admission.record_ended(worker.service, flight)

    def may_send(self, progress: RequestProgress) -> bool:
        """Returns whether a request may be sent to another worker.

        An additional upstream request needs the retry budget, unless the
        earlier ones reached no worker.
        """
        request = progress.request
        if self.is_quarantined(progress):
            return False
        if progress.next_send_allowed:
            return True
        if not self.may_use_own_path(progress):
            return False
        if progress.arrived_sends() >= request.route.max_workers:
            return False
        if len(progress.unconnected) >= MAX_UNCONNECTED:
            return False
        if progress.may_have_run and not request.route.repeatable:
            return False
        if self.left_s(progress) <= MIN_TIME_LEFT_S:
            return False
        if not progress.arrived_sends():
            return True
        if self.budgets[progress.service].has_one():
            return True
        self.record_retry(progress, allowed=False)
        return False

    def acquire_retry(self, progress: RequestProgress) -> bool:
        """Returns whether a request may be sent now, and counts it if so.

        An additional upstream request is taken from the retry budget. This is
        done as it is sent, so that none is taken while a request waits for
        room or finds no worker.
        """
        if progress.next_send_allowed:
            progress.next_send_allowed = False
            return True
        if not progress.arrived_sends():
            return True
        allowed = self.budgets[progress.service].try_acquire()
        self.record_retry(progress, allowed)
        return allowed

    def record_retry(self, progress: RequestProgress, allowed: bool) -> None:
        """Logs and counts the retry budget's decision on a request."""
        budget = self.budgets[progress.service]
        counts = budget.window_counts()
        log.info(
            "Retry decided.",
            request=progress.request.id,
            service=progress.service,
            allowed=allowed,
            sent=progress.arrived_sends(),
            left=round(budget.remaining(), 2),
            slack=round(budget.slack(), 2),
            joined=budget.joined_at() is not None,
            retries=counts.retries,
            requests=counts.requests,
            requests_before=counts.requests_before,
        )
        if allowed:
            self.metrics.count("relay.retry_allowed")
        else:
            self.metrics.count("relay.budget_spent")
            progress.reason = progress.reason or "retry budget spent"

    def is_quarantined(self, progress: RequestProgress) -> bool:
        """Returns whether a request is quarantined, and records it if so."""
        request = progress.request
        quarantine = self.quarantine
        parts = request.prompt.shared_parts
        progress.quarantined_s = quarantine.remaining_s(request.content, parts)
        if not progress.quarantined_s:
            return False
        self.metrics.count("relay.held")
        progress.reason = "workers ended under this request"
        if quarantine.parts_remaining_s(parts):
            self.metrics.count("relay.held_for_part")
            progress.reason = "workers ended under a part of its prompt"
        return True

    def may_use_own_path(self, progress: RequestProgress) -> bool:
        """Returns whether connecting to a worker from here may succeed."""
        if self.reachability.is_reachable(progress.service):
            return True
        self.record_no_path(progress)
        return False

    def record_no_path(self, progress: RequestProgress) -> None:
        """Records why a request is refused, and when to retry it."""
        progress.no_path = True
        progress.reason = NO_PATH_REASON
        wait_s = self.forwarder.retry_after_s()
        progress.available_in_s = progress.retry_after_s = wait_s

    def left_s(self, progress: RequestProgress) -> float:
        """Returns the seconds until the deadline of the caller or the route."""
        return progress.loop_deadline - asyncio.get_running_loop().time()

    def record_upstream_request(
        self, progress: RequestProgress, choice: Choice
    ) -> UpstreamRequest:
        """Records an upstream request and returns its parameters."""
        request = progress.request
        progress.sent += 1
        progress.tried.add(choice.worker.id)
        progress.on_sent()
        self.metrics.count("relay.sent")
        log.info(
            "Sent.",
            request=request.id,
            content=request.content,
            route=request.route.name,
            table=request.table_version,
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
            pace=round(choice.pace, 2),
            ratio_age_s=round_for_log(choice.ratio_age_s),
            left_s=round(self.left_s(progress), 3),
        )
        return UpstreamRequest(
            worker=choice.worker,
            left_s=self.left_s(progress),
            model=progress.model,
            urgency=request.priority if request.route.streaming else None,
            after_event=progress.order.last_number,
            repeat=progress.arrived_sends() > 1,
        )

    def refuse(
        self, progress: RequestProgress
    ) -> CompleteAnswer | AnswerRefused:
        """Returns the final answer to a request that no worker answered."""
        found = final_answer(progress, self.left_s(progress))
        if isinstance(found, AnswerRefused):
            self.metrics.count(f"relay.refused.{found.refusal.code.value}")
        return found

    # Forwarding to peers.

    def forward_if_needed(
        self, progress: RequestProgress
    ) -> AsyncGenerator[AnswerPart, None] | None:
        """Returns a peer's answer to a request that no worker here can get.

        Returns:
          The parts of the answer; None if the request is not forwarded.
        """
        if not self.must_forward(progress):
            return None
        service = progress.service
        sharers = None
        if self.brittle.is_brittle(service):
            sharers = self.brittle.entries_with_share(service)
        peer = self.forwarder.choose(progress, sharers)
        if peer is None:
            return None
        return forward(
            self.forwarder, progress, peer, lambda: self.left_s(progress)
        )

    def must_forward(self, progress: RequestProgress) -> bool:
        """Returns whether only a peer may answer a request."""
        if progress.received_from_peer:
            return False
        return self.lacks_path_or_room(progress.service) and may_forward(
            progress,
            self.left_s(progress),
            self.quarantine.remaining_s(
                progress.request.content, progress.request.prompt.shared_parts
            ),
        )

    def lacks_path_or_room(self, service: str) -> bool:
        """Returns whether this entry can send nothing to a service now."""
        if not self.reachability.is_reachable(service):
            return True
        return self.brittle.lacks_room(service)

    # Recording results.

    def record_send_error(
        self,
        progress: RequestProgress,
        worker: RegisteredWorker,
        error: SendError,
    ) -> None:
        """Records that an upstream request failed."""
        progress.reason = str(error)
        progress.retry_after_s = error.retry_after_s
        if not error.not_run:
            progress.may_have_run = True
            self.record_result(progress, worker, bad=True)
        elif error.misdirected or self.is_worker_at_fault(worker, error):
            # A process restarted at the same address has another id: the
            # requested one no longer exists although it is still registered.
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

    def is_worker_at_fault(
        self, worker: RegisteredWorker, error: SendError
    ) -> bool:
        """Returns whether a worker, and not the path, refused to connect."""
        if error.connected or error.interrupted:
            return False
        return self.reachability.is_reachable(worker.service)

    async def handle_send_error(
        self,
        progress: RequestProgress,
        worker: RegisteredWorker,
        error: SendError,
        in_flight: InFlight,
    ) -> None:
        """Records a failed upstream request, and whether its worker crashed."""
        if not error.not_run:
            # The crash is recorded even if the caller disconnects meanwhile.
            await asyncio.shield(
                self.crashes.check(progress.request, worker, in_flight)
            )
        elif not error.connected:
            progress.unconnected.append(worker.id)
            await self.reachability.settle(worker.service)
        self.record_send_error(progress, worker, error)

    async def record_answer(
        self,
        request: RelayRequest,
        worker: RegisteredWorker,
        head: AnswerHead,
        in_flight: InFlight,
    ) -> None:
        """Records that a worker answered a request completely.

        An answer without a length also ends when its worker crashes. If the
        answer would tell something new, it is recorded once the worker is found
        to run some time later.
        """
        parts = request.prompt.shared_parts
        began_at = in_flight.answer_began_at
        if head.framed:
            self.quarantine.record_answer(request.content, parts, began_at)
            return
        if not self.quarantine.is_news(request.content, parts):
            return
        running = await asyncio.shield(
            self.crashes.check(request, worker, in_flight)
        )
        if not running:
            return

        def record(check: asyncio.Task[bool | None]) -> None:
            if not check.cancelled() and check.result():
                self.quarantine.record_answer(request.content, parts, began_at)

        self.crashes.start_second_check(worker).add_done_callback(record)

    async def ended_with_worker(
        self,
        progress: RequestProgress,
        worker: RegisteredWorker,
        head: AnswerHead,
    ) -> bool:
        """Returns whether an answer may lack its end, and can be continued.

        The end of an answer without a length can't be told from a crash of its
        worker.
        """
        if head.framed or not progress.request.route.repeatable:
            return False
        running = await self.terminations.is_running(worker)
        return running is False and self.may_send(progress)

    def record_result(
        self,
        progress: RequestProgress,
        worker: RegisteredWorker,
        bad: bool,
    ) -> None:
        """Records a result in worker health and roll-out evidence.

        A failure is not recorded while no worker can be reached from here, nor
        after the answer was left unread for a slow caller.

        Args:
          progress: The request.
          worker: Whose result it is.
          bad: Whether the worker failed.
        """
        if bad and not self.reachability.is_reachable(worker.service):
            return
        if bad and progress.held.paused:
            return
        peers = self.directory.accepting_workers(worker.service)
        self.health.record_result(worker, bad, peers)
        if bad and self.quarantine.explains_crash(worker.incarnation):
            # A request that crashes any worker is no evidence against a
            # version.
            return
        if bad:
            # Repeats of a request fail alike.
            if worker.version in progress.failed_versions:
                return
            progress.failed_versions.add(worker.version)
        self.rollouts.record_answer(worker, progress.request.route.name, bad)

    def record_worker_failure(
        self,
        progress: RequestProgress,
        worker: RegisteredWorker,
        answer: CompleteAnswer,
    ) -> None:
        """Records that a worker ran a request and returned a failure."""
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
        self,
        progress: RequestProgress,
        worker: RegisteredWorker,
        started_at: float,
    ) -> None:
        """Records that a request timed out at a worker.

        Args:
          progress: Progress of the request.
          worker: The worker.
          started_at: When it was sent there, in monotonic seconds.
        """
        progress.may_have_run = True
        progress.reason = "time ran out at the worker"
        if not self.paused_since(started_at):
            self.record_result(progress, worker, bad=True)
        self.metrics.count("relay.late")


def cost_of(request: RelayRequest) -> float:
    """Returns the cost of a request in prompt tokens; 1 if it has no prompt."""
    prompt = request.prompt
    return max(1.0, request_cost(prompt.tokens, prompt.expected_output))


def prefer_answered(
    progress: RequestProgress, workers: Sequence[RegisteredWorker]
) -> Sequence[RegisteredWorker]:
    """Returns the workers for the next attempt of a request.

    For the last attempt that is the worker that answered an earlier one, if it
    is eligible: it can be reached, while those that failed were chosen by the
    same figures as any other worker.
    """
    last = progress.arrived_sends() + 1 >= progress.request.route.max_workers
    if not last or not progress.answered_by:
        return workers
    answered = [each for each in workers if each.id == progress.answered_by]
    return answered or workers
