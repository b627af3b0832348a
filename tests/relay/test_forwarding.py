"""Requests that an entry without a path to the workers forwards to a peer."""

import asyncio
import time

import pytest

from rattanpier._internal.programs.relay import close
from tests.lib.cut_site import (
    ENTRIES,
    add_entry,
    cut_site,
    lose_path,
    sum_of,
    unreachable,
)
from tests.lib.platform_site import (
    event_numbers,
    manifest_with_route,
    until,
)
from tests.lib.worker_cuts import Cut, WorkerCut, cut_off

PATHS = ("/safe/x", "/unsafe/x", "/chat/x")
AT_ONCE_S = 0.2
LEAVING = ("entry-1", "entry-2")


@pytest.fixture
async def site():
    async with cut_site() as made:
        yield made


async def ask(site, path, entry, **more):
    send = site.chat if path.startswith("/chat") else site.ask
    return await send(path, entry=entry, **more)


def listed(site, name):
    return {member.name for member in site.entries[name].fleet.entries()}


@pytest.mark.parametrize("kind", [Cut.REFUSED, Cut.SILENT, Cut.HALF])
async def test_known_loss_of_the_path_delays_no_request(site, kind):
    (cut,) = cut_off(site, "entry-0")
    await lose_path(site, cut, kind=kind)
    for path in PATHS:
        began = time.monotonic()
        answer = await ask(site, path, "entry-0")
        assert answer.status == 200
        assert answer.complete
        assert time.monotonic() - began < AT_ONCE_S


async def test_forwarded_request_runs_once_as_the_caller_sent_it(site):
    (cut,) = cut_off(site, "entry-0")
    await lose_path(site, cut, kind=Cut.REFUSED)
    answer = await site.ask(
        "/unsafe/a%2Fb?q=1",
        entry="entry-0",
        method="POST",
        data=b"body",
        headers={"X-Own": "1"},
    )
    id = answer.headers["X-Attempt-Id"]
    runs = [
        run
        for worker in site.workers.values()
        for run in worker.runs
        if run.id == id
    ]
    assert len(runs) == 1
    run = runs[0]
    assert (run.method, run.target, run.body) == (
        "POST",
        "/unsafe/a%2Fb?q=1",
        b"body",
    )
    assert run.headers["x-own"] == "1"
    assert run.headers["x-tenant"] == "acme"
    assert 2500 < int(run.headers["x-deadline-ms"]) <= 3000
    assert answer.headers["X-Response-Signature"].endswith(id)


async def test_stream_arrives_event_by_event(site):
    for worker in site.workers.values():
        worker.event_gap_s = 0.1
    (cut,) = cut_off(site, "entry-0")
    await lose_path(site, cut, kind=Cut.REFUSED)
    answer = await ask(site, "/chat/x", "entry-0")
    assert event_numbers(answer.body) == [1, 2, 3, 4, 5]
    assert sum_of(site, "relay.received_from_peer") >= 1


async def test_path_is_used_again_within_a_second_of_its_return(site):
    (cut,) = cut_off(site, "entry-0")
    await lose_path(site, cut, kind=Cut.SILENT)
    cut.set(Cut.NONE)
    await until(lambda: not unreachable(site, "entry-0"), 1.0)
    before = sum_of(site, "relay.forwarded")
    assert (await site.ask(entry="entry-0")).status == 200
    assert sum_of(site, "relay.forwarded") == before


async def test_service_whose_workers_were_all_replaced_is_reached(site):
    for name in ("w0", "w1", "w2", "w3"):
        await site.workers[name].stop()
    await ask(site, "/safe/x", "entry-0")
    assert unreachable(site, "entry-0") == ["plain"]
    for name in ("w0", "w1", "w2", "w3"):
        site.store.remove("servers", name)
    await until(lambda: not unreachable(site, "entry-0"))
    await asyncio.sleep(0.5)
    await site.add_worker("w9")
    directory = site.entries["entry-0"].state.directory
    await until(lambda: directory.accepts_requests("w9"))
    assert (await ask(site, "/safe/x", "entry-0")).status == 200


async def test_entry_without_a_path_is_left_out_of_the_list(site):
    (cut,) = cut_off(site, "entry-0")
    await lose_path(site, cut, kind=Cut.REFUSED)
    for name in ENTRIES:
        await until(lambda name=name: "entry-0" not in listed(site, name), 1.0)
    cut.set(Cut.NONE)
    for name in ENTRIES:
        await until(lambda name=name: "entry-0" in listed(site, name), 3.0)


