"""The way of a request through an entry, on the stand-in platform."""

import asyncio

import pytest

from rattanpier._internal.standin.platform_worker import WorkerFault
from tests.lib.platform_site import (
    KEY,
    LARGE,
    SMALL,
    changed_route,
    events,
    manifest,
    platform_site,
    route,
    until,
)


@pytest.fixture
async def site():
    async with platform_site() as made:
        yield made


async def test_a_call_is_passed_on_and_its_answer_returned_unchanged(site):
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


async def test_what_the_system_sets_is_never_taken_from_the_caller(site):
    worker = await site.add_worker("w1")
    await site.add_entry()
    own = {
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
    answer = await site.ask(headers=own)
    headers = worker.runs[0].headers
    assert answer.status == 200
    assert headers["x-tenant"] == "acme"
    assert headers["x-expected-instance"] == "w1"
    assert not {name.lower() for name in own} & headers.keys() - {
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
async def test_what_no_route_or_key_allows_is_refused(
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


async def test_without_workers_a_request_is_refused_at_once(site):
    await site.add_entry()
    answer = await site.ask()
    assert answer.status == 503
    assert float(answer.headers["Retry-After"]) > 0


async def test_a_stream_is_passed_on_event_by_event(site):
    await site.add_worker("e1", "engine")
    await site.add_entry()
    answer = await site.chat()
    assert answer.status == 200
    assert answer.whole
    assert events(answer.body) == [1, 2, 3, 4, 5]


async def test_a_larger_model_is_asked_if_the_small_one_doubts(site):
    worker = await site.add_worker(
        "e1", "engine", confidence={SMALL: 10.0, LARGE: 90.0}
    )
    await site.add_entry()
    answer = await site.chat()
    assert events(answer.body) == [1, 2, 3, 4, 5]
    assert answer.headers["X-Confidence"] == "90.0"
    assert [run.headers["x-model"] for run in worker.runs] == [SMALL, LARGE]


async def test_a_sure_small_model_answers_alone(site):
    worker = await site.add_worker("e1", "engine", confidence={SMALL: 90.0})
    await site.add_entry()
    await site.chat()
    assert [run.headers["x-model"] for run in worker.runs] == [SMALL]


async def test_a_route_time_out_gets_a_final_answer_and_ends_the_work(site):
    worker = await site.add_worker("w1", work_s=5.0)
    site.store.put("op", "config", changed_route("unsafe", timeoutMs=200))
    await site.add_entry()
    loop = asyncio.get_running_loop()
    began = loop.time()
    answer = await site.ask("/unsafe/x")
    assert answer.status == 504
    assert loop.time() - began < 2.0
    await until(lambda: worker.stopped)
    assert int(worker.runs[0].headers["x-deadline-ms"]) <= 200


async def test_a_caller_that_leaves_ends_the_work(site):
    worker = await site.add_worker("w1", work_s=30.0)
    await site.add_entry()
    asking = asyncio.create_task(site.ask("/unsafe/x"))
    await until(lambda: worker.runs)
    asking.cancel()
    await until(lambda: worker.stopped)
    assert worker.stopped == [worker.runs[0].id]


async def test_the_directory_names_ready_entries_only(site):
    await site.add_worker("w1")
    one = await site.add_entry("entry-1")
    two = await site.add_entry("entry-2")
    await until(lambda: len(one.fleet.entries()) == 2)
    url = f"http://{one.settings.directory}/rattanpier/resolve?name=x"
    async with site.session.get(url) as response:
        told = await response.json()
    assert sorted(told["addresses"]) == sorted(
        str(entry.settings.callers) for entry in (one, two)
    )
    assert 0 < told["ttlS"] <= 5
    two.drain.begin()
    await two.gossip.round()
    assert [member.name for member in one.fleet.entries()] == ["entry-1"]


async def test_metrics_are_served_as_text(site):
    worker = await site.add_worker("w1")
    entry = await site.add_entry()
    await site.ask()
    assert worker.runs
    from rattanpier._internal.relay.exposition import render

    text = render(entry.metrics).decode()
    assert "rattanpier_relay_request_total 1.0" in text
    assert "rattanpier_relay_request_s_bucket" in text


async def test_a_worker_that_is_full_is_passed_by(site):
    await site.add_worker("w1", fault=WorkerFault.SHED)
    await site.add_worker("w2")
    await site.add_entry()
    for _ in range(6):
        assert (await site.ask("/unsafe/x")).status == 200
    assert set(site.runs().values()) == {1}


async def test_keys_are_never_told_to_workers(site):
    worker = await site.add_worker("w1")
    await site.add_entry()
    await site.ask(headers={"Authorization": f"bearer {KEY}"})
    assert KEY not in str(worker.runs[0].headers)


async def test_a_worker_whose_place_another_took_is_asked_once():
    async with platform_site() as site:
        taken = await site.add_worker("taken", "engine")
        other = await site.add_worker("other", "engine")
        await site.add_entry()
        taken.id = "started-anew"
        answers = [
            await site.chat(headers={"X-Prefix-Hash": f"a{number}:900,b:100"})
            for number in range(12)
        ]
        assert all(answer.whole for answer in answers)
        assert {answer.status for answer in answers} == {200}
        assert len(other.runs) >= 12
        dispatcher = site.entries["entry-1"].edge.dispatcher
        sent = dispatcher.metrics.counts["relay.send_failed.not_run"]
        assert sent == 1
