"""Which model answers: where to start, and when to go on to a larger one.

Code without a network. The smallest model answers first; its own opinion of
the answer, known with the first token, decides whether a larger one is asked
while nothing was delivered yet.
"""

from __future__ import annotations

import attrs

from rattanpier._internal.models.relay_request import RelayRequest

# An answer is kept from this confidence on while workers are free. On the calm
# day higher limits are better still (in trials on one site 0.74 at 30, 0.79 at
# 40, 0.81 at 60); on days with faults and bursts they cost more than they
# bring, since larger models' answers last longer and take the workers' time.
# The sum over six days of two sites was 3.92 at 60, 3.95 at 50 and 4.01 at 45.
ENOUGH_CONFIDENCE = 45.0
# Under load a doubtful answer now is better than a better one for fewer: the
# limit falls by this much as the prompts that wait at the best worker rise to
# the given number of tokens, about a second of a large model's reading. Six
# thousand was better than fifteen on three of five days, no worse on two.
LOAD_DISCOUNT = 20.0
FULL_LOAD_TOKENS = 6000.0
# An answer that is ready is better than a better one too late: a larger model
# is asked only while this share of the objective is left.
LEFT_OF_OBJECTIVE = 0.5


@attrs.frozen
class NextModel:
    """A larger model is to be asked, and why."""

    model: str
    confidence: float


def first_model(request: RelayRequest) -> str:
    """Returns the model to start with; empty if the caller names it."""
    if not request.any_model or not request.route.models:
        return ""
    return request.route.models[0]


def next_model(
    request: RelayRequest,
    model: str,
    confidence: float | None,
    now: float,
    waiting_tokens: float = 0.0,
) -> NextModel | None:
    """Returns the model to ask after an answer's head, or None to keep it.

    Args:
      request: The request.
      model: The model that answers.
      confidence: Its opinion of the answer, 0 to 100, or None.
      now: Monotonic seconds.
      waiting_tokens: Prompt tokens that the best worker has yet to read for
        other requests.
    """
    models = request.route.models
    if not model or confidence is None or model == models[-1]:
        return None
    if confidence >= enough_confidence(waiting_tokens):
        return None
    left = request.arrived + request.route.objective_s - now
    if left < LEFT_OF_OBJECTIVE * request.route.objective_s:
        return None
    return NextModel(models[-1], confidence)


def enough_confidence(waiting_tokens: float) -> float:
    """Returns the confidence from which an answer is kept.

    >>> enough_confidence(0.0), enough_confidence(1e6)
    (45.0, 25.0)
    """
    load = min(1.0, waiting_tokens / FULL_LOAD_TOKENS)
    return ENOUGH_CONFIDENCE - LOAD_DISCOUNT * load
