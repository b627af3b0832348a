"""Detection of a degraded version by the quality of its ratings.

The detector must neither raise more false alarms than its threshold allows
nor miss a version that became worse.
"""

import math
import random

import pytest

from rattanpier._internal.cascade.quality_model import (
    CHANGE_THRESHOLD,
    ChangeDetector,
    detect_change,
)

EXPECTED = (0.6, 0.8, 0.9, 0.95, 0.98)
WRONG_RATINGS = 0.02  # Share; as RATING_NOISE of benchmarks.workloads.


def alarms(count, share_of_good, seed):
    """Returns the number of alarms for ratings with the given quality."""
    rng = random.Random(seed)
    detector = ChangeDetector()
    for _ in range(count):
        expected = rng.choice(EXPECTED)
        good = rng.random() < share_of_good(expected)
        good ^= rng.random() < WRONG_RATINGS
        detect_change(detector, expected, good)
    return detector.alarms


def test_false_alarms_stay_within_the_documented_rate():
    runs, count = 20, 3000
    found = sum(alarms(count, lambda share: share, n) for n in range(runs))
    assert found <= runs * count / math.exp(CHANGE_THRESHOLD)


@pytest.mark.parametrize("seed", range(5))
def test_detects_a_degraded_version_within_120_ratings(seed):
    def fallen(expected):
        odds = expected / (1 - expected) / 4.5  # Worse by 1.5 log-odds.
        return odds / (1 + odds)

    assert alarms(120, fallen, seed) >= 1
