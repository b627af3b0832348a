"""Selects the model of a cascade: the first one, and when to escalate.

Free of I/O. The smallest model answers first. Its confidence in the answer,
which is known with the first token, decides whether a larger model is asked
before anything has been delivered.
"""

from __future__ import annotations

import enum

import attrs

from rattanpier._internal.models.policy import DEFAULT_POLICY, Policy
from rattanpier._internal.models.relay_request import RelayRequest
from rattanpier._internal.utils.record import Record

# Answers with at least this confidence are kept while workers are idle. A
# higher limit gives better answers under low load, but under faults and bursts
# the answers of larger models take too long and delay other requests.
MIN_CONFIDENCE = 45.0
# Under load a less confident answer in time is better than a more accurate one
# for fewer callers. The limit falls by up to MAX_LOAD_DISCOUNT as the wait at
# the best worker for the larger model rises to FULL_LOAD_WAIT_S, which is the
# typical time to read 6,000 tokens, the measure used before.
MAX_LOAD_DISCOUNT = 20.0
FULL_LOAD_WAIT_S = 0.2


@attrs.frozen(eq=False, repr=False)
class LargerModelEstimate(Record):
    """Expected durations of an answer by a larger model.

    Attributes:
      wait_s: Seconds until its worker begins to read the prompt.
      first_s: Seconds within which its first event is likely received.
      whole_s: Seconds within which its last event is likely received.
    """

    wait_s: float = 0.0
    first_s: float = 0.0
    whole_s: float = 0.0


class KeepReason(enum.Enum):
    """Why an answer is kept although a larger model may give a better one.

    Attributes:
      CONFIDENT: The model is confident enough.
      LOAD: It is confident enough under the current load.
      TIME: The larger model's answer would be too late.
      BUDGET: No further upstream request is allowed.
    """

    CONFIDENT = "confident"
    LOAD = "load"
    TIME = "time"
    BUDGET = "budget"


def first_model(request: RelayRequest, policy: Policy = DEFAULT_POLICY) -> str:
    """Returns the first model to ask.

    Returns:
      An empty string if the caller named a model or the route has none.
    """
    if not request.any_model or not request.route.models:
        return ""
    return request.route.models[0 if policy.start_small else -1]


def larger_model(request: RelayRequest, model: str) -> str:
    """Returns the model to escalate to; an empty string if there is none."""
    models = request.route.models
    if not model or model not in models[:-1]:
        return ""
    return models[-1]


def judge_answer(
    request: RelayRequest,
    confidence: float,
    now: float,
    estimate: LargerModelEstimate,
    policy: Policy = DEFAULT_POLICY,
) -> KeepReason | None:
    """Returns why an answer is kept; None if a larger model is to be asked.

    Args:
      request: The request.
      confidence: The model's confidence in its answer, from 0 to 100.
      now: Monotonic seconds.
      estimate: Expected durations of the larger model's answer.
      policy: Enabled mechanisms.
    """
    if confidence >= MIN_CONFIDENCE:
        return KeepReason.CONFIDENT
    if policy.load_line and confidence >= min_confidence(estimate.wait_s):
        return KeepReason.LOAD
    if not policy.outlook:
        return None
    objective_left = request.arrived + request.route.objective_s - now
    if estimate.first_s > objective_left:
        return KeepReason.TIME
    if estimate.whole_s > request.deadline - now:
        return KeepReason.TIME
    return None


def min_confidence(wait_s: float) -> float:
    """Returns the confidence from which an answer is kept under load.

    Args:
      wait_s: Expected wait at the best worker for the larger model, in seconds.

    >>> min_confidence(0.0), min_confidence(9.0)
    (45.0, 25.0)
    """
    load = min(1.0, wait_s / FULL_LOAD_WAIT_S)
    return MIN_CONFIDENCE - MAX_LOAD_DISCOUNT * load
