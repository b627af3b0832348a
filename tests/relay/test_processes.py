"""An entry as a process: signals, exit status and log output."""

import asyncio
import os
import signal
import socket
import sys

import pytest

from tests.lib.counters import ROOT
from tests.lib.platform_site import event_numbers, platform_site, until
from tests.lib.relay_process import start_entry


@pytest.fixture
async def site():
    async with platform_site() as made:
        yield made


async def start(site, tmp_path, **more):
    entry = await start_entry(site.store_address, tmp_path, **more)
    await entry.wait_until_ready(site.session)
    return entry


async def ask(site, entry, path="/safe/x", **more):
    """Sends a request to a process as if it were an entry of the site."""
    name = entry.settings.name
    site.entries[name] = entry
    return await site.ask(path, entry=name, **more)


async def chat(site, entry):
    headers = {"X-Model": "*", "X-Token-Usage": "9,9", "X-Prefix-Hash": "a:9"}
    return await ask(site, entry, "/chat/x", method="POST", headers=headers)


async def test_a_planned_stop_completes_streams_in_progress(site, tmp_path):
    await site.add_worker("e1", "engine", events=6, event_gap_s=0.25)
    entry = await start(site, tmp_path)
    try:
        streams = [asyncio.create_task(chat(site, entry)) for _ in range(5)]
        await until(lambda: len(site.runs()) == 5)
        entry.process.send_signal(signal.SIGTERM)
        entry.process.send_signal(signal.SIGTERM)
        for answer in await asyncio.gather(*streams):
            assert answer.complete
            assert event_numbers(answer.body) == [1, 2, 3, 4, 5, 6]
        async with asyncio.timeout(6):
            assert await entry.process.wait() == 0
    finally:
        await entry.kill()
    assert entry.logged("main: Stopping.")
    assert entry.logged("main: Stopped.")


async def test_a_ready_entry_accepts_connections(site, tmp_path):
    await site.add_worker("w1")
    for number in range(3):
        entry = await start(site, tmp_path, name=f"entry-{number}")
        try:
            assert (await ask(site, entry)).status == 200
        finally:
            await entry.kill()


async def test_a_leaving_entry_is_not_ready_but_still_serves(site, tmp_path):
    await site.add_worker("w1")
    entry = await start(site, tmp_path)
    try:
        entry.process.send_signal(signal.SIGTERM)
        url = f"http://{entry.settings.readiness}/rattanpier/readyz"

        async def not_ready():
            async with site.session.get(url) as response:
                return response.status == 503

        async with asyncio.timeout(5):
            while not await not_ready():
                await asyncio.sleep(0.01)
        answer = await ask(site, entry)
        assert answer.status == 200
        assert answer.headers["Connection"] == "close"
    finally:
        await entry.kill()


async def test_a_settings_reload_does_not_interrupt_streams(site, tmp_path):
    await site.add_worker("e1", "engine", events=5, event_gap_s=0.1)
    entry = await start(site, tmp_path)
    try:
        stream = asyncio.create_task(chat(site, entry))
        await until(site.runs)
        entry.process.send_signal(signal.SIGHUP)
        await until(lambda: entry.logged("main: Settings read again."))
        entry.path.write_text("{")
        entry.process.send_signal(signal.SIGHUP)
        await until(lambda: entry.logged("main: Settings not taken."))
        assert (await stream).complete
        assert (await chat(site, entry)).status == 200
    finally:
        await entry.kill()


async def test_a_reload_during_startup_does_not_end_the_process(site, tmp_path):
    await site.add_worker("w1")
    entry = await start_entry(site.store_address, tmp_path)
    try:
        # The program ignores SIGHUP before it opens this address.
        await until(lambda: listening(entry.settings.callers))
        while not entry.logged("main: Started."):
            entry.process.send_signal(signal.SIGHUP)
            await asyncio.sleep(0.01)
        assert entry.process.returncode is None
    finally:
        await entry.kill()


def listening(address):
    with socket.socket() as made:
        return made.connect_ex((address.host, address.port)) == 0


async def test_log_lines_of_a_request_carry_its_id(site, tmp_path):
    await site.add_worker("w1")
    entry = await start(site, tmp_path)
    try:
        request_id = "5a5a5a5a5a5a5a5a"
        await ask(site, entry, headers={"X-Attempt-Id": request_id})
        await until(lambda: entry.logged("edge: Answered."))
    finally:
        await entry.kill()
    request_lines = [
        line for line in entry.lines if line.get("request") == request_id
    ]
    assert [line["event"] for line in request_lines] == [
        "dispatch: Sent.",
        "edge: Answered.",
    ]
    assert request_lines[0]["worker"] == "w1"
    assert all(line["node"] == "entry-1" for line in entry.lines)


async def test_an_unread_log_pipe_does_not_block_requests(site, tmp_path):
    await site.add_worker("w1")
    entry = await start(site, tmp_path, ignore_output=True)
    try:
        # Their log lines exceed the capacity of the pipe several times.
        for _ in range(400):
            assert (await ask(site, entry)).status == 200
    finally:
        entry.process.kill()
        # wait() returns only once the pipe has been read to its end.
        await entry.process.stdout.read()
        await entry.process.wait()


@pytest.mark.parametrize(
    ("text", "words"),
    [
        ("{", "can't be read"),
        ("[]", "no JSON object"),
        ("{}", "ip is None"),
    ],
)
async def test_invalid_settings_are_reported_with_the_field(
    tmp_path, text, words
):
    path = tmp_path / "node.json"
    path.write_text(text)
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        str(ROOT / "deploy" / "relay.py"),
        "0",
        stderr=asyncio.subprocess.PIPE,
        env={**os.environ, "RATTANPIER_BOOT": str(path)},
    )
    _, errors = await process.communicate()
    assert process.returncode == 2
    assert words in errors.decode()
    assert "hint:" in errors.decode()
