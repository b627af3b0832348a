"""The examples start, and answer each of their workspaces."""

import pathlib
import re
import time
from contextlib import AsyncExitStack

import aiohttp
import pytest

from rattanpier._internal.commands.demo import serve, wait_ready
from rattanpier._internal.configuration.parse import (
    load_settings,
    parse_configuration,
)
from rattanpier._internal.configuration.store import Revision, propose
from rattanpier._internal.programs.control import build_control
from rattanpier._internal.programs.entry import build_entry
from rattanpier._internal.standin.engine import EngineServer
from rattanpier._internal.standin.plain import PlainServer
from rattanpier._internal.standin.table import TableServer
from rattanpier._internal.store.table import HttpTable

EXAMPLES = pathlib.Path(__file__).parents[2] / "examples"
PROGRAMS = {"entry": build_entry, "control": build_control}
BODY = {"model": "auto", "messages": [{"role": "user", "content": "hello"}]}


def on_loopback(text, table_url):
    """Settings with the platform and the process on loopback."""
    text = re.sub(r'table_url = ".*"', f'table_url = "{table_url}"', text)
    text = re.sub(r'(objects|ratings|vms|weights)_url = ".*"\n', "", text)
    text = re.sub(r'host = ".*"', 'host = "127.0.0.1"', text)
    return re.sub(r"port = \d+", "port = 0", text)


def at_standins(configuration, text, engine_url, plain_url):
    """A configuration whose workers are all stand-ins."""
    for upstream in configuration.upstreams.values():
        url = engine_url if upstream.kind == "engine" else plain_url
        for worker in upstream.workers.values():
            text = text.replace(worker.url, url)
    return text


async def start(stack, name, folder):
    """Starts an example; returns its configuration and entries."""
    text = (EXAMPLES / name / "configuration.toml").read_text()
    configuration = parse_configuration(text)
    table = await serve(stack, TableServer().app())
    engine = EngineServer(dict.fromkeys(configuration.versions, 1.0))
    engine_url = await serve(stack, engine.app())
    plain_url = await serve(stack, PlainServer("plain").app())
    text = at_standins(configuration, text, engine_url, plain_url)
    async with aiohttp.ClientSession() as session:
        revision = Revision(1, text, "test", "test", time.time())
        await propose(HttpTable(session, table), revision)
    urls = []
    for path in sorted((EXAMPLES / name).glob("*-*.toml")):
        copy = folder / path.name
        copy.write_text(on_loopback(path.read_text(), table))
        build = PROGRAMS[path.name.split("-")[0]]
        kernel = await build(load_settings(str(copy)))
        stack.push_async_callback(kernel.stop)
        if build is build_entry:
            urls.append(kernel.find("edge").url)
    await wait_ready(urls)
    return configuration, urls


@pytest.mark.parametrize("name", ["federation", "tuakana"])
async def test_each_workspace_is_answered(name, tmp_path):
    async with AsyncExitStack() as stack:
        configuration, urls = await start(stack, name, tmp_path)
        session = await stack.enter_async_context(aiohttp.ClientSession())
        names = list(configuration.workspaces)
        for number, workspace in enumerate(names):
            async with session.post(
                f"{urls[number % len(urls)]}/v1/chat/completions",
                json=BODY,
                headers={"Authorization": f"Bearer {workspace}-key"},
            ) as response:
                answer = await response.json()
                assert response.status == 200, answer
            allowed = configuration.workspaces[workspace].versions
            assert answer["model"] in allowed
