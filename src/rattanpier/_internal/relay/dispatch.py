"""Answers one request: choose, send, judge the answer, go on or give up."""

from __future__ import annotations

import asyncio
import math
from collections.abc import AsyncIterator, Callable, Mapping
from contextlib import aclosing

import attrs
import structlog

from rattanpier._internal.models.policy import USUAL, Policy
from rattanpier._internal.models.relay_answer import (
    AnswerBegun,
    AnswerCut,
    AnswerEnded,
    AnswerPart,
    AnswerPiece,
    AnswerRefused,
    WholeAnswer,
)
from rattanpier._internal.models.relay_request import Prompt, RelayRequest
from rattanpier._internal.models.sending import AnswerHead, Sending
from rattanpier._internal.models.worker import RegisteredWorker
from rattanpier._internal.relay.budgets import SendBudget
from rattanpier._internal.relay.course import (
    LEAST_LEFT_S,
    Course,
    give_up,
    rounded,
)
from rattanpier._internal.relay.directory import WorkerDirectory
from rattanpier._internal.relay.events import (
    Event,
    EventError,
    EventSplitter,
)
from rattanpier._internal.relay.exchange import (
    FIRST_FAILURE,
    OpenAnswer,
    Sender,
    SendError,
    copied_headers,
)
from rattanpier._internal.relay.health import Health
from rattanpier._internal.relay.load import Loads
from rattanpier._internal.relay.model_choice import (
    ENOUGH_CONFIDENCE,
    Kept,
    Outlook,
    first_model,
    judge_answer,
    larger_model,
)
from rattanpier._internal.relay.placement import Choice, Chooser
from rattanpier._internal.relay.rollouts import Rollouts
from rattanpier._internal.utils.clock import Clock
from rattanpier._internal.utils.metrics import Metrics

log = structlog.get_logger(part="dispatch")

MAX_WHOLE_BYTES = 16 * 2**20  # Of an answer that is not a stream.
# What a small model's first token takes, roughly; only ratios of times between
# two versions count, so that long and short prompts can be added up.
LEAST_READ_S = 0.1
READ_TOKENS_PER_S = 30000.0
# Of the objective, after which a repeatable plain request is sent to a second
# worker beside the first: later the answer would be late in any case.
HEDGE_SHARE = 0.5


