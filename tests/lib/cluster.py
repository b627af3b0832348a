"""Starts the system's programs and stand-ins as separate processes."""

import asyncio
import os
import pathlib
import signal
import sys

import aiohttp

import rattanpier
from rattanpier._internal.configuration.store import Revision, propose
from rattanpier._internal.exceptions import StoreUnavailableError
from rattanpier._internal.store.table import HttpTable
from rattanpier._internal.utils.hashing import sha256_hex
from tests.lib.builders import OPERATOR_KEY

SOURCE = str(pathlib.Path(rattanpier.__file__).parents[1])
CLI = "rattanpier._internal.cli"
START_TIMEOUT_S = 60.0  # Ends what would hang; no test measures by it.
STOP_TIMEOUT_S = 60.0


class Process:
    """One process that a test started."""

    def __init__(self, process, log_path):
        self.process = process
        self.log_path = log_path

    def send(self, number):
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self):
        self.send(signal.SIGKILL)
        await self.process.wait()

    async def stop(self):
        """A planned stop; an entry drains first. False if it was killed."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGTERM)
        try:
            await asyncio.wait_for(self.process.wait(), STOP_TIMEOUT_S)
        except TimeoutError:
            await self.kill()
            return False
        return True

    def log(self):
        return pathlib.Path(self.log_path).read_text()


class Cluster:
    """Stand-ins, entries and control processes on loopback."""

    def __init__(self, folder):
        self.folder = pathlib.Path(folder)
        self.processes = {}
        self.urls = {}
        self.table_urls = {}  # Of nodes that reach it by a relay.
        self.session = None
        self.table = None

    async def __aenter__(self):
        self.session = aiohttp.ClientSession()
        return self

    async def __aexit__(self, *_):
        await asyncio.gather(*(p.kill() for p in self.processes.values()))
        await self.session.close()

    async def launch(self, name, module, *arguments):
        log_path = self.folder / f"{name}.log"
        with open(log_path, "ab") as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                f"{CLI}.{module}",
                *arguments,
                stdout=asyncio.subprocess.PIPE,
                stderr=log,
                env={**os.environ, "PYTHONPATH": SOURCE},
            )
        self.processes[name] = Process(process, log_path)
        return process

    async def start_standin(self, name, *arguments):
        process = await self.launch(name, "standin", *arguments)
        line = await asyncio.wait_for(
            process.stdout.readline(), START_TIMEOUT_S
        )
        self.urls[name] = line.decode().strip()
        return self.urls[name]

    async def start_table(self):
        url = await self.start_standin("table", "table")
        self.table = HttpTable(self.session, url)
        return url

    async def apply(self, text, revision=1):
        return await propose(
            self.table, Revision(revision, text, "test", f"t{revision}", 0.0)
        )

    def settings_text(self, name, extra="", domain="a"):
        return f"""
[node]
name = "{name}"
domain = "{domain}"
[platform]
table_url = "{self.table_urls.get(name, self.urls["table"])}"
ratings_url = "{self.urls.get("ratings", "")}"
[secrets]
session_key = "test-session-key"
operator_key_sha256 = ["{sha256_hex(OPERATOR_KEY)}"]
{extra}
"""

    async def start_node(self, name, module="entry", extra="", domain="a"):
        path = self.folder / f"{name}.toml"
        path.write_text(self.settings_text(name, extra, domain))
        await self.launch(name, module, "--settings", str(path))

    async def start_entry(self, name, extra="", domain="a"):
        await self.start_node(name, "entry", extra, domain)
        self.urls[name] = await self.wait_ready(name)
        return self.urls[name]

    async def start_entries(self, names, extra=""):
        """Starts entries beside each other."""
        await asyncio.gather(*(self.start_entry(name, extra) for name in names))

    async def wait_ready(self, name):
        """Waits until an entry is listed and ready."""

        async def ready():
            try:
                row = await self.table.get(f"member/{name}")
            except StoreUnavailableError:
                return None  # A test may have taken the store away.
            if row is None:
                return None
            url = row.value.split('"caller_url":"')[1].split('"')[0]
            if not url:
                return None
            try:
                async with self.session.get(f"{url}/readyz") as response:
                    return url if response.status == 200 else None
            except aiohttp.ClientError:
                return None

        return await wait_for(ready)

    async def set_faults(self, name, **faults):
        url = f"{self.urls[name]}/standin/faults"
        async with self.session.post(url, json=faults) as response:
            assert response.status == 200

    async def runs(self, name):
        url = f"{self.urls[name]}/standin/runs"
        async with self.session.get(url) as response:
            return await response.json(content_type=None)


async def wait_for(probe, timeout_s=START_TIMEOUT_S):
    """Waits until an async probe returns something true."""
    async with asyncio.timeout(timeout_s):
        while True:
            found = await probe()
            if found:
                return found
            await asyncio.sleep(0.05)
