"""The traffic of a workspace, summarized as weighted cells.

The planner evaluates cells instead of single requests. A cell keeps an
exponentially decayed request count, mean token counts and the observed
distribution of confidences.
"""

from __future__ import annotations

import math

import attrs
import numpy as np

from rattanpier._internal.cascade.features import CONFIDENCE_BINS, CellKey

MIX_DECAY_S = 900.0  # Time constant: a request then counts about a third.
MAX_CELLS = 64
TOKENS_SMOOTHING = 0.05  # Weight of one sample in the mean token counts.
MAX_HISTOGRAM_WEIGHT = 200.0  # Answers that a confidence histogram holds.

# Assumed before any answer: confidences are mostly high.
PRIOR_HISTOGRAM = np.linspace(0.2, 1.0, CONFIDENCE_BINS) / 2


@attrs.define
class Cell:
    """A group of requests that share one routing decision.

    Attributes:
      key: Properties that the requests have in common.
      features: [feature] features known before dispatch.
      weight: Exponentially decayed number of requests.
      decayed_at: Clock time in seconds up to which `weight` is decayed.
      prompt_tokens: Mean number of prompt tokens.
      output_tokens: Mean number of generated tokens.
      histograms: [bin] confidences of finished answers, by version.
    """

    key: CellKey
    features: np.ndarray
    weight: float
    decayed_at: float
    prompt_tokens: float
    output_tokens: float
    histograms: dict[str, np.ndarray] = attrs.Factory(dict)


def decay_weight(cell: Cell, now: float) -> float:
    """Decays the weight of a cell up to now and returns it."""
    cell.weight *= math.exp(-(now - cell.decayed_at) / MIX_DECAY_S)
    cell.decayed_at = now
    return cell.weight


def record_request(cell: Cell, prompt_tokens: int, now: float) -> None:
    """Adds a request to the weight and the mean prompt length of a cell."""
    cell.weight = decay_weight(cell, now) + 1
    cell.prompt_tokens += TOKENS_SMOOTHING * (
        prompt_tokens - cell.prompt_tokens
    )


def record_answer(
    cell: Cell, version: str, bin_index: int | None, output_tokens: int | None
) -> None:
    """Records what a finished answer shows without being rated.

    Args:
      cell: Cell of the request.
      version: Version that answered.
      bin_index: Bin of the answer's confidence, or None if it has none.
      output_tokens: Number of generated tokens, or None if unknown.
    """
    if output_tokens is not None:
        cell.output_tokens += TOKENS_SMOOTHING * (
            output_tokens - cell.output_tokens
        )
    if bin_index is None:
        return
    histogram = cell.histograms.setdefault(version, PRIOR_HISTOGRAM.copy())
    histogram[bin_index] += 1
    total = histogram.sum()
    if total > MAX_HISTOGRAM_WEIGHT:
        histogram *= MAX_HISTOGRAM_WEIGHT / total


def confidence_distribution(cell: Cell, version: str) -> np.ndarray:
    """Returns the distribution of a version's confidence over the bins."""
    histogram = cell.histograms.get(version, PRIOR_HISTOGRAM)
    return histogram / histogram.sum()


def evict_lightest(cells: dict[CellKey, Cell], now: float) -> None:
    """Removes the cell with the least weight if there is no room for more."""
    if len(cells) >= MAX_CELLS:
        del cells[min(cells, key=lambda key: decay_weight(cells[key], now))]
