"""Progress of one relayed request, and its final answer if it fails.

Free of I/O: which steps remain, and what the final answer may promise, follow
from what was sent to workers and what they returned.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable

import attrs

from rattanpier._internal.models.refusal import Refusal, RefusalCode
from rattanpier._internal.models.relay_answer import (
    AnswerRefused,
    CompleteAnswer,
)
from rattanpier._internal.models.relay_request import RelayRequest
from rattanpier._internal.placement.worker_room import NoRoom
from rattanpier._internal.relay.events import EventOrder
from rattanpier._internal.relay.load import InFlight
from rattanpier._internal.relay.slow_readers import HeldBytes

# Workers register again within a second or two.
NO_WORKER_RETRY_AFTER_S = 0.5
QUEUE_FULL_RETRY_AFTER_S = 0.4  # A plain request takes about 0.1 s.
MIN_TIME_LEFT_S = 0.005  # No worker can answer in less.


@attrs.define(eq=False, repr=False)
class RequestProgress:
    """Progress of one relayed request.

    Attributes:
      request: The request.
      loop_deadline: Deadline of the caller or the route, in seconds of the
        event loop's clock.
      service: Service that the request is sent to.
      sent: Number of upstream requests.
      tried: Ids of the workers that they were sent to.
      answered_by: Id of the last worker whose answer was dropped in favour of a
        larger model's; empty if there is none.
      may_have_run: Whether a worker may have run the request.
      failed_versions: Versions of which a worker failed the request.
      failure: Failure that a worker returned; passed on to the caller unless a
        later upstream request succeeds.
      reason: Why the last upstream request failed.
      retry_after_s: Seconds after which the last worker asked for a retry.
      model: Model that is asked.
      first_model: Model that was asked first.
      order: Order of the events received.
      head_delivered: Whether the head of the answer was delivered.
      next_send_allowed: Whether the next upstream request was allowed already.
      quarantined_s: Seconds for which the request is still quarantined; 0 if it
        is not.
      excluded: Number of workers that each condition excluded from the last
        selection.
      available_in_s: Seconds until one of them may accept the request; None if
        unknown.
      unconnected: Ids of workers to which no connection could be opened, one
        for each such upstream request.
      no_path: Whether no entry is known that reaches a worker.
      peers_tried: Names of the entries that it was forwarded to.
      received_from_peer: Whether another entry forwarded it to this one.
      counted: Whether an entry counted it in its retry budget.
      held: Bytes held for the caller's connection.
      no_room: Why all workers eligible for it were full when one was last
        selected; None if they were not.
      reserved: Room that was reserved for it at a worker when it left the
        queue; None if there is none.
      queue_refusal: Refusal by the queue; None if it did not refuse.
      on_sent: Called before each upstream request.
    """

    request: RelayRequest
    loop_deadline: float
    service: str
    sent: int = 0
    tried: set[str] = attrs.Factory(set)
    answered_by: str = ""
    may_have_run: bool = False
    failed_versions: set[str] = attrs.Factory(set)
    failure: CompleteAnswer | None = None
    reason: str = ""
    retry_after_s: float | None = None
    model: str = ""
    first_model: str = ""
    order: EventOrder = attrs.Factory(EventOrder)
    head_delivered: bool = False
    next_send_allowed: bool = False
    quarantined_s: float = 0.0
    excluded: dict[str, int] = attrs.Factory(dict)
    available_in_s: float | None = None
    unconnected: list[str] = attrs.Factory(list)
    no_path: bool = False
    peers_tried: set[str] = attrs.Factory(set)
    received_from_peer: bool = False
    counted: bool = False
    held: HeldBytes = attrs.Factory(HeldBytes)
    no_room: NoRoom | None = None
    reserved: InFlight | None = None
    queue_refusal: Refusal | None = None
    on_sent: Callable[[], None] = lambda: None

    @property
    def was_accepted(self) -> bool:
        """Whether a worker has begun to answer the request with a success."""
        return self.head_delivered or bool(self.answered_by)

    def arrived_sends(self) -> int:
        """Returns the number of upstream requests that reached a worker."""
        return self.sent - len(self.unconnected)

    def reached_workers(self) -> set[str]:
        """Returns the ids of the workers that upstream requests reached."""
        return self.tried.difference(self.unconnected)

    def record_sent_by_peer(self, sent: int, workers: Iterable[str]) -> None:
        """Records the upstream requests to which a peer has brought the total.

        Args:
          sent: Number of upstream requests that reached a worker, or may have.
          workers: Ids of those workers.
        """
        self.sent = sent + len(self.unconnected)
        self.tried.update(workers)


def final_answer(
    progress: RequestProgress, left_s: float
) -> CompleteAnswer | AnswerRefused:
    """Returns the final answer to a request that no worker answered.

    Args:
      progress: Progress of the request.
      left_s: Seconds until the deadline of the caller or the route.
    """
    if progress.failure is not None:
        return progress.failure
    if progress.queue_refusal is not None and not progress.may_have_run:
        return AnswerRefused(progress.queue_refusal, 503)
    code, status = final_code(progress, left_s)
    retry_after_s = None
    if not progress.may_have_run:
        retry_after_s = progress.retry_after_s or QUEUE_FULL_RETRY_AFTER_S
        if not progress.sent:
            retry_after_s = progress.available_in_s or NO_WORKER_RETRY_AFTER_S
        if progress.quarantined_s:
            retry_after_s = progress.quarantined_s
    reason = progress.reason or no_worker_reason(progress)
    return AnswerRefused(
        Refusal(code, reason, not progress.may_have_run, retry_after_s), status
    )


def no_worker_reason(progress: RequestProgress) -> str:
    """Returns why no worker was selected.

    >>> excluded = {"drained_domain": 3}
    >>> no_worker_reason(RequestProgress(None, 0.0, "s", excluded=excluded))
    'no worker takes work: drained_domain 3'
    """
    counts = (f"{name} {count}" for name, count in progress.excluded.items())
    return ": ".join(filter(None, ("no worker takes work", ", ".join(counts))))


def final_code(
    progress: RequestProgress, left_s: float
) -> tuple[RefusalCode, int]:
    """Returns the code and the HTTP status of a final answer.

    Status 503 guarantees that the request has not run and never will.
    """
    if not progress.may_have_run:
        if progress.quarantined_s:
            return RefusalCode.QUARANTINED, 503
        if progress.no_path:
            return RefusalCode.NO_PATH, 503
        code = (
            RefusalCode.QUEUE_FULL if progress.sent else RefusalCode.NO_WORKER
        )
        return code, 503
    if left_s <= MIN_TIME_LEFT_S:
        return RefusalCode.DEADLINE, 504
    return RefusalCode.UPSTREAM_FAILED, 502


def round_for_log(value: float | None) -> float | None:
    """Returns a number rounded for a log line; None if infinite or None.

    >>> round_for_log(1.23456), round_for_log(None)
    (1.235, None)
    """
    return None if value is None or math.isinf(value) else round(value, 3)
