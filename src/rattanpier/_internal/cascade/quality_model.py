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
SHARED_DECAY_S = 24 * 3600.0
SPECIFIC_DECAY_S = 24 * 3600.0
DECAY_STEP_S = 30.0  # Beliefs are aged in steps, not on each look.

# How much likelier ratings have to be if a version turned worse; see Change.
# Where beliefs are right, a false alarm takes exp(limit) ratings on average, or
# more.
CHANGE_LOG_ODDS = 1.0  # Log-odds that a version that turned worse has lost.
CHANGE_THRESHOLD = 9.0
MIN_PROBABILITY = (
    0.05  # No rating is as sure as beliefs may be: some are wrong.
)

CONFIDENCE_PRIOR = 0.8
ESCALATED_PRIOR = -0.4


def logit(probability: float) -> float:
    """Returns the log-odds of a share."""
    clipped = min(0.995, max(0.005, probability))
    return math.log(clipped / (1 - clipped))


def sigmoid(value: np.ndarray | float) -> np.ndarray | float:
    """Returns the share of log-odds."""
    return 1 / (1 + np.exp(-value))


def prior_mean(prior_quality: float) -> np.ndarray:
    """Returns the weights expected before any rating."""
    mean = np.zeros(f.FEATURE_COUNT)
    mean[f.BIAS] = logit(prior_quality)
    mean[f.CONFIDENCE : f.CONFIDENCE + 2] = CONFIDENCE_PRIOR
    mean[f.ESCALATED] = ESCALATED_PRIOR
    return mean


def prior_variance(
    bias: float, length: float, request_class: float, confidence: float
) -> np.ndarray:
    """Returns the variances of the weights before any rating."""
    deviation = np.zeros(f.FEATURE_COUNT)
    deviation[f.BIAS] = bias
    deviation[f.LENGTH] = length
    deviation[f.STREAM] = length
    deviation[f.FIRST_CLASS : f.CONFIDENCE] = request_class
    deviation[f.CONFIDENCE : f.EARLIER_CONFIDENCE] = confidence
    deviation[f.EARLIER_CONFIDENCE : f.ESCALATED] = confidence / 2
    deviation[f.ESCALATED] = bias
    return deviation**2


SHARED_VARIANCE = prior_variance(0.4, 0.4, 0.7, 0.8)
SPECIFIC_VARIANCE = prior_variance(0.35, 0.05, 0.1, 0.05)


@attrs.define
class WeightPosterior:
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
    decay_s: float
    mean: np.ndarray
    covariance: np.ndarray
    decayed_at: float


def new_posterior(
    prior: np.ndarray, variance: np.ndarray, decay_s: float, now: float
) -> WeightPosterior:
    """Returns a belief without evidence."""
    return WeightPosterior(
        prior, variance, decay_s, prior.copy(), np.diag(variance), now
    )


def decay(posterior: WeightPosterior, now: float) -> None:
    """Lets evidence lose weight with time."""
    elapsed_s = now - posterior.decayed_at
    if elapsed_s < DECAY_STEP_S:
        return
    retained = math.exp(-elapsed_s / posterior.decay_s)
    posterior.mean = posterior.prior + retained * (
        posterior.mean - posterior.prior
    )
    posterior.covariance *= retained**2
    posterior.covariance += np.diag((1 - retained**2) * posterior.variance)
    posterior.decayed_at = now


def reset_covariance(posterior: WeightPosterior) -> None:
    """Doubts everything after a change, but keeps the mean."""
    posterior.covariance = np.diag(posterior.variance)


@attrs.define
class ChangeDetector:
    """Notices that answers are rated worse than expected.

    Attributes:
      evidence: Logarithm of how much likelier the latest ratings are if the
        version turned worse than if it did not; never below 0.
      alarms: Changes noticed.
    """

    log_likelihood_ratio: float = 0.0
    alarms: int = 0


