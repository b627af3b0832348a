"""Workers that reject requests and ask for backoff, with real entries."""

import types

import pytest

from rattanpier._internal.relay.request_progress import RequestProgress
from rattanpier._internal.relay.rollouts import VersionSplit
from rattanpier._internal.standin.platform_worker import WorkerFault
from tests.lib.platform_site import platform_site, until
from tests.lib.relay_parts import make_request

BACKOFF_S = 2.0


@pytest.fixture
async def site():
    async with platform_site() as made:
        yield made


def start_shedding(worker, backoff=str(BACKOFF_S)):
    """Makes a worker reject all requests from now on."""
    worker.fault = WorkerFault.SHED
    worker.rest = backoff


@pytest.mark.parametrize("path", ["/safe/x", "/chat/x"])
async def test_a_worker_that_asked_for_backoff_gets_no_requests(site, path):
    service = "engine" if path == "/chat/x" else "plain"
    for name in ("w1", "w2"):
        await site.add_worker(name, service)
    await site.add_entry()
    ask = site.chat if service == "engine" else site.ask
    await ask(path)
    asked = next(each for each in site.workers.values() if each.runs)
    start_shedding(asked)
    for number in range(40):
        # No worker has any part of the prompt cached.
        prompt = {"X-Prefix-Hash": f"a{number}:400,b{number}:600"}
        assert (await ask(path, headers=prompt)).status == 200
    assert asked.shed == 1


async def test_a_request_is_refused_at_once_if_all_workers_back_off(site):
    for name in ("w1", "w2"):
        start_shedding(await site.add_worker(name))
    await site.add_entry()
    await site.ask()
    answers = [await site.ask() for _ in range(20)]
    for answer in answers:
        assert answer.status == 503
        assert b"resting 2" in answer.body
        assert 0.0 < float(answer.headers["Retry-After"]) <= 2.5 * BACKOFF_S
    assert len({answer.headers["Retry-After"] for answer in answers}) > 1
    assert {each.shed for each in site.workers.values()} == {1}


async def test_a_backoff_ends_after_its_time(site):
    worker = await site.add_worker("w1")
    entry = await site.add_entry()
    start_shedding(worker, "0.2")
    assert (await site.ask()).status == 503
    worker.fault = WorkerFault.NONE
    assert (await site.ask()).status == 503
    backoffs = entry.edge.dispatcher.backoffs
    await until(
        lambda: backoffs.open_workers(
            list(entry.state.directory.workers.values())
        )
    )
    assert (await site.ask()).status == 200


async def test_a_backoff_applies_only_to_the_entry_that_received_it(site):
    for name in ("w1", "w2"):
        await site.add_worker(name)
    first = await site.add_entry("entry-1")
    second = await site.add_entry("entry-2", seeds=[str(first.settings.peers)])
    for worker in site.workers.values():
        start_shedding(worker)
    await site.ask(entry="entry-1")
    assert first.edge.dispatcher.backoffs.until
    assert not second.edge.dispatcher.backoffs.until


async def test_a_worker_that_sheds_without_retry_after_is_asked_again(site):
    worker = await site.add_worker("w1")
    await site.add_entry()
    start_shedding(worker, "")
    for _ in range(3):
        await site.ask()
    assert worker.shed == 3


@pytest.mark.parametrize(("session", "found"), [("s1", None), ("", "old")])
async def test_a_session_is_not_moved_while_its_version_backs_off(
    site, session, found
):
    for name in ("old", "new"):
        await site.add_worker(name)
    entry = await site.add_entry()
    dispatcher = entry.edge.dispatcher
    workers = entry.state.directory.workers
    split = VersionSplit([workers["new"]], [workers["old"]])
    dispatcher.rollouts = types.SimpleNamespace(split=lambda *_: split)
    dispatcher.backoffs.record_backoff(workers["new"].incarnation, BACKOFF_S)
    progress = RequestProgress(make_request(session=session), 1e9, "plain")
    choice = dispatcher.find_worker(progress, "")
    assert (choice and choice.worker.id) == found
    assert progress.excluded == {"resting": 1}
    assert progress.available_in_s > 0.0