async def test_list_is_not_left_to_a_few_entries(site):
    cuts = cut_off(site, *ENTRIES[:3])
    await lose_path(site, *cuts, kind=Cut.REFUSED)
    await until(lambda: sum_of(site, "relay.request") > 0)
    assert listed(site, "entry-3") == set(ENTRIES)


async def test_requests_are_refused_at_once_if_no_entry_reaches_workers(site):
    cuts = cut_off(site, *ENTRIES)
    await lose_path(site, *cuts, kind=Cut.SILENT)
    for name in ENTRIES:
        for path in PATHS:
            began = time.monotonic()
            answer = await ask(site, path, name)
            assert answer.status == 503
            assert b"no_path" in answer.body
            assert 0.5 <= float(answer.headers["Retry-After"]) <= 1.0
            assert time.monotonic() - began < AT_ONCE_S


async def test_cut_entries_do_not_forward_to_each_other(site):
    cuts = cut_off(site, *ENTRIES[:2])
    await lose_path(site, *cuts, kind=Cut.REFUSED)
    for name in ENTRIES[:2]:
        for path in PATHS:
            assert (await ask(site, path, name)).status == 200
    assert not sum_of(site, "relay.received_from_peer", ENTRIES[:2])


async def test_peer_that_lost_its_path_unnoticed_is_passed_over(site):
    cuts = cut_off(site, *ENTRIES[:3])
    await lose_path(site, cuts[0], kind=Cut.REFUSED)
    for cut in cuts[1:]:
        cut.set(Cut.REFUSED)
    answers = [await ask(site, path, "entry-0") for path in PATHS]
    assert [answer.status for answer in answers] == [200, 200, 200]


async def test_crashed_service_is_told_from_a_lost_path(site):
    for name in ("w0", "w1", "w2", "w3"):
        await site.workers[name].stop()
    answer = await ask(site, "/safe/x", "entry-0")
    assert answer.status == 503
    assert (await ask(site, "/chat/x", "entry-0")).status == 200
    assert listed(site, "entry-1") == set(ENTRIES)


async def test_first_request_after_the_cut_may_use_the_only_worker():
    async with cut_site(plain=1, engines=1) as site:
        (cut,) = cut_off(site, "entry-0")
        cut.set(Cut.REFUSED)
        for path in PATHS:
            assert (await ask(site, path, "entry-0")).status == 200


async def test_peer_of_an_older_version_is_passed_over(site):
    (cut,) = cut_off(site, "entry-0")
    await lose_path(site, cut, kind=Cut.REFUSED)
    for name in ("entry-1", "entry-2"):
        server = site.entries[name].kernel.find("peer_server")
        server.forward_handler = None
    for path in PATHS:
        assert (await ask(site, path, "entry-0")).status == 200


async def test_one_crashed_worker_is_no_lost_path(site):
    await site.workers["w0"].stop()
    for _ in range(12):
        assert (await ask(site, "/unsafe/x", "entry-0")).status == 200
    assert not unreachable(site, "entry-0")
    assert not sum_of(site, "relay.forwarded")


async def test_failures_of_a_lost_path_count_against_no_worker(site):
    for worker in site.workers.values():
        worker.event_gap_s = 0.2
        worker.work_s = 0.5
    dispatcher = site.entries["entry-0"].edge.dispatcher
    (cut,) = cut_off(site, "entry-0")
    asked = [
        asyncio.ensure_future(ask(site, path, "entry-0", data=b"same"))
        if not path.startswith("/chat")
        else asyncio.ensure_future(ask(site, path, "entry-0"))
        for path in PATHS
        for _ in range(3)
    ]
    await until(lambda: sum_of(site, "relay.sent", ENTRIES[:1]) >= 9)
    await asyncio.sleep(0.1)
    cut.set(Cut.REFUSED)
    await asyncio.gather(*asked)
    assert not dispatcher.quarantine.crashes
    assert not dispatcher.terminations.terminated_at
    records = dispatcher.health.records.values()
    assert not [each for each in records if each.avoided_until]
    cut.set(Cut.NONE)
    await until(lambda: not unreachable(site, "entry-0"), 1.0)


