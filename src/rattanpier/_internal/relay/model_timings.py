"""Durations of each model, estimated from the answers that an entry relays.

The platform states a model's price but not its speed. Larger models cost more
and are slower, so initial estimates are derived from prices.
"""

from __future__ import annotations

import collections
from collections.abc import Sequence

import attrs

from rattanpier._internal.models.route_table import ModelCost
from rattanpier._internal.utils.clock import Clock
from rattanpier._internal.utils.samples import DecayingSum, RecentQuantile

# Initial estimate for a model of the mean price, in seconds a token. It only
# affects which of two workers is preferred.
DEFAULT_TOKEN_READ_S = 1 / 30000
# Initial estimate of the time between two tokens of a stream.
DEFAULT_TOKEN_INTERVAL_S = 0.02
DEFAULT_WAIT_S = 0.05
# Quantile of recent waits and token intervals. An answer that is too late is
# worth less than a smaller model's answer in time, so most have to fit.
UPPER_QUANTILE = 0.8
DEFAULT_PROMPT_TOKENS = 3000  # Assumed length before the first request.
# Waiting only adds to the reading time, so a low quantile of the measured times
# approximates the time at an idle worker.
IDLE_QUANTILE = 0.3
MIN_SAMPLES = 4
MIN_PROMPT_TOKENS = 1000  # Shorter prompts tell little about reading speed.
HALF_LIFE_S = 5.0  # About the duration of bursts and faults.


@attrs.define(eq=False, repr=False)
class ModelTiming:
    """Measured durations of one model's answers.

    Attributes:
      read: Seconds to read a token of a prompt at an idle worker.
      first: Seconds to the first event for short prompts.
      request_read: Expected seconds to read the prompt of a request.
      waits: Seconds to the first event in excess of reading, by priority:
        workers read the prompts of more urgent requests first.
      token: Duration of a stream per token that was expected of it, in seconds.
      event: Mean time between two events of a stream, in seconds.
    """

    read: RecentQuantile = attrs.Factory(lambda: RecentQuantile(IDLE_QUANTILE))
    first: RecentQuantile = attrs.Factory(lambda: RecentQuantile(0.0))
    request_read: DecayingSum = attrs.Factory(lambda: DecayingSum(HALF_LIFE_S))
    waits: dict[int, RecentQuantile] = attrs.Factory(
        lambda: collections.defaultdict(lambda: RecentQuantile(UPPER_QUANTILE))
    )
    token: RecentQuantile = attrs.Factory(
        lambda: RecentQuantile(UPPER_QUANTILE)
    )
    event: RecentQuantile = attrs.Factory(lambda: RecentQuantile(0.5))


@attrs.define(eq=False, repr=False)
class ModelTimings:
    """Durations of all models.

    Attributes:
      clock: Source of monotonic time.
      models: Measured durations by model name.
      prices: Price of each model relative to the mean, from which its speed is
        estimated before answers were measured.
    """

    clock: Clock
    models: dict[str, ModelTiming] = attrs.Factory(
        lambda: collections.defaultdict(ModelTiming)
    )
    prices: dict[str, float] = attrs.Factory(dict)

    def apply_prices(self, models: Sequence[ModelCost]) -> None:
        """Applies the prices that operators set for a service's models."""
        mean = sum(model.cost for model in models) / max(1, len(models))
        if mean > 0:
            self.prices |= {model.name: model.cost / mean for model in models}

    def record_first_event(
        self, model: str, priority: int, tokens: float, seconds: float
    ) -> None:
        """Records the time to the first event of an answer.

        Args:
          model: Model that answered.
          priority: Priority of the request.
          tokens: Prompt tokens that it probably had to read.
          seconds: Time since the upstream request was sent.
        """
        timing = self.models[model]
        self.record_wait(model, priority, tokens, seconds)
        if tokens < MIN_PROMPT_TOKENS:
            timing.first.add(seconds)
            return
        base = timing.first.value(0.0, MIN_SAMPLES)
        timing.read.add(max(0.0, seconds - base) / tokens)

    def record_wait(
        self, model: str, priority: int, tokens: float, seconds: float
    ) -> None:
        """Records a time to the first event, or a longer time without one.

        Args:
          model: Model that was asked.
          priority: Priority of the request.
          tokens: Prompt tokens that it probably had to read.
          seconds: Time since the upstream request was sent.
        """
        wait = max(0.0, seconds - self.read_s(model, tokens))
        self.models[model].waits[priority].add(wait)

    def record_stream(self, model: str, tokens: int, seconds: float) -> None:
        """Records the duration of a stream.

        Args:
          model: Model that answered.
          tokens: Tokens that were expected of the stream.
          seconds: Time since its first event.
        """
        self.models[model].token.add(seconds / max(1, tokens))

    def record_events(self, model: str, gaps: int, seconds: float) -> None:
        """Records the time between the first and the last event of a stream.

        Args:
          model: Model that answered.
          gaps: Number of events after the first.
          seconds: The time.
        """
        self.models[model].event.add(seconds / gaps)

    def events_s(self, model: str, gaps: int) -> float:
        """Returns the typical time between the first and the last event.

        Args:
          model: Model that answers.
          gaps: Number of events after the first.

        Returns:
          Seconds; 0.0 while too few streams were measured.
        """
        return gaps * self.models[model].event.value(0.0, MIN_SAMPLES)

    def read_s(self, model: str, tokens: float) -> float:
        """Returns the seconds in which an idle worker reads some tokens."""
        return tokens * self.token_read_s(model)

    def token_read_s(self, model: str) -> float:
        """Returns the seconds in which an idle worker reads one token."""
        default = DEFAULT_TOKEN_READ_S * self.prices.get(model, 1.0)
        return self.models[model].read.value(default, MIN_SAMPLES)

    def record_upstream_request(self, model: str, read_s: float) -> None:
        """Records the expected prompt reading of an upstream request."""
        self.models[model].request_read.add(read_s, self.clock.monotonic())

    def typical_read_s(self, model: str) -> float:
        """Returns the mean seconds to read the prompt of a request."""
        request_read = self.models[model].request_read
        request_read.decay(self.clock.monotonic())
        return request_read.mean(self.read_s(model, DEFAULT_PROMPT_TOKENS))

    def wait_s(self, model: str, priority: int) -> float:
        """Returns the wait in seconds that most requests did not exceed."""
        waits = self.models[model].waits[priority]
        return waits.value(DEFAULT_WAIT_S, MIN_SAMPLES)

    def stream_s(self, model: str, tokens: int) -> float:
        """Returns the seconds within which most streams of some tokens end."""
        token = self.models[model].token
        return tokens * token.value(DEFAULT_TOKEN_INTERVAL_S, MIN_SAMPLES)
