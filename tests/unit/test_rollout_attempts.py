"""Results of upstream requests, as used to evaluate versions."""

import asyncio

import pytest

from rattanpier._internal.dispatch.attempts import (
    AttemptOutcome,
    Attempts,
    report_result,
)
from rattanpier._internal.dispatch.engine import Chunk
from rattanpier._internal.dispatch.failures import UpstreamError
from rattanpier._internal.utils.clock import SystemClock


def make_chunk(finish=None):
    return Chunk(0, b"{}", "word", finish)


async def collect_results(chunks, error=None):
    """Reads one stream to its end and returns the emitted results."""

    async def source():
        for chunk in chunks:
            yield chunk
        if error is not None:
            raise error

    attempts, results = Attempts(), []
    attempts.subscribe(results.append)
    observed = report_result(
        source(), attempts, SystemClock(), "desk", "small@1"
    )
    try:
        async for _ in observed:
            pass
    except UpstreamError as raised:
        assert raised is error
    return results


@pytest.mark.parametrize(
    ("chunks", "error", "outcome"),
    [
        ([None, "stop"], None, AttemptOutcome.COMPLETE),
        ([None], None, AttemptOutcome.TRUNCATED),
        ([None], UpstreamError("cut", False), AttemptOutcome.TRUNCATED),
        ([], UpstreamError("500", False), AttemptOutcome.FAILED),
        ([], None, AttemptOutcome.FAILED),
    ],
)
async def test_each_outcome_is_emitted_once(chunks, error, outcome):
    results = await collect_results(
        [make_chunk(finish) for finish in chunks], error
    )
    assert [result.outcome for result in results] == [outcome]
    assert results[0].chunks == len(chunks)
    assert (results[0].first_token_s is None) == (not chunks)


async def test_request_that_did_not_run_emits_nothing():
    assert await collect_results([], UpstreamError("full", True)) == []


async def collect_results_after_cancel(count):
    """Cancels the reader after `count` chunks; returns the emitted results."""
    attempts, results = Attempts(), []
    attempts.subscribe(results.append)
    started = asyncio.Event()

    async def source():
        for _ in range(count):
            yield make_chunk()
        started.set()
        await asyncio.Event().wait()

    observed = report_result(
        source(), attempts, SystemClock(), "desk", "small@1"
    )

    async def read_all():
        async for _ in observed:
            pass

    task = asyncio.create_task(read_all())
    await started.wait()
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    await observed.aclose()
    return results


async def test_cancel_before_the_first_chunk_emits_nothing():
    assert await collect_results_after_cancel(0) == []


async def test_cancel_after_the_first_chunk_counts_as_abandoned():
    """In a store outage, answers are abandoned after they started."""
    results = await collect_results_after_cancel(2)
    assert [r.outcome for r in results] == [AttemptOutcome.ABANDONED]
    assert results[0].first_token_s is not None


async def test_close_after_the_first_chunk_counts_as_abandoned():
    attempts, results = Attempts(), []
    attempts.subscribe(results.append)

    async def source():
        while True:
            yield make_chunk()

    observed = report_result(
        source(), attempts, SystemClock(), "desk", "small@1"
    )
    await anext(observed)
    await observed.aclose()
    assert [r.outcome for r in results] == [AttemptOutcome.ABANDONED]
