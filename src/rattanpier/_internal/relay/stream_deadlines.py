"""Decides until when a stream may go on at a larger model.

Free of I/O. The length of an answer is not known in advance, so some answers of
a large model would be cut by the deadline. In time before that, the stream is
resumed at the smallest model, which generates the rest several times faster: a
complete answer with a weaker end serves a caller better than an incomplete one.
"""

from __future__ import annotations

import math

import attrs

from rattanpier._internal.models.relay_request import RelayRequest
from rattanpier._internal.utils.record import Record

# Share of the request's time that may be set aside for the smallest model. A
# larger one would end more answers early that the larger model completes.
MAX_RESERVE_SHARE = 0.25
# Least time to be set aside: a request to another worker takes this long on a
# VM with half a core, besides what the worker takes.
MIN_RESERVE_S = 0.3


@attrs.frozen(eq=False, repr=False)
class FinishEstimate(Record):
    """Expected durations of the rest of an answer at the smallest model.

    Attributes:
      first_s: Seconds until the first event.
      rest_s: Seconds to generate as much as the request allows.
    """

    first_s: float
    rest_s: float


def may_finish_smaller(request: RelayRequest, model: str) -> bool:
    """Returns whether the smallest model may finish a model's stream.

    The caller left the choice of the model to the system, and the stream may
    be resumed.
    """
    models = request.route.models
    return (
        request.any_model
        and request.route.repeatable
        and len(models) > 1
        and model in models[1:]
    )


def finish_reserve_s(total_s: float, estimate: FinishEstimate) -> float:
    """Returns how long before the deadline the smallest model takes over.

    Args:
      total_s: Seconds from the arrival of the request to its deadline.
      estimate: Expected durations at the smallest model.

    Returns:
      Seconds; infinite if the smallest model would need a larger share of the
      request's time than it may take.

    >>> finish_reserve_s(6.0, FinishEstimate(0.4, 0.5))
    0.9
    >>> finish_reserve_s(6.0, FinishEstimate(0.01, 0.02))
    0.3
    >>> finish_reserve_s(6.0, FinishEstimate(0.4, 5.0))
    inf
    """
    reserve_s = max(MIN_RESERVE_S, estimate.first_s + estimate.rest_s)
    return reserve_s if reserve_s <= MAX_RESERVE_SHARE * total_s else math.inf


def finish_deadline(deadline: float, left_s: float, reserve_s: float) -> float:
    """Returns until when a larger model's stream may go on.

    Args:
      deadline: Deadline of the request, in seconds of any clock.
      left_s: Seconds until then.
      reserve_s: How long before the deadline the smallest model takes over.

    Returns:
      Seconds of the same clock; the deadline itself if too little time is left
      for the larger model to be of use.

    >>> finish_deadline(10.0, 5.0, 1.0), finish_deadline(10.0, 1.5, 1.0)
    (9.0, 10.0)
    """
    return deadline if left_s < 2 * reserve_s else deadline - reserve_s
