"""What is asked when: a plan that a seed fixes."""

from __future__ import annotations

import random
from collections.abc import Iterator, Sequence

import attrs

SIZE_EXPONENT = 1.0  # The n-th workspace is 1/n as large as the first.
SESSIONS_PER_WORKSPACE = 8
PROMPT_WORDS = (4, 60)


@attrs.frozen
class LoadProfile:
    """The shape of a load.

    Attributes:
      keys: Workspace keys, the largest workspace first.
      rate: Requests a second, whatever the answers take.
      seconds: How long requests arrive.
      seed: Fixes the whole plan.
      stream_share: Share of streaming requests.
      session_share: Share of requests that belong to a session.
      repeat_share: Share of requests sent once more with their key.
      max_tokens: Tokens asked for.
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
    """One request of the plan.

    Attributes:
      at: Seconds from the start.
      number: Its place in the plan.
      workspace_key: Whose request it is.
      prompt: What is asked.
      stream: Whether the answer is streamed.
      session: Session id, or empty.
      repeats: Whether it is sent once more when it was answered.
    """

    at: float
    number: int
    workspace_key: str
    prompt: str
    stream: bool
    session: str
    repeats: bool


def plan_arrivals(profile: LoadProfile) -> Iterator[Arrival]:
    """Yields requests with exponential pauses between them.

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
    """Returns a prompt that no other request of the plan has."""
    words = [
        f"w{rng.randrange(1000)}" for _ in range(rng.randint(*PROMPT_WORDS))
    ]
    return f"request {number}: {' '.join(words)}"


def make_session(
    rng: random.Random, profile: LoadProfile, workspace_index: int
) -> str:
    """Returns a session id, or an empty string."""
    number = rng.randrange(SESSIONS_PER_WORKSPACE)
    if rng.random() >= profile.session_share:
        return ""
    return f"load-{profile.seed}-{workspace_index}-{number}"
