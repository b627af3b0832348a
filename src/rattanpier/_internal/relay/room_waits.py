"""Requests that wait at the entry until a worker has room."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import structlog

from rattanpier._internal.models.refusal import Refusal, RefusalCode
from rattanpier._internal.placement.worker_room import NoRoom, request_tokens
from rattanpier._internal.relay.admission import (
    MAX_RETRY_SHARE,
    EntryAdmission,
)
from rattanpier._internal.relay.dispatch import Dispatcher, cost_of
from rattanpier._internal.relay.load import InFlight
from rattanpier._internal.relay.placement import Choice
from rattanpier._internal.relay.request_progress import RequestProgress
from rattanpier._internal.relay.service_queue import Demand, Waiter

log = structlog.get_logger(part="admission")

# Interval at which the queue is looked at, besides each end of a request: room
# also appears as load reports grow old.
RELEASE_INTERVAL_S = 0.05
# The estimate of a stream's duration is one that most streams do not exceed; at
# least this share of the time left may be spent in the queue.
MIN_WAIT_SHARE = 0.5


async def wait_for_room(
    dispatcher: Dispatcher, progress: RequestProgress
) -> Choice | None:
    """Queues a request until a worker has room, and returns the worker.

    Room there is reserved for the request.

    Args:
      dispatcher: Components of this entry.
      progress: The request; all workers that are eligible for it are full.

    Returns:
      None if the request is refused.
    """
    if exceeds_any_cache(dispatcher, progress):
        return None
    admission = dispatcher.admission
    decided: asyncio.Future[Choice | Refusal | None]
    decided = asyncio.get_running_loop().create_future()

    def find() -> Choice | NoRoom | None:
        if decided.done():  # The caller left just now.
            return None
        choice = dispatcher.find_room(progress, progress.model)
        return progress.no_room if choice is None else choice

    def resolve(outcome: Choice | Refusal | None) -> None:
        if decided.done():
            return
        if isinstance(outcome, Choice):
            progress.reserved = reserve(dispatcher, progress, outcome)
        decided.set_result(outcome)

    queued = admission.enqueue(make_waiter(dispatcher, progress, find, resolve))
    if isinstance(queued, Refusal):
        progress.queue_refusal = queued
        return None

    def refuse_if_quarantined() -> None:
        if not decided.done() and dispatcher.is_quarantined(progress):
            admission.remove(queued)
            decided.set_result(None)

    dispatcher.quarantine.hold_listeners.add(refuse_if_quarantined)
    start_releasing(admission)
    try:
        outcome = await decided
    except asyncio.CancelledError:
        admission.remove(queued)
        cancel_reservation(dispatcher, progress, decided)
        raise
    finally:
        dispatcher.quarantine.hold_listeners.discard(refuse_if_quarantined)
    if isinstance(outcome, Refusal):
        progress.queue_refusal = outcome
        return None
    if outcome is not None and not dispatcher.acquire_retry(progress):
        cancel_reservation(dispatcher, progress, decided)
        return None
    return outcome


def make_waiter(
    dispatcher: Dispatcher,
    progress: RequestProgress,
    find: Callable[[], Choice | NoRoom | None],
    resolve: Callable[[Choice | Refusal | None], None],
) -> Waiter:
    """Returns a request as the queue sees it.

    Args:
      dispatcher: Components of this entry.
      progress: The request.
      find: See `Waiter`.
      resolve: See `Waiter`.
    """
    assert progress.no_room is not None
    request = progress.request
    now = dispatcher.clock.monotonic()
    left_s = dispatcher.left_s(progress)
    wait_s = left_s - expected_s(dispatcher, progress)
    if request.route.streaming:
        wait_s = max(wait_s, MIN_WAIT_SHARE * left_s)
    name = "" if request.workspace is None else request.workspace.name
    demand = Demand(
        request_id=request.id,
        service=progress.service,
        workspace=name,
        priority=request.priority,
        cost=cost_of(request),
        latest_start=now + wait_s,
        deadline=now + left_s,
    )
    return Waiter(demand, progress.no_room, now, find, resolve)


def expected_s(dispatcher: Dispatcher, progress: RequestProgress) -> float:
    """Returns the seconds that a request is expected to take at a worker."""
    prompt = progress.request.prompt
    if not progress.request.route.streaming:
        return dispatcher.admission.services[progress.service].typical_s()
    timings, model = dispatcher.chooser.timings, progress.model
    return (
        timings.wait_s(model, progress.request.priority)
        + timings.read_s(model, prompt.tokens)
        + timings.stream_s(model, prompt.expected_output)
    )


def exceeds_any_cache(
    dispatcher: Dispatcher, progress: RequestProgress
) -> bool:
    """Refuses a request that is larger than a worker's whole cache."""
    size = dispatcher.rooms.cache_size(progress.service)
    tokens = request_tokens(progress.request)
    if size is None or tokens <= size:
        return False
    left_s = dispatcher.left_s(progress)
    dispatcher.metrics.count("relay.queue_refused")
    log.info(
        "Larger than a worker's cache.",
        request=progress.request.id,
        service=progress.service,
        tokens=tokens,
        kv_tokens=size,
    )
    progress.queue_refusal = Refusal(
        RefusalCode.QUEUE_FULL,
        f"the request needs {tokens} tokens, the cache of a worker has {size}",
        True,
        MAX_RETRY_SHARE * left_s,
    )
    return True


def reserve(
    dispatcher: Dispatcher, progress: RequestProgress, choice: Choice
) -> InFlight:
    """Counts a request that leaves the queue as in flight at its worker."""
    dispatcher.rooms.record_release(choice.worker)
    dispatcher.on_request_started(choice.worker)
    return dispatcher.add_in_flight(
        progress, choice.worker, choice.read_s, queued=True
    )


def cancel_reservation(
    dispatcher: Dispatcher,
    progress: RequestProgress,
    decided: asyncio.Future[Choice | Refusal | None],
) -> None:
    """Frees the room of a request whose caller left as it was admitted."""
    flight, progress.reserved = progress.reserved, None
    if flight is None or decided.cancelled():
        return
    choice = decided.result()
    assert isinstance(choice, Choice)
    flight.not_run = True
    dispatcher.end_in_flight(choice.worker, flight)


def start_releasing(admission: EntryAdmission) -> None:
    """Looks at the queues periodically until they are empty."""
    if admission.releasing:
        return
    admission.releasing = True
    loop = asyncio.get_running_loop()

    def tick() -> None:
        admission.releasing = admission.queued() > 0
        if admission.releasing:
            # Scheduled first, so that an error below does not end the ticks.
            loop.call_later(RELEASE_INTERVAL_S, tick)
            admission.release_all()

    loop.call_later(RELEASE_INTERVAL_S, tick)
