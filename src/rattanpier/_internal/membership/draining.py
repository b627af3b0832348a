"""A planned stop: what a process does between SIGTERM and its end.

The order is: tell the others, outlive the addresses that callers cached, close
to new requests, finish what is in flight, hand over, go. No step has a limit
that would cut a request; a step that takes long is only reported.
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

    ANNOUNCE = 1  # Others learn of it; this process serves as before.
    OUTLIVE = 2  # Cached addresses run out; new requests are still served.
    CLOSE = 3  # New requests are refused.
    FINISH = 4  # Requests in flight end.
    HAND_OVER = 5  # Nothing runs any more; duties go to others.
    DEREGISTER = 6  # The member row is deleted.


@attrs.frozen
class DrainStep:
    """A step of a drain, named in the log."""

    phase: DrainPhase
    name: str
    hook: Hook


@attrs.define
class Drain:
    """The steps of a planned stop; services add their own.

    Attributes:
      late_s: Seconds after which a step is reported as late.
      steps: All steps; those of one phase run together.
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
            # Whatever fails, requests in flight still have to end.
            log.exception("Drain step failed.", step=step.name)
        finally:
            late.cancel()
        took = self.clock.monotonic() - started
        log.info("Drain step ended.", step=step.name, seconds=round(took, 2))

    async def report_late(self, step: DrainStep) -> None:
        """Reports a step that takes long, again and again."""
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
    """Adds the steps that every process has.

    Args:
      drain: The drain.
      clock: For the wait.
      leave: Tells the others that this process is leaving.
      outlive_s: Returns the seconds to serve on after that.
      remove: Deletes the member row.
    """
    drain.add(DrainPhase.ANNOUNCE, "announce", leave)
    drain.add(DrainPhase.OUTLIVE, "outlive", lambda: clock.sleep(outlive_s()))
    drain.add(DrainPhase.DEREGISTER, "remove row", remove)
