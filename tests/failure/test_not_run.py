"""Refusals with `not_run` set, compared with what the upstreams ran.

A refusal must not claim `not_run` for a request that an upstream did run.
"""

import socket

import pytest
import pytest_asyncio

from tests.lib.builders import DESK_KEY, configuration_text
from tests.lib.cluster import Cluster, wait_for
from tests.lib.raw import RawUpstream

pytestmark = pytest.mark.xdist_group("not_run")  # Shared cluster.
REQUESTS_PER_CASE = 6
MODES_THAT_RUN = {"cut_after", "fail", "stall", "half", "cut_reused"}
MODES_CERTAINLY_NOT_RUN = {"closed", "refuse"}
MODES_UNCERTAIN = {
    "cut_on_accept",
    "cut_in_headers",
    "cut_in_body",
    "refuse_busy",
}


def closed_url():
    with socket.socket() as free:
        free.bind(("127.0.0.1", 0))
        return f"http://127.0.0.1:{free.getsockname()[1]}"


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def cluster(tmp_path_factory):
    async with Cluster(tmp_path_factory.mktemp("not_run")) as cluster:
        await cluster.start_table()
        cluster.revision = 1
        await cluster.apply(configuration_text([closed_url()], fleet_size=1))
        await cluster.start_entry("entry-1")
        yield cluster


async def apply_workers(cluster, urls):
    """Applies a configuration with these workers and waits for it."""
    cluster.revision += 1
    text = configuration_text(urls, fleet_size=1)
    await cluster.apply(text, cluster.revision)

    async def in_force():
        url = f"{cluster.urls['entry-1']}/readyz"
        async with cluster.session.get(url) as response:
            return (await response.json())["revision"] == cluster.revision

    await wait_for(in_force)


async def send_request(cluster, **headers):
    """Sends a request and returns its ID and its error, or None."""
    async with cluster.session.post(
        f"{cluster.urls['entry-1']}/v1/chat/completions",
        json={"model": "auto", "messages": [{"role": "user", "content": "x"}]},
        headers={
            "Authorization": f"Bearer {DESK_KEY}",
            "X-Timeout-Ms": "3000",
            **headers,
        },
    ) as response:
        body = await response.json()
        return response.headers["X-Request-Id"], body.get("error")


async def count_refusals(cluster, upstreams, **headers):
    """Returns counts: (refusals, reported as not run, wrongly reported)."""
    refused = reported = wrong = 0
    for _ in range(REQUESTS_PER_CASE):
        request_id, error = await send_request(cluster, **headers)
        ran = sum(len(up.runs_of(request_id)) for up in upstreams)
        if error is None:
            continue
        refused += 1
        reported += error["not_run"]
        wrong += error["not_run"] and ran > 0
    return refused, reported, wrong


@pytest.mark.parametrize("marked", ["false", "true"])
@pytest.mark.parametrize(
    "mode", sorted(MODES_THAT_RUN | MODES_CERTAINLY_NOT_RUN | MODES_UNCERTAIN)
)
@pytest.mark.asyncio(loop_scope="module")
async def test_refusals_of_one_worker_report_not_run_truthfully(
    cluster, mode, marked
):
    async with RawUpstream(mode) as upstream:
        url = closed_url() if mode == "closed" else upstream.url
        await apply_workers(cluster, [url])
        timeout = "300" if mode == "stall" else "3000"
        refused, reported, wrong = await count_refusals(
            cluster,
            [upstream],
            **{"X-Non-Idempotent": marked, "X-Timeout-Ms": timeout},
        )
        assert wrong == 0
        if mode in MODES_CERTAINLY_NOT_RUN:
            assert (refused, reported) == (REQUESTS_PER_CASE, REQUESTS_PER_CASE)
        if mode in MODES_UNCERTAIN:
            assert (refused, reported) == (REQUESTS_PER_CASE, 0)
        if marked == "true":
            ids = [run.split("/")[2] for run in upstream.runs]
            assert len(ids) == len(set(ids))


@pytest.mark.parametrize("first", ["cut_after", "fail", "half"])
@pytest.mark.parametrize("second", ["closed", "refuse"])
@pytest.mark.asyncio(loop_scope="module")
async def test_later_refusal_does_not_hide_an_earlier_run(
    cluster, first, second
):
    async with (
        RawUpstream(first) as first_upstream,
        RawUpstream(second) as second_upstream,
    ):
        second_url = closed_url() if second == "closed" else second_upstream.url
        await apply_workers(cluster, [first_upstream.url, second_url])
        _, _, wrong = await count_refusals(
            cluster, [first_upstream, second_upstream]
        )
        assert wrong == 0


@pytest.mark.asyncio(loop_scope="module")
async def test_passed_deadline_reports_not_run(cluster):
    async with RawUpstream("ok") as upstream:
        await apply_workers(cluster, [upstream.url])
        _, error = await send_request(cluster, **{"X-Timeout-Ms": "0.001"})
        assert error["code"] == "deadline"
        assert error["not_run"] is True
        assert error["retry_after_s"] > 0
        assert upstream.runs == []


@pytest.mark.asyncio(loop_scope="module")
async def test_stale_pooled_connection_loses_no_request(cluster):
    async with RawUpstream("cut_reused") as upstream:
        await apply_workers(cluster, [upstream.url])
        _, first = await send_request(cluster)
        assert first is None
        for _ in range(REQUESTS_PER_CASE):
            request_id, error = await send_request(
                cluster, **{"X-Non-Idempotent": "true"}
            )
            # Sent on its own connection, not on the stale pooled one.
            assert error is None
            assert len(upstream.runs_of(request_id)) == 1
