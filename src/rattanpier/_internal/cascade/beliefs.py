"""Beliefs about versions: logistic regression with Gaussian weights.

The log-odds that an answer is rated good are a linear function of the
features. Its weights are the sum of two parts: one shared by all workspaces
and one for the workspace's own deviation. Each rating moves both. Without
ratings both drift back to the prior, so that old evidence counts less and
less, and doubt grows.
"""

from __future__ import annotations

import math
from collections.abc import Callable

import attrs
import numpy as np

from rattanpier._internal.cascade import features as f

# Drift: seconds after which evidence counts for a third.
SHARED_MEMORY_S = 24 * 3600.0
OWN_MEMORY_S = 24 * 3600.0
AGE_STEP_S = 30.0  # Beliefs are aged in steps, not on each look.

# How much likelier ratings have to be if a version turned worse; see Change.
# Where beliefs are right, a false alarm takes exp(limit) ratings on average, or
# more.
CHANGE_ODDS = 1.0  # Log-odds that a version that turned worse has lost.
CHANGE_LIMIT = 9.0
LEAST_RISK = 0.05  # No rating is as sure as beliefs may be: some are wrong.

CONFIDENCE_PRIOR = 0.8
ESCALATED_PRIOR = -0.4


def logit(share: float) -> float:
    """Returns the log-odds of a share."""
    inner = min(0.995, max(0.005, share))
    return math.log(inner / (1 - inner))


def sigmoid(value: np.ndarray | float) -> np.ndarray | float:
    """Returns the share of log-odds."""
    return 1 / (1 + np.exp(-value))


def prior_mean(quality: float) -> np.ndarray:
    """Returns the weights expected before any rating."""
    mean = np.zeros(f.FEATURE_COUNT)
    mean[f.BIAS] = logit(quality)
    mean[f.CONFIDENCE : f.CONFIDENCE + 2] = CONFIDENCE_PRIOR
    mean[f.ESCALATED] = ESCALATED_PRIOR
    return mean


def prior_deviation(
    bias: float, length: float, of_class: float, confidence: float
) -> np.ndarray:
    """Returns the variances of the weights before any rating."""
    deviation = np.zeros(f.FEATURE_COUNT)
    deviation[f.BIAS] = bias
    deviation[f.LENGTH] = length
    deviation[f.STREAM] = length
    deviation[f.FIRST_CLASS : f.CONFIDENCE] = of_class
    deviation[f.CONFIDENCE : f.EARLIER_CONFIDENCE] = confidence
    deviation[f.EARLIER_CONFIDENCE : f.ESCALATED] = confidence / 2
    deviation[f.ESCALATED] = bias
    return deviation**2


SHARED_VARIANCE = prior_deviation(0.4, 0.4, 0.7, 0.8)
OWN_VARIANCE = prior_deviation(0.35, 0.05, 0.1, 0.05)


@attrs.define
class Belief:
    """Gaussian weights.

    Attributes:
      prior: Mean before any rating.
      variance: Variances before any rating.
      memory_s: Time constant of the drift back to the prior.
      mean: Mean now.
      covariance: Covariance now.
      aged_at: Seconds of the clock up to which it is aged.
    """

    prior: np.ndarray
    variance: np.ndarray
    memory_s: float
    mean: np.ndarray
    covariance: np.ndarray
    aged_at: float


def new_belief(
    prior: np.ndarray, variance: np.ndarray, memory_s: float, now: float
) -> Belief:
    """Returns a belief without evidence."""
    return Belief(
        prior, variance, memory_s, prior.copy(), np.diag(variance), now
    )


def age(belief: Belief, now: float) -> None:
    """Lets evidence lose weight with time."""
    passed = now - belief.aged_at
    if passed < AGE_STEP_S:
        return
    keep = math.exp(-passed / belief.memory_s)
    belief.mean = belief.prior + keep * (belief.mean - belief.prior)
    belief.covariance *= keep**2
    belief.covariance += np.diag((1 - keep**2) * belief.variance)
    belief.aged_at = now


