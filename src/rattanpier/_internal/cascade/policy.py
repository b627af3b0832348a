"""What a cascade's policy is asked, and the two simplest policies.

A policy is a pair of functions. `begin` says at which step a request starts.
`judge` looks at the finished answer of a step and accepts it, or names the
step to go on to. Both are pure apart from the policy's own state: no clock,
no sleep and no input or output. Whoever dispatches calls them, and still
checks right before each dispatch that the version may serve.
"""

from __future__ import annotations

import enum
from collections.abc import Callable, Sequence
from typing import Any

import attrs

from rattanpier._internal.dispatch.engine import Chunk, Usage
from rattanpier._internal.models.request import RouteRequest

MayServe = Callable[[str], bool]
COMPLETE_FINISH = "stop"  # The engine ended the answer of its own accord.


@attrs.frozen
class StepAnswer:
    """A finished answer of one step.

    Attributes:
      text: The whole generated text.
      finish: Why the answer ended, as the engine said.
      usage: Tokens counted by the engine, or None.
      confidence: The engine's own measure, 0 to 1, or None.
    """

    text: str
    finish: str | None
    usage: Usage | None = None
    confidence: float | None = None


@attrs.define
class CascadeProgress:
    """One request on its way through the steps of a cascade.

    Attributes:
      request: The request.
      steps: Versions from cheap to strong, as planned.
      at: Index of the step to run now.
      request_id: Names the request towards the rating service.
      memo: What the policy wants to remember; nobody else's business.
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
        """True if no step is left, so that the answer may be streamed."""
        return self.step == len(self.steps) - 1


class Verdict(enum.Enum):
    """What becomes of a finished answer."""

    ACCEPT = "accept"
    ESCALATE = "go_on"  # `walk.at` names the next step.


Begin = Callable[[RouteRequest, Sequence[str], str], CascadeProgress]
Evaluate = Callable[[CascadeProgress, StepAnswer, MayServe], Verdict]


@attrs.frozen
class CascadePolicy:
    """Decides where a request starts and when it goes on.

    Attributes:
      begin: Called with request, steps and request id; returns the walk.
      judge: Called with the walk, the answer of the step `walk.at`, and
        whether a version may serve; moves `walk.at` if it goes on. Also
        called for the answer of a last step, so that it may be rated.
    """

    begin: Begin
    evaluate: Evaluate


def assemble_answer(chunks: Sequence[Chunk]) -> StepAnswer:
    """Returns the finished answer that chunks make up."""
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
    """Moves a walk to the next step that may serve, if there is one."""
    index = next_step(progress, may_serve)
    if index is None:
        return Verdict.ACCEPT
    progress.step = index
    return Verdict.ESCALATE


def fixed_threshold(threshold: float) -> CascadePolicy:
    """Returns the policy that starts cheap and trusts high confidence.

    An answer without a confidence is taken as one with none.

    Args:
      threshold: Least confidence, 0 to 1, that is accepted.
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
    """Returns the policy that starts every request at the last step."""

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
