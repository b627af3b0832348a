"""Whether a worker whose answer broke off has ended.

A broken answer may be the end of its worker's process, of the path to it or of
that one connection. Only the first says something of the requests that ran
there, and it shows at once: no process listens any more. The registration of a
worker that crashed runs out only after three heartbeats, by when a request that
crashed it may have crashed several more.
"""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

import attrs
import structlog

from rattanpier._internal.models.worker import RegisteredWorker
from rattanpier._internal.utils.clock import Clock
from rattanpier._internal.utils.ports import listens

log = structlog.get_logger(part="health")

# A registration outlives its worker by so many heartbeats at most. One that
# starts again under its id and tells no birth is sent requests again then.
HEARTBEATS_TO_EXPIRY = 3
# A listening worker's VM answers a SYN within some ms, and so does one where no
# process listens; a slow entry takes part of this to notice. A caller waits for
# as long at most before its request is sent elsewhere.
CHECK_TIMEOUT_S = 0.3


@attrs.define(eq=False, repr=False)
class TerminationChecks:
    """Checks workers, each once at a time, and keeps which ended.

    Attributes:
      expiry_s: Time after which a registration runs out.
      terminated_at: When each was listening to have ended, in monotonic seconds, by
        incarnation.
      checks: Those that are being made, by incarnation.
    """

    clock: Clock
    expiry_s: float
    terminated_at: dict[str, float] = attrs.Factory(dict)
    checks: dict[str, asyncio.Task[bool]] = attrs.Factory(dict)

    async def has_terminated(self, worker: RegisteredWorker) -> bool:
        """Says whether a worker's process surely ended.

        Many answers of a worker break off at the same moment: they share one
        connection.
        """
        if self.is_terminated(worker.incarnation):
            return True
        # A caller that leaves must not end the check for the others.
        return await asyncio.shield(self.start_check(worker))

    def start_check(self, worker: RegisteredWorker) -> asyncio.Task[bool]:
        """Returns the check of a worker that is being made, or a new one.

        Each entry looks for itself: one that is cut off finds that workers
        refuse connections which serve all others.
        """
        check = self.checks.get(worker.incarnation)
        if check is None:
            check = asyncio.ensure_future(self.check(worker))
            self.checks[worker.incarnation] = check
            check.add_done_callback(
                lambda _: self.checks.pop(worker.incarnation, None)
            )
        return check

    def is_terminated(self, worker: str) -> bool:
        """Says whether a registered worker is known to have ended."""
        at = self.terminated_at.get(worker)
        if at is None:
            return False
        return self.clock.monotonic() - at < self.expiry_s

    def running(
        self, workers: Sequence[RegisteredWorker]
    ) -> Sequence[RegisteredWorker]:
        """Returns the workers that are not known to have ended.

        A send to one that ended costs its request one of a few sends: in 9 s
        in which 16 workers ended 62 of 287 requests for models lost two or
        more of three so, by the entries' logs, and 48 of them were refused.
        """
        if not self.terminated_at:
            return workers
        return [
            each for each in workers if not self.is_terminated(each.incarnation)
        ]

    async def check(self, worker: RegisteredWorker) -> bool:
        """Looks whether a process listens at a worker's address."""
        listening = await listens(worker.host, worker.port, CHECK_TIMEOUT_S)
        if listening is False:
            self.record_terminated(worker.incarnation)
        return listening is False

    def record_terminated(self, worker: str) -> None:
        """Takes in that the process of an incarnation ended."""
        now = self.clock.monotonic()
        oldest = now - self.expiry_s
        self.terminated_at = {
            id: at for id, at in self.terminated_at.items() if at > oldest
        }
        self.terminated_at[worker] = now
        log.info("Worker ended.", worker=worker)

    def record_alive(self, worker: str, at: float) -> None:
        """Takes in that an incarnation lived at some monotonic time."""
        if self.terminated_at.get(worker, at) < at:
            del self.terminated_at[worker]
            log.info("Worker lives.", worker=worker)
