"""Reproducible request plan of the load generator, drawn from a seed."""

from __future__ import annotations

import random
from collections.abc import Iterator, Sequence

import attrs

SIZE_EXPONENT = 1.0  # The n-th workspace is 1/n of the first.
SESSIONS_PER_WORKSPACE = 8
PROMPT_WORDS = (4, 60)


@attrs.frozen
class LoadProfile:
    """Parameters of a generated load.

    Attributes:
      keys: Workspace API keys, the largest workspace first.
      rate: Requests per second, independent of the response times.
      seconds: Duration over which requests are sent.
      seed: Seed from which the plan is drawn.
      stream_share: Fraction of requests that stream.
      session_share: Fraction of requests that belong to a session.
      repeat_share: Fraction of requests repeated with the same idempotency
        key.
      max_tokens: Maximum number of tokens per answer.
    """

    keys: Sequence[str]
    rate: float = 20.0
    seconds: float = 10.0
    seed: int = 1
    stream_share: float = 0.5
    session_share: float = 0.3
    repeat_share: float = 0.05
    max_tokens: int = 32


@attrs.frozen
class Arrival:
    """One planned request.

    Attributes:
      at: Send time in seconds from the start of the run.
      number: Index in the plan.
      workspace_key: API key of the workspace that sends it.
      prompt: Text of the user message.
      stream: Whether the answer is streamed.
      session: Session id, or an empty string.
      repeats: Whether the request is repeated after a successful answer.
    """

    at: float
    number: int
    workspace_key: str
    prompt: str
    stream: bool
    session: str
    repeats: bool


def plan_arrivals(profile: LoadProfile) -> Iterator[Arrival]:
    """Yields the requests, with exponentially distributed intervals.

    >>> profile = LoadProfile(["a", "b"], rate=5.0, seconds=2.0)
    >>> list(plan_arrivals(profile)) == list(plan_arrivals(profile))
    True
    """
    rng = random.Random(profile.seed)
    weights = [
        1 / (rank + 1) ** SIZE_EXPONENT for rank in range(len(profile.keys))
    ]
    at, number = rng.expovariate(profile.rate), 0
    while at < profile.seconds:
        (workspace_index,) = rng.choices(range(len(profile.keys)), weights)
        yield Arrival(
            at=at,
            number=number,
            workspace_key=profile.keys[workspace_index],
            prompt=make_prompt(rng, number),
            stream=rng.random() < profile.stream_share,
            session=make_session(rng, profile, workspace_index),
            repeats=rng.random() < profile.repeat_share,
        )
        at += rng.expovariate(profile.rate)
        number += 1


def make_prompt(rng: random.Random, number: int) -> str:
    """Returns a prompt that is unique within the plan."""
    words = [
        f"w{rng.randrange(1000)}" for _ in range(rng.randint(*PROMPT_WORDS))
    ]
    return f"request {number}: {' '.join(words)}"


def make_session(
    rng: random.Random, profile: LoadProfile, workspace_index: int
) -> str:
    """Returns a session id, or an empty string for no session."""
    number = rng.randrange(SESSIONS_PER_WORKSPACE)
    if rng.random() >= profile.session_share:
        return ""
    return f"load-{profile.seed}-{workspace_index}-{number}"
