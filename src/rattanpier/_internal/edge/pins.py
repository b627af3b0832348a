"""Version pins of sessions whose callers send a session id but no token.

Each entry caches the versions that it answered with. While a roll-out is open,
the version is also stored in the table service, one row per session, so that
the session keeps it on other entries and when the share of the candidate
changes. Without an open roll-out no session can change its version, and the
table is neither read nor written.
"""

from __future__ import annotations

import collections
from collections.abc import Callable

import attrs

from rattanpier._internal.exceptions import StoreUnavailableError
from rattanpier._internal.models.configuration import Configuration
from rattanpier._internal.models.outcomes import Committed, Conflict
from rattanpier._internal.routing.plan import is_open
from rattanpier._internal.store.table import (
    ABSENT,
    Check,
    Put,
    Table,
    Transaction,
)
from rattanpier._internal.utils.clock import Clock
from rattanpier._internal.utils.codec import decode, encode
from rattanpier._internal.utils.hashing import sha256_hex
from rattanpier._internal.utils.metrics import Metrics

PIN_PREFIX = "pin/"
MAX_CACHED_PINS = 50_000  # About 200 bytes each.


@attrs.frozen
class PinRow:
    """The stored pin of one session.

    Attributes:
      version: Version that the session is pinned to.
      time: Seconds since the epoch at which it was pinned.
    """

    version: str
    time: float


def pin_key(workspace: str, session: str) -> str:
    """Returns the key of a session's row."""
    return f"{PIN_PREFIX}{workspace}/{sha256_hex(session)[:32]}"


def rollout_versions(configuration: Configuration) -> set[str]:
    """Returns the versions between which an open roll-out moves traffic."""
    return {
        version
        for rollout in configuration.rollouts.values()
        if is_open(rollout)
        for version in (rollout.stable, rollout.candidate)
    }


@attrs.frozen
class CachedPin:
    """A session's pin in the cache of an entry.

    Attributes:
      version: Version that the session is pinned to.
      stored: True once its row was read, or a write of it was attempted.
    """

    version: str
    stored: bool


@attrs.define
class SessionPins:
    """Reads and writes the pinned versions of sessions.

    Attributes:
      table: The table service that holds the rows.
      clock: Source of the times in the rows.
      metrics: Counts reads and writes of rows.
      configuration: Returns the configuration in force.
      cached: Pins by row key, the most recently used last.
    """

    table: Table
    clock: Clock
    metrics: Metrics
    configuration: Callable[[], Configuration]
    cached: collections.OrderedDict[str, CachedPin] = attrs.Factory(
        collections.OrderedDict
    )

    async def find(self, workspace: str, session: str) -> str:
        """Returns the version that a session is pinned to, or an empty string.

        Raises:
          StoreUnavailableError: The pin is not cached, and the store did not
            answer.
        """
        key = pin_key(workspace, session)
        if key in self.cached:
            self.cached.move_to_end(key)
            return self.cached[key].version
        if not rollout_versions(self.configuration()):
            return ""
        self.metrics.count("sessions.pin_read")
        return await self.read(key)

    async def read(self, key: str) -> str:
        """Returns the version in a row, or an empty string, and caches it."""
        row = await self.table.get(key)
        if row is None:
            return ""
        version = decode(PinRow, row.value).version
        self.cache(key, version, stored=True)
        return version

    async def keep(self, workspace: str, session: str, version: str) -> str:
        """Pins a session; called before an answer's first byte is released.

        Returns:
          The version that the session is pinned to: a different one if
          another entry pinned it first.
        """
        key = pin_key(workspace, session)
        known = self.cached.get(key, CachedPin("", False))
        # A session that was pinned before the roll-out was opened gets its
        # row now.
        open_now = version in rollout_versions(self.configuration())
        if known.version == version and (known.stored or not open_now):
            return version
        if not open_now:
            self.cache(key, version, stored=False)
            return version
        row = PinRow(version, self.clock.time())
        outcome = await self.table.transact(
            Transaction([Check(key, ABSENT)], [Put(key, encode(row))])
        )
        match outcome:
            case Committed():
                self.metrics.count("sessions.pin_written")
            case Conflict():
                return await self.read_existing(key, version)
            case _:
                # The store is unavailable, so that only this entry knows the
                # pin.
                self.metrics.count("sessions.pin_unwritten")
        self.cache(key, version, stored=True)
        return version

    async def read_existing(self, key: str, version: str) -> str:
        """Returns the version that another entry pinned first.

        Returns `version` if the row can't be read or is gone.
        """
        try:
            return await self.read(key) or version
        except StoreUnavailableError:
            return version

    def cache(self, key: str, version: str, stored: bool) -> None:
        """Caches a pin and evicts the least recently used one if full."""
        self.cached[key] = CachedPin(version, stored)
        self.cached.move_to_end(key)
        if len(self.cached) > MAX_CACHED_PINS:
            self.cached.popitem(last=False)
