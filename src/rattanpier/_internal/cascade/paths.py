"""Expected quality and cost of every way through a cascade.

Works backwards from the last step, for all cells of the same steps at once.
The value of quality against cost is one number, the price of quality: a step
is accepted where going on would cost more than the quality it adds is worth.
Arrays have the axes [cell, bin of the rejected answer, bin of the answer].
"""

from __future__ import annotations

from collections.abc import Sequence

import attrs
import numpy as np

from rattanpier._internal.cascade import features as f
from rattanpier._internal.cascade.quality_model import sigmoid

QUALITY, COST, FIRST_GRADIENT = 0, 1, 2
GRADIENT_SIZE = 6  # For each step: weight, confidence, earlier one, escalated.
MIN_ACCEPTED_QUALITY = (
    0.5  # An answer worse than this is not accepted knowingly.
)
CONFIDENCE_FEATURES = slice(f.CONFIDENCE, f.FEATURE_COUNT)


@attrs.frozen
class StepEstimate:
    """One step of some cells' cascade as believed now.

    Attributes:
      score: [cell] log-odds of a good answer without the confidences.
      own: Weights of the answer's own confidence.
      earlier: Weights of the confidence of the answer rejected before.
      escalated: Weight of having rejected one.
      moderation: [cell] factor on log-odds, for doubt.
      histogram: [cell, bin] distribution of the step's confidence.
      cost: [cell] credits of one answer.
    """

    score: np.ndarray
    confidence: np.ndarray
    earlier: np.ndarray
    escalated: float
    moderation: np.ndarray
    histogram: np.ndarray
    cost: np.ndarray


@attrs.frozen
class CellPlan:
    """How the requests of a cell are decided.

    Attributes:
      start: Index of the step to start at.
      accepts: [step, bin] whether an answer is accepted.
      qualities: [start] expected share of good answers.
      costs: [start] expected credits.
    """

    start: int
    accepts: np.ndarray
    qualities: np.ndarray
    costs: np.ndarray


@attrs.frozen
class CellPlans:
    """The plans of some cells.

    Attributes:
      starts: [cell] index of the best start.
      accepts: [cell, step, bin] whether an answer is accepted.
      outcomes: [cell, start, number] quality, cost and gradients.
    """

    starts: np.ndarray
    accepts: np.ndarray
    outcomes: np.ndarray

    def best(self) -> np.ndarray:
        """Returns the outcome of each cell's best start."""
        return self.outcomes[np.arange(len(self.starts)), self.starts]

    def cell(self, index: int) -> CellPlan:
        """Returns the plan of one cell."""
        outcomes = self.outcomes[index]
        return CellPlan(
            int(self.starts[index]),
            self.accepts[index],
            outcomes[:, QUALITY],
            outcomes[:, COST],
        )


def expected_quality(estimate: StepEstimate, escalated: bool) -> np.ndarray:
    """Returns the expected quality; without a rejected answer, one bin."""
    score = estimate.score[:, None, None] + f.BIN_FEATURES @ estimate.confidence
    if escalated:
        earlier = f.BIN_FEATURES @ estimate.earlier
        score = score + estimate.escalated + earlier[:, None]
    return sigmoid(score * estimate.moderation[:, None, None])


def accepted_outcome(
    step: int, probabilities: np.ndarray, escalated: bool, size: int
) -> np.ndarray:
    """Returns quality, cost and gradients if the answer is accepted."""
    outcome = np.zeros((*probabilities.shape, size))
    outcome[..., QUALITY] = probabilities
    slope = probabilities * (1 - probabilities)
    offset = FIRST_GRADIENT + GRADIENT_SIZE * step
    outcome[..., offset] = slope
    outcome[..., offset + 1 : offset + 3] = slope[..., None] * f.BIN_FEATURES
    if escalated:
        earlier = f.BIN_FEATURES[:, None, :]
        outcome[..., offset + 3 : offset + 5] = slope[..., None] * earlier
        outcome[..., offset + 5] = slope
    return outcome


def evaluate_step(
    step: int,
    estimate: StepEstimate,
    continuation: np.ndarray | None,
    escalated: bool,
    price: float,
    size: int,
) -> tuple[np.ndarray, np.ndarray]:
    """Returns outcomes by the bin rejected before, and what is accepted.

    Args:
      step: Index of the step.
      estimate: The step as believed now.
      continuation: [cell, bin, number] outcomes of going on, or None.
      escalated: True if an answer was rejected before.
      price: Credits that one more good answer is worth.
      size: Numbers in an outcome.
    """
    probabilities = expected_quality(estimate, escalated)
    outcome = accepted_outcome(step, probabilities, escalated, size)
    accept = np.ones(probabilities.shape, bool)
    if continuation is not None:
        escalation_value = (
            price * continuation[..., QUALITY] - continuation[..., COST]
        )
        accept = price * probabilities >= escalation_value[:, None, :]
        # A class is not given up because it is too rare to miss the target.
        better = continuation[:, None, :, QUALITY] > probabilities
        accept &= (probabilities >= MIN_ACCEPTED_QUALITY) | ~better
        outcome = np.where(accept[..., None], outcome, continuation[:, None])
    mean = np.matmul(estimate.histogram[:, None, None, :], outcome)[:, :, 0]
    mean[..., COST] += estimate.cost[:, None]
    return mean, accept


def plan_cells(estimates: Sequence[StepEstimate], price: float) -> CellPlans:
    """Returns the best ways through the cells' steps.

    Args:
      estimates: The steps.
      price: Credits that one more good answer is worth.
    """
    size = FIRST_GRADIENT + GRADIENT_SIZE * len(estimates)
    continuation: np.ndarray | None = None
    outcomes: list[np.ndarray] = []
    accepts: list[np.ndarray] = []
    for step in reversed(range(len(estimates))):
        started, accept = evaluate_step(
            step, estimates[step], continuation, False, price, size
        )
        outcomes.append(started[:, 0])
        accepts.append(accept[:, 0])
        if step:
            continuation, _ = evaluate_step(
                step, estimates[step], continuation, True, price, size
            )
    by_start = np.stack(outcomes[::-1], axis=1)
    value = price * by_start[..., QUALITY] - by_start[..., COST]
    return CellPlans(
        value.argmax(axis=1), np.stack(accepts[::-1], axis=1), by_start
    )


def step_gradients(
    features: np.ndarray, outcomes: np.ndarray, step: int
) -> np.ndarray:
    """Returns the sum over cells of a step's gradient over all weights.

    Args:
      features: [cell, feature] known before dispatch.
      outcomes: [cell, number] already weighted.
      step: Index of the step.
    """
    offset = FIRST_GRADIENT + GRADIENT_SIZE * step
    vector = outcomes[:, offset] @ features
    vector[CONFIDENCE_FEATURES] = outcomes[
        :, offset + 1 : offset + GRADIENT_SIZE
    ].sum(axis=0)
    return vector
