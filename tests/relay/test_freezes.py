"""Entries as processes that are stopped for a time and run again."""

import asyncio
import signal
import time

import pytest

from tests.lib.kept_callers import KeptCaller, request_bytes
from tests.lib.platform_site import platform_site, until
from tests.lib.relay_process import start_entry

DRAIN_S = 2.0  # The platform's bound, see the settings of the site.
CALLERS = 6


@pytest.fixture
async def site():
    async with platform_site() as made:
        yield made


async def freeze(entry, seconds):
    entry.process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(seconds)
    entry.process.send_signal(signal.SIGCONT)


async def ask_often(site, entry, interval_s=0.02):
    """Sends requests on a kept connection until cancelled."""
    caller = None
    while True:
        if caller is None:
            caller = await KeptCaller.connect(entry.settings.callers)
        answer = await caller.ask(request_bytes(site.new_id()))
        if answer is None or answer[1].get("connection") == "close":
            caller.close()
            caller = None
        await asyncio.sleep(interval_s)


@pytest.mark.parametrize("seconds", [1.0, 4.0, 10.0])
async def test_a_removed_worker_gets_nothing_late_after_a_freeze(
    site, tmp_path, seconds
):
    # Guards against a freeze that is taken for an outage of the store.
    for name in ("w1", "w2", "w3"):
        await site.add_worker(name, work_s=0.03)
    entry = await start_entry(site.store_address, tmp_path)
    await entry.wait_until_ready(site.session)
    asking = [
        asyncio.create_task(ask_often(site, entry)) for _ in range(CALLERS)
    ]
    try:
        await asyncio.sleep(1.0)
        await freeze(entry, seconds)
        await asyncio.sleep(1.2)
        runs = site.workers["w1"].runs
        site.store.remove("servers", "w1")
        removed_at, count, last_at = time.monotonic(), len(runs), 0.0
        while time.monotonic() < removed_at + DRAIN_S + 0.5:
            await asyncio.sleep(0.005)
            if len(runs) > count:
                count, last_at = len(runs), time.monotonic()
        assert last_at - removed_at < DRAIN_S
        assert not entry.logged(
            "workers: Registration expired during an outage."
        )
        assert not entry.logged("store: Store is unavailable.")
        assert not entry.logged("health: Worker avoided.")
        paused = entry.logged("pauses: Process did not run.")
        assert paused[0]["paused_s"] == pytest.approx(seconds, abs=0.3)
    finally:
        for task in asking:
            task.cancel()
        await entry.kill()


async def test_a_woken_entry_asks_before_it_sends(site, tmp_path):
    # Guards against requests that are sent by what was known before a freeze.
    for name in ("w1", "w2"):
        await site.add_worker(name)
    entry = await start_entry(site.store_address, tmp_path)
    await entry.wait_until_ready(site.session)
    callers = [
        await KeptCaller.connect(entry.settings.callers) for _ in range(40)
    ]
    try:
        entry.process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(0.2)
        for caller in callers:
            caller.send(request_bytes(site.new_id()))
        left, waiting = callers[::2], callers[1::2]
        for caller in left:
            caller.close()
        site.store.remove("servers", "w1")
        await asyncio.sleep(1.3)
        entry.process.send_signal(signal.SIGCONT)
        answers = await asyncio.gather(*(each.answer() for each in waiting))
        assert [answer[0] for answer in answers] == [200] * len(waiting)
        assert not site.workers["w1"].runs
        assert len(site.workers["w2"].runs) == len(waiting)
        await until(
            lambda: entry.logged("pauses: Requests are admitted after a pause.")
        )
    finally:
        await entry.kill()


async def test_an_answer_that_came_during_a_freeze_is_delivered(site, tmp_path):
    # Guards against a ready answer that is dropped as its deadline has passed.
    worker = await site.add_worker("w1", work_s=0.5)
    entry = await start_entry(site.store_address, tmp_path)
    await entry.wait_until_ready(site.session)
    callers = [
        await KeptCaller.connect(entry.settings.callers) for _ in range(6)
    ]
    try:
        answers = [
            asyncio.create_task(caller.ask(request_bytes(site.new_id(), path)))
            for caller, path in zip(
                callers, ["/unsafe/x", "/safe/x"] * 3, strict=True
            )
        ]
        await until(lambda: len(worker.runs) == len(callers))
        await freeze(entry, 4.0)
        found = await asyncio.gather(*answers)
        assert [answer[0] for answer in found] == [200] * len(callers)
        assert len(worker.runs) == len(callers)
        assert not entry.logged("health: Worker avoided.")
    finally:
        await entry.kill()


async def test_short_stops_in_series_lose_nothing(site, tmp_path):
    for name in ("w1", "w2", "w3"):
        await site.add_worker(name, work_s=0.03)
    entry = await start_entry(site.store_address, tmp_path)
    await entry.wait_until_ready(site.session)
    answers = []

    async def ask_and_note():
        caller = await KeptCaller.connect(entry.settings.callers)
        while True:
            answers.append(await caller.ask(request_bytes(site.new_id())))
            await asyncio.sleep(0.05)

    asking = [asyncio.create_task(ask_and_note()) for _ in range(CALLERS)]
    try:
        for _ in range(4):
            await freeze(entry, 0.9)
            await asyncio.sleep(1.1)
    finally:
        for task in asking:
            task.cancel()
        await entry.kill()
    assert len(answers) > 4 * CALLERS
    assert {answer and answer[0] for answer in answers} == {200}
    assert not entry.logged("store: Store is unavailable.")
    assert not entry.logged("health: Worker avoided.")
