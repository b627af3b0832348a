"""Keeps a node on the newest configuration; a node only moves forward."""

from __future__ import annotations

import attrs
import structlog
from reactivex.subject import BehaviorSubject

from rattanpier._internal.configuration.parse import parse_configuration
from rattanpier._internal.configuration.store import read_head, read_revision
from rattanpier._internal.exceptions import (
    ConfigurationError,
    StoreUnavailableError,
)
from rattanpier._internal.kernel import Kernel
from rattanpier._internal.models.configuration import Configuration
from rattanpier._internal.platform.table import Table
from rattanpier._internal.utils.clock import Clock

log = structlog.get_logger(part="config")

POLL_S = 1.0


@attrs.define
class Follower:
    """The configuration in force on this node.

    Attributes:
      current: Emits each configuration that comes into force.
      confirmed: Monotonic time of the last poll that found it current.
      store_reachable: Whether the last poll was answered.
    """

    table: Table
    clock: Clock
    current: BehaviorSubject[Configuration] = attrs.field(
        factory=lambda: BehaviorSubject(Configuration())
    )
    confirmed: float = float("-inf")
    store_reachable: bool = False

    @property
    def configuration(self) -> Configuration:
        """The configuration in force."""
        return self.current.value

    async def run(self, kernel: Kernel) -> None:
        """Polls the head until the end."""
        while not kernel.stopping.is_set():
            await self.poll()
            await self.clock.sleep(POLL_S)

    async def poll(self) -> None:
        """Asks the store once whether there is a newer revision."""
        asked = self.clock.monotonic()
        try:
            head = await read_head(self.table)
            if head > self.configuration.revision:
                revision = await read_revision(self.table, head)
                if revision is not None:
                    self.enforce(revision.revision, revision.text)
        except StoreUnavailableError:
            self.store_reachable = False
            return
        self.store_reachable = True
        if head <= self.configuration.revision:
            self.confirmed = asked

    def enforce(self, revision: int, text: str) -> bool:
        """Puts a revision in force unless it is not newer."""
        if revision <= self.configuration.revision:
            return False
        try:
            parsed = parse_configuration(text, f"revision {revision}")
        except ConfigurationError as error:
            log.error("Revision can't be used.", error=error.message)
            return False
        self.current.on_next(attrs.evolve(parsed, revision=revision))
        log.info("Revision in force.", revision=revision)
        return True
