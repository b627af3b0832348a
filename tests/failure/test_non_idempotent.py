"""Non-idempotent requests run at most once, as counted at the upstreams.

A retry after a broken connection, a redirect or a reused key must not start a
second run.
"""

import asyncio

import aiohttp
import pytest
import pytest_asyncio
from yarl import URL

from tests.lib.builders import DESK_KEY, configuration_text
from tests.lib.cluster import Cluster, wait_for
from tests.lib.raw import RawUpstream

ENTRIES = ("entry-1", "entry-2")
pytestmark = pytest.mark.xdist_group("non_idempotent")  # Shared cluster.
AUTHORIZATION = {"Authorization": f"Bearer {DESK_KEY}"}
MARKED = {"X-Non-Idempotent": "true"}
CHAT = {"model": "auto", "messages": [{"role": "user", "content": "x"}]}


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def cluster(tmp_path_factory):
    async with Cluster(tmp_path_factory.mktemp("once")) as cluster:
        await cluster.start_table()
        cluster.revision = 1
        await cluster.apply(configuration_text(["http://127.0.0.1:1"]))
        await cluster.start_entries(ENTRIES)
        yield cluster


async def apply_upstreams(cluster, engines, services):
    """Applies a configuration with these upstreams on both entries."""
    cluster.revision += 1
    text = configuration_text(
        [engine.url for engine in engines] or ["http://127.0.0.1:1"],
        [service.url for service in services] or "",
    )
    await cluster.apply(text, cluster.revision)

    async def in_force():
        for entry in ENTRIES:
            url = f"{cluster.urls[entry]}/readyz"
            async with cluster.session.get(url) as response:
                body = await response.json()
                if body["revision"] != cluster.revision:
                    return False
        return True

    await wait_for(in_force)


async def call(cluster, method, path, entry="entry-1", **headers):
    """Sends a call to an entry and returns (status, body)."""
    async with cluster.session.request(
        method,
        URL(f"{cluster.urls[entry]}{path}", encoded=True),
        json=CHAT if path.startswith("/v1") else None,
        headers={**AUTHORIZATION, "X-Timeout-Ms": "5000", **headers},
    ) as response:
        return response.status, await response.json()


@pytest.mark.parametrize("mode", ["cut_after", "fail", "refuse_busy"])
@pytest.mark.parametrize(
    ("method", "path"),
    [
        ("PUT", "/services/phrases/cards/1"),
        ("DELETE", "/services/phrases/cards/1"),
        ("GET", "/services/phrases/draw"),
        ("POST", "/v1/chat/completions"),
    ],
)
@pytest.mark.asyncio(loop_scope="module")
async def test_call_marked_non_idempotent_is_sent_once(
    cluster, mode, method, path
):
    async with (
        RawUpstream(mode) as first_upstream,
        RawUpstream(mode) as second_upstream,
    ):
        await apply_upstreams(
            cluster,
            [first_upstream, second_upstream],
            [first_upstream, second_upstream],
        )
        for number in range(4):
            key = f"{mode}-{method}-{path}-{number}"
            answers = [
                await call(
                    cluster,
                    method,
                    path,
                    entry,
                    **MARKED,
                    **{"Idempotency-Key": key},
                )
                for entry in (*ENTRIES, *ENTRIES)
            ]
            assert all(body["error"]["code"] for _, body in answers)
            assert not any(body["error"]["not_run"] for _, body in answers)
        assert first_upstream.request_count + second_upstream.request_count == 4


@pytest.mark.parametrize(
    "path", ["/orders", "/Orders/", "//orders", "/%6frders?x=1", "/orders/7"]
)
@pytest.mark.asyncio(loop_scope="module")
async def test_call_listed_as_non_repeatable_is_sent_once(cluster, path):
    async with (
        RawUpstream("cut_after") as first_upstream,
        RawUpstream("ok") as second_upstream,
    ):
        await apply_upstreams(cluster, [], [first_upstream, second_upstream])
        for number in range(6):
            await call(
                cluster,
                "POST",
                f"/services/phrases{path}",
                ENTRIES[number % 2],
            )
        assert len(first_upstream.runs) + len(second_upstream.runs) == 6
        assert first_upstream.runs