async def test_worker_stops_when_the_caller_of_a_forwarded_stream_leaves(site):
    for worker in site.workers.values():
        worker.event_gap_s = 0.2
    (cut,) = cut_off(site, "entry-0")
    await lose_path(site, cut, kind=Cut.REFUSED)
    asked = asyncio.ensure_future(ask(site, "/chat/x", "entry-0"))
    runs = len(site.runs())
    await until(lambda: len(site.runs()) > runs)
    asked.cancel()
    await until(
        lambda: any(worker.stopped for worker in site.workers.values()), 0.5
    )


async def test_stream_goes_on_at_another_peer_when_the_first_one_dies(site):
    for worker in site.workers.values():
        worker.event_gap_s = 0.3
    (cut,) = cut_off(site, "entry-0")
    await lose_path(site, cut, kind=Cut.REFUSED)
    asked = asyncio.ensure_future(ask(site, "/chat/x", "entry-0"))
    await until(lambda: serving_peer(site) is not None)
    await asyncio.sleep(0.7)
    await close(site.entries.pop(serving_peer(site)))
    answer = await asked
    assert answer.complete
    assert event_numbers(answer.body) == [1, 2, 3, 4, 5]


def serving_peer(site):
    """Returns the name of an entry that answers a forwarded request now."""
    for name, entry in site.entries.items():
        if name != "entry-0" and entry.drain.running:
            return name
    return None


async def test_request_that_may_not_repeat_does_not_after_its_peer_died(site):
    for worker in site.workers.values():
        worker.work_s = 1.0
    (cut,) = cut_off(site, "entry-0")
    await lose_path(site, cut, kind=Cut.REFUSED)
    asked = asyncio.ensure_future(ask(site, "/unsafe/x", "entry-0"))
    await until(lambda: serving_peer(site) is not None)
    await asyncio.sleep(0.2)
    await close(site.entries.pop(serving_peer(site)))
    answer = await asked
    assert answer.status == 502
    assert "Retry-After" not in answer.headers
    await asyncio.sleep(0.3)
    assert site.runs()[answer.headers["X-Attempt-Id"]] == 1


async def test_peer_that_failed_is_avoided_for_a_moment(site):
    (cut,) = cut_off(site, "entry-0")
    await lose_path(site, cut, kind=Cut.REFUSED)
    forwarder = site.entries["entry-0"].edge.dispatcher.forwarder
    forwarder.record_failed("entry-2")  # The nearest one.
    before = sum_of(site, "relay.received_from_peer", ("entry-2",))
    for path in PATHS:
        assert (await ask(site, path, "entry-0")).status == 200
    assert sum_of(site, "relay.received_from_peer", ("entry-2",)) == before


async def test_entry_that_starts_without_a_path_serves(site):
    await close(site.entries.pop("entry-0"))
    entry = await add_entry(site, "entry-0", 0)
    WorkerCut(entry).install().set(Cut.SILENT)
    await until(lambda: len(entry.fleet.live()) == 4)
    for path in PATHS:
        assert (await ask(site, path, "entry-0")).status == 200


async def test_leaving_peer_takes_no_forwarded_request(site):
    (cut,) = cut_off(site, "entry-0")
    await lose_path(site, cut, kind=Cut.REFUSED)
    for name in LEAVING:
        site.entries[name].drain.begin()
        site.entries[name].gossip.broadcast_changes()
    await asyncio.sleep(0.2)
    before = sum_of(site, "relay.received_from_peer", LEAVING)
    for path in PATHS:
        assert (await ask(site, path, "entry-0")).status == 200
    assert sum_of(site, "relay.received_from_peer", LEAVING) == before


async def test_leaving_peers_serve_if_no_other_reaches_workers(site):
    (cut,) = cut_off(site, "entry-0")
    await lose_path(site, cut, kind=Cut.REFUSED)
    for name in ENTRIES[1:]:
        site.entries[name].drain.begin()
        site.entries[name].gossip.broadcast_changes()
    await asyncio.sleep(0.2)
    for path in PATHS:
        assert (await ask(site, path, "entry-0")).status == 200


async def test_route_of_the_entry_that_took_the_request_decides(site):
    """A peer that has not read the new routes yet uses those of the sender."""
    (cut,) = cut_off(site, "entry-0")
    await lose_path(site, cut, kind=Cut.REFUSED)
    document = manifest_with_route("safe", service="engine")
    table = site.entries["entry-0"].state.table
    site.store.put("op", "config", document)
    await until(lambda: site.entries["entry-0"].state.table is not table)
    answer = await ask(site, "/safe/x", "entry-0")
    assert answer.status == 200
    assert answer.headers["X-Response-Signature"].startswith("e")
