"""Service registry and lifecycle of a process.

A program is a list of named services that look each other up by name. They
start in the order of addition and stop in reverse order.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, TypeVar

import attrs
import structlog

from rattanpier._internal.exceptions import KernelError

log = structlog.get_logger(part="kernel")

# Bounds the log lines and calls of a task that fails each time.
RESTART_DELAY_S = 1.0

Hook = Callable[[], Awaitable[None]]
T = TypeVar("T")


@attrs.define(eq=False, repr=False)
class Service:
    """A named service and its lifecycle hooks.

    Attributes:
      name: Name by which other services look it up.
      value: The object that other services use.
      start: Called in order of addition, or None.
      stop: Called in reverse order, or None.
    """

    name: str
    value: Any
    start: Hook | None = None
    stop: Hook | None = None


class Kernel:
    """Manages the services of one process and their background tasks."""

    def __init__(self) -> None:
        self.services: dict[str, Service] = {}
        self.tasks: set[asyncio.Task[Any]] = set()
        self.stopping = asyncio.Event()

    def add(
        self,
        name: str,
        value: T,
        start: Hook | None = None,
        stop: Hook | None = None,
    ) -> T:
        """Registers a service and returns its value.

        Raises:
          KernelError: The name is already registered.
        """
        if name in self.services:
            raise KernelError(f"service {name!r} was added twice")
        self.services[name] = Service(name, value, start, stop)
        return value

    def find(self, name: str) -> Any:
        """Returns the value of a service.

        Raises:
          KernelError: No service has this name.
        """
        if name not in self.services:
            raise KernelError(f"there is no service {name!r}")
        return self.services[name].value

    def spawn_restarting(
        self, run: Callable[[], Coroutine[Any, Any, Any]], name: str
    ) -> asyncio.Task[Any]:
        """Runs a task that the process needs for as long as it runs.

        A task that raises is logged and started again after
        `RESTART_DELAY_S`.

        Args:
          run: Returns the coroutine to run.
          name: Name for the log.
        """
        return self.spawn(self.run_restarting(run, name))

    async def run_restarting(
        self, run: Callable[[], Coroutine[Any, Any, Any]], name: str
    ) -> None:
        """Runs a coroutine function again whenever it raises."""
        while True:
            try:
                await run()
                return
            except Exception:
                log.exception("Task failed; starting it again.", task=name)
            await asyncio.sleep(RESTART_DELAY_S)

    def spawn(self, coroutine: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Runs a coroutine as a task that the kernel cancels when it stops."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.finish_task)
        return task

    def finish_task(self, task: asyncio.Task[Any]) -> None:
        """Removes a finished task and logs the exception it raised, if any."""
        self.tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        log.error("Task failed.", exc_info=task.exception())

    async def start(self) -> None:
        """Starts every service in the order of addition."""
        for service in list(self.services.values()):
            if service.start is not None:
                await service.start()

    async def stop(self) -> None:
        """Stops every service in reverse order, then cancels all tasks."""
        self.stopping.set()
        for service in reversed(list(self.services.values())):
            if service.stop is not None:
                await service.stop()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
