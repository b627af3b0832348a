"""Whether a worker whose answer broke off has ended.

A broken answer may be the end of its worker's process, of the path to it or of
that one connection. Only the first says something of the requests that ran
there, and it shows at once: no process listens any more. The registration of a
worker that crashed runs out only after three heartbeats, by when a request that
crashed it may have crashed five more (one attempt in 0.2 s each, as logged).
"""

from __future__ import annotations

import asyncio

import attrs
import structlog

from rattanpier._internal.models.worker import RegisteredWorker
from rattanpier._internal.relay.pool import ConnectionPool

log = structlog.get_logger(part="health")

# A listening worker answers a SYN within two ways between failure domains,
# some ms. A caller waits for as long at most before it is sent elsewhere.
CHECK_TIMEOUT_S = 0.1


@attrs.define
class WorkerEnds:
    """Checks workers, each once at a time, and keeps which ended.

    Attributes:
      pool: Opens the connections.
      ended: Ids of registered workers that are known to have ended.
      checks: Those that are being made, by worker id.
    """

    pool: ConnectionPool
    ended: set[str] = attrs.Factory(set)
    checks: dict[str, asyncio.Task[bool]] = attrs.Factory(dict)

    async def has_ended(self, worker: RegisteredWorker) -> bool:
        """Says whether a worker's process surely ended.

        Many answers of a worker break off at the same moment: they share one
        connection.
        """
        if worker.id in self.ended:
            return True
        check = self.checks.get(worker.id)
        if check is None:
            check = asyncio.ensure_future(self.check(worker))
            self.checks[worker.id] = check
            check.add_done_callback(lambda _: self.checks.pop(worker.id, None))
        # A caller that leaves must not end the check for the others.
        return await asyncio.shield(check)

    async def check(self, worker: RegisteredWorker) -> bool:
        """Looks whether a process listens at a worker's address."""
        listens = await self.pool.listens(worker, CHECK_TIMEOUT_S)
        if listens is False:
            self.note_ended(worker.id, "no process listens")
        return listens is False

    def note_ended(self, worker: str, source: str) -> None:
        """Takes in that a worker's process ended."""
        if worker in self.ended:
            return
        self.ended.add(worker)
        log.info("Worker ended.", worker=worker, source=source)

    def forget(self, worker: str) -> None:
        """Drops what is known of a registration that is gone."""
        self.ended.discard(worker)
