"""Finds out whether answers broke off since their worker crashed.

A worker is asked for a connection as soon as an answer broke off there. One
that still listens may be about to terminate: its connections may be closed
before its listening socket. So it is asked again some times, and the broken
answers are kept until then.
"""

from __future__ import annotations

import asyncio

import attrs
import structlog

from rattanpier._internal.models.relay_request import RelayRequest
from rattanpier._internal.models.worker import RegisteredWorker
from rattanpier._internal.relay.load import InFlight
from rattanpier._internal.relay.request_progress import round_for_log
from rattanpier._internal.relay.termination_checks import TerminationChecks
from rattanpier._internal.retries.quarantine import Quarantine
from rattanpier._internal.utils.clock import Clock
from rattanpier._internal.utils.metrics import Metrics
from rattanpier._internal.utils.record import Record

log = structlog.get_logger(part="dispatch")

# Between two checks of a worker.
CHECK_INTERVAL_S = 0.3
# From the end of an answer to the last check of its worker.
WATCH_S = 0.9


@attrs.frozen(eq=False, repr=False)
class BrokenAnswer(Record):
    """An answer that broke off, perhaps because its worker crashed.

    Attributes:
      request: The request.
      worker: Id of the worker.
      broke_at: When it broke off, in monotonic seconds.
      answering_s: Seconds for which the worker had been sending its body, 0 if
        it had sent the head only, None if it had not begun.
    """

    request: RelayRequest
    worker: str
    broke_at: float
    answering_s: float | None


@attrs.define(eq=False, repr=False)
class CrashChecks:
    """Answers that broke off, until it is known whether their worker crashed.

    Attributes:
      clock: Monotonic clock.
      terminations: Which worker processes have ended.
      quarantine: Receives the crashes.
      metrics: Counters.
      broken: Answers that broke off at workers of which it is not known whether
        they crashed, by incarnation.
      second_checks: Further checks in progress, by incarnation.
    """

    clock: Clock
    terminations: TerminationChecks
    quarantine: Quarantine
    metrics: Metrics
    broken: dict[str, list[BrokenAnswer]] = attrs.Factory(dict)
    second_checks: dict[str, asyncio.Task[bool | None]] = attrs.Factory(dict)

    async def check(
        self,
        request: RelayRequest,
        worker: RegisteredWorker,
        in_flight: InFlight,
    ) -> bool | None:
        """Attributes a crash of a worker to a request, if it crashed.

        Returns:
          Whether the worker is running so far, None if that is unknown.
        """
        now = self.clock.monotonic()
        answering_s = in_flight.answering_s(now)
        broken = BrokenAnswer(request, worker.id, now, answering_s)
        self.add_broken(worker.incarnation, broken)
        running = await self.terminations.is_running(worker)
        if running is False:
            # Other checks may have found before that it terminated.
            self.attribute_crash(worker.incarnation)
        elif worker.incarnation not in self.terminations.unconfirmed:
            self.start_second_check(worker)
        return running

    def start_second_check(
        self, worker: RegisteredWorker
    ) -> asyncio.Task[bool | None]:
        """Returns the further checks of a worker, started if there are none."""
        incarnation = worker.incarnation
        check = self.second_checks.get(incarnation)
        if check is None:
            check = asyncio.ensure_future(self.check_again(worker))
            self.second_checks[incarnation] = check
            check.add_done_callback(
                lambda _: self.second_checks.pop(incarnation, None)
            )
        return check

    async def check_again(self, worker: RegisteredWorker) -> bool | None:
        """Checks a worker until no answer has broken off there for a while.

        Returns:
          Whether the worker is running, None if that is unknown.
        """
        incarnation = worker.incarnation
        while True:
            await self.clock.sleep(CHECK_INTERVAL_S)
            checked_at = self.clock.monotonic()
            running = await self.terminations.is_running(worker)
            if running is False:
                self.attribute_crash(incarnation)
                return False
            if incarnation in self.terminations.unconfirmed:
                return None
            recent = [
                each
                for each in self.broken.pop(incarnation, ())
                if checked_at - each.broke_at < WATCH_S
            ]
            if not recent:
                return running
            self.broken[incarnation] = recent

    def add_broken(self, worker: str, broken: BrokenAnswer) -> None:
        """Keeps an answer that broke off for as long as crashes are checked."""
        oldest = broken.broke_at - self.terminations.expiry_s
        for known, answers in list(self.broken.items()):
            if answers[-1].broke_at < oldest:
                del self.broken[known]
        self.broken.setdefault(worker, []).append(broken)

    def attribute_crash(self, worker: str) -> None:
        """Attributes a worker's crash to the requests that ran there.

        Args:
          worker: Incarnation of the worker.
        """
        for broken in self.broken.pop(worker, ()):
            request = broken.request
            parts = request.prompt.shared_parts
            self.metrics.count("relay.worker_ended")
            log.info(
                "Worker crashed during a request.",
                request=request.id,
                content=request.content,
                parts=parts,
                worker=broken.worker,
                answering_s=round_for_log(broken.answering_s),
            )
            self.quarantine.record_crash(
                request.content,
                worker,
                parts,
                broken.answering_s,
                self.clock.monotonic() - broken.broke_at,
            )
