"""Workers that say in their answers that they leave, before real entries."""

import pytest

from tests.lib.platform_site import platform_site


@pytest.fixture
async def site():
    async with platform_site() as made:
        yield made


async def heard(site, path="/safe/x", **more):
    """Asks until an answer of w1 came, and returns how often it ran by then."""
    worker = site.workers["w1"]
    before = len(worker.runs)
    while len(worker.runs) == before:
        await site.ask(path, **more)
    return len(worker.runs)


async def test_nothing_is_sent_to_a_worker_whose_answer_said_it_leaves(site):
    for name in ("w1", "w2"):
        await site.add_worker(name)
    await site.add_entry()
    site.workers["w1"].leaving = True
    runs = await heard(site)
    # Its row says that it is ready, and goes on saying so.
    site.register("w1", sequence=2)
    for _ in range(40):
        assert (await site.ask()).status == 200
        assert (await site.ask("/unsafe/x")).status == 200
    assert len(site.workers["w1"].runs) == runs
