"""What operators are told about the cascade of a request."""

from __future__ import annotations

from collections.abc import Sequence

import attrs

from rattanpier._internal.cascade.learner import Learner
from rattanpier._internal.models.request import RouteRequest


@attrs.frozen
class StartEstimate:
    """What is expected if a request starts at a step.

    Attributes:
      version: Version of the step.
      quality: Expected share of good answers, going on where it is better.
      cost: Expected credits.
      chosen: True for the step that a request starts at now.
    """

    version: str
    quality: float
    cost: float
    chosen: bool


@attrs.frozen
class CascadeEstimate:
    """The cascade of a request as believed now.

    Attributes:
      class_name: Model asked for and labels; requests of a class are learned
        about together.
      starts: What is expected from each step on.
      workspace_quality: Expected share of good answers of the workspace.
      workspace_doubt: Standard deviation of it.
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
    """Returns what is expected of a request; counts no request."""
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
