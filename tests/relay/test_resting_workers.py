"""Workers that turn requests away and ask for rest, before real entries."""

import pytest

from rattanpier._internal.standin.platform_worker import WorkerFault
from tests.lib.platform_site import platform_site

REST_S = 2.0


@pytest.fixture
async def site():
    async with platform_site() as made:
        yield made


def tire(worker, rest=str(REST_S)):
    """A worker turns all away from now on."""
    worker.fault = WorkerFault.SHED
    worker.rest = rest


@pytest.mark.parametrize("path", ["/safe/x", "/chat/x"])
async def test_a_worker_that_asked_for_rest_is_not_asked_again(site, path):
    service = "engine" if path == "/chat/x" else "plain"
    for name in ("w1", "w2"):
        await site.add_worker(name, service)
    await site.add_entry()
    ask = site.chat if service == "engine" else site.ask
    await ask(path)
    asked = next(each for each in site.workers.values() if each.runs)
    tire(asked)
    for number in range(40):
        # No prompt is kept anywhere.
        prompt = {"X-Prefix-Hash": f"a{number}:400,b{number}:600"}
        assert (await ask(path, headers=prompt)).status == 200
    assert asked.shed == 1
