"""Answers of plain services: sent whole, or a failure that is true."""

from __future__ import annotations

import asyncio

from rattanpier._internal.models.relay_answer import AnswerRefused, WholeAnswer
from rattanpier._internal.relay.dispatch import MAX_ANSWER_BYTES, Dispatcher
from rattanpier._internal.relay.exchange import (
    MIN_FAILURE_STATUS,
    SendError,
    copied_headers,
)
from rattanpier._internal.relay.placement import Choice
from rattanpier._internal.relay.request_progress import RequestProgress

# Of the objective, after which a repeatable plain request is sent to a second
# worker beside the first: later the answer would be late in any case.
HEDGE_SHARE = 0.5


async def whole(
    dispatcher: Dispatcher, course: RequestProgress
) -> WholeAnswer | AnswerRefused:
    """Returns the answer to a request that is no stream."""
    while dispatcher.may_send(course):
        choice = dispatcher.choose(course)
        if choice is None:
            break
        answer = await first_of(dispatcher, course, choice)
        if answer is not None:
            return answer
    return dispatcher.refuse(course)


async def first_of(
    dispatcher: Dispatcher, course: RequestProgress, choice: Choice
) -> WholeAnswer | None:
    """Returns an answer of one worker, or of a second one beside it.

    A second send beside the first answers workers that hang or are slow;
    only requests that may run twice get one.
    """
    first = asyncio.ensure_future(send_whole(dispatcher, course, choice))
    running = {first}
    try:
        if course.request.route.idempotent and dispatcher.policy.hedges:
            hedge_s = HEDGE_SHARE * course.request.route.objective_s
            done, _ = await asyncio.wait(running, timeout=hedge_s)
            if not done and dispatcher.may_send(course):
                other = dispatcher.choose(course)
                if other is not None:
                    dispatcher.metrics.count("relay.hedged")
                    running.add(
                        asyncio.ensure_future(
                            send_whole(dispatcher, course, other)
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
    dispatcher: Dispatcher, course: RequestProgress, choice: Choice
) -> WholeAnswer | None:
    """Returns a worker's whole answer, None if it failed."""
    request = course.request
    worker = choice.worker
    sending = dispatcher.record_upstream_request(course, choice)
    flight = dispatcher.add_in_flight(course, worker, 0.0)
    began = dispatcher.clock.monotonic()
    try:
        async with dispatcher.sender.send(
            request, sending, course.loop_deadline
        ) as answer:
            body = await answer.read_all(MAX_ANSWER_BYTES)
            head = answer.head
    except SendError as error:
        await dispatcher.handle_send_error(course, worker, error)
        return None
    except TimeoutError:
        dispatcher.record_timeout(course, worker)
        return None
    finally:
        dispatcher.loads.end(worker.id, flight)
    found = WholeAnswer(head.status, copied_headers(head), body)
    bad = head.status >= MIN_FAILURE_STATUS
    seconds = dispatcher.clock.monotonic() - began
    dispatcher.record_result(course, worker, bad, None if bad else seconds)
    dispatcher.metrics.timing("relay.worker_s", seconds)
    if not bad:
        dispatcher.quarantine.record_answer(request.content)
        return found
    dispatcher.record_worker_failure(course, worker, found)
    return None
