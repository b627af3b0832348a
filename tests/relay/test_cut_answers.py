"""Answers that end within their head or body are never told as whole."""

import asyncio
import functools
import itertools
import math

import aiohttp
import h11
import pytest

from tests.lib import cut_workers
from tests.lib.cut_site import cut_site
from tests.lib.cut_workers import (
    CuttingWorker,
    Ending,
    add_cutting_worker,
    cut_headers,
)
from tests.lib.kept_callers import request_bytes
from tests.lib.platform_site import (
    LARGE,
    SMALL,
    event_numbers,
    platform_site,
    until,
)
from tests.lib.worker_cuts import Cut, cut_off

UNCUT = 10**6
SLACK = 10**5  # So that no retry is refused.
WORKERS = 4
EVENTS = [1, 2, 3, 4, 5]
LATE_SIZE = 110  # A late answer is longer.
TRIES = 40  # For each byte: a worker that failed is avoided for a while.


async def ask_cut(site, path, after, how, model):
    """Asks until a worker has cut an answer; returns all answers."""
    answers = []
    ask = site.chat if path.startswith("/chat/") else site.ask
    for _ in range(TRIES):
        before = cuts_of(site)
        try:
            headers = cut_headers(after, how, model)
            answers.append(await ask(path, headers=headers))
        except aiohttp.ClientError:
            pass  # No answer at all.
        if cuts_of(site) > before or answers and answers[-1].status == 200:
            return answers
        await asyncio.sleep(0.05)
    raise AssertionError(f"no worker cut an answer after {after} bytes")


def cuts_of(site):
    return sum(
        len(worker.cuts)
        for worker in site.workers.values()
        if isinstance(worker, CuttingWorker)
    )


def is_whole(path, answer):
    if path.startswith("/chat/"):
        return event_numbers(answer.body) == EVENTS
    request_id = answer.headers["X-Attempt-Id"].encode()
    return answer.body.partition(b" ran ")[2] == request_id


async def judge_cuts(
    site, path, how, step=1, model="", first=None, most=math.inf
):
    """Cuts answers at each byte; returns the sizes told as whole, falsely.

    Args:
      site: The site.
      path: What is asked.
      how: How connections end.
      step: Distance of the bytes.
      model: Model whose answers are cut; empty for all.
      first: After how many bytes the first attempt is reset, instead.
      most: After how many bytes cuts can't be told any more, or a function
        that returns it.
    """
    false, cut = [], 0
    for size in itertools.count(0, step):
        if size > (most() if callable(most) else most):
            break
        after = size if first is None else [first, size]
        endings = how if first is None else [Ending.RESET, how]
        before = cuts_of(site)
        answers = await ask_cut(site, path, after, endings, model)
        cut += cuts_of(site) > before
        told = [a for a in answers if a.status == 200 and a.complete]
        false += [size for a in told if not is_whole(path, a)]
        if cuts_of(site) == before:
            break  # The answer is shorter.
    return false, cut


async def add_workers(site, service, **more):
    attempts = []
    for number in range(WORKERS):
        await add_cutting_worker(
            site, f"c{number}", service, attempts=attempts, **more
        )


def head_size(site):
    """Returns the size of the last head of a stream, if there was one."""
    return max(each.head_size for each in site.workers.values()) or UNCUT


@pytest.mark.parametrize("how", Ending)
@pytest.mark.parametrize("path", ["/unsafe/x", "/safe/x"])
async def test_an_answer_cut_at_any_byte_is_no_success(path, how):
    async with platform_site() as site:
        await add_workers(site, "plain")
        await site.add_entry(budgetSlack=SLACK)
        false, cut = await judge_cuts(site, path, how)
        assert not false
        assert cut > 100


@pytest.mark.parametrize("how", Ending)
async def test_an_answer_behind_a_late_one_that_is_cut_is_no_success(how):
    async with platform_site() as site:
        worker = await add_cutting_worker(site, "c0", late=True)
        entry = await site.add_entry(budgetSlack=SLACK)
        false = []
        for size in range(LATE_SIZE):
            # As if each late answer were the first one.
            entry.edge.dispatcher.sender.pool.stray_until.clear()
            # A late answer is skipped on a connection that was used before.
            assert (await site.ask()).status == 200
            (answer,) = await ask_cut(site, "/safe/x", size, how, "")
            false += [size] if answer.status == 200 else []
        assert not false
        assert worker.cuts_of_kept > 100


