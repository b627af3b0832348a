"""The mix of requests of a workspace, as weighted cells."""

from __future__ import annotations

import math

import attrs
import numpy as np

from rattanpier._internal.cascade.features import CONFIDENCE_BINS, CellKey

MIX_DECAY_S = 900.0  # Time constant after which old traffic counts a third.
MAX_CELLS = 64
TOKENS_SMOOTHING = 0.05  # Weight of one answer in the mean of generated tokens.
MAX_HISTOGRAM_WEIGHT = (
    200.0  # Answers that a histogram of confidence remembers.
)

# Before any answer: confidences are mostly high.
PRIOR_HISTOGRAM = np.linspace(0.2, 1.0, CONFIDENCE_BINS) / 2


@attrs.define
class Cell:
    """Requests that are decided alike.

    Attributes:
      key: What they have in common.
      features: Their features before dispatch.
      weight: Number of them, the old ones counted less.
      touched_at: Seconds of the clock up to which `weight` is aged.
      prompt_tokens: Mean of the prompt's tokens.
      output_tokens: Mean of generated tokens.
      histograms: Confidence of finished answers, by version.
    """

    key: CellKey
    features: np.ndarray
    weight: float
    decayed_at: float
    prompt_tokens: float
    output_tokens: float
    histograms: dict[str, np.ndarray] = attrs.Factory(dict)


def decay_weight(cell: Cell, now: float) -> float:
    """Ages a cell's weight and returns it."""
    cell.weight *= math.exp(-(now - cell.decayed_at) / MIX_DECAY_S)
    cell.decayed_at = now
    return cell.weight


def record_request(cell: Cell, prompt_tokens: int, now: float) -> None:
    """Counts one more request."""
    cell.weight = decay_weight(cell, now) + 1
    cell.prompt_tokens += TOKENS_SMOOTHING * (
        prompt_tokens - cell.prompt_tokens
    )


def record_answer(
    cell: Cell, version: str, bin_index: int | None, output_tokens: int | None
) -> None:
    """Takes in what a finished answer tells without a rating."""
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
    """Returns the distribution of a version's confidence."""
    histogram = cell.histograms.get(version, PRIOR_HISTOGRAM)
    return histogram / histogram.sum()


def evict_lightest(cells: dict[CellKey, Cell], now: float) -> None:
    """Makes room for one more cell."""
    if len(cells) >= MAX_CELLS:
        del cells[min(cells, key=lambda key: decay_weight(cells[key], now))]
