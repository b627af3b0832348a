"""How the answering of one request went so far, and how it ends.

Code without a network: what may still be done for a request, and the truth of
its final answer, follow from what was sent and what came back.
"""

from __future__ import annotations

import math

import attrs

from rattanpier._internal.models.refusal import Refusal, RefusalCode
from rattanpier._internal.models.relay_answer import AnswerRefused, WholeAnswer
from rattanpier._internal.models.relay_request import RelayRequest
from rattanpier._internal.relay.events import EventOrder

NO_WORKER_RETRY_AFTER_S = 0.5  # Workers register again within a second or two.
QUEUE_FULL_RETRY_AFTER_S = 0.4  # A plain request lasts a tenth of a second.
MIN_TIME_LEFT_S = 0.005  # With less no worker can answer.


@attrs.define(eq=False, repr=False)
class RequestProgress:
    """How the answering of one request went so far.

    Attributes:
      request: The request.
      loop_deadline: Loop time at which the caller or the route gives up.
      sent: Workers that it was sent to.
      tried: Their ids.
      may_have_run: Some worker may have run it.
      failure: A worker's own failure, to be passed on if nothing better
        comes.
      reason: Why the last send failed.
      retry_after_s: When the last worker said to come back.
      model: Model that is asked.
      first_model: Model that was asked first.
      order: Events that came.
      head_delivered: The head of the answer was delivered.
      next_send_allowed: The next send was allowed already.
      quarantined_s: Seconds for which it may reach no worker; 0: it may.
      service: Its service.
      excluded: Workers that each condition kept from the last choice.
      available_in_s: When one of them may take the request, None if unknown.
    """

    request: RelayRequest
    loop_deadline: float
    service: str
    sent: int = 0
    tried: set[str] = attrs.Factory(set)
    may_have_run: bool = False
    failure: WholeAnswer | None = None
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


def final_answer(
    progress: RequestProgress, left_s: float
) -> WholeAnswer | AnswerRefused:
    """Returns the final answer to a request that nobody answered.

    Args:
      progress: What was done for it.
      left_s: Seconds until the caller or the route gives up.
    """
    if progress.failure is not None:
        return progress.failure
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
    """Says why no worker was chosen.

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

    503 promises that the request has not run and never will.
    """
    if not progress.may_have_run:
        if progress.quarantined_s:
            return RefusalCode.QUARANTINED, 503
        code = (
            RefusalCode.QUEUE_FULL if progress.sent else RefusalCode.NO_WORKER
        )
        return code, 503
    if left_s <= MIN_TIME_LEFT_S:
        return RefusalCode.DEADLINE, 504
    return RefusalCode.UPSTREAM_FAILED, 502


def round_for_log(value: float | None) -> float | None:
    """Returns a number for a log line.

    >>> round_for_log(1.23456), round_for_log(None)
    (1.235, None)
    """
    return None if value is None or math.isinf(value) else round(value, 3)
