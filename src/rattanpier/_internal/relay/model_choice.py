"""Which model answers: where to start, and when to go on to a larger one.

Code without a network. The smallest model answers first; its own opinion of
the answer, known with the first token, decides whether a larger one is asked
while nothing was delivered yet.
"""

from __future__ import annotations

import enum

import attrs

from rattanpier._internal.models.policy import USUAL, Policy
from rattanpier._internal.models.relay_request import RelayRequest

# An answer is kept from this confidence on while workers are free. With a
# higher limit calm hours give better answers, but under faults and bursts
# larger models' answers last too long and take the time of others.
MIN_CONFIDENCE = 45.0
# Under load a doubtful answer now is better than a better one for fewer: the
# limit falls by this much as the wait at the best worker for the larger model
# rises to the given time: the 6,000 tokens tried before, at their usual pace.
MAX_LOAD_DISCOUNT = 20.0
FULL_LOAD_WAIT_S = 0.2


@attrs.frozen
class LargerModelEstimate:
    """What is expected of asking a larger model.

    Attributes:
      wait_s: Seconds until its worker begins to read the prompt.
      first_s: Seconds within which its first event likely comes.
      whole_s: Seconds within which its last one likely comes.
    """

    wait_s: float = 0.0
    first_s: float = 0.0
    whole_s: float = 0.0


class KeepReason(enum.Enum):
    """Why an answer is kept though a larger model may do better."""

    CONFIDENT = "confident"
    LOAD = "load"
    TIME = "time"
    BUDGET = "budget"


def first_model(request: RelayRequest, policy: Policy = USUAL) -> str:
    """Returns the model to start with; empty if the caller names it."""
    if not request.any_model or not request.route.models:
        return ""
    return request.route.models[0 if policy.start_small else -1]


def larger_model(request: RelayRequest, model: str) -> str:
    """Returns the model to go on with; empty if there is none."""
    models = request.route.models
    if not model or model not in models[:-1]:
        return ""
    return models[-1]


def judge_answer(
    request: RelayRequest,
    confidence: float,
    now: float,
    estimate: LargerModelEstimate,
    policy: Policy = USUAL,
) -> KeepReason | None:
    """Says why an answer is kept; None if a larger model is to be asked.

    Args:
      request: The request.
      confidence: The model's opinion of its answer, 0 to 100.
      now: Monotonic seconds.
      estimate: What is expected of the larger model.
      policy: Which of these reasons count.
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
    """Returns the confidence from which an answer is kept.

    >>> min_confidence(0.0), min_confidence(9.0)
    (45.0, 25.0)
    """
    load = min(1.0, wait_s / FULL_LOAD_WAIT_S)
    return MIN_CONFIDENCE - MAX_LOAD_DISCOUNT * load
