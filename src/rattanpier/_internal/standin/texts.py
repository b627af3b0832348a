"""Texts of a stand-in engine, determined by version and prompt."""

from __future__ import annotations

import random
from typing import Any

from rattanpier._internal.utils.hashing import stable_hash

DIFFICULTY_STEPS = 10_000
VOCABULARY_WORDS = 10_000


def make_event(
    identity: str, model: str, text: str, finish: str | None
) -> dict[str, Any]:
    """Returns a chat-completion chunk."""
    return {
        "id": identity,
        "object": "chat.completion.chunk",
        "created": 0,
        "model": model,
        "choices": [
            {
                "index": 0,
                "delta": {"role": "assistant", "content": text},
                "finish_reason": finish,
            }
        ],
    }


def prompt_text(body: dict[str, Any]) -> str:
    """Returns the text of all messages."""
    return "\n".join(
        str(message.get("content", "")) for message in body["messages"]
    )


def difficulty(prompt: str) -> float:
    """Returns the difficulty of a prompt (0 to 1), deterministically."""
    return (
        stable_hash(f"difficulty\x1f{prompt}")
        % DIFFICULTY_STEPS
        / DIFFICULTY_STEPS
    )


def answer_words(
    version: str, prompt: str, count: int, good: bool
) -> list[str]:
    """Returns the words of an answer; the first one is "good" or "poor"."""
    rng = random.Random(stable_hash(f"{version}\x1f{prompt}"))
    words = [
        f" w{rng.randrange(VOCABULARY_WORDS)}" for _ in range(max(0, count - 1))
    ]
    return ["good" if good else "poor", *words]
