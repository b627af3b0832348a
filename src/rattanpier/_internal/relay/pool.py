"""Pool of idle keep-alive connections to workers."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable

import attrs
import structlog

from rattanpier._internal.models.worker import RegisteredWorker
from rattanpier._internal.relay.connection import (
    ConnectionBrokenError,
    WorkerConnection,
)

log = structlog.get_logger(part="pool")

# A worker answers a SYN at once, or not at all if its VM is down or
# partitioned. A lost packet is retransmitted after a second, by which time
# another worker is the better choice.
CONNECT_TIMEOUT_S = 0.5
MAX_IDLE_PER_WORKER = 8  # The oldest ones beyond this are closed.
# Share of the worker's keep-alive time-out after which a connection is not
# reused.
IDLE_TIMEOUT_SHARE = 0.5
# For which no connection to a worker is used again that sent stray bytes. One
# that answers twice does so for some of its requests.
STRAY_PAUSE_S = 10.0
DEFAULT_IDLE_S = 2.0  # Upper limit, also if the worker states no time-out.


async def open_connection(worker: RegisteredWorker) -> WorkerConnection:
    """Opens a connection to a worker.

    Raises:
      OSError: The worker can't be reached, or refused.
    """
    _, connection = await asyncio.get_running_loop().create_connection(
        WorkerConnection, worker.host, worker.port
    )
    return connection


@attrs.define(eq=False, repr=False)
class ConnectionPool:
    """Idle connections by worker.

    Attributes:
      connect: Opens a connection to a worker.
      on_connect: Called with a worker and whether a connection to it could be
        opened.
      paused_since: Returns whether this process did not run for a while since
        a time in monotonic seconds.
      idle: Connections by worker id, the newest last.
      stray_until: Until when connections to a worker are not used again, since
        bytes arrived that belong to no request, in seconds of the loop's clock,
        by worker id.
      opened: Number of connections opened so far.
    """

    connect: Callable[[RegisteredWorker], Awaitable[WorkerConnection]] = (
        open_connection
    )
    on_connect: Callable[[RegisteredWorker, bool], None] = attrs.field(
        default=lambda _worker, _connected: None
    )
    paused_since: Callable[[float], bool] = lambda _at: False
    idle: dict[str, list[WorkerConnection]] = attrs.Factory(dict)
    stray_until: dict[str, float] = attrs.Factory(dict)
    opened: int = 0

    async def acquire(
        self, worker: RegisteredWorker, fresh: bool, timeout_s: float
    ) -> WorkerConnection:
        """Returns an idle connection to a worker, or opens one.

        Args:
          worker: Worker to connect to.
          fresh: Whether to open a new connection. The worker may close an idle
            one just as the request is sent, after which it is unknown whether
            the request ran.
          timeout_s: Remaining time of the request, in seconds.

        Raises:
          ConnectionBrokenError: No connection could be opened; nothing was
            sent.
        """
        idle = None if fresh else self.acquire_idle(worker.id)
        if idle is not None:
            return idle
        began_at = time.monotonic()
        try:
            async with asyncio.timeout(min(CONNECT_TIMEOUT_S, timeout_s)):
                connection = await self.connect(worker)
        except (OSError, TimeoutError) as error:
            timed_out = isinstance(error, TimeoutError)
            if timed_out and self.paused_since(began_at):
                # The worker was not given the time.
                left_s = timeout_s - (time.monotonic() - began_at)
                if left_s > 0:
                    return await self.acquire(worker, fresh, left_s)
                raise ConnectionBrokenError(
                    "interrupted by a pause", sent=False, interrupted=True
                ) from error
            # A shorter timeout says more of the request than of the worker.
            if not timed_out or timeout_s >= CONNECT_TIMEOUT_S:
                self.on_connect(worker, False)
            raise ConnectionBrokenError(
                f"can't connect: {error!r}", sent=False
            ) from error
        self.on_connect(worker, True)
        self.opened += 1
        connection.on_stray = lambda: self.record_stray(worker.id)
        return connection

    def record_stray(self, worker: str) -> None:
        """Records that a worker sent bytes that belong to no request.

        Others may follow on its connections, also within later answers.
        """
        now = asyncio.get_running_loop().time()
        if self.stray_until.get(worker, 0.0) <= now:
            log.info("Connections are not used again.", worker=worker)
        self.stray_until = {
            known: until
            for known, until in self.stray_until.items()
            if until > now
        }
        self.stray_until[worker] = now + STRAY_PAUSE_S
        self.forget(worker)

    def acquire_idle(self, worker: str) -> WorkerConnection | None:
        """Returns an idle connection that is still usable, or None.

        Closed and outdated connections are dropped.
        """
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
        """Returns a connection to the pool after a complete answer.

        Args:
          worker: Id of the worker.
          connection: The connection.
          keep_alive_s: Keep-alive time-out that the worker stated, in seconds;
            None if it stated none.
        """
        limit = DEFAULT_IDLE_S
        if keep_alive_s is not None:
            limit = min(limit, IDLE_TIMEOUT_SHARE * keep_alive_s)
        if not connection.finish_exchange(limit):
            return
        if self.stray_until.get(worker, 0.0) > connection.idle_since:
            connection.abort()
            return
        idle = self.idle.setdefault(worker, [])
        idle.append(connection)
        if len(idle) > MAX_IDLE_PER_WORKER:
            idle.pop(0).abort()

    def forget(self, worker: str) -> None:
        """Closes the idle connections to a deregistered worker."""
        for connection in self.idle.pop(worker, []):
            connection.abort()

    def close(self) -> None:
        """Closes all idle connections."""
        for worker in list(self.idle):
            self.forget(worker)
