"""End-to-end handling of requests by an entry on the stand-in platform."""

import asyncio

import attrs
import pytest

from rattanpier._internal.standin.platform_worker import WorkerFault
from tests.lib.platform_site import (
    KEY,
    LARGE,
    SMALL,
    event_numbers,
    manifest,
    manifest_with_route,
    platform_site,
    route,
    until,
)


@pytest.fixture
async def site():
    async with platform_site() as made:
        yield made


async def test_a_request_and_its_answer_are_forwarded_unchanged(site):
    worker = await site.add_worker("w1")
    await site.add_entry()
    answer = await site.ask(
        "/safe/a%2Fb?q=1", method="POST", data=b"body", headers={"X-Own": "1"}
    )
    run = worker.runs[0]
    assert answer.status == 200
    assert answer.body == f"w1 ran {run.id}".encode()
    assert answer.headers["X-Response-Signature"] == f"w1.{run.id}"
    assert (run.method, run.target, run.body) == (
        "POST",
        "/safe/a%2Fb?q=1",
        b"body",
    )
    assert run.headers["x-own"] == "1"
    assert run.headers["x-tenant"] == "acme"
    assert run.headers["x-expected-instance"] == "w1"
    assert 0 < int(run.headers["x-deadline-ms"]) <= 3000
    assert "authorization" not in run.headers


async def test_reserved_headers_of_callers_are_not_forwarded(site):
    worker = await site.add_worker("w1")
    await site.add_entry()
    reserved_headers = {
        "X-Tenant": "other",
        "X-Expected-Instance": "w9",
        "X-Expected-Version": "9",
        "X-Request-Priority": "0",
        "X-Pin-Ms": "9",
        "X-Retain-Cache": "h",
        "X-Kv-Backup": "10.0.0.1:1",
        "Kv-From": "10.0.0.1:1/x",
        "Kv-Fetch": "10.0.0.1:1",
    }
    answer = await site.ask(headers=reserved_headers)
    headers = worker.runs[0].headers
    assert answer.status == 200
    assert headers["x-tenant"] == "acme"
    assert headers["x-expected-instance"] == "w1"
    assert not {name.lower() for name in reserved_headers} & headers.keys() - {
        "x-tenant",
        "x-expected-instance",
    }


@pytest.mark.parametrize(
    ("path", "headers", "status"),
    [
        ("/nothing/x", {}, 404),
        ("/safe", {}, 404),
        ("/safe/x", {"Host": "other.example"}, 404),
        ("/safe/x", {"Authorization": "Bearer wrong"}, 401),
        ("/safe/x", {"X-Attempt-Id": ""}, 400),
    ],
)
async def test_requests_without_route_key_or_id_are_refused(
    site, path, headers, status
):
    worker = await site.add_worker("w1")
    await site.add_entry()
    assert (await site.ask(path, headers=headers)).status == status
    assert not worker.runs


async def test_a_public_route_needs_no_key():
    document = manifest()
    document["routes"].append(route("open", "safe", "plain", public=True))
    async with platform_site(document) as site:
        worker = await site.add_worker("w1")
        await site.add_entry()
        answer = await site.ask("/open/x", headers={"Authorization": ""})
        assert answer.status == 200
        assert "x-tenant" not in worker.runs[0].headers


async def test_a_body_over_the_limit_is_refused(site):
    worker = await site.add_worker("w1")
    await site.add_entry()
    answer = await site.ask(method="POST", data=b"x" * 100001)
    assert answer.status == 413
    assert not worker.runs


async def test_a_request_without_workers_is_refused_with_retry_after(site):
    await site.add_entry()
    answer = await site.ask()
    assert answer.status == 503
    assert float(answer.headers["Retry-After"]) > 0


async def test_all_events_of_a_stream_are_forwarded_in_order(site):
    await site.add_worker("e1", "engine")
    await site.add_entry()
    answer = await site.chat()
    assert answer.status == 200
    assert answer.complete
    assert event_numbers(answer.body) == [1, 2, 3, 4, 5]


async def test_low_confidence_escalates_to_the_large_model(site):
    worker = await site.add_worker(
        "e1", "engine", confidence={SMALL: 10.0, LARGE: 90.0}
    )
    await site.add_entry()
    answer = await site.chat()
    assert event_numbers(answer.body) == [1, 2, 3, 4, 5]
    assert answer.headers["X-Confidence"] == "90.0"
    assert [run.headers["x-model"] for run in worker.runs] == [SMALL, LARGE]


async def test_high_confidence_does_not_escalate(site):
    worker = await site.add_worker("e1", "engine", confidence={SMALL: 90.0})
    await site.add_entry()
    await site.chat()
    assert [run.headers["x-model"] for run in worker.runs] == [SMALL]


async def test_a_route_timeout_is_answered_and_cancels_the_work(site):
    worker = await site.add_worker("w1", work_s=5.0)
    site.store.put("op", "config", manifest_with_route("unsafe", timeoutMs=200))
    await site.add_entry()
    loop = asyncio.get_running_loop()
    began = loop.time()
    answer = await site.ask("/unsafe/x")
    assert answer.status == 504
    assert loop.time() - began < 2.0
    await until(lambda: worker.stopped)
    assert int(worker.runs[0].headers["x-deadline-ms"]) <= 200


async def test_a_disconnected_caller_cancels_the_work(site):
    worker = await site.add_worker("w1", work_s=30.0)
    await site.add_entry()
    asking = asyncio.create_task(site.ask("/unsafe/x"))
    await until(lambda: worker.runs)
    asking.cancel()
    await until(lambda: worker.stopped)
    assert worker.stopped == [worker.runs[0].id]


