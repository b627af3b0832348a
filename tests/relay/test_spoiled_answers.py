"""Callers get one complete answer or none if workers send invalid ones."""

import pytest

from rattanpier._internal.standin.platform_worker import WorkerFault
from tests.lib.platform_site import (
    event_numbers,
    manifest_with_route,
    platform_site,
)

INVALID_ANSWER_FAULTS = [
    WorkerFault.CUT,
    WorkerFault.UNFRAMED_RESET,
    WorkerFault.NO_RECEIPT,
    WorkerFault.ENCODED,
    WorkerFault.GIBBERISH,
    WorkerFault.RESET,
]


@pytest.fixture
async def site():
    async with platform_site() as made:
        yield made


@pytest.mark.parametrize("fault", INVALID_ANSWER_FAULTS)
async def test_a_repeatable_request_with_an_invalid_answer_is_retried(
    site, fault
):
    await site.add_worker("bad", fault=fault)
    await site.add_worker("good")
    await site.add_entry()
    for _ in range(6):
        answer = await site.ask()
        assert answer.status == 200
        assert answer.body.startswith(b"good ran")


@pytest.mark.parametrize("fault", INVALID_ANSWER_FAULTS)
async def test_a_non_repeatable_request_with_an_invalid_answer_fails(
    site, fault
):
    worker = await site.add_worker("bad", fault=fault)
    await site.add_worker("other", fault=fault)
    await site.add_entry()
    answer = await site.ask("/unsafe/x")
    assert answer.status == 502
    assert set(site.runs().values()) == {1}
    assert worker


@pytest.mark.parametrize("fault", [WorkerFault.EXTRA, WorkerFault.EXTRA_LATE])
async def test_a_surplus_answer_is_not_delivered(site, fault):
    await site.add_worker("w1", fault=fault)
    await site.add_entry()
    for number in range(12):
        request_id = f"{number:016x}"
        answer = await site.ask(headers={"X-Attempt-Id": request_id})
        assert answer.status == 200
        assert answer.body == f"w1 ran {request_id}".encode()


async def test_an_answer_ended_by_connection_close_is_complete(site):
    await site.add_worker("w1", fault=WorkerFault.UNFRAMED)
    await site.add_entry()
    answer = await site.ask("/unsafe/x")
    assert (answer.status, answer.complete) == (200, True)


async def test_a_failure_of_a_worker_is_forwarded(site):
    await site.add_worker("w1", fault=WorkerFault.FAIL)
    await site.add_entry()
    answer = await site.ask("/unsafe/x")
    assert answer.status == 500
    assert answer.headers["X-Response-Signature"].startswith("w1.")


async def test_an_interrupted_stream_is_resumed_at_another_worker(site):
    await site.add_worker("e1", "engine", fault=WorkerFault.CUT)
    await site.add_worker("e2", "engine")
    await site.add_entry()
    for _ in range(4):
        answer = await site.chat()
        assert answer.complete
        assert event_numbers(answer.body) == [1, 2, 3, 4, 5]


async def test_an_interrupted_stream_that_is_not_resumable_is_incomplete(site):
    await site.add_worker("e1", "engine", fault=WorkerFault.CUT)
    site.store.put("op", "config", manifest_with_route("chat", resumable=False))
    await site.add_entry()
    answer = await site.chat()
    assert not answer.complete
    assert event_numbers(answer.body) == [1, 2]


async def test_a_stream_that_is_not_resumable_is_not_retried(site):
    for name in ("e1", "e2"):
        await site.add_worker(name, "engine", fault=WorkerFault.RESET)
    site.store.put("op", "config", manifest_with_route("chat", resumable=False))
    await site.add_entry()
    answer = await site.chat()
    assert answer.status == 502
    assert site.runs() == {answer.headers["X-Attempt-Id"]: 1}


async def test_late_answer_before_that_of_a_request_with_a_body_is_skipped(
    site,
):
    await site.add_worker("w1", fault=WorkerFault.EXTRA_LATE)
    await site.add_entry()
    for _ in range(12):
        answer = await site.ask(method="POST", data=b"body")
        assert answer.status == 200
