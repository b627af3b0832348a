"""Answers of model engines: events that are passed on as they come."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import aclosing

import structlog

from rattanpier._internal.models.relay_answer import (
    AnswerBegun,
    AnswerCut,
    AnswerEnded,
    AnswerPart,
    AnswerPiece,
    WholeAnswer,
)
from rattanpier._internal.models.worker import RegisteredWorker
from rattanpier._internal.relay.dispatch import MAX_ANSWER_BYTES, Dispatcher
from rattanpier._internal.relay.escalation import should_escalate
from rattanpier._internal.relay.events import (
    Event,
    EventError,
    EventSplitter,
)
from rattanpier._internal.relay.exchange import (
    MIN_FAILURE_STATUS,
    OpenAnswer,
    SendError,
    copied_headers,
)
from rattanpier._internal.relay.placement import Choice
from rattanpier._internal.relay.request_progress import RequestProgress

log = structlog.get_logger(part="dispatch")

# What a small model's first token takes, roughly; only ratios of times between
# two versions count, so that long and short prompts can be added up.
LEAST_READ_S = 0.1
READ_TOKENS_PER_S = 30000.0


class WorkerFailedError(Exception):
    """A worker ran a request and failed; the failure is kept."""


async def stream(
    dispatcher: Dispatcher, course: RequestProgress
) -> AsyncIterator[AnswerPart]:
    """Yields the parts of an answer that is a series of events."""
    while dispatcher.may_send(course):
        choice = dispatcher.choose(course)
        if choice is None:
            break
        async with aclosing(stream_one(dispatcher, course, choice)) as parts:
            async for part in parts:
                yield part
                if isinstance(part, AnswerEnded | WholeAnswer):
                    return
    if course.head_delivered:
        dispatcher.metrics.count("relay.cut")
        yield AnswerCut(course.reason)
    else:
        yield dispatcher.refuse(course)


async def stream_one(
    dispatcher: Dispatcher, course: RequestProgress, choice: Choice
) -> AsyncIterator[AnswerPart]:
    """Yields what one worker adds to an answer; nothing if it failed."""
    request = course.request
    worker = choice.worker
    sending = dispatcher.record_upstream_request(course, choice)
    flight = dispatcher.add_in_flight(course, worker, choice.read_s)
    dispatcher.chooser.record_upstream_request(request, course.model, choice)
    dispatcher.publish_prompt(
        worker.id, course.model, request.prompt, choice.read_s
    )
    model = course.model
    dispatcher.rollouts.record_running(worker, 1)
    began = dispatcher.clock.monotonic()
    try:
        async with dispatcher.sender.send(
            request, sending, course.loop_deadline
        ) as answer:
            head = answer.head
            if head.status >= 300:
                yield await pass_failure(dispatcher, course, worker, answer)
                return
            flight.first_event_received = True
            took = relative_time(
                course, choice, dispatcher.clock.monotonic() - began
            )
            first_at = dispatcher.clock.monotonic()
            dispatcher.chooser.timings.record_first_event(
                model, request.priority, choice.to_read, first_at - began
            )
            dispatcher.loads.record_prompt_read(
                worker.id, model, request.prompt
            )
            if not course.head_delivered and should_escalate(
                dispatcher, course, worker, head
            ):
                dispatcher.record_result(course, worker, False, took)
                return
            async with aclosing(
                read_events(dispatcher, course, answer)
            ) as events:
                async for event in events:
                    if not course.head_delivered:
                        course.head_delivered = True
                        note_first(dispatcher, course, choice, began)
                        yield AnswerBegun(head.status, copied_headers(head))
                    yield AnswerPiece(event.data)
            if not course.head_delivered:
                course.head_delivered = True
                yield AnswerBegun(head.status, copied_headers(head))
        dispatcher.record_result(course, worker, bad=False, relative_s=took)
        dispatcher.quarantine.record_answer(request.content)
        dispatcher.chooser.timings.record_stream(
            model,
            request.prompt.expected_output,
            dispatcher.clock.monotonic() - first_at,
        )
        yield AnswerEnded()
    except WorkerFailedError:
        return
    except SendError as error:
        await dispatcher.handle_send_error(course, worker, error)
    except EventError as error:
        await dispatcher.handle_send_error(
            course, worker, SendError(str(error))
        )
    except TimeoutError:
        waited_s = dispatcher.clock.monotonic() - began
        if not flight.first_event_received:
            dispatcher.chooser.timings.record_wait(
                model, request.priority, choice.to_read, waited_s
            )
        dispatcher.record_timeout(course, worker)
    finally:
        dispatcher.loads.end(worker.id, flight)
        dispatcher.rollouts.record_running(worker, -1)
        ran_s = dispatcher.clock.monotonic() - began
        dispatcher.chooser.record_run(request, model, ran_s, worker.slots)


async def read_events(
    dispatcher: Dispatcher, course: RequestProgress, answer: OpenAnswer
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
    dispatcher: Dispatcher,
    course: RequestProgress,
    worker: RegisteredWorker,
    answer: OpenAnswer,
) -> WholeAnswer:
    """Returns a worker's answer that is no stream, if it is final.

    Raises:
      WorkerFailedError: Another worker may do better.
    """
    head = answer.head
    body = await answer.read_all(MAX_ANSWER_BYTES)
    found = WholeAnswer(head.status, copied_headers(head), body)
    if head.status < MIN_FAILURE_STATUS:
        return found
    dispatcher.record_result(course, worker, bad=True, relative_s=None)
    dispatcher.record_worker_failure(course, worker, found)
    raise WorkerFailedError


def note_first(
    dispatcher: Dispatcher,
    course: RequestProgress,
    choice: Choice,
    began: float,
) -> None:
    """Measures the time to a worker's first event."""
    now = dispatcher.clock.monotonic()
    dispatcher.metrics.timing("relay.first_event_s", now - began)
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
    course: RequestProgress, choice: Choice, seconds: float
) -> float | None:
    """Returns the time to an answer's head against the work for it.

    Only of the first model asked, since larger ones take longer at the same
    work; None for others.
    """
    if course.model != course.first_model:
        return None
    return seconds / (LEAST_READ_S + choice.to_read / READ_TOKENS_PER_S)