async def test_the_directory_lists_only_ready_entries(site):
    await site.add_worker("w1")
    ready_entry = await site.add_entry("entry-1")
    leaving_entry = await site.add_entry("entry-2")
    await until(lambda: len(ready_entry.fleet.entries()) == 2)
    url = f"http://{ready_entry.settings.directory}/rattanpier/resolve?name=x"
    async with site.session.get(url) as response:
        listing = await response.json()
    assert sorted(listing["addresses"]) == sorted(
        str(entry.settings.callers) for entry in (ready_entry, leaving_entry)
    )
    assert 0 < listing["ttlS"] <= 5
    leaving_entry.drain.begin()
    await leaving_entry.gossip.round()
    assert [member.name for member in ready_entry.fleet.entries()] == [
        "entry-1"
    ]


async def test_metrics_are_rendered_as_prometheus_text(site):
    worker = await site.add_worker("w1")
    entry = await site.add_entry()
    await site.ask()
    assert worker.runs
    from rattanpier._internal.relay.exposition import render

    text = render(entry.metrics).decode()
    assert "rattanpier_relay_request_total 1.0" in text
    assert "rattanpier_relay_request_s_bucket" in text


async def test_a_request_shed_by_a_full_worker_runs_at_another(site):
    await site.add_worker("w1", fault=WorkerFault.SHED)
    await site.add_worker("w2")
    await site.add_entry()
    for _ in range(6):
        assert (await site.ask("/unsafe/x")).status == 200
    assert set(site.runs().values()) == {1}


async def test_api_keys_are_not_forwarded_to_workers(site):
    worker = await site.add_worker("w1")
    await site.add_entry()
    await site.ask(headers={"Authorization": f"bearer {KEY}"})
    assert KEY not in str(worker.runs[0].headers)


async def test_a_worker_with_a_changed_identity_is_asked_once():
    async with platform_site() as site:
        replaced = await site.add_worker("taken", "engine")
        other = await site.add_worker("other", "engine")
        await site.add_entry()
        replaced.id = "started-anew"
        answers = [
            await site.chat(headers={"X-Prefix-Hash": f"a{number}:900,b:100"})
            for number in range(12)
        ]
        assert all(answer.complete for answer in answers)
        assert {answer.status for answer in answers} == {200}
        assert len(other.runs) >= 12
        dispatcher = site.entries["entry-1"].edge.dispatcher
        misdirected_sends = dispatcher.metrics.counts[
            "relay.send_failed.not_run"
        ]
        assert misdirected_sends == 1


async def test_connections_that_fail_use_up_no_retry_budget(site):
    for name in ("w1", "w2", "w3"):
        await site.add_worker(name)
    await site.add_entry(budgetSlack=0, retryBudgetRatio=0)
    await site.workers["w1"].stop()
    for _ in range(20):
        assert (await site.ask("/unsafe/x")).status == 200


async def test_the_head_of_an_answer_is_decoded_once(site):
    """Decoding it twice took a twentieth of the CPU time of a request."""
    await site.add_worker("w1")
    entry = await site.add_entry()
    sender = entry.edge.dispatcher.sender
    decode, decoded = sender.dialect.decode, []

    def decode_counting(head):
        decoded.append(head)
        return decode(head)

    sender.dialect = attrs.evolve(sender.dialect, decode=decode_counting)
    assert (await site.ask()).status == 200
    assert len(decoded) == 1


async def test_a_stream_needs_no_timer_for_each_event(site, monkeypatch):
    """Timers for the deadline took 7% of the CPU time of an event."""
    await site.add_worker("e1", service="engine", events=50, event_gap_s=0.001)
    await site.add_entry()
    loop = asyncio.get_running_loop()
    call_at, started = loop.call_at, []

    def call_at_counting(when, callback, *arguments, **more):
        started.append(getattr(callback, "__name__", ""))
        return call_at(when, callback, *arguments, **more)

    monkeypatch.setattr(loop, "call_at", call_at_counting)
    answer = await site.chat()
    assert event_numbers(answer.body) == list(range(1, 51))
    assert started.count("expire") == 1
    assert started.count("_on_timeout") < 10


async def test_a_stream_that_stalls_is_cut_at_its_deadline(site, monkeypatch):
    """Without a deadline, the caller would wait as long as the worker."""
    worker = await site.add_worker("e1", service="engine", events=5)
    await site.add_entry()

    async def numbers_then_stall(worker, run, writer, first):
        for number in (1, 2):
            yield number
        await worker.work(run, writer, 30.0)

    with monkeypatch.context() as patch:
        patch.setattr(type(worker), "numbers", numbers_then_stall)
        loop = asyncio.get_running_loop()
        began = loop.time()
        answer = await site.chat(headers={"X-Deadline-Ms": "700"})
        assert loop.time() - began < 3.0
    assert not answer.complete
    assert event_numbers(answer.body) == [1, 2]
    await until(lambda: worker.stopped)
    # The timer of the first exchange does not end the next one.
    answer = await site.chat()
    assert event_numbers(answer.body) == [1, 2, 3, 4, 5]


async def test_time_to_connect_is_not_handed_to_the_worker(site):
    worker = await site.add_worker("w1")
    entry = await site.add_entry()
    pool = entry.edge.dispatcher.sender.pool
    connect = pool.connect

    async def connect_slowly(each):
        await asyncio.sleep(0.3)
        return await connect(each)

    pool.connect = connect_slowly
    assert (await site.ask("/unsafe/x")).status == 200
    assert int(worker.runs[0].headers["x-deadline-ms"]) <= 2700
