"""Cascade policy that learns from ratings.

The learner's plan selects the first step and the accepted confidences. A
sampler selects answers to be rated, preferring requests for which the
expected quality is uncertain.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence

import attrs
import numpy as np

from rattanpier._internal.cascade import features as f
from rattanpier._internal.cascade.budget import (
    RatingBudget,
    refill,
    try_acquire,
)
from rattanpier._internal.cascade.cells import Cell
from rattanpier._internal.cascade.learner import Learner, RatedAnswer
from rattanpier._internal.cascade.paths import CellPlan
from rattanpier._internal.cascade.policy import (
    CascadePolicy,
    CascadeProgress,
    MayServe,
    StepAnswer,
    Verdict,
    escalate,
)
from rattanpier._internal.models.request import RouteRequest

# Share of sampled requests that start one step below the planned one.
PROBE_SHARE = 0.6
# Share of rated answers whose successor is rated too if they are rejected.
FOLLOW_UP_SHARE = 0.5
# Probability of sampling a request of mean uncertainty, budget permitting.
TYPICAL_PROBABILITY = 0.3
MIN_PROBABILITY = 0.05
UNCERTAINTY_SMOOTHING = 0.02  # Weight of one request in the mean uncertainty.


@attrs.frozen
class Sample:
    """An answer to be rated.

    Attributes:
      request_id: Id of the request.
      request: The request.
      text: Text of the answer.
      rated: The answer in the form that the learner needs for the rating.
    """

    request_id: str
    request: RouteRequest
    text: str
    rated: RatedAnswer


@attrs.define
class RequestState:
    """State of the learned policy for a request.

    Attributes:
      cell: Cell of the request.
      plan: Plan of the cell when the request started.
      sampled: Whether the next answer is to be rated.
      earlier: Bin of the confidence of the previously rejected answer, or
        None.
      escalated: Whether an answer was rejected.
    """

    cell: Cell
    plan: CellPlan
    sampled: bool = False
    earlier: int | None = None
    escalated: bool = False


@attrs.define
class Sampler:
    """Selects the answers to be rated, within the rating budget.

    Attributes:
      learner: State of the learned policy.
      rng: Source of randomness.
      hourly_share: Returns the ratings per hour that this entry may request
        for a workspace.
      budgets: Token buckets, by workspace.
      mean_uncertainty: Smoothed mean uncertainty of requests, by workspace.
    """

    learner: Learner
    rng: random.Random
    hourly_share: Callable[[str], int]
    budgets: dict[str, RatingBudget] = attrs.Factory(dict)
    mean_uncertainty: dict[str, float] = attrs.Factory(dict)

    def budget(self, workspace: str) -> RatingBudget:
        """Returns the token bucket of a workspace; creates it if missing."""
        if workspace not in self.budgets:
            self.budgets[workspace] = RatingBudget(
                self.learner.clock.monotonic()
            )
        return self.budgets[workspace]

    def should_sample(self, workspace: str, cell: Cell) -> bool:
        """Returns whether to sample a request of a cell.

        The probability is proportional to the uncertainty of the cell, and at
        least MIN_PROBABILITY while the budget allows a rating.
        """
        now = self.learner.clock.monotonic()
        share = self.hourly_share(workspace)
        if refill(self.budget(workspace), share, now) < 1:
            return False
        uncertainty = self.uncertainty(workspace, cell, now)
        mean_uncertainty = self.mean_uncertainty.get(workspace, uncertainty)
        self.mean_uncertainty[workspace] = (
            mean_uncertainty
            + UNCERTAINTY_SMOOTHING * (uncertainty - mean_uncertainty)
        )
        probability = (
            TYPICAL_PROBABILITY * uncertainty / max(mean_uncertainty, 1e-9)
        )
        return self.rng.random() < max(MIN_PROBABILITY, probability)

    def uncertainty(self, workspace: str, cell: Cell, now: float) -> float:
        """Returns the highest uncertainty among all steps but the last."""
        return max(
            self.step_uncertainty(workspace, cell, version, now)
            for version in cell.key.steps[:-1]
        )

    def step_uncertainty(
        self, workspace: str, cell: Cell, version: str, now: float
    ) -> float:
        """Returns the variance of a step's expected quality in a cell."""
        mean, covariance = self.learner.quality_model.weights(
            workspace, version, now
        )
        probability = 1 / (1 + np.exp(-float(cell.features @ mean)))
        variance = float(cell.features @ covariance @ cell.features)
        return variance * (probability * (1 - probability)) ** 2

    def try_acquire(self, workspace: str) -> bool:
        """Takes a rating from the budget; returns whether one was available."""
        return try_acquire(
            self.budget(workspace),
            self.hourly_share(workspace),
            self.learner.clock.monotonic(),
        )


def learned_policy(
    learner: Learner, sampler: Sampler, send: Callable[[Sample], None]
) -> CascadePolicy:
    """Returns the policy that learns from ratings.

    Args:
      learner: State of the policy.
      sampler: Selects the answers to be rated.
      send: Called with each answer to be rated; must not block.
    """

    def begin(
        request: RouteRequest, steps: Sequence[str], request_id: str
    ) -> CascadeProgress:
        progress = CascadeProgress(request, tuple(steps), 0, request_id)
        cell = learner.cell(request, progress.steps)
        learner.count(request, cell)
        plan = learner.plan(request.workspace, cell)
        progress.policy_state = RequestState(cell, plan)
        progress.step = plan.start
        if len(steps) > 1 and sampler.should_sample(request.workspace, cell):
            progress.policy_state.sampled = True
            if progress.step and sampler.rng.random() < PROBE_SHARE:
                progress.step -= 1
        return progress

    def evaluate(
        progress: CascadeProgress, answer: StepAnswer, may_serve: MayServe
    ) -> Verdict:
        state: RequestState = progress.policy_state
        bin_index = f.confidence_bin(answer.confidence)
        tokens = answer.usage.output_tokens if answer.usage else None
        learner.record_answer(state.cell, progress.version, bin_index, tokens)
        sample(progress, state, answer, bin_index)
        # A step before the planned first one runs only to be rated.
        if progress.step >= state.plan.start and accepts(
            state.plan, progress.step, bin_index
        ):
            return Verdict.ACCEPT
        verdict = escalate(progress, may_serve)
        state.earlier = bin_index
        state.escalated = True
        return verdict

    def sample(
        progress: CascadeProgress,
        state: RequestState,
        answer: StepAnswer,
        bin_index: int | None,
    ) -> None:
        workspace = progress.request.workspace
        if not state.sampled or not sampler.try_acquire(workspace):
            return
        state.sampled = sampler.rng.random() < FOLLOW_UP_SHARE
        facts = answer_facts(state, bin_index)
        rated = learner.rated_answer(workspace, progress.version, facts)
        send(Sample(progress.request_id, progress.request, answer.text, rated))

    return CascadePolicy(begin, evaluate)


def accepts(plan: CellPlan, step: int, bin_index: int | None) -> bool:
    """Returns whether a plan accepts an answer.

    A missing confidence counts as 0.5.
    """
    middle = f.CONFIDENCE_BINS // 2
    return bool(plan.accepts[step][middle if bin_index is None else bin_index])


def answer_facts(state: RequestState, bin_index: int | None) -> f.AnswerFacts:
    """Returns the properties of a finished answer."""
    key = state.cell.key
    return f.AnswerFacts(
        key.class_name,
        key.length,
        key.stream,
        bin_index,
        state.earlier,
        state.escalated,
    )
