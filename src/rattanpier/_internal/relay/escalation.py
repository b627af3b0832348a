"""Decides whether an answer is dropped in favour of a larger model's."""

from __future__ import annotations

import math

import structlog

from rattanpier._internal.models.relay_request import RelayRequest
from rattanpier._internal.models.upstream_request import AnswerHead
from rattanpier._internal.models.worker import RegisteredWorker
from rattanpier._internal.relay.dispatch import Dispatcher
from rattanpier._internal.relay.model_choice import (
    MIN_CONFIDENCE,
    KeepReason,
    LargerModelEstimate,
    judge_answer,
    larger_model,
)
from rattanpier._internal.relay.placement import Choice
from rattanpier._internal.relay.request_progress import (
    RequestProgress,
    round_for_log,
)

log = structlog.get_logger(part="dispatch")


def should_escalate(
    dispatcher: Dispatcher,
    progress: RequestProgress,
    worker: RegisteredWorker,
    head: AnswerHead,
) -> bool:
    """Returns whether an answer is dropped and a larger model is asked.

    If so, the request continues with the larger model and is allowed one more
    upstream request.

    Args:
      dispatcher: Components of this entry.
      progress: The request.
      worker: Worker that gave the answer.
      head: Head of the answer.
    """
    request = progress.request
    larger = larger_model(request, progress.model)
    if not dispatcher.policy.cascade or not larger or head.confidence is None:
        return False
    if head.confidence >= MIN_CONFIDENCE:
        return False
    tried = progress.tried
    # The same worker may be the best one for the larger model as well.
    progress.tried = tried - {worker.id}
    choice = dispatcher.find_worker(progress, larger)
    estimate = estimate_larger_model(dispatcher, request, larger, choice)
    keep_reason = judge_answer(
        request,
        head.confidence,
        dispatcher.clock.monotonic(),
        estimate,
        dispatcher.policy,
    )
    if keep_reason is None and not (
        dispatcher.may_send(progress) and dispatcher.acquire_retry(progress)
    ):
        keep_reason = KeepReason.BUDGET
    log.info(
        "Answer judged.",
        request=request.id,
        worker=worker.id,
        model=progress.model,
        confidence=head.confidence,
        kept=None if keep_reason is None else keep_reason.value,
        wait_s=round_for_log(estimate.wait_s),
        first_s=round_for_log(estimate.first_s),
        whole_s=round_for_log(estimate.whole_s),
        larger=larger,
    )
    if keep_reason is not None:
        progress.tried = tried
        dispatcher.metrics.count(f"relay.kept.{keep_reason.value}")
        return False
    progress.next_send_allowed = True
    dispatcher.metrics.count("relay.larger_model")
    progress.model = larger
    progress.answered_by = worker.id
    progress.may_have_run = True
    return True


def estimate_larger_model(
    dispatcher: Dispatcher,
    request: RelayRequest,
    model: str,
    choice: Choice | None,
) -> LargerModelEstimate:
    """Returns the expected durations of a larger model's answer.

    Args:
      dispatcher: Components of this entry.
      request: The request.
      model: The larger model.
      choice: Worker selected for it; all durations are infinite if None.
    """
    if choice is None:
        return LargerModelEstimate(math.inf, math.inf, math.inf)
    timings = dispatcher.chooser.timings
    wait_s = max(choice.wait_s, timings.wait_s(model, request.priority))
    stream_s = timings.stream_s(model, request.prompt.expected_output)
    first_s = choice.pace * choice.read_s + wait_s
    return LargerModelEstimate(choice.wait_s, first_s, first_s + stream_s)
