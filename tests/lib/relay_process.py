"""Starts entries as separate processes."""

import asyncio
import json
import os
import sys

import attrs

from rattanpier._internal.models.relay_settings import RelaySettings
from rattanpier._internal.platform.settings import decode_settings
from tests.lib.counters import ROOT
from tests.lib.platform_site import settings_document

RELAY = ROOT / "deploy" / "relay.py"


@attrs.frozen
class Program:
    """What runs an entry: a script, and variables of its environment."""

    script: object = RELAY
    variables: dict = attrs.Factory(dict)


@attrs.define
class RelayProcess:
    """A started entry. Its log lines are collected unless `ignore_output`."""

    process: asyncio.subprocess.Process
    settings: RelaySettings
    path: object
    program: Program = Program()
    lines: list = attrs.Factory(list)
    log_reader: asyncio.Task | None = None

    async def read_log_lines(self):
        async for line in self.process.stdout:
            self.lines.append(json.loads(line))

    def logged(self, event):
        return [line for line in self.lines if line["event"] == event]

    async def wait_until_ready(self, session):
        url = f"http://{self.settings.readiness}/rattanpier/readyz"
        async with asyncio.timeout(20):
            while True:
                try:
                    async with session.get(url) as response:
                        if response.status == 200:
                            return
                except OSError:
                    pass
                await asyncio.sleep(0.02)

    async def start_again(self):
        """Starts the entry again with the same settings, after it has ended.

        Its log lines are added to those of the earlier process.
        """
        entry = await start_process(
            self.settings, self.path, program=self.program
        )
        entry.lines = self.lines
        return entry

    async def kill(self):
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()
        if self.log_reader is not None:
            await self.log_reader


async def start_entry(
    store,
    folder,
    name="entry-1",
    ignore_output=False,
    program=None,
    **more,
):
    """Writes a settings file for an entry and starts it.

    With `ignore_output`, nobody reads the pipe that the entry logs to.
    """
    document = settings_document(store, name, **more)
    path = folder / f"{name}.json"
    path.write_text(json.dumps(document))
    settings = decode_settings(document, "test")
    program = program or Program()
    return await start_process(settings, path, ignore_output, program)


async def start_process(settings, path, ignore_output=False, program=None):
    program = program or Program()
    variables = {"RATTANPIER_BOOT": str(path), **program.variables}
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        str(program.script),
        "0",
        stdout=asyncio.subprocess.PIPE,
        env={**os.environ, **variables},
        cwd=ROOT,
    )
    entry = RelayProcess(process, settings, path, program)
    if not ignore_output:
        entry.log_reader = asyncio.create_task(entry.read_log_lines())
    return entry
