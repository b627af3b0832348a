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
GRADIENT = 6  # For each step: weight, confidence, earlier one, escalated.
LEAST_SHARE = 0.5  # An answer worse than this is not accepted knowingly.
OWN_PLACES = slice(f.CONFIDENCE, f.FEATURE_COUNT)


@attrs.frozen
class StepView:
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
    own: np.ndarray
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
class Plans:
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


def good_shares(view: StepView, escalated: bool) -> np.ndarray:
    """Returns the expected quality; without a rejected answer, one bin."""
    score = view.score[:, None, None] + f.BIN_FEATURES @ view.own
    if escalated:
        earlier = f.BIN_FEATURES @ view.earlier
        score = score + view.escalated + earlier[:, None]
    return sigmoid(score * view.moderation[:, None, None])


def accepted_here(
    step: int, shares: np.ndarray, escalated: bool, size: int
) -> np.ndarray:
    """Returns quality, cost and gradients if the answer is accepted."""
    outcome = np.zeros((*shares.shape, size))
    outcome[..., QUALITY] = shares
    slope = shares * (1 - shares)
    at = FIRST_GRADIENT + GRADIENT * step
    outcome[..., at] = slope
    outcome[..., at + 1 : at + 3] = slope[..., None] * f.BIN_FEATURES
    if escalated:
        earlier = f.BIN_FEATURES[:, None, :]
        outcome[..., at + 3 : at + 5] = slope[..., None] * earlier
        outcome[..., at + 5] = slope
    return outcome


def fold(
    step: int,
    view: StepView,
    onward: np.ndarray | None,
    escalated: bool,
    price: float,
    size: int,
) -> tuple[np.ndarray, np.ndarray]:
    """Returns outcomes by the bin rejected before, and what is accepted.

    Args:
      step: Index of the step.
      view: The step as believed now.
      onward: [cell, bin, number] outcomes of going on, or None.
      escalated: True if an answer was rejected before.
      price: Credits that one more good answer is worth.
      size: Numbers in an outcome.
    """
    shares = good_shares(view, escalated)
    outcome = accepted_here(step, shares, escalated, size)
    accept = np.ones(shares.shape, bool)
    if onward is not None:
        worth = price * onward[..., QUALITY] - onward[..., COST]
        accept = price * shares >= worth[:, None, :]
        # A class is not given up because it is too rare to miss the target.
        better = onward[:, None, :, QUALITY] > shares
        accept &= (shares >= LEAST_SHARE) | ~better
        outcome = np.where(accept[..., None], outcome, onward[:, None])
    mean = np.matmul(view.histogram[:, None, None, :], outcome)[:, :, 0]
    mean[..., COST] += view.cost[:, None]
    return mean, accept


def plan_cells(views: Sequence[StepView], price: float) -> Plans:
    """Returns the best ways through the cells' steps.

    Args:
      views: The steps.
      price: Credits that one more good answer is worth.
    """
    size = FIRST_GRADIENT + GRADIENT * len(views)
    onward: np.ndarray | None = None
    outcomes: list[np.ndarray] = []
    accepts: list[np.ndarray] = []
    for step in reversed(range(len(views))):
        started, accept = fold(step, views[step], onward, False, price, size)
        outcomes.append(started[:, 0])
        accepts.append(accept[:, 0])
        if step:
            onward, _ = fold(step, views[step], onward, True, price, size)
    by_start = np.stack(outcomes[::-1], axis=1)
    value = price * by_start[..., QUALITY] - by_start[..., COST]
    return Plans(
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
    at = FIRST_GRADIENT + GRADIENT * step
    vector = outcomes[:, at] @ features
    vector[OWN_PLACES] = outcomes[:, at + 1 : at + GRADIENT].sum(axis=0)
    return vector
