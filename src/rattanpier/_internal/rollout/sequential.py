"""Anytime-valid sequential tests that also detect a change during the run.

Each test sums likelihood ratios over all batches at which a change may have
begun. With weights w that add up to W, the probability that a version which is
no worse ever reaches 1/alpha is at most alpha * W (Ville's inequality).
Therefore the test may be evaluated after every answer.
"""

from __future__ import annotations

import math
from collections.abc import Sequence

import attrs

from rattanpier._internal.models.trials import Trials

# Alternative hypotheses: how many times as often the candidate is bad.
ALTERNATIVE_RATIOS = (1.25, 1.5, 2.0, 3.0, 5.0, 10.0, 30.0)
# Minimum weight of a change that begins with the current batch; bounds the
# detection delay.
MIN_RESTART_WEIGHT = 1e-4
MAX_EXPONENT = 230.0  # About 1e100; its product with MAX_EVIDENCE is finite.
MAX_EVIDENCE = 1e200  # Avoids overflow; far above any threshold.
MAX_ALTERNATIVE_RATE = 0.95


@attrs.define
class ChangePointTest:
    """Test for a version being worse from the start or becoming worse.

    Attributes:
      ratio_sums: Weighted sum of likelihood ratios for each of
        `ALTERNATIVE_RATIOS`.
      batches: Number of batches applied.
    """

    ratio_sums: list[float] = attrs.Factory(
        lambda: [0.0] * len(ALTERNATIVE_RATIOS)
    )
    batches: int = 0

    @property
    def value(self) -> float:
        """Evidence, averaged over the alternatives; compared with 1/alpha."""
        return sum(self.ratio_sums) / len(self.ratio_sums)

    def update(self, factors: Sequence[float]) -> None:
        """Applies the likelihood ratios of one batch.

        Args:
          factors: One for each of `ALTERNATIVE_RATIOS`.
        """
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

    The test conditions on the number of bad answers: each of them is a trial
    whether it came from the candidate. The overall rate of bad answers cancels
    out, so that an incident which affects both versions is no evidence against
    either of them.

    Args:
      stable: Trials of the stable version.
      candidate: Trials of the candidate in the same batch.
      tolerance: Ratio of bad answers that still counts as no worse.
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
    """Returns likelihood ratios of a batch compared to a known rate.

    Args:
      trials: Trials of the version in service.
      rate: Highest rate of bad answers that still counts as no worse.
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
    """Returns the exponential, bounded so that sums of it stay finite.

    >>> bounded_exp(0.0), bounded_exp(1e6) > 1e90, bounded_exp(-1e6) > 0
    (1.0, True, True)
    """
    return math.exp(min(max(exponent, -MAX_EXPONENT), MAX_EXPONENT))
