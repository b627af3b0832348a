"""Feature extraction for the learned cascade policy.

Requests are grouped into cells by their planned steps, their class (the
requested model and the labels), the base-2 logarithm of the prompt length,
and whether they stream. All requests of a cell share one decision, so the
cost of deciding does not grow with traffic.
"""

from __future__ import annotations

import math

import attrs
import numpy as np

from rattanpier._internal.models.request import RouteRequest

MAX_CLASSES = 24  # Class 0 collects all that do not get their own number.
MAX_CLASSES_PER_WORKSPACE = 8  # Unusual labels of one must not use up all.
CONFIDENCE_BINS = 11  # Confidences are rounded to multiples of 0.1.
TYPICAL_LOG2_TOKENS = 8.0  # log2 of the tokens of a typical prompt.

BIAS, LENGTH, STREAM, FIRST_CLASS = 0, 1, 2, 3
CONFIDENCE = FIRST_CLASS + MAX_CLASSES  # Two features: linear and logit.
EARLIER_CONFIDENCE = CONFIDENCE + 2  # Of the answer rejected before.
ESCALATED = EARLIER_CONFIDENCE + 2
FEATURE_COUNT = ESCALATED + 1


@attrs.frozen
class CellKey:
    """Identifies a cell.

    Attributes:
      steps: Versions of the planned steps, from cheap to strong.
      class_name: Name of the request class.
      length: Rounded base-2 logarithm of the prompt tokens.
      stream: Whether the requests stream.
    """

    steps: tuple[str, ...]
    class_name: str
    length: int
    stream: bool


def class_name_of(request: RouteRequest) -> str:
    """Returns the class name of a request: the model and the sorted labels.

    >>> request = RouteRequest("w", "k", model="auto", labels={"task": "draft"})
    >>> class_name_of(request)
    'auto task=draft'
    """
    labels = [f"{name}={request.labels[name]}" for name in request.labels]
    return " ".join([request.model, *sorted(labels)])


def cell_key(request: RouteRequest, steps: tuple[str, ...]) -> CellKey:
    """Returns the key of the cell that a request belongs to."""
    length = round(math.log2(request.prompt_tokens + 1))
    return CellKey(steps, class_name_of(request), length, request.stream)


def confidence_bin(confidence: float | None) -> int | None:
    """Returns the bin of a confidence, clipped to 0..1; None if it has none.

    >>> confidence_bin(0.84), confidence_bin(1.7), confidence_bin(None)
    (8, 10, None)
    """
    if confidence is None or math.isnan(confidence):
        return None
    return round(min(1.0, max(0.0, confidence)) * (CONFIDENCE_BINS - 1))


def confidence_features(confidence: np.ndarray) -> np.ndarray:
    """Returns the linear and the logit feature of each confidence.

    Args:
      confidence: [...] confidences from 0 to 1.

    Returns:
      [..., 2] features.
    """
    clipped = np.clip(confidence, 0.02, 0.98)
    logit = np.log(clipped / (1 - clipped))
    return np.stack([(confidence - 0.5) * 2, logit / 4], axis=-1)


BIN_FEATURES = confidence_features(np.linspace(0.0, 1.0, CONFIDENCE_BINS))
NO_CONFIDENCE = np.zeros(2)


def bin_features(index: int | None) -> np.ndarray:
    """Returns the two features of a confidence bin.

    Without a confidence both are 0, as for a confidence of 0.5.
    """
    return NO_CONFIDENCE if index is None else BIN_FEATURES[index]


@attrs.frozen
class AnswerFacts:
    """Properties of an answer in a form that all entries understand.

    Attributes:
      class_name: Name of the request class; entries number classes
        differently, so the number is not exchanged.
      length: Rounded base-2 logarithm of the prompt tokens.
      stream: Whether the request streams.
      confidence: Bin of the answer's confidence, or None.
      earlier: Bin of the confidence of the previously rejected answer, or
        None.
      escalated: Whether an answer was rejected before.
    """

    class_name: str
    length: int
    stream: bool
    confidence: int | None = None
    earlier: int | None = None
    escalated: bool = False


@attrs.define
class ClassNumbers:
    """Assigns numbers to request classes in the order of their appearance.

    Attributes:
      numbers: Numbers from 1, by class name.
      seen: Class names counted against the limit of each workspace.
    """

    numbers: dict[str, int] = attrs.Factory(dict)
    seen: dict[str, set[str]] = attrs.Factory(dict)

    def number(self, workspace: str, name: str) -> int:
        """Returns the number of a class, or 0 if there are too many classes."""
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
    """Returns the features known before dispatch; all others are 0."""
    features = np.zeros(FEATURE_COUNT)
    features[BIAS] = 1.0
    features[LENGTH] = (key.length - TYPICAL_LOG2_TOKENS) / 3
    features[STREAM] = float(key.stream)
    features[FIRST_CLASS + class_number] = 1.0
    return features


def answer_features(facts: AnswerFacts, class_number: int) -> np.ndarray:
    """Returns all features of a finished answer.

    Args:
      facts: Properties of the answer.
      class_number: Number that this entry gave to the class.
    """
    features = static_features(facts, class_number)
    features[CONFIDENCE:EARLIER_CONFIDENCE] = bin_features(facts.confidence)
    if facts.escalated:
        features[EARLIER_CONFIDENCE:ESCALATED] = bin_features(facts.earlier)
        features[ESCALATED] = 1.0
    return features
