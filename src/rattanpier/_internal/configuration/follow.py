"""Keeps the configuration of a node up to date with the store.

A node never goes back to an older revision, since that could use a version
that was withdrawn since.
"""

from __future__ import annotations

import asyncio

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
from rattanpier._internal.models.configuration import Configuration, Fleet
from rattanpier._internal.models.member import Member, member_key
from rattanpier._internal.store.table import Table
from rattanpier._internal.utils.clock import Clock
from rattanpier._internal.utils.codec import decode

log = structlog.get_logger(part="config")

MIN_POLL_INTERVAL_S = 0.5
POLL_TIMEOUT_S = 1.0
MAX_POLL_READS_PER_S = 200.0  # Reads per second over the polls of all nodes.
PROCESSES_PER_VM = 2  # One entry and one control process.
POLLS_PER_VALIDITY = 4  # Tolerates one or two lost polls.
NEVER = float("-inf")


def poll_interval_s(fleet: Fleet) -> float:
    """Returns the seconds between two polls of one node.

    The pause grows with the fleet, to bound the reads of the store, but not
    beyond a fraction of the validity.

    >>> poll_interval_s(Fleet(size=8)), poll_interval_s(Fleet(size=420))
    (0.5, 1.0)
    >>> poll_interval_s(Fleet(size=420, validity_s=18.0))
    4.2
    """
    interval_s = fleet.size * PROCESSES_PER_VM / MAX_POLL_READS_PER_S
    max_interval_s = fleet.validity_s / POLLS_PER_VALIDITY
    return min(max(MIN_POLL_INTERVAL_S, interval_s), max_interval_s)


@attrs.define
class Follower:
    """The configuration in force on this node.

    Attributes:
      table: The store.
      clock: Clock for polls and validities.
      current: Emits each configuration that comes into force.
      text: The TOML text of the configuration in force.
      me: The node's member row. Without it, nothing is confirmed.
      confirmed_at: Latest monotonic time, in seconds, at which this node is
        known to have been current.
      registered_at: Latest monotonic time, in seconds, at which the member
        row is known to have been in the store.
      store_confirmed: Whether the store has confirmed the revision since the
        process started.
      store_reachable: Whether the store answered the last poll.
    """

    table: Table
    clock: Clock
    current: BehaviorSubject[Configuration] = attrs.field(
        factory=lambda: BehaviorSubject(Configuration())
    )
    text: str = ""
    me: Member | None = None
    confirmed_at: float = NEVER
    registered_at: float = NEVER
    store_confirmed: bool = False
    store_reachable: bool = False

    @property
    def configuration(self) -> Configuration:
        """The configuration in force."""
        return self.current.value

    @property
    def revision(self) -> int:
        """The number of the revision in force."""
        return self.current.value.revision

    async def run(self, kernel: Kernel) -> None:
        """Polls the head row until the process stops."""
        while not kernel.stopping.is_set():
            await self.poll()
            await self.clock.sleep(poll_interval_s(self.configuration.fleet))

    async def poll(self) -> None:
        """Reads the head row once and applies a newer revision."""
        asked_at = self.clock.monotonic()
        before = self.revision
        try:
            async with asyncio.timeout(POLL_TIMEOUT_S):
                await self.check_registration(asked_at)
                head = await read_head(self.table)
                await self.fetch(head)
        except (StoreUnavailableError, TimeoutError):
            self.store_reachable = False
            return
        self.store_reachable = True
        if head < before:
            # The store may have been restored from a backup. Confirming this
            # node could keep versions in use that were withdrawn since.
            log.error(
                "Store revision is behind this node.", head=head, node=before
            )
            return
        registration_valid = (
            asked_at - self.registered_at < self.configuration.fleet.validity_s
        )
        if head <= self.revision and registration_valid:
            self.confirmed_at = max(self.confirmed_at, asked_at)
            self.store_confirmed = True

    async def fetch(self, head: int) -> None:
        """Reads the head revision and applies it if it is newer."""
        if head <= self.revision:
            return
        revision = await read_revision(self.table, head)
        if revision is not None:
            self.apply_revision(revision.revision, revision.text)

    async def check_registration(self, asked_at: float) -> None:
        """Checks that the member row of this node is in the store.

        Nobody waits for a node whose row was removed before reporting a
        revision in force, so that such a node must not consider itself
        current. A check is valid for half the validity.
        """
        if self.me is None:
            return
        due = self.configuration.fleet.validity_s / 2
        if asked_at - self.registered_at < due:
            return
        row = await self.table.get(member_key(self.me.name))
        if row is None:
            return
        if decode(Member, row.value).incarnation == self.me.incarnation:
            self.registered_at = asked_at

    def apply_revision(self, revision: int, text: str) -> bool:
        """Puts a newer revision in force on this node.

        Args:
          revision: Its number.
          text: Its TOML text.

        Returns:
          Whether it was put in force. False if it is not newer or invalid.
        """
        if revision <= self.revision:
            return False
        try:
            parsed = parse_configuration(text, f"revision {revision}")
        except ConfigurationError as error:
            log.error("Revision is invalid.", error=error.message)
            return False
        self.text = text
        self.current.on_next(attrs.evolve(parsed, revision=revision))
        log.info("Revision in force.", revision=revision)
        return True
