"""Makes bills and recorded answers from the chunks of answers."""

from __future__ import annotations

import json
from collections.abc import Sequence
from typing import Any

import attrs

from rattanpier._internal.claims.records import Answer, Bill
from rattanpier._internal.dispatch.engine import Chunk, Usage
from rattanpier._internal.models.configuration import Configuration
from rattanpier._internal.models.request import RouteRequest

PRICE_UNIT_TOKENS = 1_000_000  # Prices are in credits per this many tokens.
JSON_CONTENT_TYPE = "application/json"


@attrs.frozen
class StepUsage:
    """Token usage of one step of a cascade.

    Attributes:
      version: Version that the step ran.
      usage: Token counts of its answer.
    """

    version: str
    usage: Usage


def is_complete(chunks: Sequence[Chunk]) -> bool:
    """Returns whether chunks are a complete answer that can be billed."""
    finished = any(chunk.finish is not None for chunk in chunks)
    return finished and any(chunk.usage is not None for chunk in chunks)


def step_usage(version: str, chunks: Sequence[Chunk]) -> StepUsage:
    """Returns the token usage of a complete answer."""
    # Some engines send the usage after the chunk with the finish reason.
    for chunk in reversed(chunks):
        if chunk.usage is not None:
            return StepUsage(version, chunk.usage)
    raise AssertionError("complete answer without token usage")


def make_bill(
    configuration: Configuration,
    request: RouteRequest,
    steps: Sequence[StepUsage],
) -> Bill:
    """Returns the bill for all steps of a request.

    Args:
      configuration: Configuration that the request was planned with; gives the
        prices.
      request: Request to bill.
      steps: Usage of each complete answer that was generated; the last one was
        released to the caller.
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
    """Returns the price of one step in credits."""
    version = configuration.versions[step.version]
    return (
        step.usage.prompt_tokens * version.input_price
        + step.usage.output_tokens * version.output_price
    ) / PRICE_UNIT_TOKENS


def make_answer(version: str, chunks: Sequence[Chunk]) -> Answer:
    """Returns the answer to record: the complete chat completion."""
    return Answer(
        200, JSON_CONTENT_TYPE, json.dumps(make_completion(chunks)), version
    )


def make_completion(chunks: Sequence[Chunk]) -> dict[str, Any]:
    """Returns the chat completion that consists of streamed chunks."""
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
