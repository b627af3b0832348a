"""Answers of plain services: complete answers or definite failures."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator
from contextlib import aclosing
from typing import Any

from rattanpier._internal.models.relay_answer import (
    AnswerPart,
    AnswerRefused,
    CompleteAnswer,
)
from rattanpier._internal.models.worker import RegisteredWorker
from rattanpier._internal.relay.dispatch import MAX_ANSWER_BYTES, Dispatcher
from rattanpier._internal.relay.exchange import (
    MIN_FAILURE_STATUS,
    SendError,
    copied_headers,
)
from rattanpier._internal.relay.load import InFlight
from rattanpier._internal.relay.placement import Choice
from rattanpier._internal.relay.request_progress import RequestProgress
from rattanpier._internal.relay.room_waits import wait_for_room

# Share of the latency objective after which an idempotent request is hedged. A
# later hedge could not be answered within the objective.
HEDGE_DELAY_SHARE = 0.5
# The work of a plain request is unknown; its times are compared as they are.
PLAIN_WORK_S = 1.0


async def plain_answer(
    dispatcher: Dispatcher, progress: RequestProgress
) -> CompleteAnswer | AnswerRefused:
    """Returns the answer to a request that is not streamed.

    Args:
      dispatcher: Selects workers and sends requests to them.
      progress: Progress of the request.
    """
    while True:
        forwarded = dispatcher.forward_if_needed(progress)
        if forwarded is not None:
            answer = await whole_answer(forwarded)
        elif not dispatcher.may_send(progress):
            break
        else:
            choice = dispatcher.choose(progress)
            if choice is None and progress.no_room is not None:
                choice = await wait_for_room(dispatcher, progress)
            if choice is None:
                break
            answer = await answer_with_hedge(dispatcher, progress, choice)
        if answer is not None:
            return answer
    return dispatcher.refuse(progress)


async def whole_answer(
    parts: AsyncGenerator[AnswerPart, None],
) -> CompleteAnswer | AnswerRefused | None:
    """Returns the answer that a peer gives, or None if it failed."""
    async with aclosing(parts) as found:
        async for part in found:
            if isinstance(part, CompleteAnswer | AnswerRefused):
                return part
    return None


async def answer_with_hedge(
    dispatcher: Dispatcher, progress: RequestProgress, choice: Choice
) -> CompleteAnswer | None:
    """Returns the first answer of a worker or of a hedge to a second one.

    The hedge, a concurrent request to a second worker, is for workers that hang
    or are slow. Only idempotent requests are hedged, since both may run.

    Args:
      dispatcher: Selects workers and sends requests to them.
      progress: Progress of the request.
      choice: Worker to ask first.

    Returns:
      The answer, or None if all workers asked have failed.
    """
    flights: list[tuple[RegisteredWorker, InFlight]] = []
    running = {start_request(dispatcher, progress, choice, flights)}
    try:
        if progress.request.route.idempotent and dispatcher.policy.hedges:
            hedge_s = HEDGE_DELAY_SHARE * progress.request.route.objective_s
            done = await wait_running(dispatcher, running, hedge_s)
            second = None
            if not done:
                second = start_hedge(dispatcher, progress, flights)
            if second is not None:
                dispatcher.metrics.count("relay.hedged")
                running.add(second)
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
        # A task that was cancelled before its first step ends none itself.
        for worker, flight in flights:
            dispatcher.end_in_flight(worker, flight)


async def wait_running(
    dispatcher: Dispatcher, tasks: set[asyncio.Future[Any]], seconds: float
) -> set[asyncio.Future[Any]]:
    """Returns the tasks that end within a time in which this process runs."""
    while True:
        began_at = dispatcher.clock.monotonic()
        done, _ = await asyncio.wait(tasks, timeout=seconds)
        if done or not dispatcher.paused_since(began_at):
            return done


def start_request(
    dispatcher: Dispatcher,
    progress: RequestProgress,
    choice: Choice,
    flights: list[tuple[RegisteredWorker, InFlight]],
) -> asyncio.Future[CompleteAnswer | None]:
    """Sends a request to a worker, whose load counts it from now on.

    Args:
      dispatcher: Sends requests to workers.
      progress: Progress of the request.
      choice: Worker to ask.
      flights: Receives the worker and the request in flight.
    """
    flight = dispatcher.add_in_flight(progress, choice.worker, 0.0)
    flights.append((choice.worker, flight))
    return asyncio.ensure_future(
        answer_from_worker(dispatcher, progress, choice, flight)
    )


def start_hedge(
    dispatcher: Dispatcher,
    progress: RequestProgress,
    flights: list[tuple[RegisteredWorker, InFlight]],
) -> asyncio.Future[CompleteAnswer | None] | None:
    """Sends a request to a second worker, or has a peer do so.

    Returns:
      The answer to come; None if no second worker may be asked.
    """
    forwarded = dispatcher.forward_if_needed(progress)
    if forwarded is not None:
        return asyncio.ensure_future(success_of_peer(forwarded, progress))
    if not dispatcher.may_send(progress):
        return None
    choice = dispatcher.choose(progress)
    if choice is None:
        return None
    return start_request(dispatcher, progress, choice, flights)


async def success_of_peer(
    parts: AsyncGenerator[AnswerPart, None], progress: RequestProgress
) -> CompleteAnswer | None:
    """Returns a peer's answer beside a running request, unless it failed.

    A refusal is not final, since the running request may still succeed.
    """
    answer = await whole_answer(parts)
    if not isinstance(answer, CompleteAnswer):
        return None
    if answer.status >= MIN_FAILURE_STATUS:
        progress.may_have_run = True
        progress.failure = answer
        return None
    return answer


async def answer_from_worker(
    dispatcher: Dispatcher,
    progress: RequestProgress,
    choice: Choice,
    in_flight: InFlight,
) -> CompleteAnswer | None:
    """Returns a worker's complete answer, or None if it failed."""
    request = progress.request
    worker = choice.worker
    sending = dispatcher.record_upstream_request(progress, choice)
    observation = dispatcher.rollouts.observe(
        worker, request.route.name, PLAIN_WORK_S
    )
    started_at = dispatcher.clock.monotonic()
    try:
        async with dispatcher.sender.send(
            request, sending, progress.loop_deadline
        ) as answer:
            body = await answer.read_all(MAX_ANSWER_BYTES, progress.held)
            head = answer.head
        if await dispatcher.ended_with_worker(progress, worker, head):
            raise SendError("the answer ended with its worker")
        dispatcher.rollouts.record_head(observation)
    except asyncio.CancelledError:
        dispatcher.rollouts.end(observation, abandoned=True)
        raise
    except SendError as error:
        in_flight.not_run = error.not_run
        await dispatcher.handle_send_error(progress, worker, error, in_flight)
        return None
    except TimeoutError:
        dispatcher.record_timeout(progress, worker, started_at)
        return None
    finally:
        dispatcher.end_in_flight(worker, in_flight)
        dispatcher.rollouts.end(observation)
    worker_answer = CompleteAnswer(head.status, copied_headers(head), body)
    bad = head.status >= MIN_FAILURE_STATUS
    seconds = dispatcher.clock.monotonic() - started_at
    dispatcher.record_result(progress, worker, bad)
    dispatcher.metrics.timing("relay.worker_s", seconds)
    if not bad:
        await dispatcher.record_answer(request, worker, head, in_flight)
        if (
            head.load is not None
            and not head.load.waiting
            and not dispatcher.paused_since(started_at)
        ):
            # A request that had to wait shows the load, not the speed.
            dispatcher.chooser.paces.record_work(
                worker.id, worker.service, PLAIN_WORK_S, seconds
            )
        return worker_answer
    dispatcher.record_worker_failure(progress, worker, worker_answer)
    return None
