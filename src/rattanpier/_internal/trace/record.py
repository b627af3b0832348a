"""Records inputs and routing decisions in a trace file for replay."""

from __future__ import annotations

from collections.abc import Collection
from typing import TextIO

import attrs
import structlog

from rattanpier._internal.models.configuration import Configuration
from rattanpier._internal.models.plan import Plan
from rattanpier._internal.models.refusal import Refusal
from rattanpier._internal.models.request import RouteRequest
from rattanpier._internal.models.settings import NodeSettings
from rattanpier._internal.trace.events import (
    Braked,
    Event,
    Requested,
    RevisionOffered,
    Started,
    encode_event,
)
from rattanpier._internal.trace.replay import describe_plan

log = structlog.get_logger(part="trace")

MAX_CHARACTERS = 256 * 2**20  # Then recording stops with a warning.


@attrs.define
class Recorder:
    """Writes the trace of one process.

    Attributes:
      file: Output file; buffered, so the last lines are written by `close`.
      written: Characters written so far.
      braked: Braked versions as last recorded.
    """

    file: TextIO
    written: int = 0
    braked: list[str] = attrs.Factory(list)

    def write(self, event: Event) -> None:
        """Writes an event, unless the trace reached `MAX_CHARACTERS`."""
        if self.written >= MAX_CHARACTERS:
            return
        line = encode_event(event) + "\n"
        self.written += len(line)
        self.file.write(line)
        if self.written >= MAX_CHARACTERS:
            log.warning("Trace is full.", characters=self.written)

    def record_revision(self, configuration: Configuration, text: str) -> None:
        """Records a configuration revision that came into force."""
        if configuration.revision > 0:
            self.write(RevisionOffered(configuration.revision, text))

    def record_plan(
        self,
        request: RouteRequest,
        plan: Plan | Refusal,
        braked: Collection[str],
    ) -> None:
        """Records a request without its body, and the decision on it."""
        versions = sorted(braked)
        if versions != self.braked:
            self.braked = versions
            self.write(Braked(versions))
        bare = attrs.evolve(request, body={}, deadline=0.0)
        self.write(Requested(bare, describe_plan(plan)))

    async def close(self) -> None:
        """Flushes the buffer and closes the file."""
        self.file.close()


def open_recorder(path: str, node: NodeSettings) -> Recorder:
    """Starts a trace and replaces an older one at the same path."""
    file = open(path, "w", encoding="utf-8")  # noqa: SIM115 - closed by close()
    recorder = Recorder(file)
    recorder.write(Started(node))
    return recorder