def forget(belief: Belief) -> None:
    """Doubts everything after a change, but keeps the mean."""
    belief.covariance = np.diag(belief.variance)


@attrs.define
class Change:
    """Notices that answers are rated worse than expected.

    Attributes:
      evidence: Logarithm of how much likelier the latest ratings are if the
        version turned worse than if it did not; never below 0.
      alarms: Changes noticed.
    """

    evidence: float = 0.0
    alarms: int = 0


def note_surprise(change: Change, expected: float, good: bool) -> bool:
    """Takes in a rating; says whether a change has to be assumed."""
    usual = min(1 - LEAST_RISK, max(LEAST_RISK, expected))
    worse = float(sigmoid(logit(usual) - CHANGE_ODDS))
    ratio = worse / usual if good else (1 - worse) / (1 - usual)
    change.evidence = max(0.0, change.evidence + math.log(ratio))
    if change.evidence <= CHANGE_LIMIT:
        return False
    change.evidence = 0.0
    change.alarms += 1
    return True


@attrs.define
class Beliefs:
    """What is believed of every version in every workspace.

    Attributes:
      quality: Returns the expected quality of a version before any rating.
      shared: By version.
      own: By workspace and version.
      changes: By workspace and version; "" stands for all workspaces.
    """

    quality: Callable[[str], float]
    shared: dict[str, Belief] = attrs.Factory(dict)
    own: dict[tuple[str, str], Belief] = attrs.Factory(dict)
    changes: dict[tuple[str, str], Change] = attrs.Factory(dict)

    def pair(
        self, workspace: str, version: str, now: float
    ) -> tuple[Belief, Belief]:
        """Returns the shared and the own belief, aged up to now."""
        if version not in self.shared:
            self.shared[version] = new_belief(
                prior_mean(self.quality(version)),
                SHARED_VARIANCE,
                SHARED_MEMORY_S,
                now,
            )
        key = (workspace, version)
        if key not in self.own:
            self.own[key] = new_belief(
                np.zeros(f.FEATURE_COUNT), OWN_VARIANCE, OWN_MEMORY_S, now
            )
        age(self.shared[version], now)
        age(self.own[key], now)
        return self.shared[version], self.own[key]

    def weights(
        self, workspace: str, version: str, now: float
    ) -> tuple[np.ndarray, np.ndarray]:
        """Returns mean and covariance of the weights."""
        shared, own = self.pair(workspace, version, now)
        return shared.mean + own.mean, shared.covariance + own.covariance

    def learn(
        self,
        workspace: str,
        version: str,
        features: np.ndarray,
        good: bool,
        now: float,
    ) -> bool:
        """Takes in a rating; says whether the version seems to have changed."""
        shared, own = self.pair(workspace, version, now)
        mean = shared.mean + own.mean
        covariance = shared.covariance + own.covariance
        doubt = float(features @ covariance @ features)
        score = float(features @ mean)
        expected = float(sigmoid(score / math.sqrt(1 + math.pi * doubt / 8)))
        changed = self.note_changes(workspace, version, expected, good)
        share = float(sigmoid(score))
        slope = share * (1 - share)
        for belief in (shared, own):
            gain = belief.covariance @ features
            belief.mean = belief.mean + gain * (good - share) / (
                1 + slope * doubt
            )
            belief.covariance = belief.covariance - np.outer(gain, gain) * (
                slope / (1 + slope * doubt)
            )
        return changed

    def note_changes(
        self, workspace: str, version: str, expected: float, good: bool
    ) -> bool:
        """Doubts a belief whose ratings fall short for too long."""
        own = self.changes.setdefault((workspace, version), Change())
        shared = self.changes.setdefault(("", version), Change())
        changed = False
        if note_surprise(own, expected, good):
            forget(self.own[workspace, version])
            changed = True
        if note_surprise(shared, expected, good):
            forget(self.shared[version])
            changed = True
        return changed

    def drop(self, version: str) -> None:
        """Forgets a version that is gone."""
        self.shared.pop(version, None)
        for table in (self.own, self.changes):
            for key in [key for key in table if key[1] == version]:
                del table[key]
