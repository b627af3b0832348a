"""`rattanpier demo`: runs the whole system in one process on loopback."""

from __future__ import annotations

import asyncio
import secrets
import signal
import time
from collections.abc import AsyncIterator, Iterator
from contextlib import AsyncExitStack, asynccontextmanager

import aiohttp
import attrs
from aiohttp import web

from rattanpier._internal.commands.demo_text import (
    OPERATOR_KEY,
    Addresses,
    configuration_text,
    usage_text,
)
from rattanpier._internal.configuration.store import Revision, propose
from rattanpier._internal.edge.server import HttpServer
from rattanpier._internal.models.settings import (
    ListenSettings,
    NodeSettings,
    PlatformSettings,
    SecretSettings,
    Settings,
)
from rattanpier._internal.programs.control import build_control
from rattanpier._internal.programs.entry import build_entry
from rattanpier._internal.standin.engine import EngineServer
from rattanpier._internal.standin.objects import ObjectServer
from rattanpier._internal.standin.plain import PlainServer
from rattanpier._internal.standin.ratings import RatingServer
from rattanpier._internal.standin.table import TableServer
from rattanpier._internal.store.table import HttpTable
from rattanpier._internal.utils.hashing import sha256_hex
from rattanpier._internal.utils.logs import configure_logs

HOST = "127.0.0.1"
DOMAINS = ("a", "b")
QUALITY_BY_VERSION = {"small@1": 0.7, "large@1": 0.98}
WORKERS = 3
ENTRIES = 2
READY_LIMIT_S = 30.0
READY_POLL_S = 0.02


@attrs.frozen
class DemoPlatform:
    """URLs of the embedded stand-ins."""

    table_url: str
    objects_url: str
    ratings_url: str
    engine_urls: list[str]
    plain_url: str


@attrs.frozen
class DemoSystem:
    """URLs of the running system.

    Attributes:
      platform: The embedded stand-ins.
      entry_urls: URLs for callers, one per entry.
      operator_urls: URLs for operators, one per control process.
    """

    platform: DemoPlatform
    entry_urls: list[str]
    operator_urls: list[str]


async def serve(stack: AsyncExitStack, app: web.Application) -> str:
    """Serves an application until the stack closes; returns its URL."""
    server = HttpServer(app, ListenSettings(HOST))
    await server.start()
    stack.push_async_callback(server.stop)
    return server.url


async def start_platform(stack: AsyncExitStack) -> DemoPlatform:
    """Starts the stand-ins for the platform and the upstreams."""
    engines = [EngineServer(dict(QUALITY_BY_VERSION)) for _ in range(WORKERS)]
    return DemoPlatform(
        table_url=await serve(stack, TableServer().app()),
        objects_url=await serve(stack, ObjectServer().app()),
        ratings_url=await serve(stack, RatingServer().app()),
        engine_urls=[await serve(stack, engine.app()) for engine in engines],
        plain_url=await serve(stack, PlainServer("phrases").app()),
    )


async def apply_configuration(platform: DemoPlatform) -> None:
    """Stores the demo's configuration as the first revision."""
    text = configuration_text(
        platform.engine_urls, platform.plain_url, DOMAINS, ENTRIES
    )
    async with aiohttp.ClientSession() as session:
        table = HttpTable(session, platform.table_url)
        revision = Revision(1, text, "demo", "demo", time.time())
        await propose(table, revision)


def node_settings(
    platform: DemoPlatform, ports: list[int]
) -> Iterator[Settings]:
    """Yields the settings of one entry per port."""
    session_key = secrets.token_hex(16)
    for number, port in enumerate(ports):
        yield Settings(
            node=NodeSettings(
                f"entry-{number + 1}", DOMAINS[number % len(DOMAINS)]
            ),
            platform=PlatformSettings(platform.table_url, platform.objects_url),
            callers=ListenSettings(HOST, port),
            secrets=SecretSettings(session_key, [sha256_hex(OPERATOR_KEY)]),
        )


def control_settings(entry: Settings) -> Settings:
    """Returns the settings of the control process paired with an entry."""
    name = entry.node.name.replace("entry", "control")
    return attrs.evolve(
        entry,
        node=attrs.evolve(entry.node, name=name),
        callers=ListenSettings(HOST),
    )


async def start_system(
    stack: AsyncExitStack, platform: DemoPlatform, ports: list[int]
) -> DemoSystem:
    """Starts an entry and a control process for each port."""
    entry_urls, operator_urls = [], []
    for settings in node_settings(platform, ports):
        control = await build_control(control_settings(settings))
        stack.push_async_callback(control.stop)
        entry = await build_entry(settings)
        # Stops without draining, since a demo has no callers to wait for.
        stack.push_async_callback(entry.stop)
        entry_urls.append(entry.find("edge").url)
        operator_urls.append(control.find("operators").url)
    await wait_ready(entry_urls)
    return DemoSystem(platform, entry_urls, operator_urls)


async def wait_ready(urls: list[str]) -> None:
    """Waits until every entry is ready and lists all entries.

    Raises:
      TimeoutError: An entry is not ready within `READY_LIMIT_S`.
    """
    async with (
        asyncio.timeout(READY_LIMIT_S),
        aiohttp.ClientSession() as session,
    ):
        for url in urls:
            while not await is_ready(session, url, len(urls)):
                await asyncio.sleep(READY_POLL_S)


async def is_ready(
    session: aiohttp.ClientSession, url: str, entries: int
) -> bool:
    """Returns whether an entry is ready and lists all entries."""
    async with session.get(f"{url}/readyz") as response:
        if response.status != web.HTTPOk.status_code:
            return False
    async with session.get(f"{url}/v1/entries") as response:
        listed = await response.json()
    return len(listed["entries"]) >= entries


@asynccontextmanager
async def running_demo(ports: list[int]) -> AsyncIterator[DemoSystem]:
    """Runs the whole system while the context is open."""
    async with AsyncExitStack() as stack:
        platform = await start_platform(stack)
        await apply_configuration(platform)
        yield await start_system(stack, platform, ports)


async def run_demo(port: int) -> None:
    """Runs the demo until SIGINT or SIGTERM."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    ports = [port + number if port else 0 for number in range(ENTRIES)]
    async with running_demo(ports) as system:
        addresses = Addresses(
            system.entry_urls,
            system.operator_urls,
            system.platform.engine_urls,
            system.platform.table_url,
        )
        print(usage_text(addresses), flush=True)
        await stop.wait()
    print("Stopped.", flush=True)


def demo(port: int = 0, log_level: str = "error") -> None:
    """Runs the whole system with stand-ins on loopback, until Ctrl-C.

    Args:
      port: Port of the first entry; further entries use the ports after it.
        0 chooses free ports.
      log_level: Minimum level of the log lines shown.
    """
    configure_logs(False, log_level)
    asyncio.run(run_demo(port))
