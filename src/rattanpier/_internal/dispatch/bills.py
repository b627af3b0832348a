"""Bills and recorded answers, made from the chunks of an answer."""

from __future__ import annotations

import json
from collections.abc import Sequence
from typing import Any

import attrs

from rattanpier._internal.claims.records import Answer, Bill
from rattanpier._internal.dispatch.engine import Chunk, Usage
from rattanpier._internal.models.configuration import Configuration
from rattanpier._internal.models.request import RouteRequest

PRICE_UNIT_TOKENS = 1_000_000
JSON_CONTENT_TYPE = "application/json"


@attrs.frozen
class StepUsage:
    """What one step of a cascade used."""

    version: str
    usage: Usage


def is_complete(chunks: Sequence[Chunk]) -> bool:
    """Says whether chunks are a whole answer that can be billed."""
    finished = any(chunk.finish is not None for chunk in chunks)
    return finished and any(chunk.usage is not None for chunk in chunks)


def step_usage(version: str, chunks: Sequence[Chunk]) -> StepUsage:
    """Returns what a whole answer used."""
    # Some engines send the usage after the chunk that says why it ended.
    for chunk in reversed(chunks):
        if chunk.usage is not None:
            return StepUsage(version, chunk.usage)
    raise AssertionError("a whole answer has its usage")


def make_bill(
    configuration: Configuration,
    request: RouteRequest,
    steps: Sequence[StepUsage],
) -> Bill:
    """Returns the one bill for all steps of a request.

    Args:
      configuration: For the prices; the one that the plan was made from.
      request: Names the bill.
      steps: Whole answers that were generated; the last was released.
    """
    return Bill(
        workspace=request.workspace,
        key=request.key,
        version=steps[-1].version,
        prompt_tokens=sum(step.usage.prompt_tokens for step in steps),
        output_tokens=sum(step.usage.output_tokens for step in steps),
        credits=sum(step_credits(configuration, step) for step in steps),
    )


def step_credits(configuration: Configuration, step: StepUsage) -> float:
    """Returns the credits for one step."""
    version = configuration.versions[step.version]
    return (
        step.usage.prompt_tokens * version.input_price
        + step.usage.output_tokens * version.output_price
    ) / PRICE_UNIT_TOKENS


def make_answer(version: str, chunks: Sequence[Chunk]) -> Answer:
    """Returns the answer to record: the whole chat completion."""
    return Answer(
        200, JSON_CONTENT_TYPE, json.dumps(make_completion(chunks)), version
    )


def make_completion(chunks: Sequence[Chunk]) -> dict[str, Any]:
    """Returns a chat completion from the chunks of its stream."""
    last = json.loads(chunks[-1].data)
    finishes = [chunk.finish for chunk in chunks if chunk.finish is not None]
    text = "".join(chunk.text for chunk in chunks)
    return {
        "id": last["id"],
        "object": "chat.completion",
        "created": last.get("created", 0),
        "model": last["model"],
        "choices": [
            {
                "index": 0,
                "message": {"role": "assistant", "content": text},
                "finish_reason": finishes[-1],
            }
        ],
        "usage": last.get("usage"),
    }