@pytest.mark.asyncio(loop_scope="module")
async def test_repeatable_call_is_retried_on_another_worker(cluster):
    async with (
        RawUpstream("cut_after") as first_upstream,
        RawUpstream("ok") as second_upstream,
    ):
        await apply_upstreams(cluster, [], [first_upstream, second_upstream])
        for _ in range(6):
            status, body = await call(
                cluster, "POST", "/services/phrases/search"
            )
            assert (status, body) == (200, {"done": True})
        assert len(second_upstream.runs) == 6
        assert first_upstream.runs


@pytest.mark.parametrize("path", ["/services/phrases/orders", "/v1/chat"])
@pytest.mark.asyncio(loop_scope="module")
async def test_redirect_is_not_followed(cluster, path):
    async with (
        RawUpstream("redirect") as first_upstream,
        RawUpstream("ok") as second_upstream,
    ):
        first_upstream.redirect_target = second_upstream.url
        await apply_upstreams(cluster, [first_upstream], [first_upstream])
        path = path.replace("/v1/chat", "/v1/chat/completions")
        async with cluster.session.post(
            cluster.urls["entry-1"] + path,
            json=CHAT,
            headers=AUTHORIZATION,
            allow_redirects=False,
        ) as response:
            assert response.status in (307, 502)
        assert second_upstream.runs == []


@pytest.mark.parametrize(
    "path", ["/services/phrases/orders", "/v1/chat/completions"]
)
@pytest.mark.asyncio(loop_scope="module")
async def test_disconnected_caller_finds_its_answer_by_key(cluster, path):
    async with RawUpstream("hold") as upstream:
        await apply_upstreams(cluster, [upstream], [upstream])
        headers = {**MARKED, "Idempotency-Key": f"left-{path}"}
        first = asyncio.create_task(
            call(cluster, "POST", path, "entry-1", **headers)
        )
        await wait_for(lambda: as_awaitable(upstream.runs))
        first.cancel()
        await asyncio.gather(first, return_exceptions=True)
        second = asyncio.create_task(
            call(cluster, "POST", path, "entry-2", **headers)
        )
        upstream.answer_allowed.set()
        status, body = await second
        assert status == 200
        assert body.get("done") or body["choices"][0]["message"]["content"]
        assert len(upstream.runs) == 1


@pytest.mark.asyncio(loop_scope="module")
async def test_key_reused_for_another_call_is_refused(cluster):
    async with RawUpstream("ok") as upstream:
        await apply_upstreams(cluster, [], [upstream])
        headers = {"Idempotency-Key": "one-call"}
        status, _ = await call(
            cluster, "POST", "/services/phrases/orders", **headers
        )
        assert status == 200
        for method, path in (("PUT", "orders"), ("POST", "orders/2")):
            status, body = await call(
                cluster,
                method,
                f"/services/phrases/{path}",
                "entry-2",
                **headers,
            )
            assert (status, body["error"]["code"]) == (422, "key_mismatch")
        assert len(upstream.runs) == 1


@pytest.mark.parametrize("mode", ["short_body", "no_length"])
@pytest.mark.asyncio(loop_scope="module")
async def test_truncated_answer_is_not_returned_as_complete(cluster, mode):
    async with RawUpstream(mode) as upstream:
        await apply_upstreams(cluster, [], [upstream])
        headers = {"Idempotency-Key": f"cut-{mode}"}
        for entry in ENTRIES:
            status, body = await call(
                cluster, "POST", "/services/phrases/orders", entry, **headers
            )
            assert status in (502, 409)
            assert body["error"]["not_run"] is False
        assert len(upstream.runs) == 1


@pytest.mark.asyncio(loop_scope="module")
async def test_disallowed_service_calls_are_refused(cluster):
    async with RawUpstream("ok") as upstream:
        await apply_upstreams(cluster, [upstream], [upstream])
        cases = {
            "/services/nothing/x": (404, "unknown_service"),
            "/services/pool/x": (404, "unknown_service"),
            "/services/phrases/a/%2e%2e/orders": (400, "bad_request"),
        }
        for path, (status, code) in cases.items():
            found, body = await call(cluster, "GET", path)
            assert (found, body["error"]["code"]) == (status, code)
            assert body["error"]["not_run"] is True
        with pytest.raises(aiohttp.ClientResponseError):
            await cluster.session.get(
                f"{cluster.urls['entry-1']}/services/phrases/x",
                raise_for_status=True,
            )
        assert upstream.runs == []


async def as_awaitable(value):
    return value
