"""Answers one request, by a streamed or a plain upstream request."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator, AsyncIterator, Awaitable
from contextlib import aclosing

from rattanpier._internal.models.relay_answer import AnswerPart
from rattanpier._internal.models.relay_request import RelayRequest
from rattanpier._internal.relay.answer_order import AnswerPhase, order_parts
from rattanpier._internal.relay.dispatch import Dispatcher
from rattanpier._internal.relay.model_choice import first_model
from rattanpier._internal.relay.plain_answers import plain_answer
from rattanpier._internal.relay.request_progress import RequestProgress
from rattanpier._internal.relay.slow_readers import HeldBytes
from rattanpier._internal.relay.stream_answers import stream_answer


async def answer(
    dispatcher: Dispatcher, request: RelayRequest, held: HeldBytes
) -> AsyncIterator[AnswerPart]:
    """Yields the parts of the answer to a request.

    Closing the generator early means that the caller disconnected; the upstream
    requests are then cancelled.

    Args:
      dispatcher: Selects workers and sends requests to them.
      request: Request of the caller.
      held: Bytes held for the caller's connection.
    """
    progress = RequestProgress(
        request,
        asyncio.get_running_loop().time()
        + request.deadline
        - dispatcher.clock.monotonic(),
        dispatcher.pick_service(request),
        model=first_model(request, dispatcher.policy),
        held=held,
    )
    progress.first_model = progress.model
    progress.order.last_number = request.after_event
    async with aclosing(answer_progress(dispatcher, progress)) as parts:
        async for part in parts:
            yield part


def answer_progress(
    dispatcher: Dispatcher, progress: RequestProgress
) -> AsyncIterator[AnswerPart]:
    """Returns the further parts of the answer to a request in progress.

    Args:
      dispatcher: Components of this entry.
      progress: Progress of the request so far.
    """
    record_request(dispatcher, progress)
    request = progress.request
    if request.route.streaming:
        parts = stream_answer(dispatcher, progress)
    else:
        parts = only_part(plain_answer(dispatcher, progress))
    delivered = AnswerPhase.NOTHING
    if progress.head_delivered:
        delivered = AnswerPhase.HEAD
    return order_parts(parts, request.id, dispatcher.metrics, delivered)


async def only_part(
    answering: Awaitable[AnswerPart],
) -> AsyncGenerator[AnswerPart, None]:
    """Yields an answer that has a single part."""
    yield await answering


def record_request(dispatcher: Dispatcher, progress: RequestProgress) -> None:
    """Counts a request at the entry that sends it to workers.

    Each request counts once for the retry budgets of all entries together.
    """
    if dispatcher.must_forward(progress):
        return
    if not progress.counted:
        progress.counted = True
        budget = dispatcher.budgets[progress.service]
        budget.record_request(progress.request.arrived)
    dispatcher.rollouts.sessions.record_request(
        progress.service, progress.request.session
    )
