"""The policy that learns from ratings."""

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

PROBE_SHARE = 0.6  # Of ratings, where the plan starts at a later step.
FOLLOW_UP_SHARE = (
    0.5  # Of rated answers gone on from, to have the next rated too.
)
TYPICAL_PROBABILITY = (
    0.3  # To sample a request of usual doubt, budget permitting.
)
MIN_PROBABILITY = 0.05
UNCERTAINTY_SMOOTHING = 0.02  # Weight of one request in the mean doubt.


@attrs.frozen
class Sample:
    """An answer to be rated.

    Attributes:
      request_id: The request it belongs to.
      text: The answer.
      rated: What the learner needs when the rating comes.
    """

    request_id: str
    request: RouteRequest
    text: str
    rated: RatedAnswer


@attrs.define
class RequestState:
    """What the learned policy remembers of a request.

    Attributes:
      sampled: True if the next answer is to be rated.
      earlier: Bin of the confidence of the rejected answer before.
      escalated: True if an answer was rejected.
    """

    cell: Cell
    plan: CellPlan
    sampled: bool = False
    earlier: int | None = None
    escalated: bool = False


@attrs.define
class Sampler:
    """Decides which answers are worth a rating.

    Attributes:
      share: Returns the ratings an hour of a workspace, of this entry.
      purses: By workspace.
      usual: Mean doubt about a request, by workspace.
    """

    learner: Learner
    rng: random.Random
    hourly_share: Callable[[str], int]
    budgets: dict[str, RatingBudget] = attrs.Factory(dict)
    mean_uncertainty: dict[str, float] = attrs.Factory(dict)

    def budget(self, workspace: str) -> RatingBudget:
        """Returns the purse of a workspace."""
        if workspace not in self.budgets:
            self.budgets[workspace] = RatingBudget(
                self.learner.clock.monotonic()
            )
        return self.budgets[workspace]

    def should_sample(self, workspace: str, cell: Cell) -> bool:
        """Says whether a request of a cell is worth a rating now."""
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
        """Returns the largest doubt about a step's quality in a cell."""
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
        """Takes one rating out of the budget."""
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
      learner: Its state.
      sampler: Picks answers to be rated.
      send: Takes an answer to be rated; must not block.
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
        # What runs below the planned start is run just to be rated.
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
    """Says whether a plan accepts an answer.

    Without a confidence the answer is taken as one of middling confidence.
    """
    middle = f.CONFIDENCE_BINS // 2
    return bool(plan.accepts[step][middle if bin_index is None else bin_index])


def answer_facts(state: RequestState, bin_index: int | None) -> f.AnswerFacts:
    """Returns what is known of a finished answer."""
    key = state.cell.key
    return f.AnswerFacts(
        key.class_name,
        key.length,
        key.stream,
        bin_index,
        state.earlier,
        state.escalated,
    )
