"""Plans a cascade by backward induction over its steps.

Expected quality and cost are computed from the last step to the first, for
all cells with the same steps at once. The trade-off is one number, the price
of quality: an answer is accepted if escalating costs more than the additional
quality is worth. Arrays have the axes [cell, bin of the rejected answer, bin
of the answer] unless noted otherwise.
"""

from __future__ import annotations

from collections.abc import Sequence

import attrs
import numpy as np

from rattanpier._internal.cascade import features as f
from rattanpier._internal.cascade.quality_model import sigmoid

QUALITY, COST, FIRST_GRADIENT = 0, 1, 2
GRADIENT_SIZE = 6  # Per step: score, confidence (2), earlier (2), escalated.
# Worse answers are only accepted if escalating is not expected to help.
MIN_ACCEPTED_QUALITY = 0.5
CONFIDENCE_FEATURES = slice(f.CONFIDENCE, f.FEATURE_COUNT)


@attrs.frozen
class StepEstimate:
    """Current estimates for one step, for cells with the same steps.

    Attributes:
      score: [cell] log-odds of a good answer without the confidences.
      confidence: [2] weights of the answer's confidence.
      earlier: [2] weights of the confidence of the previously rejected answer.
      escalated: Weight of having rejected an answer.
      moderation: [cell] factor on the log-odds that accounts for the
        uncertainty of the weights.
      histogram: [cell, bin] distribution of the step's confidence.
      cost: [cell] credits for one answer.
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
    """The decisions for the requests of a cell.

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
    """The plans of cells with the same steps.

    Attributes:
      starts: [cell] index of the best start.
      accepts: [cell, step, bin] whether an answer is accepted.
      outcomes: [cell, start, value] quality, cost and gradients.
    """

    starts: np.ndarray
    accepts: np.ndarray
    outcomes: np.ndarray

    def best(self) -> np.ndarray:
        """Returns the outcome of each cell's best start, [cell, value]."""
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
    """Returns the probabilities of a good answer.

    Args:
      estimate: Estimates for the step.
      escalated: Whether an answer was rejected before. If not, the axis of
        the rejected answer has length 1.
    """
    score = estimate.score[:, None, None] + f.BIN_FEATURES @ estimate.confidence
    if escalated:
        earlier = f.BIN_FEATURES @ estimate.earlier
        score = score + estimate.escalated + earlier[:, None]
    return sigmoid(score * estimate.moderation[:, None, None])


def accepted_outcome(
    step: int, probabilities: np.ndarray, escalated: bool, size: int
) -> np.ndarray:
    """Returns the outcomes if the answer is accepted, in a last axis.

    The cost is 0: the cost of the step is added by the caller. The gradients
    are those of the quality with respect to the weights of the step; they
    neglect the moderation factor.

    Args:
      step: Index of the step.
      probabilities: Probabilities of a good answer.
      escalated: Whether an answer was rejected before.
      size: Number of values in an outcome.
    """
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
    """Returns expected outcomes and the accepted bins of a step.

    Args:
      step: Index of the step.
      estimate: Estimates for the step.
      continuation: [cell, bin, value] outcomes of escalating from each bin,
        or None for the last step.
      escalated: Whether an answer was rejected before.
      price: Credits that one more good answer is worth.
      size: Number of values in an outcome.

    Returns:
      [cell, bin of the rejected answer, value] outcomes, averaged over the
      confidence of the answer, and whether each answer is accepted.
    """
    probabilities = expected_quality(estimate, escalated)
    outcome = accepted_outcome(step, probabilities, escalated, size)
    accept = np.ones(probabilities.shape, bool)
    if continuation is not None:
        escalation_value = (
            price * continuation[..., QUALITY] - continuation[..., COST]
        )
        accept = price * probabilities >= escalation_value[:, None, :]
        # The target alone would sacrifice a class that is too rare to affect
        # the mean quality of the workspace.
        better = continuation[:, None, :, QUALITY] > probabilities
        accept &= (probabilities >= MIN_ACCEPTED_QUALITY) | ~better
        outcome = np.where(accept[..., None], outcome, continuation[:, None])
    mean = np.matmul(estimate.histogram[:, None, None, :], outcome)[:, :, 0]
    mean[..., COST] += estimate.cost[:, None]
    return mean, accept


def plan_cells(estimates: Sequence[StepEstimate], price: float) -> CellPlans:
    """Returns the plans with the highest value at a price of quality.

    Args:
      estimates: Estimates for the steps, from cheap to strong.
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
    """Returns the gradient of the quality by a step's weights, [feature].

    Args:
      features: [cell, feature] features known before dispatch.
      outcomes: [cell, value] outcomes, multiplied by the cell's share.
      step: Index of the step.
    """
    offset = FIRST_GRADIENT + GRADIENT_SIZE * step
    vector = outcomes[:, offset] @ features
    vector[CONFIDENCE_FEATURES] = outcomes[
        :, offset + 1 : offset + GRADIENT_SIZE
    ].sum(axis=0)
    return vector
