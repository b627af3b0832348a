"""Chat requests through the whole system, with each part a process."""

import openai
import pytest

from tests.lib.builders import DESK_KEY, SMALL, configuration_text
from tests.lib.cluster import Cluster


@pytest.fixture
async def cluster(tmp_path):
    async with Cluster(tmp_path) as cluster:
        await cluster.start_table()
        url = await cluster.start_standin(
            "engine", "engine", "--versions", "small@1=0.9,large@1=1.0"
        )
        await cluster.apply(configuration_text([url]))
        await cluster.start_entries(("entry-1", "entry-2"))
        await cluster.start_node("control-1", "control")
        yield cluster


def client(cluster, entry):
    return openai.AsyncOpenAI(
        base_url=f"{cluster.urls[entry]}/v1",
        api_key=DESK_KEY,
        max_retries=0,
    )


async def test_each_entry_returns_a_complete_answer(cluster):
    for entry in ("entry-1", "entry-2"):
        answer = await client(cluster, entry).chat.completions.create(
            model="auto", messages=[{"role": "user", "content": "hello"}]
        )
        assert answer.model == SMALL
        assert answer.usage.completion_tokens == 32
        assert answer.choices[0].message.content.startswith("good")


async def test_stream_has_all_chunks_and_a_finish_reason(cluster):
    stream = await client(cluster, "entry-1").chat.completions.create(
        model="auto",
        messages=[{"role": "user", "content": "hello"}],
        stream=True,
    )
    chunks = [chunk async for chunk in stream]
    assert chunks[-1].choices[0].finish_reason == "stop"
    assert len(chunks) == 33


async def test_repeated_key_runs_once_across_entries(cluster):
    answers = []
    for entry in ("entry-1", "entry-2", "entry-1"):
        answer = await client(cluster, entry).chat.completions.create(
            model="auto",
            messages=[{"role": "user", "content": "hello"}],
            extra_headers={"Idempotency-Key": "k-1"},
        )
        answers.append(answer.choices[0].message.content)
    assert len(set(answers)) == 1
    assert len(await cluster.runs("engine")) == 1


async def ask(cluster, entry, stream):
    """Returns the text of an answer, streamed or in one response."""
    async with client(cluster, entry) as caller:
        answer = await caller.chat.completions.create(
            model="auto",
            messages=[{"role": "user", "content": "hello"}],
            stream=stream,
        )
        if not stream:
            return answer.choices[0].message.content
        return "".join(
            [chunk.choices[0].delta.content async for chunk in answer]
        )


async def test_streamed_and_complete_answers_have_the_same_text(cluster):
    texts = [
        await ask(cluster, entry, stream)
        for entry in ("entry-1", "entry-2")
        for stream in (False, True)
    ]
    assert len(set(texts)) == 1
    assert len(texts[0].split()) == 32
