"""Command line of `rattanpier-standin`, stand-ins for platform services."""

from __future__ import annotations

import asyncio
import signal

from aiohttp import web

from rattanpier._internal.cli.common import run_fire
from rattanpier._internal.edge.server import HttpServer
from rattanpier._internal.models.settings import ListenSettings
from rattanpier._internal.standin.engine import EngineServer, EngineSpeed
from rattanpier._internal.standin.objects import ObjectServer
from rattanpier._internal.standin.plain import PlainServer
from rattanpier._internal.standin.ratings import (
    RatingBehaviour,
    RatingServer,
)
from rattanpier._internal.standin.runs import RunFile
from rattanpier._internal.standin.table import TableServer
from rattanpier._internal.standin.vms import VmServer
from rattanpier._internal.standin.weights import DEFAULT_BYTES, WeightServer

DEFAULT_SKILL = 0.9


async def serve_app(app: web.Application, host: str, port: int) -> None:
    """Prints the address of an application and serves it until SIGTERM."""
    server = HttpServer(app, ListenSettings(host, port))
    await server.start()
    print(server.url, flush=True)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    await stop.wait()
    await server.stop()


def parse_versions(text: str) -> dict[str, float]:
    """Returns the skill of each version; the default where none is given.

    >>> parse_versions("small@1=0.7,large@1")
    {'small@1': 0.7, 'large@1': 0.9}
    """
    versions = {}
    for item in text.split(","):
        name, _, skill = item.partition("=")
        versions[name] = float(skill or DEFAULT_SKILL)
    return versions


class Standins:
    """Stand-ins for platform services, one per command."""

    def table(self, host: str = "127.0.0.1", port: int = 0) -> None:
        """Runs a table service."""
        asyncio.run(serve_app(TableServer().app(), host, port))

    def objects(self, host: str = "127.0.0.1", port: int = 0) -> None:
        """Runs an object store."""
        asyncio.run(serve_app(ObjectServer().app(), host, port))

    def weights(
        self, host: str = "127.0.0.1", port: int = 0, size: int = DEFAULT_BYTES
    ) -> None:
        """Runs a rate-limited weight store.

        Args:
          host: IP number.
          port: Port; 0 takes a free one.
          size: Size in bytes of the weights of a version.
        """
        asyncio.run(serve_app(WeightServer(size).app(), host, port))

    def vms(self, host: str = "127.0.0.1", port: int = 0) -> None:
        """Runs a service that lists live and leaving VMs."""
        asyncio.run(serve_app(VmServer().app(), host, port))

    def engine(
        self,
        versions: str,
        host: str = "127.0.0.1",
        port: int = 0,
        decode_s: float = 0.005,
        prefill: float = 20_000.0,
        slots: int = 16,
        checks_fencing: bool = False,
        run_path: str = "",
    ) -> None:
        """Runs a model engine.

        Args:
          versions: Versions and skills, like "small@1=0.7,large@1=0.95".
          host: IP number.
          port: Port; 0 takes a free one.
          decode_s: Seconds between tokens.
          prefill: Prompt tokens processed per second.
          slots: Maximum number of concurrent requests.
          checks_fencing: Refuse orders with outdated fencing numbers.
          run_path: File that gets a line for each run.
        """
        # fire turns a comma-separated list into a tuple.
        text = versions if isinstance(versions, str) else ",".join(versions)
        server = EngineServer(
            parse_versions(text),
            EngineSpeed(prefill, decode_s, slots),
            checks_fencing=checks_fencing,
            run_file=RunFile(run_path),
        )
        asyncio.run(serve_app(server.app(), host, port))

    def plain(
        self,
        name: str = "plain",
        host: str = "127.0.0.1",
        port: int = 0,
        run_path: str = "",
    ) -> None:
        """Runs a plain service.

        Args:
          name: Name of the service, part of each answer.
          host: IP number.
          port: Port; 0 takes a free one.
          run_path: File that gets a line for each call.
        """
        server = PlainServer(name, run_file=RunFile(run_path))
        asyncio.run(serve_app(server.app(), host, port))

    def ratings(
        self,
        host: str = "127.0.0.1",
        port: int = 0,
        delay_s: float = 0.2,
        noise: float = 0.0,
        price: float = 1.0,
        fails: str = "",
        fails_on: str = "",
    ) -> None:
        """Runs an answer-rating service.

        Args:
          host: IP number.
          port: Port; 0 takes a free one.
          delay_s: Seconds until a rating is ready.
          noise: Share of ratings that are inverted.
          price: Credits per item.
          fails: Version that answers some prompts poorly.
          fails_on: Word that identifies those prompts.
        """
        behaviour = RatingBehaviour(delay_s, noise, price, fails, fails_on)
        asyncio.run(serve_app(RatingServer(behaviour).app(), host, port))


def main() -> None:
    """Runs the program."""
    run_fire(Standins, "rattanpier-standin")


if __name__ == "__main__":
    main()
