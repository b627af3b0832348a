"""Streamed answers of model engines: events forwarded as they arrive."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator, AsyncIterator
from contextlib import aclosing

import structlog

from rattanpier._internal.models.relay_answer import (
    AnswerChunk,
    AnswerCompleted,
    AnswerPart,
    AnswerRefused,
    AnswerStarted,
    AnswerTruncated,
    CompleteAnswer,
)
from rattanpier._internal.models.relay_request import RelayRequest
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
from rattanpier._internal.relay.load import InFlight
from rattanpier._internal.relay.placement import Choice
from rattanpier._internal.relay.request_progress import (
    MIN_TIME_LEFT_S,
    RequestProgress,
)
from rattanpier._internal.relay.room_waits import wait_for_room
from rattanpier._internal.relay.slow_readers import no_bytes
from rattanpier._internal.relay.stream_deadlines import (
    FinishEstimate,
    finish_deadline,
    finish_reserve_s,
    may_finish_smaller,
)
from rattanpier._internal.relay.stream_times import StreamTimes
from rattanpier._internal.retries.quarantine import STOOD_S

log = structlog.get_logger(part="dispatch")

# Rough time to the first token of a small model. Only the ratio between two
# versions is used; dividing by this estimate makes prompts of different lengths
# comparable.
MIN_READ_S = 0.1
READ_TOKENS_PER_S = 30000.0


FINAL_PARTS = (AnswerCompleted, AnswerRefused, CompleteAnswer)


class WorkerFailedError(Exception):
    """A worker ran a request and failed; the failure has been recorded."""


async def stream_answer(
    dispatcher: Dispatcher, progress: RequestProgress
) -> AsyncGenerator[AnswerPart, None]:
    """Yields the parts of an answer that is a stream of events.

    A stream that ends early is resumed at another worker if the request allows
    it.

    Args:
      dispatcher: Selects workers and sends requests to them.
      progress: Progress of the request.
    """
    while True:
        source = next_source(dispatcher, progress)
        if source is None:
            if progress.no_room is None:
                break
            choice = await wait_for_room(dispatcher, progress)
            if choice is None:
                break
            source = stream_from_worker(dispatcher, progress, choice)
        async with aclosing(source) as parts:
            async for part in parts:
                yield part
                if isinstance(part, FINAL_PARTS):
                    return
    if progress.head_delivered:
        dispatcher.metrics.count("relay.cut")
        yield AnswerTruncated(progress.reason)
    else:
        yield dispatcher.refuse(progress)


def next_source(
    dispatcher: Dispatcher, progress: RequestProgress
) -> AsyncGenerator[AnswerPart, None] | None:
    """Returns further parts of an answer, from a peer or a worker, or None."""
    # May be set since a larger model was considered.
    progress.no_room = None
    forwarded = dispatcher.forward_if_needed(progress)
    if forwarded is not None:
        return forwarded
    if not dispatcher.may_send(progress):
        return None
    choice = dispatcher.choose(progress)
    if choice is None:
        return None
    return stream_from_worker(dispatcher, progress, choice)


async def stream_from_worker(
    dispatcher: Dispatcher, progress: RequestProgress, choice: Choice
) -> AsyncGenerator[AnswerPart, None]:
    """Yields the parts of an answer that one worker contributes.

    Yields no final part if the worker failed or a larger model is needed.

    Args:
      dispatcher: Sends the request and records its results.
      progress: Progress of the request.
      choice: Worker to ask.
    """
    request = progress.request
    worker = choice.worker
    sending = dispatcher.record_upstream_request(progress, choice)
    in_flight = dispatcher.add_in_flight(progress, worker, choice.read_s)
    dispatcher.chooser.record_upstream_request(request, progress.model, choice)
    dispatcher.publish_prompt(
        worker.id, progress.model, request.prompt, choice.read_s
    )
    model = progress.model
    observation = dispatcher.rollouts.observe(
        worker, request.route.name, expected_read_s(choice), model
    )
    started_at = dispatcher.clock.monotonic()
    deadline = stream_deadline(dispatcher, progress)
    times = StreamTimes()
    try:
        async with dispatcher.sender.send(request, sending, deadline) as answer:
            head = answer.head
            progress.held.unread_size = answer.unread_size
            if head.status >= 300:
                error_answer = await read_error_answer(
                    dispatcher, progress, worker, answer
                )
                dispatcher.rollouts.end(observation, complete=True)
                yield error_answer
                return
            in_flight.first_event_received = True
            dispatcher.rollouts.record_head(observation)
            first_event_at = dispatcher.clock.monotonic()
            in_flight.answer_began_at = first_event_at
            dispatcher.chooser.timings.record_first_event(
                model,
                request.priority,
                choice.to_read,
                first_event_at - started_at,
            )
            dispatcher.loads.record_prompt_read(
                worker.id, model, request.prompt
            )
            if not progress.head_delivered and should_escalate(
                dispatcher, progress, worker, head
            ):
                dispatcher.record_result(progress, worker, bad=False)
                return
            async with aclosing(
                read_events(dispatcher, progress, answer)
            ) as events:
                async for event in events:
                    dispatcher.rollouts.record_event(observation)
                    times.record_event(dispatcher.clock.monotonic())
                    record_if_stood(dispatcher, request, in_flight)
                    if not progress.head_delivered:
                        progress.head_delivered = True
                        record_first_event(
                            dispatcher, progress, choice, started_at
                        )
                        yield AnswerStarted(head.status, copied_headers(head))
                    yield AnswerChunk(event.data)
                    times.record_delivery(dispatcher.clock.monotonic())
            if not progress.head_delivered:
                progress.head_delivered = True
                yield AnswerStarted(head.status, copied_headers(head))
        if await dispatcher.ended_with_worker(progress, worker, head):
            raise EventError("the stream ended with its worker")
        dispatcher.rollouts.end(observation, complete=True)
        dispatcher.record_result(progress, worker, bad=False)
        dispatcher.chooser.timings.record_stream(
            model,
            request.prompt.expected_output,
            dispatcher.clock.monotonic() - first_event_at,
        )
        await dispatcher.record_answer(request, worker, head, in_flight)
        yield AnswerCompleted()
    except (asyncio.CancelledError, GeneratorExit):
        dispatcher.rollouts.end(observation, abandoned=True)
        raise
    except WorkerFailedError:
        return
    except SendError as error:
        in_flight.not_run = error.not_run
        await dispatcher.handle_send_error(progress, worker, error, in_flight)
    except EventError as error:
        await dispatcher.handle_send_error(
            progress, worker, SendError(str(error)), in_flight
        )
    except TimeoutError:
        waited_s = dispatcher.clock.monotonic() - started_at
        if not in_flight.first_event_received:
            dispatcher.chooser.timings.record_wait(
                model, request.priority, choice.to_read, waited_s
            )
        in_time = dispatcher.left_s(progress) > MIN_TIME_LEFT_S
        if in_time and in_flight.first_event_received:
            # Its answer is long, which says nothing of the worker.
            dispatcher.rollouts.end(observation, abandoned=True)
        else:
            dispatcher.record_timeout(progress, worker, started_at)
        if in_time:
            finish_smaller(dispatcher, progress, worker)
    finally:
        progress.held.unread_size = no_bytes
        dispatcher.end_in_flight(worker, in_flight)
        dispatcher.rollouts.end(observation)
        ran_s = dispatcher.clock.monotonic() - started_at
        dispatcher.chooser.record_run(request, model, ran_s, worker.slots)
        if not dispatcher.paused_since(started_at):
            record_pace(dispatcher, model, worker, times)


def record_if_stood(
    dispatcher: Dispatcher, request: RelayRequest, in_flight: InFlight
) -> None:
    """Records an event, and once that a worker goes on answering a request."""
    if in_flight.stood:
        return
    now = dispatcher.clock.monotonic()
    if in_flight.body_began_at is None:
        # The head may come long before the worker begins to write.
        in_flight.body_began_at = now
    # Events that came before a pause are read after it, at a stroke.
    if now - in_flight.body_began_at >= STOOD_S and not (
        dispatcher.paused_since(now - STOOD_S)
    ):
        in_flight.stood = True
        dispatcher.quarantine.record_stood(
            request.prompt.shared_parts, in_flight.answer_began_at
        )


def record_pace(
    dispatcher: Dispatcher,
    model: str,
    worker: RegisteredWorker,
    times: StreamTimes,
) -> None:
    """Records how fast a worker generated a stream, if that can be told.

    The time to the first event is not used: most of it may be the wait for
    prompts of other entries.

    Args:
      dispatcher: Provides the timings and the paces.
      model: Model that answered.
      worker: Worker that answered.
      times: Times of the stream's events.
    """
    if not times.show_pace():
        return
    timings = dispatcher.chooser.timings
    expected_s = timings.events_s(model, times.gaps)
    timings.record_events(model, times.gaps, times.generation_s)
    if expected_s:
        dispatcher.chooser.paces.record_work(
            worker.id, worker.service, expected_s, times.generation_s
        )


def stream_deadline(dispatcher: Dispatcher, progress: RequestProgress) -> float:
    """Returns until when an upstream request may go on.

    Returns:
      Seconds of the event loop's clock: the deadline of the request, or an
      earlier time from which the smallest model can still finish the stream.
    """
    request = progress.request
    if not dispatcher.policy.finish_smaller or not may_finish_smaller(
        request, progress.model
    ):
        return progress.loop_deadline
    if progress.arrived_sends() >= request.route.max_workers:
        return progress.loop_deadline
    smallest = request.route.models[0]
    timings = dispatcher.chooser.timings
    estimate = FinishEstimate(
        timings.read_s(smallest, request.prompt.tokens)
        + timings.wait_s(smallest, request.priority),
        timings.stream_s(smallest, request.prompt.expected_output),
    )
    reserve_s = finish_reserve_s(request.deadline - request.arrived, estimate)
    return finish_deadline(
        progress.loop_deadline, dispatcher.left_s(progress), reserve_s
    )


def finish_smaller(
    dispatcher: Dispatcher, progress: RequestProgress, worker: RegisteredWorker
) -> None:
    """Has the smallest model finish a stream that would miss its deadline."""
    progress.may_have_run = True
    progress.reason = "the stream would have missed its deadline"
    dispatcher.metrics.count("relay.finished_smaller")
    log.info(
        "Stream continues at the smallest model.",
        request=progress.request.id,
        worker=worker.id,
        model=progress.model,
        after_event=progress.order.last_number,
        left_s=round(dispatcher.left_s(progress), 3),
    )
    progress.model = progress.request.route.models[0]


async def read_events(
    dispatcher: Dispatcher, progress: RequestProgress, answer: OpenAnswer
) -> AsyncIterator[Event]:
    """Yields the events of an answer that the caller has not received yet.

    Raises:
      EventError: Events are missing, too long, or the last one is incomplete.
      SendError: The body is incomplete.
      TimeoutError: The deadline passed.
    """
    splitter = EventSplitter()
    received = False
    async with aclosing(answer.pieces()) as pieces:
        async for piece in pieces:
            for event in splitter.feed(piece):
                received = True
                if progress.order.accept(event):
                    yield event
    if splitter.incomplete_event:
        raise EventError("the stream ends within an event")
    if not (answer.head.framed or received):
        # Its connection may have ended with the worker. That also holds for a
        # stream that is resumed, after which events may still be missing.
        raise EventError("the stream ends before its first event")


async def read_error_answer(
    dispatcher: Dispatcher,
    progress: RequestProgress,
    worker: RegisteredWorker,
    answer: OpenAnswer,
) -> CompleteAnswer:
    """Returns a worker's answer that is no stream, if it is final.

    Statuses of 500 and above are recorded as failures of the worker. So are
    others if another worker has begun to answer the request, which shows that
    the request is valid.

    Raises:
      WorkerFailedError: The worker failed; another one may succeed.
      SendError: The body is incomplete or too long.
      TimeoutError: The deadline passed.
    """
    head = answer.head
    body = await answer.read_all(MAX_ANSWER_BYTES, progress.held)
    error_answer = CompleteAnswer(head.status, copied_headers(head), body)
    if head.status < MIN_FAILURE_STATUS and not progress.was_accepted:
        return error_answer
    dispatcher.record_result(progress, worker, bad=True)
    dispatcher.record_worker_failure(progress, worker, error_answer)
    raise WorkerFailedError


def record_first_event(
    dispatcher: Dispatcher,
    progress: RequestProgress,
    choice: Choice,
    started_at: float,
) -> None:
    """Logs and records the time to a worker's first event.

    Args:
      dispatcher: Provides the clock and the metrics.
      progress: Progress of the request.
      choice: Worker that was asked.
      started_at: Start of the upstream request, in monotonic seconds.
    """
    now = dispatcher.clock.monotonic()
    dispatcher.metrics.timing("relay.first_event_s", now - started_at)
    log.info(
        "First event.",
        request=progress.request.id,
        worker=choice.worker.id,
        model=progress.model,
        to_read=round(choice.to_read),
        worker_s=round(now - started_at, 3),
        total_s=round(now - progress.request.arrived, 3),
    )


def expected_read_s(choice: Choice) -> float:
    """Returns the estimated seconds until the head of an answer.

    It doesn't depend on the model, since answers of different models are not
    compared.

    Args:
      choice: Worker that is asked.
    """
    return MIN_READ_S + choice.to_read / READ_TOKENS_PER_S
