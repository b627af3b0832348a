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

NO_WORKER_RETRY_S = 0.5  # Workers register again within a second or two.
FULL_RETRY_S = 0.4  # A plain request lasts a tenth of a second.
LEAST_LEFT_S = 0.005  # With less no worker can answer.


@attrs.define(eq=False, repr=False)
class Course:
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
      begun: The head of the answer was delivered.
      granted: The next send was allowed already.
      held_s: Seconds for which what it asks reaches no worker; 0: it may.
      service: Its service.
      left_out: Workers that each condition kept from the last choice.
      opens_in_s: When one of them may take the request, None if unknown.
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
    begun: bool = False
    granted: bool = False
    held_s: float = 0.0
    left_out: dict[str, int] = attrs.Factory(dict)
    opens_in_s: float | None = None


def give_up(course: Course, left_s: float) -> WholeAnswer | AnswerRefused:
    """Returns the final answer to a request that nobody answered.

    Args:
      course: What was done for it.
      left_s: Seconds until the caller or the route gives up.
    """
    if course.failure is not None:
        return course.failure
    code, status = final_code(course, left_s)
    retry_after_s = None
    if not course.may_have_run:
        retry_after_s = course.retry_after_s or FULL_RETRY_S
        if not course.sent:
            retry_after_s = course.opens_in_s or NO_WORKER_RETRY_S
        if course.held_s:
            retry_after_s = course.held_s
    reason = course.reason or no_worker_reason(course)
    return AnswerRefused(
        Refusal(code, reason, not course.may_have_run, retry_after_s), status
    )


def no_worker_reason(course: Course) -> str:
    """Says why no worker was chosen.

    >>> course = Course(None, 0.0, "s", left_out={"drained_domain": 3})
    >>> no_worker_reason(course)
    'no worker takes work: drained_domain 3'
    """
    counts = (f"{name} {count}" for name, count in course.left_out.items())
    return ": ".join(filter(None, ("no worker takes work", ", ".join(counts))))


def final_code(course: Course, left_s: float) -> tuple[RefusalCode, int]:
    """Returns the code and the HTTP status of a final answer.

    503 promises that the request has not run and never will.
    """
    if not course.may_have_run:
        if course.held_s:
            return RefusalCode.QUARANTINED, 503
        code = RefusalCode.QUEUE_FULL if course.sent else RefusalCode.NO_WORKER
        return code, 503
    if left_s <= LEAST_LEFT_S:
        return RefusalCode.DEADLINE, 504
    return RefusalCode.UPSTREAM_FAILED, 502


def rounded(value: float | None) -> float | None:
    """Returns a number for a log line.

    >>> rounded(1.23456), rounded(None)
    (1.235, None)
    """
    return None if value is None or math.isinf(value) else round(value, 3)
