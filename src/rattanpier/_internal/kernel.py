"""The micro-kernel: services that find each other by name.

A program is a list of services. Each is added under a name, may look up the
others, and is started in the order of addition and stopped in reverse.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, TypeVar

import attrs
import structlog

from rattanpier._internal.exceptions import KernelError

log = structlog.get_logger(part="kernel")

Hook = Callable[[], Awaitable[None]]
T = TypeVar("T")


@attrs.define(eq=False, repr=False)
class Service:
    """One named service and its hooks.

    Attributes:
      name: Name under which other services find it.
      value: The object that other services use.
      start: Called in order of addition, or None.
      stop: Called in reverse order, or None.
    """

    name: str
    value: Any
    start: Hook | None = None
    stop: Hook | None = None


class Kernel:
    """Holds the services of one process and the tasks they run."""

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
        """Adds a service and returns its value.

        Raises:
          KernelError: The name is taken.
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

    def spawn(self, coroutine: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Runs a coroutine until it ends or the kernel stops."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.finish_task)
        return task

    def finish_task(self, task: asyncio.Task[Any]) -> None:
        """Forgets a task and reports the exception that ended it."""
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
        """Stops every service in reverse order and cancels its tasks."""
        self.stopping.set()
        for service in reversed(list(self.services.values())):
            if service.stop is not None:
                await service.stop()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
