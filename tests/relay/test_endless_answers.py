"""Workers whose answers never end cost an entry little memory and time.

Guards against bytes without end in place of a head, or within any part of an
answer, that are kept until the memory is full or the caller has left.
"""

import time

import pytest

from tests.lib.endless_worker import ENDLESS, EndlessWorker
from tests.lib.platform_site import platform_site, until

DEADLINE_S = 3.0  # Of the callers of the site.
MAX_SENT = 24 * 2**20  # An answer of 16 MB, and what connections buffer.
PAUSES = {"fast": 0.0, "slow": 0.05}


@pytest.fixture
async def site():
    async with platform_site() as made:
        yield made


async def add_endless(site, name, kind, pause_s, service="plain"):
    worker = EndlessWorker(*ENDLESS[kind], pause_s=pause_s)
    await worker.start()
    site.workers[name] = worker
    site.register(name, service)
    return worker


@pytest.mark.parametrize("pace", PAUSES)
@pytest.mark.parametrize("kind", ENDLESS)
@pytest.mark.parametrize("path", ["/safe/x", "/unsafe/x", "/chat/x"])
async def test_an_endless_answer_ends_in_time(site, path, kind, pace):
    service = "engine" if path == "/chat/x" else "plain"
    workers = [
        await add_endless(site, name, kind, PAUSES[pace], service)
        for name in ("w1", "w2", "w3")
    ]
    entry = await site.add_entry()
    began_at = time.monotonic()
    send = site.chat if path == "/chat/x" else site.ask
    answer = await send(path)
    assert time.monotonic() - began_at < DEADLINE_S + 1.0
    assert answer.status >= 500 or not answer.complete
    await until(lambda: not sum(worker.open for worker in workers))
    for worker in workers:
        assert max(worker.sent, default=0) <= MAX_SENT
    tries = sum(worker.targets.count(path) for worker in workers)
    assert tries == 1 if path == "/unsafe/x" else 1 <= tries <= 3
    assert not entry.edge.dispatcher.rollouts.running


@pytest.mark.parametrize("kind", ["no head", "chunks", "trailers"])
async def test_other_callers_are_answered_beside_an_endless_answer(site, kind):
    await add_endless(site, "bad", kind, 0.0)
    await site.add_worker("good")
    await site.add_entry()
    for _ in range(6):
        answer = await site.ask()
        assert (answer.status, answer.complete) == (200, True)
