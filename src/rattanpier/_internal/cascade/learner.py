"""Meets the quality target of each workspace at the lowest expected cost.

For each workspace a binary search finds the lowest price of quality at which
the expected quality of its traffic, less a margin for uncertainty, meets the
target. All decisions follow from this price until the next search.
"""

from __future__ import annotations

from collections.abc import Callable

import attrs
import numpy as np

from rattanpier._internal.cascade import features as f
from rattanpier._internal.cascade.cells import (
    Cell,
    confidence_distribution,
    decay_weight,
    evict_lightest,
    record_answer,
    record_request,
)
from rattanpier._internal.cascade.paths import (
    QUALITY,
    CellPlan,
    CellPlans,
    StepEstimate,
    plan_cells,
    step_gradients,
)
from rattanpier._internal.cascade.quality_model import QualityModel
from rattanpier._internal.models.configuration import Version, Workspace
from rattanpier._internal.models.request import RouteRequest
from rattanpier._internal.utils.clock import Clock

MILLION = 1_000_000
HOUR_S = 3600.0
# Margin between expected quality and target, in standard deviations of the
# expected quality: a base, an addition for each hour without a rating, and one
# that falls from INITIAL_MARGIN and is halved after INITIAL_RATINGS ratings.
MARGIN_DEVIATIONS = 0.5
MARGIN_PER_HOUR = 0.5
INITIAL_MARGIN = 3.0
INITIAL_RATINGS = 10
SEARCH_INTERVAL_S = 60.0
SEARCH_AFTER_RATINGS = 8  # Ratings after which a search is due earlier.
RELATIVE_PRICES = np.geomspace(0.05, 500.0, 48)  # Times the mean maximum cost.
DEFAULT_OUTPUT_TOKENS = 128.0


@attrs.define
class WorkspaceState:
    """Learned state of a workspace.

    Attributes:
      cells: Cells of its traffic.
      plans: Decisions for the cells, as of the last search.
      price: Credits that one more good answer is worth.
      quality: Expected share of good answers at this price.
      quality_deviation: Standard deviation of the expected quality.
      variances: Contribution of each version to its variance.
      searched_at: Clock time in seconds of the last search.
      new_ratings: Ratings since the last search.
      ratings: Ratings since the start of the process.
      rated_at: Clock time in seconds of the last rating, or of the creation
        of this state.
    """

    cells: dict[f.CellKey, Cell] = attrs.Factory(dict)
    plans: dict[f.CellKey, CellPlan] = attrs.Factory(dict)
    price: float = 1.0
    quality: float = 0.0
    quality_deviation: float = 1.0
    variances: dict[str, float] = attrs.Factory(dict)
    searched_at: float = float("-inf")
    new_ratings: int = 0
    ratings: int = 0
    rated_at: float = 0.0


@attrs.frozen
class CellGroup:
    """Cells with the same steps.

    Attributes:
      cells: The cells.
      features: [cell, feature] features known before dispatch.
      weights: [cell] weights in the traffic, not normalized.
      estimates: Current estimates, one per step.
    """

    cells: list[Cell]
    features: np.ndarray
    weights: np.ndarray
    estimates: list[StepEstimate]


@attrs.frozen
class RatedAnswer:
    """An answer as the learner needs it to process a rating.

    Attributes:
      workspace: Workspace of the request.
      version: Version that answered.
      features: [feature] features, including those of the confidence.
      facts: Properties that the features were computed from, for peers.
    """

    workspace: str
    version: str
    features: np.ndarray
    facts: f.AnswerFacts


