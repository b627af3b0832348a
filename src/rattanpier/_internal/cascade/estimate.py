"""Expected quality and cost of a request's cascade, for operators."""

from __future__ import annotations

from collections.abc import Sequence

import attrs

from rattanpier._internal.cascade.learner import Learner
from rattanpier._internal.models.request import RouteRequest


@attrs.frozen
class StartEstimate:
    """Expected outcome if a request starts at a given step.

    Attributes:
      version: Version of the step.
      quality: Expected share of good answers, including escalations.
      cost: Expected cost in credits.
      chosen: Whether a request currently starts at this step.
    """

    version: str
    quality: float
    cost: float
    chosen: bool


@attrs.frozen
class CascadeEstimate:
    """Current estimate for the cascade of a request.

    Attributes:
      class_name: Requested model and labels; requests of a class share what
        is learned.
      starts: Expected outcome for each possible first step.
      workspace_quality: Expected share of good answers in the workspace.
      workspace_quality_deviation: Standard deviation of workspace_quality.
      ratings: Ratings of the workspace that this process learned from.
    """

    class_name: str
    starts: list[StartEstimate]
    workspace_quality: float
    workspace_quality_deviation: float
    ratings: int


def estimate_cascade(
    learner: Learner, request: RouteRequest, steps: Sequence[str]
) -> CascadeEstimate:
    """Returns the estimate for a request, without counting a request.

    Args:
      learner: State of the learned policy.
      request: The request.
      steps: Planned versions, from cheap to strong.
    """
    cell = learner.cell(request, tuple(steps))
    plan = learner.plan(request.workspace, cell)
    state = learner.state(request.workspace)
    starts = [
        StartEstimate(
            version,
            float(plan.qualities[index]),
            float(plan.costs[index]),
            index == plan.start,
        )
        for index, version in enumerate(steps)
    ]
    return CascadeEstimate(
        cell.key.class_name,
        starts,
        state.quality,
        state.quality_deviation,
        state.ratings,
    )
