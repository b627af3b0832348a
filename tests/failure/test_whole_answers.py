"""Callers get the complete answer to their own request, or an error.

Engines are made to break, duplicate, swap or delay their streams.
"""

import asyncio
import json
import signal

import aiohttp
import pytest
import pytest_asyncio

from rattanpier._internal.standin.texts import answer_words
from tests.lib.builders import DESK_KEY, SMALL, configuration_text
from tests.lib.cluster import Cluster, wait_for

pytestmark = pytest.mark.xdist_group("whole_answers")  # Shared cluster.
AUTHORIZATION = {"Authorization": f"Bearer {DESK_KEY}"}
ENGINES = ("engine-1", "engine-2")
TOKENS = 24


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def cluster(tmp_path_factory):
    async with Cluster(tmp_path_factory.mktemp("whole")) as cluster:
        await cluster.start_table()
        for engine in ENGINES:
            await cluster.start_standin(
                engine, "engine", "--versions", f"{SMALL}=1.0"
            )
        cluster.revision = 1
        await cluster.apply(configuration_text(urls(cluster)))
        await cluster.start_entries(("entry-1", "entry-2"))
        yield cluster


def urls(cluster, engines=ENGINES):
    return [cluster.urls[engine] for engine in engines]


async def apply_engines(cluster, engines, **faults):
    """Applies a configuration with these engines, all with the same faults."""
    for engine in ENGINES:
        await cluster.set_faults(engine, **faults)
    cluster.revision += 1
    text = configuration_text(urls(cluster, engines))
    await cluster.apply(text, cluster.revision)

    async def in_force():
        for entry in ("entry-1", "entry-2"):
            url = f"{cluster.urls[entry]}/readyz"
            async with cluster.session.get(url) as response:
                body = await response.json()
                if body["revision"] != cluster.revision:
                    return False
        return True

    await wait_for(in_force)


def expected(prompt, tokens=TOKENS, good=True):
    return "".join(answer_words(SMALL, prompt, tokens, good))


class ReceivedAnswer:
    """What a caller received: the text, whether it was complete, the error."""

    def __init__(self):
        self.text = ""
        self.done = False
        self.error = None
        self.started = asyncio.Event()


async def stream_answer(
    cluster, prompt, entry="entry-1", received=None, **headers
):
    """Streams an answer and returns what was received."""
    received = received or ReceivedAnswer()
    body = {
        "model": "auto",
        "stream": True,
        "max_tokens": int(headers.pop("tokens", TOKENS)),
        "messages": [{"role": "user", "content": prompt}],
    }
    async with cluster.session.post(
        f"{cluster.urls[entry]}/v1/chat/completions",
        json=body,
        headers={**AUTHORIZATION, "X-Timeout-Ms": "20000", **headers},
    ) as response:
        if response.status != 200:
            received.error = (await response.json())["error"]
            return received
        async for line in response.content:
            if line.startswith(b"data:"):
                apply_event(received, line[5:].strip())
    return received


def apply_event(received, data):
    if data == b"[DONE]":
        received.done = True
        return
    event = json.loads(data)
    if "error" in event:
        received.error = event["error"]
        return
    received.text += event["choices"][0]["delta"].get("content") or ""
    received.started.set()


async def runs_of(cluster, count_from):
    runs = []
    for engine in ENGINES:
        runs += (await cluster.runs(engine))[count_from[engine] :]
    return runs


async def count_runs(cluster):
    return {engine: len(await cluster.runs(engine)) for engine in ENGINES}


async def state_of(cluster, key, entry="entry-2"):
    url = f"{cluster.urls[entry]}/v1/requests/{key}"
    async with cluster.session.get(url, headers=AUTHORIZATION) as response:
        return (await response.json()).get("state")


async def has_state(cluster, key, state):
    return await state_of(cluster, key) == state


@pytest.mark.parametrize("marked", ["true", "false"])
@pytest.mark.parametrize("fault", ["cut", "missing", "no_end"])
@pytest.mark.asyncio(loop_scope="module")
async def test_interrupted_stream_is_resumed(cluster, fault, marked):
    await apply_engines(cluster, ENGINES, fault=fault, count=1)
    before = await count_runs(cluster)
    received = await stream_answer(
        cluster, f"p-{fault}", **{"X-Non-Idempotent": marked}
    )
    assert (received.text, received.done) == (expected(f"p-{fault}"), True)
    runs = await runs_of(cluster, before)
    assert [run["resumes"] for run in runs] == [1]


@pytest.mark.asyncio(loop_scope="module")
async def test_duplicate_chunk_is_released_once(cluster):
    await apply_engines(cluster, ENGINES, fault="duplicate")
    received = await stream_answer(cluster, "twice")
    assert (received.text, received.done) == (expected("twice"), True)