@attrs.define
class Learner:
    """State of the learned policy.

    Attributes:
      versions: Returns a configured version, or None if there is none.
      workspace: Returns a configured workspace, or None if there is none.
      clock: Clock.
      states: Learned state, by workspace.
      class_numbers: Numbers of the request classes.
      quality_model: Posteriors of the answer quality.
    """

    versions: Callable[[str], Version | None]
    workspace: Callable[[str], Workspace | None]
    clock: Clock
    states: dict[str, WorkspaceState] = attrs.Factory(dict)
    class_numbers: f.ClassNumbers = attrs.Factory(f.ClassNumbers)
    quality_model: QualityModel = attrs.field(
        default=attrs.Factory(
            lambda self: QualityModel(self.prior_quality), takes_self=True
        )
    )

    def prior_quality(self, version: str) -> float:
        """Returns the expected quality of a version before any rating."""
        known = self.versions(version)
        return Version("").quality if known is None else known.quality

    def cost(self, cell: Cell, version: str) -> float:
        """Returns the expected cost of an answer, in credits."""
        known = self.versions(version) or Version("")
        return (
            cell.prompt_tokens * known.input_price
            + cell.output_tokens * known.output_price
        ) / MILLION

    def state(self, workspace: str) -> WorkspaceState:
        """Returns the state of a workspace; creates it if missing."""
        if workspace not in self.states:
            now = self.clock.monotonic()
            self.states[workspace] = WorkspaceState(rated_at=now)
        return self.states[workspace]

    def cell(self, request: RouteRequest, steps: tuple[str, ...]) -> Cell:
        """Returns the cell of a request; creates it if missing."""
        now = self.clock.monotonic()
        cells = self.state(request.workspace).cells
        key = f.cell_key(request, steps)
        if key not in cells:
            evict_lightest(cells, now)
            number = self.class_numbers.number(
                request.workspace, key.class_name
            )
            cells[key] = Cell(
                key,
                f.static_features(key, number),
                0.0,
                now,
                float(request.prompt_tokens),
                min(DEFAULT_OUTPUT_TOKENS, float(request.max_tokens)),
            )
        return cells[key]

    def count(self, request: RouteRequest, cell: Cell) -> None:
        """Adds a request to its cell."""
        record_request(cell, request.prompt_tokens, self.clock.monotonic())

    def plan(self, workspace: str, cell: Cell) -> CellPlan:
        """Returns the plan of a cell.

        Searches for a new price first if the current one is outdated.
        """
        state = self.state(workspace)
        now = self.clock.monotonic()
        if needs_search(state, now):
            self.search(workspace, now)
        if cell.key not in state.plans:
            group = self.group(workspace, [cell], now)
            state.plans[cell.key] = plan_cells(
                group.estimates, state.price
            ).cell(0)
        return state.plans[cell.key]

    def groups(self, workspace: str, now: float) -> list[CellGroup]:
        """Returns the cells of a workspace, grouped by their steps."""
        by_steps: dict[tuple[str, ...], list[Cell]] = {}
        for cell in self.state(workspace).cells.values():
            by_steps.setdefault(cell.key.steps, []).append(cell)
        return [
            self.group(workspace, cells, now) for cells in by_steps.values()
        ]

    def group(self, workspace: str, cells: list[Cell], now: float) -> CellGroup:
        """Returns cells with the same steps, with current estimates."""
        features = np.stack([cell.features for cell in cells])
        estimates = [
            self.estimate_step(workspace, cells, features, version, now)
            for version in cells[0].key.steps
        ]
        weights = np.array([decay_weight(cell, now) for cell in cells])
        return CellGroup(cells, features, weights, estimates)

    def estimate_step(
        self,
        workspace: str,
        cells: list[Cell],
        features: np.ndarray,
        version: str,
        now: float,
    ) -> StepEstimate:
        """Returns the current estimates for one step.

        Args:
          workspace: Name of the workspace.
          cells: Cells with the same steps.
          features: [cell, feature] features known before dispatch.
          version: Version of the step.
          now: Clock time in seconds.
        """
        mean, covariance = self.quality_model.weights(workspace, version, now)
        variance = np.einsum("nf,fg,ng->n", features, covariance, features)
        return StepEstimate(
            features @ mean,
            mean[f.CONFIDENCE : f.EARLIER_CONFIDENCE],
            mean[f.EARLIER_CONFIDENCE : f.ESCALATED],
            float(mean[f.ESCALATED]),
            1 / np.sqrt(1 + np.pi * variance / 8),
            np.stack(
                [confidence_distribution(cell, version) for cell in cells]
            ),
            np.array([self.cost(cell, version) for cell in cells]),
        )

    def search(self, workspace: str, now: float) -> None:
        """Searches for the lowest price of quality that meets the target.

        If no price does, the highest one is used.
        """
        state = self.state(workspace)
        configured = self.workspace(workspace)
        state.searched_at = now
        state.new_ratings = 0
        state.plans = {}
        if configured is None or not state.cells:
            return
        groups = self.groups(workspace, now)
        cost_unit = mean_max_cost(groups)
        target = configured.quality_target
        margin = safety_margin(state, now)
        low, high = 0, len(RELATIVE_PRICES) - 1
        while low < high:
            middle = (low + high) // 2
            self.plan_at_price(
                workspace, groups, float(RELATIVE_PRICES[middle]) * cost_unit
            )
            if state.quality - margin * state.quality_deviation >= target:
                high = middle
            else:
                low = middle + 1
        plans = self.plan_at_price(
            workspace, groups, float(RELATIVE_PRICES[low]) * cost_unit
        )
        for group, planned in zip(groups, plans, strict=True):
            for index, cell in enumerate(group.cells):
                state.plans[cell.key] = planned.cell(index)

    def plan_at_price(
        self, workspace: str, groups: list[CellGroup], price: float
    ) -> list[CellPlans]:
        """Plans every cell at a price.

        Stores the price, the expected quality and its uncertainty in the
        state of the workspace.
        """
        state = self.state(workspace)
        total = total_weight(groups)
        plans = [plan_cells(group.estimates, price) for group in groups]
        quality = 0.0
        gradients: dict[str, np.ndarray] = {}
        for group, planned in zip(groups, plans, strict=True):
            outcomes = planned.best() * (group.weights / total)[:, None]
            quality += float(outcomes[:, QUALITY].sum())
            for step, version in enumerate(group.cells[0].key.steps):
                vector = step_gradients(group.features, outcomes, step)
                gradients[version] = gradients.get(version, 0.0) + vector
        now = self.clock.monotonic()
        state.price = price
        state.quality = quality
        state.variances = {
            version: self.variance(workspace, version, vector, now)
            for version, vector in gradients.items()
        }
        state.quality_deviation = float(np.sqrt(sum(state.variances.values())))
        return plans

    def variance(
        self, workspace: str, version: str, vector: np.ndarray, now: float
    ) -> float:
        """Returns the variance of a linear function of the weights."""
        _, covariance = self.quality_model.weights(workspace, version, now)
        return max(0.0, float(vector @ covariance @ vector))

    def record_answer(
        self,
        cell: Cell,
        version: str,
        bin_index: int | None,
        output_tokens: int | None,
    ) -> None:
        """Records what a finished answer shows without being rated."""
        record_answer(cell, version, bin_index, output_tokens)

    def rated_answer(
        self, workspace: str, version: str, facts: f.AnswerFacts
    ) -> RatedAnswer:
        """Returns an answer in the form that `learn` needs."""
        number = self.class_numbers.number(workspace, facts.class_name)
        features = f.answer_features(facts, number)
        return RatedAnswer(workspace, version, features, facts)

    def learn(self, rated: RatedAnswer, good: bool) -> None:
        """Updates the model by a rating."""
        state = self.state(rated.workspace)
        state.new_ratings += 1
        state.ratings += 1
        state.rated_at = self.clock.monotonic()
        changed = self.quality_model.learn(
            rated.workspace,
            rated.version,
            rated.features,
            good,
            self.clock.monotonic(),
        )
        if changed:
            # The increased uncertainty must affect the very next decision.
            for state in self.states.values():
                state.searched_at = float("-inf")


def safety_margin(state: WorkspaceState, now: float) -> float:
    """Returns the margin to the target, in standard deviations."""
    hours = (now - state.rated_at) / HOUR_S
    first = INITIAL_MARGIN / (1 + state.ratings / INITIAL_RATINGS)
    return MARGIN_DEVIATIONS + first + MARGIN_PER_HOUR * hours


def needs_search(state: WorkspaceState, now: float) -> bool:
    """Returns whether the price of quality of a workspace is outdated."""
    if state.new_ratings >= SEARCH_AFTER_RATINGS:
        return True
    return now - state.searched_at >= SEARCH_INTERVAL_S


def total_weight(groups: list[CellGroup]) -> float:
    """Returns the total weight of all cells; always above 0."""
    return max(1e-9, sum(float(group.weights.sum()) for group in groups))


def mean_max_cost(groups: list[CellGroup]) -> float:
    """Returns the mean cost of the most expensive step, in credits."""
    total = total_weight(groups)
    cost = sum(
        float(
            np.max([estimate.cost for estimate in group.estimates], axis=0)
            @ group.weights
        )
        for group in groups
    )
    return cost / total
