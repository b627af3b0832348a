"""Interface of cascade policies, and two simple policies.

A policy is a pair of functions. `begin` selects the step that a request
starts at. `evaluate` accepts the finished answer of a step or escalates to a
later one. They change nothing but the policy's own state: they don't wait and
do no I/O, and only the learned policy reads its clock. The dispatcher calls
them, and still checks right before each dispatch that the version may serve.
"""

from __future__ import annotations

import enum
from collections.abc import Callable, Sequence
from typing import Any

import attrs

from rattanpier._internal.dispatch.engine import Chunk, Usage
from rattanpier._internal.models.request import RouteRequest

MayServe = Callable[[str], bool]
COMPLETE_FINISH = "stop"  # The engine ended the answer by itself.


@attrs.frozen
class StepAnswer:
    """A finished answer of one step.

    Attributes:
      text: The complete generated text.
      finish: Finish reason reported by the engine, or None.
      usage: Tokens counted by the engine, or None.
      confidence: Confidence reported by the engine, 0 to 1, or None.
    """

    text: str
    finish: str | None
    usage: Usage | None = None
    confidence: float | None = None


@attrs.define
class CascadeProgress:
    """Progress of a request through the steps of a cascade.

    Attributes:
      request: The request.
      steps: Planned versions, from cheap to strong.
      step: Index of the step to run now.
      request_id: Identifies the request at the rating service.
      policy_state: Private state of the policy.
    """

    request: RouteRequest
    steps: tuple[str, ...]
    step: int
    request_id: str = ""
    policy_state: Any = None

    @property
    def version(self) -> str:
        """Version of the step to run now."""
        return self.steps[self.step]

    @property
    def is_last(self) -> bool:
        """Whether this is the last step, whose answer may be streamed."""
        return self.step == len(self.steps) - 1


class Verdict(enum.Enum):
    """Decision on a finished answer."""

    ACCEPT = "accept"
    ESCALATE = "go_on"  # `progress.step` is the next step.


Begin = Callable[[RouteRequest, Sequence[str], str], CascadeProgress]
Evaluate = Callable[[CascadeProgress, StepAnswer, MayServe], Verdict]


@attrs.frozen
class CascadePolicy:
    """Decides where a request starts and when it escalates.

    Attributes:
      begin: Called with the request, the steps and the request id; returns
        the progress.
      evaluate: Called with the progress, the answer of `progress.step`, and
        a function that returns whether a version may serve; advances
        `progress.step` if it escalates. Also called for the answer of the
        last step, so that it may be rated.
    """

    begin: Begin
    evaluate: Evaluate


def assemble_answer(chunks: Sequence[Chunk]) -> StepAnswer:
    """Returns the answer that consists of the given chunks; at least one."""
    last = chunks[-1]
    text = "".join(chunk.text for chunk in chunks)
    return StepAnswer(text, last.finish, last.usage, last.confidence)


def next_step(progress: CascadeProgress, may_serve: MayServe) -> int | None:
    """Returns the next step whose version may serve, or None."""
    for index in range(progress.step + 1, len(progress.steps)):
        if may_serve(progress.steps[index]):
            return index
    return None


def escalate(progress: CascadeProgress, may_serve: MayServe) -> Verdict:
    """Advances to the next step that may serve.

    If there is none, the answer is accepted.
    """
    index = next_step(progress, may_serve)
    if index is None:
        return Verdict.ACCEPT
    progress.step = index
    return Verdict.ESCALATE


def fixed_threshold(threshold: float) -> CascadePolicy:
    """Returns a policy that starts at the first step and uses a threshold.

    A missing confidence counts as 0.

    Args:
      threshold: Lowest confidence, 0 to 1, that is accepted.
    """

    def begin(
        request: RouteRequest, steps: Sequence[str], request_id: str
    ) -> CascadeProgress:
        return CascadeProgress(request, tuple(steps), 0, request_id)

    def evaluate(
        progress: CascadeProgress, answer: StepAnswer, may_serve: MayServe
    ) -> Verdict:
        if (answer.confidence or 0.0) >= threshold:
            return Verdict.ACCEPT
        return escalate(progress, may_serve)

    return CascadePolicy(begin, evaluate)


def always_strong() -> CascadePolicy:
    """Returns a policy that starts every request at the last step."""

    def begin(
        request: RouteRequest, steps: Sequence[str], request_id: str
    ) -> CascadeProgress:
        return CascadeProgress(
            request, tuple(steps), len(steps) - 1, request_id
        )

    def evaluate(
        _progress: CascadeProgress, _answer: StepAnswer, _may: MayServe
    ) -> Verdict:
        return Verdict.ACCEPT

    return CascadePolicy(begin, evaluate)
