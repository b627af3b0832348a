"""How long each model takes, learned from the answers that an entry relays.

The platform tells a model's price, not its speed. Larger models are dearer and
slower, so prices serve until answers have shown more.
"""

from __future__ import annotations

import collections
from collections.abc import Sequence

import attrs

from rattanpier._internal.models.route_table import ModelCost
from rattanpier._internal.utils.clock import Clock
from rattanpier._internal.utils.samples import FadingSum, RecentQuantile

# Of a model of the mean price, until answers show more; only which of two
# workers is better follows from it.
DEFAULT_TOKEN_READ_S = 1 / 30000
DEFAULT_TOKEN_INTERVAL_S = (
    0.02  # Between two tokens of a stream, until streams show more.
)
DEFAULT_WAIT_S = 0.05
# Of the waits and of the times between tokens lately: an answer that comes too
# late is worth less than one of a smaller model in time, so most have to fit.
UPPER_QUANTILE = 0.8
DEFAULT_PROMPT_TOKENS = 3000  # Of a prompt, until requests came.
# Waits only add to the time that reading takes: a low quantile of what was
# seen is near the time at a worker that was free.
IDLE_QUANTILE = 0.3
MIN_SAMPLES = 4
MIN_PROMPT_TOKENS = 1000  # Shorter prompts tell little of the time for a token.
HALF_LIFE_S = 5.0  # Bursts and faults last about that long.


@attrs.define(eq=False, repr=False)
class ModelTiming:
    """What one model's answers showed.

    Attributes:
      read: Seconds for each token of a prompt at a free worker.
      first: Seconds to the first event of short prompts.
      request_read: Seconds of reading that one request is.
      waits: Seconds to the first event beyond reading, by priority: workers
        read the prompts of more urgent requests first.
      token: Seconds of a stream for each token that was expected of it.
    """

    read: RecentQuantile = attrs.Factory(lambda: RecentQuantile(IDLE_QUANTILE))
    first: RecentQuantile = attrs.Factory(lambda: RecentQuantile(0.0))
    request_read: FadingSum = attrs.Factory(lambda: FadingSum(HALF_LIFE_S))
    waits: dict[int, RecentQuantile] = attrs.Factory(
        lambda: collections.defaultdict(lambda: RecentQuantile(UPPER_QUANTILE))
    )
    token: RecentQuantile = attrs.Factory(
        lambda: RecentQuantile(UPPER_QUANTILE)
    )


@attrs.define(eq=False, repr=False)
class ModelTimings:
    """The pace of each model, by name.

    Attributes:
      models: What answers showed.
      prices: Against their mean; what is assumed before answers came.
    """

    clock: Clock
    models: dict[str, ModelTiming] = attrs.Factory(
        lambda: collections.defaultdict(ModelTiming)
    )
    prices: dict[str, float] = attrs.Factory(dict)

    def apply_prices(self, models: Sequence[ModelCost]) -> None:
        """Takes in what the operators charge for a service's models."""
        mean = sum(model.cost for model in models) / max(1, len(models))
        if mean > 0:
            self.prices |= {model.name: model.cost / mean for model in models}

    def record_first_event(
        self, model: str, priority: int, tokens: float, seconds: float
    ) -> None:
        """Takes in the time to the first event of an answer.

        Args:
          model: What answered.
          priority: Of the request.
          tokens: Prompt tokens that it probably had to read.
          seconds: From the send.
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
        """Takes in a time to a first event, or one that passed without it."""
        wait = max(0.0, seconds - self.read_s(model, tokens))
        self.models[model].waits[priority].add(wait)

    def record_stream(self, model: str, tokens: int, seconds: float) -> None:
        """Takes in how long a stream lasted from its first event on."""
        self.models[model].token.add(seconds / max(1, tokens))

    def read_s(self, model: str, tokens: float) -> float:
        """Returns the seconds in which a free worker reads so many tokens."""
        return tokens * self.token_read_s(model)

    def token_read_s(self, model: str) -> float:
        """Returns the seconds in which a free worker reads one token."""
        default = DEFAULT_TOKEN_READ_S * self.prices.get(model, 1.0)
        return self.models[model].read.value(default, MIN_SAMPLES)

    def record_upstream_request(self, model: str, read_s: float) -> None:
        """Takes in the reading that a send is."""
        self.models[model].request_read.add(read_s, self.clock.monotonic())

    def typical_read_s(self, model: str) -> float:
        """Returns the seconds of reading that a request for a model is."""
        request_read = self.models[model].request_read
        request_read.fade(self.clock.monotonic())
        return request_read.mean(self.read_s(model, DEFAULT_PROMPT_TOKENS))

    def wait_s(self, model: str, priority: int) -> float:
        """Returns the seconds within which most such requests began."""
        waits = self.models[model].waits[priority]
        return waits.value(DEFAULT_WAIT_S, MIN_SAMPLES)

    def stream_s(self, model: str, tokens: int) -> float:
        """Returns the seconds within which most such streams end."""
        token = self.models[model].token
        return tokens * token.value(DEFAULT_TOKEN_INTERVAL_S, MIN_SAMPLES)
