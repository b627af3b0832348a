"""Workers excluded from new requests, on a controlled clock."""

import aiohttp
import pytest

from rattanpier._internal.dispatch.failures import UpstreamError
from rattanpier._internal.membership.workers import EXCLUSION_TTL_S, Workers
from rattanpier._internal.models.configuration import (
    Upstream,
    UpstreamKind,
    Worker,
)
from rattanpier._internal.store.vms import Vm, VmState
from tests.lib.builders import build_configuration
from tests.lib.network import Network

POOL = 4
DETECT_S = 3.0


class Fleet:
    """Entries with a pool of workers whose answers are set by tests."""

    def __init__(self):
        self.network = Network()
        self.nodes = []
        self.alive = {f"http://10.0.1.{n}:80": True for n in range(POOL)}
        self.vms = []
        self.probes = 0
        workers = {
            f"w{number}": Worker(url, "a")
            for number, url in enumerate(self.alive)
        }
        self.configuration = build_configuration(
            upstreams={"pool": Upstream(UpstreamKind.ENGINE, workers)}
        )

    async def probe(self, url):
        self.probes += 1
        await self.network.clock.sleep(0.01)
        return self.alive[url]

    async def read_vms(self):
        return self.vms

    async def start(self, size):
        for number in range(size):
            node = await self.network.start(f"n{number}")
            node.workers = Workers(
                configuration=lambda: self.configuration,
                members=node.members,
                clock=node.members.clock,
                metrics=node.metrics,
                probe=self.probe,
                spawn=node.kernel.spawn,
                read_vms=self.read_vms,
            )
            node.server.on_notice("worker", node.workers.apply_notice)
            node.kernel.spawn(node.workers.run(node.kernel))
            node.kernel.spawn(node.workers.follow_vms(node.kernel))
            self.nodes.append(node)
        await self.network.clock.advance(5)

    def fail(self, number):
        self.alive[f"http://10.0.1.{number}:80"] = False

    def recover(self, number):
        self.alive[f"http://10.0.1.{number}:80"] = True

    def excluded(self):
        """Returns the workers that each entry excludes."""
        return [sorted(node.workers) for node in self.nodes]


@pytest.fixture
async def fleet():
    fleet = Fleet()
    await fleet.start(12)
    yield fleet
    await fleet.network.stop()


async def test_silent_worker_is_excluded_by_all_entries_until_it_answers(fleet):
    fleet.fail(1)
    await fleet.network.clock.advance(DETECT_S)
    assert fleet.excluded() == [["w1"]] * 12
    await fleet.network.clock.advance(10 * EXCLUSION_TTL_S)
    assert fleet.excluded() == [["w1"]] * 12
    fleet.recover(1)
    await fleet.network.clock.advance(DETECT_S)
    assert fleet.excluded() == [[]] * 12


async def test_leaving_worker_is_excluded_although_it_answers_probes(fleet):
    fleet.vms = [Vm("10.0.1.2", VmState.LEAVING), Vm("10.0.1.1")]
    await fleet.network.clock.advance(DETECT_S)
    assert fleet.excluded() == [["w2"]] * 12
    await fleet.network.clock.advance(4 * EXCLUSION_TTL_S)
    assert fleet.excluded() == [["w2"]] * 12
    fleet.vms = []
    await fleet.network.clock.advance(DETECT_S)
    assert fleet.excluded() == [[]] * 12


async def test_refused_connection_excludes_a_worker_on_all_entries_at_once(
    fleet,
):
    fleet.fail(3)
    error = UpstreamError("can't connect", True)
    error.__cause__ = aiohttp.ClientConnectorError(None, OSError())
    fleet.nodes[7].workers.record_failure("w3", error)
    assert "w3" in fleet.nodes[7].workers
    await fleet.network.clock.advance(0.1)
    assert fleet.excluded() == [["w3"]] * 12


async def test_refusal_by_a_full_worker_does_not_exclude_it(fleet):
    fleet.nodes[7].workers.record_failure("w3", UpstreamError("full", True))
    await fleet.network.clock.advance(0.1)
    assert fleet.excluded() == [[]] * 12


async def test_half_of_a_silent_pool_stays_in_use(fleet):
    for number in range(POOL):
        fleet.fail(number)
    await fleet.network.clock.advance(DETECT_S)
    assert all(len(names) == POOL // 2 for names in fleet.excluded())


async def test_pool_whose_workers_all_leave_is_excluded(fleet):
    fleet.vms = [
        Vm(f"10.0.1.{number}:80", VmState.LEAVING) for number in range(POOL)
    ]
    await fleet.network.clock.advance(DETECT_S)
    assert all(len(names) == POOL for names in fleet.excluded())


async def test_silent_worker_is_excluded_when_its_probing_entries_die_too(
    fleet,
):
    share = {
        node.name: {name for name, _ in node.workers.assigned_workers()}
        for node in fleet.nodes
    }
    probers = [node for node in fleet.nodes if "w1" in share[node.name]]
    assert len(probers) == 2
    fleet.fail(1)
    for node in probers:
        await node.kill()
    await fleet.network.clock.advance(15)
    rest = [node for node in fleet.nodes if node not in probers]
    assert all(sorted(node.workers) == ["w1"] for node in rest)


async def test_exclusion_expires_when_the_recovery_notice_is_lost(fleet):
    alone = next(
        node for node in fleet.nodes if not node.workers.assigned_workers()
    )
    fleet.fail(1)
    await fleet.network.clock.advance(DETECT_S)
    alone.server.notices["worker"] = []
    fleet.recover(1)
    await fleet.network.clock.advance(DETECT_S)
    assert sorted(alone.workers) == ["w1"]
    await fleet.network.clock.advance(EXCLUSION_TTL_S)
    assert fleet.excluded() == [[]] * 12


async def test_probes_per_worker_do_not_grow_with_the_fleet(fleet):
    fleet.probes = 0
    await fleet.network.clock.advance(40)
    assert fleet.probes == pytest.approx(POOL * 2 * 40 / 0.8, rel=0.1)
