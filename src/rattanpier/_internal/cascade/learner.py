"""Keeps each workspace at its quality target for the least cost.

For each workspace one price of quality is sought: the lowest at which the
expected quality of its mix of requests, less a margin for doubt, meets the
target. All decisions follow from it until the next search.
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
MARGIN_DEVIATIONS = (
    0.5  # Standard deviations of doubt that the target is kept clear of.
)
MARGIN_PER_HOUR = 0.5  # Further ones for each hour without a rating.
INITIAL_MARGIN = 3.0  # Further ones while a workspace has few ratings.
INITIAL_RATINGS = 10
SEARCH_INTERVAL_S = 60.0
SEARCH_AFTER_RATINGS = 8  # A search comes earlier after so many ratings.
RELATIVE_PRICES = np.geomspace(0.05, 500.0, 48)  # In costs of the dearest step.
DEFAULT_OUTPUT_TOKENS = 128.0


@attrs.define
class WorkspaceState:
    """What is known of one workspace.

    Attributes:
      cells: Its mix of requests.
      plans: Decisions for the cells, as of the last search.
      price: Credits that one more good answer is worth.
      quality: Expected quality at this price.
      doubt: Standard deviation of it.
      doubts: Part of its variance that each version has.
      searched_at: Seconds of the clock of the last search.
      news: Ratings since then.
      ratings: Ratings since the start.
      rated_at: Seconds of the clock of the last rating, or of the start.
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
    """Cells of the same steps.

    Attributes:
      cells: The cells.
      features: [cell, feature] known before dispatch.
      weights: [cell] share of the mix, not normed.
      estimates: The steps as believed now.
    """

    cells: list[Cell]
    features: np.ndarray
    weights: np.ndarray
    estimates: list[StepEstimate]


@attrs.frozen
class RatedAnswer:
    """What the learner needs of an answer that was sent to be rated.

    Attributes:
      features: All features, of the answer's confidence too.
      facts: What the features were made of, for other entries.
    """

    workspace: str
    version: str
    features: np.ndarray
    facts: f.AnswerFacts


@attrs.define
class Learner:
    """The state of the learned policy.

    Attributes:
      versions: Returns a version as configured, or None if it is gone.
      workspace: Returns a workspace as configured.
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
        """Returns the quality expected of a version before any rating."""
        known = self.versions(version)
        return Version("").quality if known is None else known.quality

    def cost(self, cell: Cell, version: str) -> float:
        """Returns the expected credits of one answer."""
        known = self.versions(version) or Version("")
        return (
            cell.prompt_tokens * known.input_price
            + cell.output_tokens * known.output_price
        ) / MILLION

    def state(self, workspace: str) -> WorkspaceState:
        """Returns the state of a workspace."""
        if workspace not in self.states:
            now = self.clock.monotonic()
            self.states[workspace] = WorkspaceState(rated_at=now)
        return self.states[workspace]

    def cell(self, request: RouteRequest, steps: tuple[str, ...]) -> Cell:
        """Returns the cell of a request; makes it where it is new."""
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
        """Counts a request for the mix."""
        record_request(cell, request.prompt_tokens, self.clock.monotonic())

    def plan(self, workspace: str, cell: Cell) -> CellPlan:
        """Returns the decisions for a cell."""
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
        """Returns cells of the same steps as believed now."""
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
        """Returns one step of some cells as believed now."""
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
        """Seeks the lowest price of quality that meets the target."""
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
        """Plans every cell at a price; notes quality and doubt."""
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
        """Takes in what a finished answer tells without a rating."""
        record_answer(cell, version, bin_index, output_tokens)

    def rated_answer(
        self, workspace: str, version: str, facts: f.AnswerFacts
    ) -> RatedAnswer:
        """Returns what is learned from when an answer is rated."""
        number = self.class_numbers.number(workspace, facts.class_name)
        features = f.answer_features(facts, number)
        return RatedAnswer(workspace, version, features, facts)

    def learn(self, rated: RatedAnswer, good: bool) -> None:
        """Takes in a rating."""
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
            # The doubt has to show in the next decision already.
            for state in self.states.values():
                state.searched_at = float("-inf")


def safety_margin(state: WorkspaceState, now: float) -> float:
    """Returns the standard deviations to keep clear of the target."""
    hours = (now - state.rated_at) / HOUR_S
    first = INITIAL_MARGIN / (1 + state.ratings / INITIAL_RATINGS)
    return MARGIN_DEVIATIONS + first + MARGIN_PER_HOUR * hours


def needs_search(state: WorkspaceState, now: float) -> bool:
    """Says whether a workspace's price of quality is out of date."""
    if state.new_ratings >= SEARCH_AFTER_RATINGS:
        return True
    return now - state.searched_at >= SEARCH_INTERVAL_S


def total_weight(groups: list[CellGroup]) -> float:
    """Returns the weight of the mix; above 0 before any request, too."""
    return max(1e-9, sum(float(group.weights.sum()) for group in groups))


def mean_max_cost(groups: list[CellGroup]) -> float:
    """Returns the mean cost of a request's dearest step, in credits."""
    total = total_weight(groups)
    cost = sum(
        float(
            np.max([estimate.cost for estimate in group.estimates], axis=0)
            @ group.weights
        )
        for group in groups
    )
    return cost / total
