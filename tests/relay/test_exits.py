"""Planned exits of entries as processes, seen by callers and workers."""

import asyncio
import signal

import pytest

from rattanpier._internal.standin.platform_store import StoreFault
from tests.lib.kept_callers import KeptCaller, request_bytes
from tests.lib.platform_site import platform_site, until
from tests.lib.relay_process import start_entry

GRACE_S = 4
SERVE_S = 0.4 * GRACE_S  # Callers have left by then.


@pytest.fixture
async def site():
    async with platform_site() as made:
        yield made


async def start(site, tmp_path, name="entry-1", **more):
    entry = await start_entry(
        site.store_address, tmp_path, name=name, graceS=GRACE_S, **more
    )
    await entry.wait_until_ready(site.session)
    return entry


async def end(entry):
    """Waits for the end of an entry; kills it if there is none."""
    try:
        async with asyncio.timeout(GRACE_S + 1):
            await entry.process.wait()
    finally:
        await entry.kill()


def run_ids(site):
    return [run.id for worker in site.workers.values() for run in worker.runs]


async def connect(entry):
    return await KeptCaller.connect(entry.settings.callers)


async def test_requests_as_the_exit_is_decided_are_not_cut(site, tmp_path):
    # Guards against requests that are run by a worker and cut at an exit.
    await site.add_worker("w1", work_s=0.6)
    names = [f"entry-{number}" for number in range(8)]
    entries = await asyncio.gather(
        *(start(site, tmp_path, name) for name in names)
    )
    answers = {}

    async def exit_with_one_request(entry, delay_s):
        caller = await connect(entry)
        entry.process.send_signal(signal.SIGTERM)
        await asyncio.sleep(SERVE_S + delay_s)
        request_id = site.new_id()
        answers[request_id] = await caller.ask(request_bytes(request_id))

    try:
        await asyncio.gather(
            *(
                exit_with_one_request(entry, 0.015 * number)
                for number, entry in enumerate(entries)
            )
        )
    finally:
        await asyncio.gather(*map(end, entries))
    ran = run_ids(site)
    cut = [id for id in ran if answers[id] is None or answers[id][0] != 200]
    assert not cut
    for id, answer in answers.items():
        # A refusal tells callers of both kinds that they may ask again.
        assert answer is None or answer[0] == (200 if id in ran else 503)


async def test_a_long_answer_is_completed_up_to_the_grace_period(
    site, tmp_path
):
    await site.add_worker("e1", "engine", events=10, event_gap_s=0.37)
    entry = await start(site, tmp_path)
    caller = await connect(entry)
    try:
        request = request_bytes(
            site.new_id(), "/chat/x", b"prompt", deadline_ms=9000
        )
        answer = asyncio.create_task(caller.ask(request))
        await until(lambda: run_ids(site))
        entry.process.send_signal(signal.SIGTERM)
        assert (await answer)[0] == 200
    finally:
        await end(entry)
    assert entry.process.returncode == 0


async def test_a_pipelined_request_is_answered_before_the_connection_closes(
    site, tmp_path
):
    # Guards against a request that was read and is dropped without an answer.
    await site.add_worker("w1", work_s=0.3)
    entry = await start(site, tmp_path)
    caller = await connect(entry)
    try:
        caller.send(request_bytes(site.new_id()) + request_bytes(site.new_id()))
        await until(lambda: run_ids(site))
        entry.process.send_signal(signal.SIGTERM)
        first, second = await caller.answer(), await caller.answer()
        assert (first[0], second[0]) == (200, 200)
        assert second[1]["connection"] == "close"
    finally:
        await end(entry)


async def test_half_a_request_is_answered_if_the_rest_arrives(site, tmp_path):
    # Guards against a connection that is closed while its request is read.
    await site.add_worker("w1")
    entry = await start(site, tmp_path)
    callers = [await connect(entry) for _ in range(3)]
    try:
        whole = [request_bytes(site.new_id(), body=b"x" * 900) for _ in callers]
        lengths = (30, 100, 200)
        entry.process.send_signal(signal.SIGTERM)
        await asyncio.sleep(SERVE_S - 0.2)
        for caller, data, length in zip(callers, whole, lengths, strict=True):
            caller.send(data[:length])
        await asyncio.sleep(0.6)
        answers = []
        for caller, data, length in zip(callers, whole, lengths, strict=True):
            answers.append(await caller.ask(data[length:]))
        assert [answer[0] for answer in answers] == [503, 503, 503]
        assert not run_ids(site)
    finally:
        await end(entry)


async def test_half_a_body_is_waited_for(site, tmp_path):
    await site.add_worker("w1")
    entry = await start(site, tmp_path)
    caller = await connect(entry)
    try:
        whole = request_bytes(site.new_id(), body=b"x" * 900)
        entry.process.send_signal(signal.SIGTERM)
        await asyncio.sleep(SERVE_S - 0.2)
        caller.send(whole[:-100])
        await asyncio.sleep(0.6)
        assert (await caller.ask(whole[-100:]))[0] == 200
    finally:
        await end(entry)


async def test_an_idle_connection_does_not_hold_an_exit(site, tmp_path):
    await site.add_worker("w1")
    entry = await start(site, tmp_path)
    caller = await connect(entry)
    assert (await caller.ask(request_bytes(site.new_id())))[0] == 200
    loop = asyncio.get_running_loop()
    began = loop.time()
    entry.process.send_signal(signal.SIGTERM)
    try:
        assert await caller.answer() is None
        async with asyncio.timeout(GRACE_S):
            assert await entry.process.wait() == 0
    finally:
        await entry.kill()
    # "Early" is well before the grace period ends.
    assert loop.time() - began < 0.75 * GRACE_S


async def test_an_exit_while_the_store_is_away_completes_requests(
    site, tmp_path
):
    await site.add_worker("w1", work_s=0.8)
    entry = await start(site, tmp_path)
    callers = [await connect(entry) for _ in range(4)]
    try:
        site.store.set_fault(StoreFault.BUSY)
        entry.process.send_signal(signal.SIGTERM)
        answers = []
        for number, caller in enumerate(callers):
            await asyncio.sleep(0.2 * number)
            entry.process.send_signal(
                (signal.SIGHUP, signal.SIGTERM)[number % 2]
            )
            answers.append(
                asyncio.create_task(caller.ask(request_bytes(site.new_id())))
            )
        assert [answer[0] for answer in await asyncio.gather(*answers)] == [
            200
        ] * 4
    finally:
        await end(entry)
    assert entry.process.returncode == 0


async def test_a_termination_during_the_start_cuts_no_request(site, tmp_path):
    await site.add_worker("w1", work_s=0.3)
    entry = await start_entry(site.store_address, tmp_path, graceS=GRACE_S)
    answers = {}

    async def ask():
        try:
            caller = await connect(entry)
        except OSError:
            return
        request_id = site.new_id()
        answers[request_id] = await caller.ask(request_bytes(request_id))

    async def ask_often():
        async with asyncio.TaskGroup() as group:
            while entry.process.returncode is None:
                group.create_task(ask())
                await asyncio.sleep(0.05)

    asking = asyncio.create_task(ask_often())
    try:
        await until(lambda: entry.logged("main: Started."))
        entry.process.send_signal(signal.SIGTERM)
        await end(entry)
    finally:
        await entry.kill()
    await asking
    ran = run_ids(site)
    assert ran
    assert all(answers[id] and answers[id][0] == 200 for id in ran)
