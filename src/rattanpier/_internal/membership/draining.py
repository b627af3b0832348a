"""Graceful shutdown: the steps of a process between SIGTERM and its exit.

The order is: notify peers, serve until the addresses cached by callers expire,
refuse new requests, finish requests in flight, hand over duties, remove the
member row. No step has a time limit, since that could abort a request; a step
that takes long is only logged.
"""

from __future__ import annotations

import asyncio
import enum
from collections.abc import Awaitable, Callable

import attrs
import structlog

from rattanpier._internal.utils.clock import Clock

log = structlog.get_logger(part="drain")

Hook = Callable[[], Awaitable[None]]


class DrainPhase(enum.IntEnum):
    """When a step of a drain runs; the phases run in this order."""

    ANNOUNCE = 1  # Peers are notified; this process serves as before.
    OUTLIVE = 2  # Cached addresses expire; new requests are still served.
    CLOSE = 3  # New requests are refused.
    FINISH = 4  # Requests in flight are completed.
    HAND_OVER = 5  # No request runs any more; duties go to peers.
    DEREGISTER = 6  # The member row is deleted.


@attrs.frozen
class DrainStep:
    """A step of a drain; its name appears in the log."""

    phase: DrainPhase
    name: str
    hook: Hook


@attrs.define
class Drain:
    """The steps of a graceful shutdown; services add their own.

    Attributes:
      late_s: Seconds after which a running step is logged as late, and between
        repetitions of that.
      steps: All steps; those of one phase run concurrently.
    """

    clock: Clock
    late_s: float
    steps: list[DrainStep] = attrs.Factory(list)

    def add(self, phase: DrainPhase, name: str, hook: Hook) -> None:
        """Adds a step to a phase."""
        self.steps.append(DrainStep(phase, name, hook))

    async def run(self) -> None:
        """Runs the phases in order."""
        for phase in DrainPhase:
            steps = [step for step in self.steps if step.phase is phase]
            await asyncio.gather(*(self.run_step(step) for step in steps))

    async def run_step(self, step: DrainStep) -> None:
        """Runs a step; its failure does not stop the drain."""
        started = self.clock.monotonic()
        late = asyncio.get_running_loop().create_task(self.report_late(step))
        try:
            await step.hook()
        except Exception:
            # Requests in flight have to be completed even if a step fails.
            log.exception("Drain step failed.", step=step.name)
        finally:
            late.cancel()
        took = self.clock.monotonic() - started
        log.info("Drain step ended.", step=step.name, seconds=round(took, 2))

    async def report_late(self, step: DrainStep) -> None:
        """Logs periodically that a step takes long."""
        while True:
            await self.clock.sleep(self.late_s)
            log.warning("Drain step is late.", step=step.name)


def add_leaving_steps(
    drain: Drain,
    clock: Clock,
    leave: Hook,
    outlive_s: Callable[[], float],
    remove: Hook,
) -> None:
    """Adds the steps that each process has.

    Args:
      drain: The drain.
      clock: Clock for the wait.
      leave: Notifies peers that this process is leaving.
      outlive_s: Returns the seconds to continue serving after that.
      remove: Deletes the member row.
    """
    drain.add(DrainPhase.ANNOUNCE, "announce", leave)
    drain.add(DrainPhase.OUTLIVE, "outlive", lambda: clock.sleep(outlive_s()))
    drain.add(DrainPhase.DEREGISTER, "remove row", remove)
