"""What the cascade's learner knows of a request, as numbers.

A request falls into a cell: the steps planned for it, its class (the model
asked for and its labels), the power of two of its prompt length, and whether
it streams. All requests of a cell are decided alike, so that the cost of a
decision does not grow with traffic.
"""

from __future__ import annotations

import math

import attrs
import numpy as np

from rattanpier._internal.models.request import RouteRequest

MAX_CLASSES = 24  # Classes told apart; the first takes all others.
MAX_CLASSES_PER_WORKSPACE = (
    8  # So that odd labels of one can't use them all up.
)
CONFIDENCE_BINS = 11  # Confidence is rounded to tenths.
TYPICAL_LOG2_TOKENS = 8.0  # log2 of a usual prompt's tokens.

BIAS, LENGTH, STREAM, FIRST_CLASS = 0, 1, 2, 3
CONFIDENCE = FIRST_CLASS + MAX_CLASSES  # Linear and logit.
EARLIER_CONFIDENCE = CONFIDENCE + 2  # The same of the rejected answer before.
ESCALATED = EARLIER_CONFIDENCE + 2
FEATURE_COUNT = ESCALATED + 1


@attrs.frozen
class CellKey:
    """What requests of a cell have in common."""

    steps: tuple[str, ...]
    class_name: str
    length: int
    stream: bool


def class_name_of(request: RouteRequest) -> str:
    """Returns the name of a request's class.

    >>> request = RouteRequest("w", "k", model="auto", labels={"task": "draft"})
    >>> class_name_of(request)
    'auto task=draft'
    """
    labels = [f"{name}={request.labels[name]}" for name in request.labels]
    return " ".join([request.model, *sorted(labels)])


def cell_key(request: RouteRequest, steps: tuple[str, ...]) -> CellKey:
    """Returns the key of a request's cell."""
    length = round(math.log2(request.prompt_tokens + 1))
    return CellKey(steps, class_name_of(request), length, request.stream)


def confidence_bin(confidence: float | None) -> int | None:
    """Returns the bin of a confidence.

    >>> confidence_bin(0.84), confidence_bin(1.7), confidence_bin(None)
    (8, 10, None)
    """
    if confidence is None or math.isnan(confidence):
        return None
    return round(min(1.0, max(0.0, confidence)) * (CONFIDENCE_BINS - 1))


def confidence_features(confidence: np.ndarray) -> np.ndarray:
    """Returns the two features of each confidence, in a last axis."""
    clipped = np.clip(confidence, 0.02, 0.98)
    logit = np.log(clipped / (1 - clipped))
    return np.stack([(confidence - 0.5) * 2, logit / 4], axis=-1)


BIN_FEATURES = confidence_features(np.linspace(0.0, 1.0, CONFIDENCE_BINS))
NO_CONFIDENCE = np.zeros(2)


def bin_features(index: int | None) -> np.ndarray:
    """Returns the two features of a bin; none known: the middle."""
    return NO_CONFIDENCE if index is None else BIN_FEATURES[index]


@attrs.frozen
class AnswerFacts:
    """What is known of an answer, in words that all entries share.

    Attributes:
      class_name: The class; its number is each entry's own.
      length: Power of two of the prompt's tokens.
      stream: Whether the request streams.
      confidence: Bin of the answer's confidence, or None.
      earlier: Bin of the confidence of the rejected answer before, or None.
      escalated: True if an answer was rejected before.
    """

    class_name: str
    length: int
    stream: bool
    confidence: int | None = None
    earlier: int | None = None
    escalated: bool = False


@attrs.define
class ClassNumbers:
    """Numbers of classes, in the order of their appearance."""

    numbers: dict[str, int] = attrs.Factory(dict)
    seen: dict[str, set[str]] = attrs.Factory(dict)

    def number(self, workspace: str, name: str) -> int:
        """Returns the number of a class; 0 once there are too many."""
        seen = self.seen.setdefault(workspace, set())
        if name not in seen:
            if len(seen) >= MAX_CLASSES_PER_WORKSPACE:
                return 0
            seen.add(name)
        if name not in self.numbers:
            if len(self.numbers) >= MAX_CLASSES - 1:
                return 0
            self.numbers[name] = len(self.numbers) + 1
        return self.numbers[name]


def static_features(
    key: CellKey | AnswerFacts, class_number: int
) -> np.ndarray:
    """Returns the features known before dispatch; the others are 0."""
    features = np.zeros(FEATURE_COUNT)
    features[BIAS] = 1.0
    features[LENGTH] = (key.length - TYPICAL_LOG2_TOKENS) / 3
    features[STREAM] = float(key.stream)
    features[FIRST_CLASS + class_number] = 1.0
    return features


def answer_features(facts: AnswerFacts, class_number: int) -> np.ndarray:
    """Returns all features of a finished answer."""
    features = static_features(facts, class_number)
    features[CONFIDENCE:EARLIER_CONFIDENCE] = bin_features(facts.confidence)
    if facts.escalated:
        features[EARLIER_CONFIDENCE:ESCALATED] = bin_features(facts.earlier)
        features[ESCALATED] = 1.0
    return features
