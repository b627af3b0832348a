"""Connections to workers, kept for a while between requests."""

from __future__ import annotations

import asyncio

import attrs

from rattanpier._internal.models.worker import RegisteredWorker
from rattanpier._internal.relay.connection import (
    ConnectionBrokenError,
    WorkerConnection,
)

# A worker answers a SYN at once or not at all: its VM is down or cut off. A
# lost packet comes again after a second, by which time another worker is
# the better choice.
CONNECT_TIMEOUT_S = 0.5
MAX_IDLE_PER_WORKER = 8  # Idle connections; more are closed.
IDLE_TIMEOUT_SHARE = (
    0.5  # Of the worker's own idle time after which none is used.
)
DEFAULT_IDLE_S = 2.0  # Idle time where the worker tells none.


@attrs.define(eq=False, repr=False)
class ConnectionPool:
    """Keeps idle connections by worker.

    Attributes:
      idle: By worker id, the newest last.
      opened: Connections opened so far.
    """

    idle: dict[str, list[WorkerConnection]] = attrs.Factory(dict)
    opened: int = 0

    async def acquire(
        self, worker: RegisteredWorker, fresh: bool, timeout_s: float
    ) -> WorkerConnection:
        """Returns a connection to a worker.

        Args:
          worker: Where to.
          fresh: Open a new one: a kept one may be closed just as the request
            is sent, after which nobody knows whether it ran.
          timeout_s: The request's time.

        Raises:
          ConnectionBrokenError: None could be opened; nothing was sent.
        """
        idle = None if fresh else self.acquire_idle(worker.id)
        if idle is not None:
            return idle
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(min(CONNECT_TIMEOUT_S, timeout_s)):
                _, connection = await loop.create_connection(
                    WorkerConnection, worker.host, worker.port
                )
        except (OSError, TimeoutError) as error:
            raise ConnectionBrokenError(
                f"can't connect: {error!r}", sent=False
            ) from error
        self.opened += 1
        return connection

    def acquire_idle(self, worker: str) -> WorkerConnection | None:
        """Returns a kept connection that is surely open yet, or None."""
        idle = self.idle.get(worker, [])
        now = asyncio.get_running_loop().time()
        while idle:
            connection = idle.pop()
            age = now - connection.idle_since
            if not connection.closed and age < connection.idle_limit_s:
                return connection
            connection.abort()
        return None

    def release(
        self,
        worker: str,
        connection: WorkerConnection,
        keep_alive_s: float | None,
    ) -> None:
        """Takes a connection back after a whole answer."""
        limit = DEFAULT_IDLE_S
        if keep_alive_s is not None:
            limit = min(limit, IDLE_TIMEOUT_SHARE * keep_alive_s)
        if not connection.finish(limit):
            return
        idle = self.idle.setdefault(worker, [])
        idle.append(connection)
        if len(idle) > MAX_IDLE_PER_WORKER:
            idle.pop(0).abort()

    def forget(self, worker: str) -> None:
        """Closes what is kept to a worker that is gone."""
        for connection in self.idle.pop(worker, []):
            connection.abort()

    def close(self) -> None:
        """Closes all that is kept."""
        for worker in list(self.idle):
            self.forget(worker)
