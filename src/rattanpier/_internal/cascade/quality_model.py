"""Estimates answer quality by Bayesian logistic regression.

The log-odds that an answer is rated good are a linear function of the
features, with a Gaussian posterior over the weights. The weights are the sum
of a part shared by all workspaces and a part specific to the workspace; each
rating updates both. Without ratings both decay to the prior, so that old
evidence loses weight and the uncertainty grows.
"""

from __future__ import annotations

import math
from collections.abc import Callable

import attrs
import numpy as np

from rattanpier._internal.cascade import features as f

# Time constants of the decay to the prior: evidence then counts about a third.
SHARED_DECAY_S = 24 * 3600.0
SPECIFIC_DECAY_S = 24 * 3600.0
DECAY_STEP_S = 30.0  # Decay is applied in steps, not on each read.

# Parameters of ChangeDetector. If the model is right, there are on average at
# least exp(CHANGE_THRESHOLD) ratings between two false alarms.
CHANGE_LOG_ODDS = 1.0  # Assumed loss in log-odds of a degraded version.
CHANGE_THRESHOLD = 9.0
# Expected probabilities are clipped, because some ratings are wrong.
MIN_PROBABILITY = 0.05

CONFIDENCE_PRIOR = 0.8
ESCALATED_PRIOR = -0.4


def logit(probability: float) -> float:
    """Returns the log-odds of a probability, clipped to 0.005..0.995."""
    clipped = min(0.995, max(0.005, probability))
    return math.log(clipped / (1 - clipped))


def sigmoid(value: np.ndarray | float) -> np.ndarray | float:
    """Returns the probability for log-odds."""
    return 1 / (1 + np.exp(-value))


def prior_mean(prior_quality: float) -> np.ndarray:
    """Returns the prior mean of the shared weights.

    Args:
      prior_quality: Expected share of good answers before any rating.
    """
    mean = np.zeros(f.FEATURE_COUNT)
    mean[f.BIAS] = logit(prior_quality)
    mean[f.CONFIDENCE : f.CONFIDENCE + 2] = CONFIDENCE_PRIOR
    mean[f.ESCALATED] = ESCALATED_PRIOR
    return mean


def prior_variance(
    bias: float, length: float, request_class: float, confidence: float
) -> np.ndarray:
    """Returns the prior variances of the weights, [feature].

    Args:
      bias: Standard deviation of the bias and of the escalation weight.
      length: Standard deviation of the length and the streaming weight.
      request_class: Standard deviation of the weight of each class.
      confidence: Standard deviation of the confidence weights; half of it
        for the confidence of the previously rejected answer.
    """
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
    """Gaussian posterior over the weights.

    Attributes:
      prior: [feature] mean before any rating.
      variance: [feature] variances before any rating.
      decay_s: Time constant of the decay to the prior.
      mean: [feature] current mean.
      covariance: [feature, feature] current covariance.
      decayed_at: Clock time in seconds up to which the decay is applied.
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
    """Returns a posterior that equals the prior."""
    return WeightPosterior(
        prior, variance, decay_s, prior.copy(), np.diag(variance), now
    )


def decay(posterior: WeightPosterior, now: float) -> None:
    """Moves a posterior towards its prior for the time that has passed."""
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
    """Resets the covariance to the prior after a change; keeps the mean."""
    posterior.covariance = np.diag(posterior.variance)


@attrs.define
class ChangeDetector:
    """CUSUM test for answers that are rated worse than expected.

    Attributes:
      log_likelihood_ratio: Cumulative log-likelihood ratio of a degraded
        against an unchanged version; never below 0.
      alarms: Number of changes detected.
    """

    log_likelihood_ratio: float = 0.0
    alarms: int = 0


def detect_change(
    detector: ChangeDetector, expected: float, good: bool
) -> bool:
    """Records a rating; returns whether a change is detected.

    A detection resets the ratio, so that the test starts over.

    Args:
      detector: State of the test.
      expected: Probability of a good rating according to the model.
      good: Whether the answer was rated good.
    """
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
    """Posteriors of all versions and workspaces.

    Attributes:
      prior_quality: Returns the expected quality of a version before any
        rating.
      shared: Posteriors shared by all workspaces, by version.
      specific: Deviations of single workspaces, by workspace and version.
      detectors: Change detectors, by workspace and version; the workspace ""
        stands for all of them.
    """

    prior_quality: Callable[[str], float]
    shared: dict[str, WeightPosterior] = attrs.Factory(dict)
    specific: dict[tuple[str, str], WeightPosterior] = attrs.Factory(dict)
    detectors: dict[tuple[str, str], ChangeDetector] = attrs.Factory(dict)

    def posteriors(
        self, workspace: str, version: str, now: float
    ) -> tuple[WeightPosterior, WeightPosterior]:
        """Returns the shared and the workspace-specific posterior, decayed."""
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
        """Returns the mean and the covariance of the summed weights."""
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
        """Updates the posteriors by a rating.

        Args:
          workspace: Workspace of the request.
          version: Version that answered.
          features: [feature] features of the answer.
          good: Whether the answer was rated good.
          now: Clock time in seconds.

        Returns:
          Whether a change of the version was detected.
        """
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
        """Resets the covariances for which a change is detected.

        Returns whether any was.
        """
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
        """Removes the state of a version that is no longer in use."""
        self.shared.pop(version, None)
        for table in (self.specific, self.detectors):
            for key in [key for key in table if key[1] == version]:
                del table[key]