@pytest.mark.asyncio(loop_scope="module")
async def test_rerun_with_identical_chunks_continues_the_answer(cluster):
    await apply_engines(cluster, ENGINES, fault="none")
    await cluster.set_faults("engine-1", fault="forget")
    for number in range(6):
        prompt = f"rerun-{number}"
        received = await stream_answer(cluster, prompt)
        assert (received.text, received.done) == (expected(prompt), True)
    assert any(run["cancelled"] for run in await cluster.runs("engine-1"))


@pytest.mark.asyncio(loop_scope="module")
async def test_rerun_with_different_chunks_ends_with_an_error(cluster):
    await apply_engines(cluster, ENGINES, fault="forget")
    await cluster.set_faults("engine-1", fault="forget", bad_versions=[SMALL])
    key = {"Idempotency-Key": "differs"}
    received = await stream_answer(cluster, "differs", **key)
    assert received.done is False
    assert received.error["not_run"] is False
    whole = (expected("differs"), expected("differs", good=False))
    assert any(text.startswith(received.text) for text in whole)
    await wait_for(lambda: has_state(cluster, "differs", "unknown"))


@pytest.mark.asyncio(loop_scope="module")
async def test_truncated_answer_is_not_recorded(cluster):
    await apply_engines(cluster, ENGINES, fault="forget")
    before = await count_runs(cluster)
    headers = {"Idempotency-Key": "truncated", "X-Non-Idempotent": "true"}
    received = await stream_answer(cluster, "truncated", **headers)
    assert received.done is False
    assert received.error["code"] == "upstream_failed"
    again = await stream_answer(cluster, "truncated", "entry-2", **headers)
    assert (again.text, again.done) == ("", False)
    assert again.error["code"] == "outcome_unknown"
    assert again.error["not_run"] is False
    assert len(await runs_of(cluster, before)) == 1
    assert await state_of(cluster, "truncated") == "unknown"


@pytest.mark.asyncio(loop_scope="module")
async def test_swapped_answers_reach_no_caller(cluster):
    await apply_engines(cluster, ENGINES[:1], fault="swap")
    prompts = [f"swap-{number}" for number in range(6)]
    answers = await asyncio.gather(
        *(stream_answer(cluster, prompt) for prompt in prompts)
    )
    for received in answers:
        assert (received.text, received.done) == ("", False)
        assert received.error["code"] == "upstream_failed"


@pytest.mark.asyncio(loop_scope="module")
async def test_answer_after_the_deadline_reaches_no_caller(cluster):
    await apply_engines(cluster, ENGINES, fault="none", slowdown=50.0)
    headers = {"Idempotency-Key": "late", "X-Timeout-Ms": "600"}
    received = await stream_answer(cluster, "late", **headers)
    assert received.done is False
    assert received.error["code"] == "deadline"
    assert received.error["not_run"] is False
    assert received.error["retry_after_s"] > 0
    await wait_for(lambda: has_state(cluster, "late", "unknown"))


@pytest.mark.asyncio(loop_scope="module")
async def test_disconnected_caller_cancels_the_run_and_frees_its_key(cluster):
    await apply_engines(cluster, ENGINES, fault="none", slowdown=100.0)
    before = await count_runs(cluster)
    key = {"Idempotency-Key": "gone"}
    received = ReceivedAnswer()
    first = asyncio.create_task(
        stream_answer(cluster, "gone", "entry-1", received, **key)
    )
    await received.started.wait()
    first.cancel()
    await asyncio.gather(first, return_exceptions=True)

    async def cancelled():
        runs = await runs_of(cluster, before)
        return [run["cancelled"] for run in runs] == [True]

    await wait_for(cancelled, 2.5)  # Shorter than the engine's own timeout.
    for engine in ENGINES:
        await cluster.set_faults(engine)
    again = await stream_answer(
        cluster, "gone", "entry-2", **key, **{"X-Timeout-Ms": "3000"}
    )
    assert (again.text, again.done) == (expected("gone"), True)


@pytest.mark.parametrize("number", [signal.SIGKILL, signal.SIGSTOP])
@pytest.mark.asyncio(loop_scope="module")
async def test_caller_finds_its_answer_at_another_entry(cluster, number):
    await apply_engines(cluster, ENGINES, fault="none", slowdown=10.0)
    name = f"entry-{number.name.lower()}"
    await cluster.start_entry(name)
    key = {"Idempotency-Key": f"elsewhere-{number.name}"}
    received = ReceivedAnswer()
    first = asyncio.create_task(
        stream_answer(cluster, "elsewhere", name, received, tokens=60, **key)
    )
    await received.started.wait()
    cluster.processes[name].send(number)
    again = await stream_answer(
        cluster, "elsewhere", "entry-2", tokens=60, **key
    )
    text = expected("elsewhere", 60)
    assert (again.text, again.done) == (text, True)
    if number is signal.SIGSTOP:
        cluster.processes[name].send(signal.SIGCONT)
        await first
        assert received.error["code"] == "superseded"
    else:
        with pytest.raises(aiohttp.ClientError):
            await first
    assert received.done is False
    assert text.startswith(received.text)
    assert await state_of(cluster, key["Idempotency-Key"]) == "answered"