@pytest.mark.parametrize("how", Ending)
@pytest.mark.parametrize("chunked", [True, False])
async def test_a_stream_cut_at_any_byte_is_resumed_or_incomplete(chunked, how):
    async with platform_site() as site:
        await add_workers(site, "engine", chunked=chunked)
        await site.add_entry(budgetSlack=SLACK)
        most = UNCUT
        if not chunked and how is Ending.CLOSED:
            # The end of a body without a length is that of its connection.
            most = functools.partial(head_size, site)
        false, cut = await judge_cuts(site, "/chat/x", how, 3, most=most)
        assert not false
        assert cut > 40


@pytest.mark.parametrize("how", Ending)
@pytest.mark.parametrize("chunked", [True, False])
async def test_a_resumed_stream_cut_within_its_head_is_incomplete(chunked, how):
    async with platform_site() as site:
        await add_workers(site, "engine", chunked=chunked)
        await site.add_entry(budgetSlack=SLACK)
        await site.chat(headers=cut_headers(UNCUT, how))
        most = head_size(site)
        first = most + (35 if chunked else 30)  # After an event.
        false, cut = await judge_cuts(
            site, "/chat/x", how, 1, first=first, most=most
        )
        assert not false
        assert cut > 100
        resumed = [
            run
            for worker in site.workers.values()
            for run in worker.runs
            if "last-event-id" in run.headers
        ]
        assert len(resumed) > 100


@pytest.mark.parametrize("how", Ending)
async def test_a_larger_model_cut_at_any_byte_is_resumed_or_incomplete(how):
    async with platform_site() as site:
        confidence = {SMALL: 10.0, LARGE: 90.0}
        await add_workers(site, "engine", confidence=confidence)
        await site.add_entry(budgetSlack=SLACK)
        false, cut = await judge_cuts(site, "/chat/x", how, 3, model=LARGE)
        assert not false
        assert cut > 25


@pytest.mark.parametrize("how", Ending)
@pytest.mark.parametrize("path", ["/unsafe/x", "/safe/x", "/chat/x"])
async def test_an_answer_cut_behind_a_peer_is_no_success(path, how):
    service = "engine" if path.startswith("/chat/") else "plain"
    entries = ("entry-1", "entry-2")
    async with cut_site(plain=0, engines=0, entries=entries) as site:
        await add_workers(site, service)
        directories = [e.state.directory for e in site.entries.values()]
        await until(
            lambda: all(
                len(each.accepting_workers(service)) == WORKERS
                for each in directories
            )
        )
        (cut_entry,) = cut_off(site, "entry-1")
        cut_entry.set(Cut.REFUSED)
        metrics = site.entries["entry-1"].metrics
        false, cut = await judge_cuts(site, path, how, 4)
        assert not false
        assert cut > 30
        assert metrics.counts["relay.forwarded"] > 30


@pytest.mark.parametrize("path", ["/safe/x", "/chat/x", "/unsafe/x", "/none/x"])
async def test_no_beginning_of_an_entrys_answer_looks_whole(path):
    async with platform_site() as site:
        await site.add_worker("w1")
        await site.add_worker("e1", "engine")
        entry = await site.add_entry(budgetSlack=SLACK)
        address = entry.settings.callers
        reader, writer = await asyncio.open_connection(
            address.host, address.port
        )
        writer.write(request_bytes("a" * 16, path))
        answer = b""
        while not parses(answer):
            answer += await asyncio.wait_for(reader.read(1), 5.0)
        writer.close()
        assert len(answer) > 50
        assert not any(parses(answer[:size]) for size in range(len(answer)))


def parses(data):
    """Returns whether some bytes and an orderly end are a whole answer."""
    parser = h11.Connection(h11.CLIENT)
    parser.send(h11.Request(method="GET", target="/", headers=[("Host", "x")]))
    parser.send(h11.EndOfMessage())
    parser.receive_data(data)
    if data:
        parser.receive_data(b"")
    try:
        while (event := parser.next_event()) not in (
            h11.NEED_DATA,
            h11.PAUSED,
        ):
            if isinstance(event, h11.EndOfMessage):
                return True
            if isinstance(event, h11.ConnectionClosed):
                return False
    except h11.RemoteProtocolError:
        return False
    return False


@pytest.mark.parametrize("how", Ending)
async def test_a_request_that_ends_early_is_not_run(how):
    async with platform_site() as site:
        worker = await site.add_worker("w1")
        entry = await site.add_entry(budgetSlack=SLACK)
        address = entry.settings.callers
        sizes = range(0, len(request_bytes("a" * 16, body=b"0123456789")), 2)
        for size in sizes:
            data = request_bytes(f"{size:016x}", body=b"0123456789")
            _, writer = await asyncio.open_connection(
                address.host, address.port
            )
            await end_with(writer, data[:size], how)
        await asyncio.sleep(0.1)
        assert not worker.runs
        assert len(sizes) > 100


async def end_with(writer, data, how):
    writer.write(data)
    await cut_workers.end(writer, how)