@attrs.define
class Dispatcher:
    """Answers requests from the workers that this entry knows.

    Attributes:
      budgets: Sends beyond the first of each request, by service.
      policy: Mechanisms that are on.
      tell_prompt: Told of each prompt that is sent: the worker's id, the
        model, the prompt and the seconds in which it is likely read.
    """

    clock: Clock
    metrics: Metrics
    directory: WorkerDirectory
    health: Health
    loads: Loads
    chooser: Chooser
    sender: Sender
    rollouts: Rollouts
    budgets: Mapping[str, SendBudget]
    policy: Policy = USUAL
    tell_prompt: Callable[[str, str, Prompt, float], None] = attrs.field(
        default=lambda _worker, _model, _prompt, _read_s: None
    )

    async def answer(self, request: RelayRequest) -> AsyncIterator[AnswerPart]:
        """Yields the parts of the answer to a request.

        Closing the generator early means that the caller went away: what the
        workers do for it is stopped.
        """
        course = Course(
            request,
            asyncio.get_running_loop().time()
            + request.deadline
            - self.clock.monotonic(),
            self.pick_service(request),
            model=first_model(request, self.policy),
        )
        course.first_model = course.model
        course.order.last = request.after_event
        self.budgets[course.service].note_request()
        self.rollouts.note_session(course.service, request.session)
        if request.route.streaming:
            async with aclosing(self.stream(course)) as parts:
                async for part in parts:
                    yield part
        else:
            yield await self.whole(course)

    def pick_service(self, request: RelayRequest) -> str:
        """Returns the service that a request goes to, by weight."""
        shares = request.route.shares
        if len(shares) == 1:
            return shares[0].service
        weights = [share.weight for share in shares]
        names = [share.service for share in shares]
        return self.chooser.rng.choices(names, weights)[0]

    # Choosing.

    def choose(self, course: Course, model: str = "") -> Choice | None:
        """Returns the worker for the next send, or None.

        Args:
          course: How the request went so far.
          model: To be asked, if not the course's own.
        """
        request = course.request
        workers = self.directory.of_service(course.service)
        split = self.rollouts.split(request, course.service, workers)
        for group in (split.first, split.otherwise):
            untried = [each for each in group if each.id not in course.tried]
            usable = self.health.usable(untried)
            choice = self.chooser.choose(request, usable, model or course.model)
            if choice is not None:
                return choice
        return None

    def may_send_again(self, course: Course) -> bool:
        """Says whether a request may be sent to one more worker."""
        request = course.request
        if course.granted:
            course.granted = False
            return True
        if course.sent >= request.route.max_workers:
            return False
        if course.may_have_run and not request.route.repeatable:
            return False
        if self.left_s(course) <= LEAST_LEFT_S:
            return False
        if course.sent and not self.budgets[course.service].take():
            self.metrics.count("relay.budget_spent")
            course.reason = course.reason or "retry budget spent"
            return False
        return True

    def left_s(self, course: Course) -> float:
        """Returns the seconds until the caller or the route gives up."""
        return course.loop_deadline - asyncio.get_running_loop().time()

    def note_send(self, course: Course, choice: Choice) -> Sending:
        """Counts a send and returns what the worker is told."""
        request = course.request
        course.sent += 1
        course.tried.add(choice.worker.id)
        self.metrics.count("relay.sent")
        log.info(
            "Sent.",
            request=request.id,
            route=request.route.name,
            worker=choice.worker.id,
            version=choice.worker.version,
            model=course.model,
            send=course.sent,
            cost=round(choice.cost, 2),
            to_read=round(choice.to_read),
            candidates=choice.candidates,
            session=request.session,
            report_age_s=rounded(choice.report_age_s),
            left_s=round(self.left_s(course), 3),
        )
        return Sending(
            worker=choice.worker,
            left_s=self.left_s(course),
            model=course.model,
            urgency=request.priority if request.route.streaming else None,
            after_event=course.order.last,
        )

    def refuse(self, course: Course) -> WholeAnswer | AnswerRefused:
        """Returns the final answer to a request that nobody answered."""
        found = give_up(course, self.left_s(course))
        if isinstance(found, AnswerRefused):
            self.metrics.count(f"relay.refused.{found.refusal.code.value}")
        return found

    # Judging.

    def note_failed(
        self, course: Course, worker: RegisteredWorker, error: SendError
    ) -> None:
        """Takes in that a send failed."""
        course.reason = str(error)
        course.retry_after_s = error.retry_after_s
        if not error.not_run:
            course.may_have_run = True
            self.note_result(course, worker, bad=True, relative_s=None)
        elif error.misdirected or not error.connected:
            # A worker that started anew at the same address has another id:
            # the one that was asked for is gone, though still registered.
            self.health.note_unreachable(worker)
        reason = "not_run" if error.not_run else "may_have_run"
        self.metrics.count(f"relay.send_failed.{reason}")
        log.info(
            "Send failed.",
            request=course.request.id,
            worker=worker.id,
            reason=course.reason,
            not_run=error.not_run,
            connected=error.connected,
        )

    def note_result(
        self,
        course: Course,
        worker: RegisteredWorker,
        bad: bool,
        relative_s: float | None,
    ) -> None:
        """Lets health and roll-outs learn from an answer."""
        peers = self.directory.of_service(worker.service)
        self.health.note(worker, bad, peers)
        self.rollouts.note(worker, course.request.route.name, bad, relative_s)

    # Plain requests.

    async def whole(self, course: Course) -> WholeAnswer | AnswerRefused:
        """Returns the answer to a request that is no stream."""
        while self.may_send_again(course):
            choice = self.choose(course)
            if choice is None:
                break
            answer = await self.first_of(course, choice)
            if answer is not None:
                return answer
        return self.refuse(course)

    async def first_of(
        self, course: Course, choice: Choice
    ) -> WholeAnswer | None:
        """Returns an answer of one worker, or of a second one beside it.

        A second send beside the first answers workers that hang or are slow;
        only requests that may run twice get one.
        """
        first = asyncio.ensure_future(self.send_whole(course, choice))
        running = {first}
        try:
            if course.request.route.idempotent and self.policy.hedges:
                hedge_s = HEDGE_SHARE * course.request.route.objective_s
                done, _ = await asyncio.wait(running, timeout=hedge_s)
                if not done and self.may_send_again(course):
                    other = self.choose(course)
                    if other is not None:
                        self.metrics.count("relay.hedged")
                        running.add(
                            asyncio.ensure_future(
                                self.send_whole(course, other)
                            )
                        )
            while running:
                done, running = await asyncio.wait(
                    running, return_when=asyncio.FIRST_COMPLETED
                )
                for task in done:
                    if (answer := task.result()) is not None:
                        return answer
            return None
        finally:
            for task in running:
                task.cancel()

    async def send_whole(
        self, course: Course, choice: Choice
    ) -> WholeAnswer | None:
        """Returns a worker's whole answer, None if it failed."""
        request = course.request
        worker = choice.worker
        sending = self.note_send(course, choice)
        flight = self.loads.begin(worker.id, 0.0)
        began = self.clock.monotonic()
        try:
            async with self.sender.send(
                request, sending, course.loop_deadline
            ) as answer:
                body = await answer.read_all(MAX_WHOLE_BYTES)
                head = answer.head
        except SendError as error:
            self.note_failed(course, worker, error)
            return None
        except TimeoutError:
            self.note_late(course, worker)
            return None
        finally:
            self.loads.end(worker.id, flight)
        found = WholeAnswer(head.status, copied_headers(head), body)
        bad = head.status >= FIRST_FAILURE
        seconds = self.clock.monotonic() - began
        self.note_result(course, worker, bad, None if bad else seconds)
        self.metrics.timing("relay.worker_s", seconds)
        if not bad:
            return found
        self.note_worker_failure(course, worker, found)
        return None

    def note_worker_failure(
        self, course: Course, worker: RegisteredWorker, answer: WholeAnswer
    ) -> None:
        """Takes in that a worker ran a request and failed."""
        course.may_have_run = True
        course.failure = answer
        course.reason = f"worker failed with {answer.status}"
        self.metrics.count("relay.worker_failed")
        log.info(
            "Worker failed.",
            request=course.request.id,
            worker=worker.id,
            status=answer.status,
        )

    def note_late(self, course: Course, worker: RegisteredWorker) -> None:
        """Takes in that the time ran out at a worker."""
        course.may_have_run = True
        course.reason = "time ran out at the worker"
        self.note_result(course, worker, bad=True, relative_s=None)
        self.metrics.count("relay.late")

    # Streams.

    async def stream(self, course: Course) -> AsyncIterator[AnswerPart]:
        """Yields the parts of an answer that is a series of events."""
        while self.may_send_again(course):
            choice = self.choose(course)
            if choice is None:
                break
            async with aclosing(self.stream_one(course, choice)) as parts:
                async for part in parts:
                    yield part
                    if isinstance(part, AnswerEnded | WholeAnswer):
                        return
        if course.begun:
            self.metrics.count("relay.cut")
            yield AnswerCut(course.reason)
        else:
            yield self.refuse(course)

    async def stream_one(
        self, course: Course, choice: Choice
    ) -> AsyncIterator[AnswerPart]:
        """Yields what one worker adds to an answer; nothing if it failed."""
        request = course.request
        worker = choice.worker
        sending = self.note_send(course, choice)
        flight = self.loads.begin(worker.id, choice.read_s)
        self.chooser.note_send(request, course.model, choice)
        self.tell_prompt(worker.id, course.model, request.prompt, choice.read_s)
        model = course.model
        self.rollouts.note_running(worker, 1)
        began = self.clock.monotonic()
        try:
            async with self.sender.send(
                request, sending, course.loop_deadline
            ) as answer:
                head = answer.head
                if head.status >= 300:
                    yield await self.pass_failure(course, worker, answer)
                    return
                flight.begun = True
                took = relative_time(
                    course, choice, self.clock.monotonic() - began
                )
                first_at = self.clock.monotonic()
                self.chooser.pace.note_first(
                    model, request.priority, choice.to_read, first_at - began
                )
                self.loads.note_read(worker.id, model, request.prompt)
                if not course.begun and self.goes_on(course, worker, head):
                    self.note_result(course, worker, False, took)
                    return
                async with aclosing(self.events(course, answer)) as events:
                    async for event in events:
                        if not course.begun:
                            course.begun = True
                            self.note_first(course, choice, began)
                            yield AnswerBegun(head.status, copied_headers(head))
                        yield AnswerPiece(event.data)
                if not course.begun:
                    course.begun = True
                    yield AnswerBegun(head.status, copied_headers(head))
            self.note_result(course, worker, bad=False, relative_s=took)
            self.chooser.pace.note_stream(
                model,
                request.prompt.expected_output,
                self.clock.monotonic() - first_at,
            )
            yield AnswerEnded()
        except WorkerFailedError:
            return
        except SendError as error:
            self.note_failed(course, worker, error)
        except EventError as error:
            self.note_failed(course, worker, SendError(str(error)))
        except TimeoutError:
            waited_s = self.clock.monotonic() - began
            if not flight.begun:
                self.chooser.pace.note_wait(
                    model, request.priority, choice.to_read, waited_s
                )
            self.note_late(course, worker)
        finally:
            self.loads.end(worker.id, flight)
            self.rollouts.note_running(worker, -1)
            ran_s = self.clock.monotonic() - began
            self.chooser.note_run(request, model, ran_s, worker.slots)

    async def events(
        self, course: Course, answer: OpenAnswer
    ) -> AsyncIterator[Event]:
        """Yields the events of an answer that the caller lacks."""
        splitter = EventSplitter()
        async with aclosing(answer.pieces()) as pieces:
            async for piece in pieces:
                for event in splitter.feed(piece):
                    if course.order.take(event):
                        yield event
        if splitter.rest:
            raise EventError("the stream ends within an event")

    async def pass_failure(
        self, course: Course, worker: RegisteredWorker, answer: OpenAnswer
    ) -> WholeAnswer:
        """Returns a worker's answer that is no stream, if it is final.

        Raises:
          WorkerFailedError: Another worker may do better.
        """
        head = answer.head
        body = await answer.read_all(MAX_WHOLE_BYTES)
        found = WholeAnswer(head.status, copied_headers(head), body)
        if head.status < FIRST_FAILURE:
            return found
        self.note_result(course, worker, bad=True, relative_s=None)
        self.note_worker_failure(course, worker, found)
        raise WorkerFailedError

    def goes_on(
        self, course: Course, worker: RegisteredWorker, head: AnswerHead
    ) -> bool:
        """Says whether an answer is dropped for a larger model's."""
        request = course.request
        larger = larger_model(request, course.model)
        if not self.policy.cascade or not larger or head.confidence is None:
            return False
        if head.confidence >= ENOUGH_CONFIDENCE:
            return False
        tried = course.tried
        # The same worker may well be the best: it is not ruled out.
        course.tried = tried - {worker.id}
        choice = self.choose(course, larger)
        outlook = self.outlook(request, larger, choice)
        kept = judge_answer(
            request,
            head.confidence,
            self.clock.monotonic(),
            outlook,
            self.policy,
        )
        if kept is None and not self.may_send_again(course):
            kept = Kept.BUDGET
        log.info(
            "Answer judged.",
            request=request.id,
            worker=worker.id,
            model=course.model,
            confidence=head.confidence,
            kept=None if kept is None else kept.value,
            wait_s=rounded(outlook.wait_s),
            first_s=rounded(outlook.first_s),
            whole_s=rounded(outlook.whole_s),
            larger=larger,
        )
        if kept is not None:
            course.tried = tried
            self.metrics.count(f"relay.kept.{kept.value}")
            return False
        course.granted = True
        self.metrics.count("relay.larger_model")
        course.model = larger
        course.may_have_run = True
        return True

    def outlook(
        self, request: RelayRequest, model: str, choice: Choice | None
    ) -> Outlook:
        """Returns what is expected of a model at the worker chosen for it."""
        if choice is None:
            return Outlook(math.inf, math.inf, math.inf)
        pace = self.chooser.pace
        wait_s = max(choice.wait_s, pace.wait_s(model, request.priority))
        stream_s = pace.stream_s(model, request.prompt.expected_output)
        first_s = choice.read_s + wait_s
        return Outlook(choice.wait_s, first_s, first_s + stream_s)

    def note_first(self, course: Course, choice: Choice, began: float) -> None:
        """Measures the time to a worker's first event."""
        now = self.clock.monotonic()
        self.metrics.timing("relay.first_event_s", now - began)
        log.info(
            "First event.",
            request=course.request.id,
            worker=choice.worker.id,
            model=course.model,
            to_read=round(choice.to_read),
            worker_s=round(now - began, 3),
            total_s=round(now - course.request.arrived, 3),
        )


def relative_time(
    course: Course, choice: Choice, seconds: float
) -> float | None:
    """Returns the time to an answer's head against the work for it.

    Only of the first model asked, since larger ones take longer at the same
    work; None for others.
    """
    if course.model != course.first_model:
        return None
    return seconds / (LEAST_READ_S + choice.to_read / READ_TOKENS_PER_S)


class WorkerFailedError(Exception):
    """A worker ran a request and failed; the failure is kept."""
