"""Sequential tests that hold at any time, also for a change on the way.

Each test is a sum of likelihood ratios over the places where a change may
have begun. With weights w that add up to W, the chance that a version which
is no worse ever reaches 1/alpha is at most alpha * W (Ville's inequality), so
it may be looked at after every answer.
"""

from __future__ import annotations

import math
from collections.abc import Sequence

import attrs

from rattanpier._internal.rollout.evidence import Trials

# How many times as often the candidate may be bad, as alternatives.
ALTERNATIVE_RATIOS = (1.25, 1.5, 2.0, 3.0, 5.0, 10.0, 30.0)
# Least weight of a change that begins now; bounds the delay of detection.
MIN_RESTART_WEIGHT = 1e-4
MAX_EXPONENT = 230.0  # About 1e100, so that the ceiling times it is finite.
MAX_EVIDENCE = 1e200  # Against overflow; far above any threshold.
MAX_ALTERNATIVE_RATE = 0.95


@attrs.define
class ChangePointTest:
    """Evidence that one version is or became worse.

    Attributes:
      sums: Evidence for each of `RATIOS`.
      steps: Batches taken in.
    """

    ratio_sums: list[float] = attrs.Factory(
        lambda: [0.0] * len(ALTERNATIVE_RATIOS)
    )
    batches: int = 0

    @property
    def value(self) -> float:
        """The evidence; compared with 1/alpha."""
        return sum(self.ratio_sums) / len(self.ratio_sums)

    def update(self, factors: Sequence[float]) -> None:
        """Takes in the likelihood ratios of one batch."""
        self.batches += 1
        weight = max(
            1 / (self.batches * (self.batches + 1)), MIN_RESTART_WEIGHT
        )
        self.ratio_sums = [
            min((total + weight) * factor, MAX_EVIDENCE)
            for total, factor in zip(self.ratio_sums, factors, strict=True)
        ]


def paired_factors(
    stable: Trials, candidate: Trials, tolerance: float
) -> list[float]:
    """Returns likelihood ratios of a batch in which both versions ran.

    Each bad answer is a draw of "was it the candidate's?"; how often answers
    are bad at all drops out, so that an incident which hits both versions is
    no evidence against one of them.

    Args:
      stable: Trials of the version in service.
      candidate: Trials of the candidate in the same batch.
      tolerance: Ratio of bad answers that is still no worse.
    """
    bad = stable.bad + candidate.bad
    weight = candidate.total * tolerance
    candidate_share = weight / (weight + stable.total)
    return [
        bounded_exp(
            candidate.bad * math.log(ratio)
            - bad * math.log1p((ratio - 1) * candidate_share)
        )
        for ratio in ALTERNATIVE_RATIOS
    ]


def baseline_factors(trials: Trials, rate: float) -> list[float]:
    """Returns likelihood ratios of a batch against a known rate.

    Args:
      trials: Trials of the version in service.
      rate: Highest share of bad answers that is still no worse.
    """
    good = trials.total - trials.bad
    factors = []
    for ratio in ALTERNATIVE_RATIOS:
        alternative = min(rate * ratio, max(rate, MAX_ALTERNATIVE_RATE))
        log_ratio = trials.bad * math.log(alternative / rate)
        log_ratio += good * math.log((1 - alternative) / (1 - rate))
        factors.append(bounded_exp(log_ratio))
    return factors


def bounded_exp(exponent: float) -> float:
    """Returns e to a power, within what sums of it can hold.

    >>> bounded_exp(0.0), bounded_exp(1e6) > 1e90, bounded_exp(-1e6) > 0
    (1.0, True, True)
    """
    return math.exp(min(max(exponent, -MAX_EXPONENT), MAX_EXPONENT))