def detect_change(
    detector: ChangeDetector, expected: float, good: bool
) -> bool:
    """Takes in a rating; says whether a change has to be assumed."""
    clipped = min(1 - MIN_PROBABILITY, max(MIN_PROBABILITY, expected))
    worse = float(sigmoid(logit(clipped) - CHANGE_LOG_ODDS))
    ratio = worse / clipped if good else (1 - worse) / (1 - clipped)
    detector.log_likelihood_ratio = max(
        0.0, detector.log_likelihood_ratio + math.log(ratio)
    )
    if detector.log_likelihood_ratio <= CHANGE_THRESHOLD:
        return False
    detector.log_likelihood_ratio = 0.0
    detector.alarms += 1
    return True


@attrs.define
class QualityModel:
    """What is believed of every version in every workspace.

    Attributes:
      quality: Returns the expected quality of a version before any rating.
      shared: By version.
      own: By workspace and version.
      changes: By workspace and version; "" stands for all workspaces.
    """

    prior_quality: Callable[[str], float]
    shared: dict[str, WeightPosterior] = attrs.Factory(dict)
    specific: dict[tuple[str, str], WeightPosterior] = attrs.Factory(dict)
    detectors: dict[tuple[str, str], ChangeDetector] = attrs.Factory(dict)

    def posteriors(
        self, workspace: str, version: str, now: float
    ) -> tuple[WeightPosterior, WeightPosterior]:
        """Returns the shared and the own belief, aged up to now."""
        if version not in self.shared:
            self.shared[version] = new_posterior(
                prior_mean(self.prior_quality(version)),
                SHARED_VARIANCE,
                SHARED_DECAY_S,
                now,
            )
        key = (workspace, version)
        if key not in self.specific:
            self.specific[key] = new_posterior(
                np.zeros(f.FEATURE_COUNT),
                SPECIFIC_VARIANCE,
                SPECIFIC_DECAY_S,
                now,
            )
        decay(self.shared[version], now)
        decay(self.specific[key], now)
        return self.shared[version], self.specific[key]

    def weights(
        self, workspace: str, version: str, now: float
    ) -> tuple[np.ndarray, np.ndarray]:
        """Returns mean and covariance of the weights."""
        shared, specific = self.posteriors(workspace, version, now)
        return (
            shared.mean + specific.mean,
            shared.covariance + specific.covariance,
        )

    def learn(
        self,
        workspace: str,
        version: str,
        features: np.ndarray,
        good: bool,
        now: float,
    ) -> bool:
        """Takes in a rating; says whether the version seems to have changed."""
        shared, specific = self.posteriors(workspace, version, now)
        mean = shared.mean + specific.mean
        covariance = shared.covariance + specific.covariance
        variance = float(features @ covariance @ features)
        score = float(features @ mean)
        expected = float(sigmoid(score / math.sqrt(1 + math.pi * variance / 8)))
        changed = self.detect_changes(workspace, version, expected, good)
        probability = float(sigmoid(score))
        slope = probability * (1 - probability)
        for posterior in (shared, specific):
            gain = posterior.covariance @ features
            posterior.mean = posterior.mean + gain * (good - probability) / (
                1 + slope * variance
            )
            posterior.covariance = posterior.covariance - np.outer(
                gain, gain
            ) * (slope / (1 + slope * variance))
        return changed

    def detect_changes(
        self, workspace: str, version: str, expected: float, good: bool
    ) -> bool:
        """Doubts a belief whose ratings fall short for too long."""
        specific = self.detectors.setdefault(
            (workspace, version), ChangeDetector()
        )
        shared = self.detectors.setdefault(("", version), ChangeDetector())
        changed = False
        if detect_change(specific, expected, good):
            reset_covariance(self.specific[workspace, version])
            changed = True
        if detect_change(shared, expected, good):
            reset_covariance(self.shared[version])
            changed = True
        return changed

    def drop(self, version: str) -> None:
        """Forgets a version that is gone."""
        self.shared.pop(version, None)
        for table in (self.specific, self.detectors):
            for key in [key for key in table if key[1] == version]:
                del table[key]
