"""Requests that arrive while an entry starts are answered, not refused.

Guards against refused connections during startup, which takes 1.5 s on a small
VM. When all 77 entries had lost power for a second, callers spent their only
retry on entries that did not listen yet: in these two seconds, 0.34 of the
service due to callers was delivered.
"""

import asyncio
import time

import aiohttp
import pytest

from rattanpier._internal.peers.proto import peer_pb2
from rattanpier._internal.platform.early_listener import open_early
from rattanpier._internal.programs.relay_listen import START_WAIT_S
from rattanpier._internal.relay.fleet import Fleet
from rattanpier._internal.relay.gossip import Gossip
from rattanpier._internal.relay.snapshots import (
    MAX_PEERS_ASKED,
    Snapshot,
    Snapshots,
)
from rattanpier._internal.standin.platform_store import (
    StoreFault,
    StoreListener,
)
from rattanpier._internal.utils.codec import unpack
from tests.lib.clock import ManualClock
from tests.lib.platform_site import (
    HOST,
    KEY,
    manifest,
    platform_site,
    route,
    to_json,
    until,
)
from tests.lib.relay_process import start_entry
from tests.relay.test_fleet import make_entry_state


@pytest.fixture
async def site():
    async with platform_site() as made:
        await made.add_worker("w1")
        yield made


async def connect(address):
    """Connects as soon as the address accepts connections."""
    async with asyncio.timeout(20):
        while True:
            try:
                return await asyncio.open_connection(address.host, address.port)
            except OSError:
                await asyncio.sleep(0.002)


async def is_listening(address):
    try:
        _, writer = await asyncio.open_connection(address.host, address.port)
    except OSError:
        return False
    writer.close()
    return True


async def test_a_request_before_the_modules_are_loaded_is_answered(
    site, tmp_path
):
    entry = await start_entry(site.store_address, tmp_path)
    try:
        reader, writer = await connect(entry.settings.callers)
        # The modules of the entry are not loaded yet.
        assert not await is_listening(entry.settings.readiness)
        writer.write(
            f"GET /safe/x HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: 1\r\n"
            f"Authorization: Bearer {KEY}\r\n"
            "X-Deadline-Ms: 8000\r\n\r\n".encode()
        )
        async with asyncio.timeout(10):
            assert b" 200 " in await reader.readline()
        writer.close()
    finally:
        await entry.kill()


async def test_a_request_during_startup_waits_for_the_routes(site):
    site.store.set_fault(StoreFault.BUSY)
    await site.add_entry(ready=False)
    asked = asyncio.ensure_future(site.ask())
    await asyncio.sleep(0.3)
    assert not asked.done()
    site.store.set_fault(StoreFault.NONE)
    assert (await asked).status == 200


async def test_requests_are_refused_soon_if_startup_finds_no_store(site):
    site.store.set_fault(StoreFault.BUSY)
    await site.add_entry(ready=False)
    started_at = time.monotonic()
    answer = await site.ask()
    assert answer.status == 503
    assert float(answer.headers["Retry-After"]) > 0
    assert time.monotonic() - started_at < START_WAIT_S + 0.3
    started_at = time.monotonic()
    assert (await site.ask()).status == 503
    assert time.monotonic() - started_at < 0.2


async def test_a_request_whose_caller_disconnected_during_startup_is_not_run(
    site,
):
    site.store.set_fault(StoreFault.BUSY)
    await site.add_entry(ready=False)
    with pytest.raises((TimeoutError, aiohttp.ClientError)):
        await asyncio.wait_for(site.ask("/unsafe/x"), 0.2)
    site.store.set_fault(StoreFault.NONE)
    assert (await site.ask()).status == 200
    assert len(site.workers["w1"].runs) == 1


async def test_routes_are_loaded_from_a_peer_if_the_store_is_slow(site):
    first = await site.add_entry("entry-1")
    door = StoreListener(slow_s={"op": 8.0})
    second = await site.add_entry(
        "entry-2",
        ready=False,
        store=await site.add_door(door),
        seeds=[str(first.settings.peers)],
    )
    started_at = time.monotonic()
    assert (await site.ask(entry="entry-2")).status == 200
    assert time.monotonic() - started_at < START_WAIT_S
    assert second.state.table == first.state.table


async def test_startup_asks_no_seeds_after_one_that_answered(site, monkeypatch):
    asked = []
    compare = Gossip.compare

    async def note(gossip, peer):
        asked.append(peer.name)
        await compare(gossip, peer)

    seeds = [
        str((await site.add_entry(f"entry-{number}")).settings.peers)
        for number in range(3)
    ]
    door = StoreListener(slow_s={"entries": 8.0})
    new_entry = await site.add_entry(
        "entry-9",
        ready=False,
        store=await site.add_door(door),
        seeds=["127.0.0.1:9", *seeds],
    )
    monkeypatch.setattr(Gossip, "compare", note)
    await until(lambda: len(new_entry.fleet.live()) == 4)
    assert [name for name in asked if name in seeds[1:]] == []


@pytest.mark.parametrize(
    ("ready", "reaches_store", "asked"),
    [
        ({"e2", "e3"}, True, {"e2", "e3"}),
        ({"e3"}, True, {"e3"}),
        (set(), True, set()),
        ({"e3"}, False, {"e3"}),
    ],
)
def test_ready_peers_are_asked_first(ready, reaches_store, asked):
    clock = ManualClock()
    fleet = Fleet(make_entry_state("e1", store=reaches_store), clock)
    fleet.apply_states(
        make_entry_state(name, ready=name in ready)
        for name in ("e2", "e3", "e4")
    )
    snapshots = Snapshots(fleet, None, clock, None, None, None)
    names = [state.member.name for state in snapshots.candidate_peers()]
    assert set(names[: len(asked)]) == asked
    assert len(names) == (len(asked) if reaches_store else MAX_PEERS_ASKED)


async def test_the_snapshot_of_a_long_table_is_small(site):
    document = manifest(2)
    document["routes"] += [
        route(f"more-{number}", "safe", "plain") for number in range(1600)
    ]
    site.store.put("op", "config", document)
    first = await site.add_entry("entry-1")
    reply = await first.gossip.snapshots.serve(peer_pb2.Call())
    assert reply.ByteSize() < 0.1 * len(to_json(document))
    snapshot = unpack(Snapshot, reply.snapshot.packed)
    assert snapshot.table() == first.state.table


@pytest.mark.parametrize(
    "text", ["", "{", "[]", '{"listen": 1}', '{"listen": {"frontend": "x"}}']
)
def test_unreadable_settings_open_no_listener(tmp_path, text):
    path = tmp_path / "node.json"
    path.write_text(text)
    assert open_early(str(path)) is None
    assert open_early(str(tmp_path / "missing")) is None
